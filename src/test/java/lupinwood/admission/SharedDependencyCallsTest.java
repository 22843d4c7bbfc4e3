package lupinwood.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Many nodes, each with an {@link AdmissionController} of its own that knows nothing of the others,
 * share one simulated dependency on one clock. The dependency divides its capacity among the calls
 * in flight, keeps working on a given-up call for the linger time, and refuses calls while down.
 * The calls in flight of all nodes are counted independently of AdmissionController, at each moment
 * and as a mean over each quota window.
 */
final class SharedDependencyCallsTest {
    private static final int QUOTA_WINDOW_MILLIS = 5000; // domain.calls_over_ns
    private static final int LINGER_MILLIS = 200; // domain.linger_ns
    private static final int FAULT_BEGIN_MILLIS = 6000;
    private static final int FAULT_END_MILLIS = 10_000;
    private static final int RUN_MILLIS = 18_000;

    private enum Fault {
        COLD_START,
        DOWN,
        SLOW,
        REPLACED
    }

    /** A call that the dependency works on, given up or not. */
    private final class Call {
        final Node node;
        final long requestId;
        final int madeAtMillis = nowMillis;
        final int timeoutMillis;
        double workLeft = 100 * Math.exp(random.nextGaussian() * 0.4);
        int releasedAtMillis =
                Integer.MAX_VALUE; // when a call that was given up leaves the dependency

        Call(Node node, long requestId) {
            this.node = node;
            this.requestId = requestId;
            timeoutMillis = (int) (node.server.callTimeouts.get(requestId).nanos() / 1_000_000);
        }

        void giveUp() {
            releasedAtMillis = Math.min(releasedAtMillis, nowMillis + LINGER_MILLIS);
        }

        void end(Outcome outcome) {
            RequestListener listener = node.server.listeners.get(requestId);
            if (!listener.isFinished()) {
                NanoDuration duration =
                        NanoDuration.ofSeconds(Math.max(1, nowMillis - madeAtMillis) / 1e3);
                node.server.deliver(requestId, target -> target.onCallCompleted(outcome, duration));
                if (outcome == Outcome.OK) {
                    node.scheduleRunEnd(requestId);
                }
            }
        }
    }

    private final class Node {
        final RecordingServer server;
        final Map<Long, Integer> callsLeft = new HashMap<>();
        final TreeMap<Integer, List<Long>> runsByEndMillis = new TreeMap<>();
        final List<Long> failed = new ArrayList<>();

        Node(double quota, boolean cold) {
            server =
                    new RecordingServer()
                            .set(
                                    "domain.cpus=4 domain.calls_out="
                                            + quota
                                            + " domain.calls_over_ns="
                                            + QUOTA_WINDOW_MILLIS
                                            + "000000 domain.linger_ns="
                                            + LINGER_MILLIS
                                            + "000000"
                                            + " domain.cold="
                                            + cold
                                            + " rules.cold_share=0.3 rules.ramp_time_ns=9000000000");
            server.actionListener = this::onAction;
            server.start();
            server.advanceMillis(nowMillis);
        }

        private void onAction(String line) {
            String[] words = line.split("[ ,]+", 0);
            switch (words[0]) {
                case "run" -> scheduleRunEnd(Long.parseLong(words[1]));
                case "fail" -> failed.add(Long.parseLong(words[1]));
                case "call" -> {
                    long requestId = Long.parseLong(words[1]);
                    giveUp(call -> call.node == this && call.requestId == requestId);
                    newCalls.add(new Call(this, requestId));
                }
                default -> {}
            }
        }

        void scheduleRunEnd(long requestId) {
            runsByEndMillis
                    .computeIfAbsent(nowMillis + 20 + random.nextInt(40), at -> new ArrayList<>())
                    .add(requestId);
        }

        void advance(double arrivalProbability) {
            if (random.nextDouble() < arrivalProbability) {
                long requestId =
                        server.admit(
                                random.nextInt(5) == 0
                                        ? RecordingServer.UNSAFE
                                        : RecordingServer.SAFE);
                callsLeft.put(requestId, 1 + random.nextInt(2));
            }
            server.advanceMillis(1);
            List<Long> dueRequests =
                    runsByEndMillis.isEmpty() || runsByEndMillis.firstKey() > nowMillis
                            ? List.of()
                            : runsByEndMillis.pollFirstEntry().getValue();
            for (long requestId : dueRequests) {
                if (!server.listeners.get(requestId).isFinished()) {
                    server.deliver(
                            requestId,
                            callsLeft.merge(requestId, -1, Integer::sum) >= 0
                                    ? RequestListener::onCallNeeded
                                    : listener ->
                                            listener.onCompleted(Outcome.OK, NanoDuration.ZERO));
                }
            }
            for (long requestId : failed) {
                if (giveUp(call -> call.node == this && call.requestId == requestId)) {
                    server.deliver(
                            requestId,
                            listener -> listener.onCompleted(Outcome.CANCELLED, NanoDuration.ZERO));
                }
            }
            failed.clear();
            server.trace.clear();
        }
    }

    private final List<Node> nodes = new ArrayList<>();
    private final List<Call> inFlight = new ArrayList<>();
    private final List<Call> newCalls = new ArrayList<>(); // made in the present millisecond
    private Random random;
    private int nowMillis;
    private int maxInFlight;
    private double maxMeanInFlight;
    private int served;

    private boolean giveUp(Predicate<Call> filter) {
        List<Call> calls =
                inFlight.stream()
                        .filter(call -> call.releasedAtMillis > nowMillis + LINGER_MILLIS)
                        .filter(filter)
                        .toList();
        calls.forEach(Call::giveUp);
        return !calls.isEmpty();
    }

    private void simulate(int count, double quota, Fault fault, double load) {
        random = new Random(count);
        inFlight.clear();
        nodes.clear();
        nowMillis = maxInFlight = served = 0;
        maxMeanInFlight = 0;
        for (int i = 0; i < count; i++) {
            nodes.add(new Node(quota, fault == Fault.COLD_START));
        }
        double capacity = count * quota / 5;
        double arrivalProbability = load * capacity / 100 / 1.5 / count;
        int[] inFlightByMillis = new int[RUN_MILLIS];
        int total = 0;
        for (; nowMillis < RUN_MILLIS; nowMillis++) {
            boolean hasFault = nowMillis >= FAULT_BEGIN_MILLIS && nowMillis < FAULT_END_MILLIS;
            for (int i = 0; i < count; i++) {
                Node node = nodes.get(i);
                boolean isStopped = fault == Fault.REPLACED && hasFault && i % 2 == 0;
                if (isStopped && nowMillis == FAULT_BEGIN_MILLIS) {
                    giveUp(call -> call.node == node);
                    nodes.set(i, null);
                } else if (!isStopped) {
                    nodes.set(i, node == null ? new Node(quota, true) : node);
                    nodes.get(i).advance(arrivalProbability);
                }
            }
            serve(capacity, fault == Fault.DOWN && hasFault, fault == Fault.SLOW && hasFault);
            inFlightByMillis[nowMillis] = inFlight.size();
            total +=
                    inFlightByMillis[nowMillis]
                            - (nowMillis >= QUOTA_WINDOW_MILLIS
                                    ? inFlightByMillis[nowMillis - QUOTA_WINDOW_MILLIS]
                                    : 0);
            maxInFlight = Math.max(maxInFlight, inFlightByMillis[nowMillis]);
            maxMeanInFlight = Math.max(maxMeanInFlight, (double) total / QUOTA_WINDOW_MILLIS);
        }
    }

    private void serve(double capacity, boolean down, boolean slow) {
        List<Call> startedCalls = List.copyOf(newCalls);
        newCalls.clear();
        if (down) {
            startedCalls.forEach(call -> call.end(Outcome.UNREACHABLE));
        } else {
            inFlight.addAll(startedCalls);
        }
        double progress = Math.min(1, capacity / Math.max(1, inFlight.size())) / (slow ? 6 : 1);
        for (Call call : List.copyOf(inFlight)) {
            call.workLeft -= progress;
            boolean givenUp = call.releasedAtMillis < Integer.MAX_VALUE;
            if (down || nowMillis >= call.releasedAtMillis || (!givenUp && call.workLeft <= 0)) {
                inFlight.remove(call);
                served += givenUp || down ? 0 : 1;
                if (!givenUp) {
                    call.end(down ? Outcome.BROKEN : Outcome.OK);
                }
            } else if (!givenUp && nowMillis - call.madeAtMillis >= call.timeoutMillis) {
                call.giveUp();
                call.end(Outcome.TIMED_OUT);
            }
        }
    }

    /**
     * With a quota of at least one call per node, the quotas bound the sum of calls at each moment.
     * With a quota below one, the quotas bound the mean over a window, plus an excess: each node
     * may have one more call at the end of a window, which uses at most half of what its quota
     * allows in a window. The test checks two upper bounds on the mean: {@code total * max(1, 1.5 -
     * quota / 2)}, which allows an excess of one half for a quota near zero, falling to none at one
     * call or more; and {@code total + 2 * sqrt(total) + 2}, whose excess grows with the square
     * root of the sum of the quotas, since not all nodes have their excess call in the same window.
     */
    @ParameterizedTest
    @CsvSource({"20, 0.25", "30, 0.25", "30, 0.6", "20, 1.6", "30, 3.3"})
    void callsOfAllNodesStayWithinTheSumOfTheirQuotas(int count, double quota) {
        double total = count * quota;
        for (Fault fault : Fault.values()) {
            for (double load : new double[] {0.8, 3}) {
                simulate(count, quota, fault, load);
                String description =
                        String.format(
                                Locale.ROOT,
                                "%s at load %.1f: nodes=%d quota_sum=%.1f"
                                        + " max_window_mean=%.2f max_in_flight=%d calls_served=%d",
                                fault,
                                load,
                                count,
                                total,
                                maxMeanInFlight,
                                maxInFlight,
                                served);
                assertThat(served).as(description).isGreaterThan((int) (total * 3));
                assertThat(maxMeanInFlight)
                        .as(description)
                        .isLessThan(total + 2 * Math.sqrt(total) + 2)
                        .isLessThanOrEqualTo(total * Math.max(1, 1.5 - quota / 2));
                assertThat(quota < 1 ? 0 : maxInFlight)
                        .as(description)
                        .isLessThanOrEqualTo((int) total);
            }
        }
    }
}
