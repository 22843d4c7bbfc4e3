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
 * Many nodes, each a AdmissionController of its own that hears of no other, above one made-up
 * dependency on one clock. It shares its slots among the calls in its hands, keeps what was given
 * up for a while, and refuses while down. What all nodes hold in its hands together is reckoned
 * apart from AdmissionController, over each window of the settings.
 */
final class SharedDependencyCallsTest {
    private static final int WINDOW = 5000; // domain.calls_over_ns, here and below in milliseconds
    private static final int LINGER = 200; // domain.linger_ns
    private static final int BEGIN = 6000; // of the trouble
    private static final int END = 10_000;
    private static final int LENGTH = 18_000;

    private enum Trouble {
        COLD_START,
        DOWN,
        SLOW,
        REPLACED
    }

    /** A call in the hands of the dependency, given up or not. */
    private final class Call {
        final Node node;
        final long requestId;
        final int madeAt = now;
        final int cap;
        double left = 100 * Math.exp(chance.nextGaussian() * 0.4);
        int goneAt = Integer.MAX_VALUE; // given up, and out of the hands at this time

        Call(Node node, long requestId) {
            this.node = node;
            this.requestId = requestId;
            cap = (int) (node.machine.caps.get(requestId).nanos() / 1_000_000);
        }

        void giveUp() {
            goneAt = Math.min(goneAt, now + LINGER);
        }

        void end(Outcome outcome) {
            RequestListener handle = node.machine.handles.get(requestId);
            if (!handle.isFinished()) {
                NanoDuration took = NanoDuration.ofSeconds(Math.max(1, now - madeAt) / 1e3);
                node.machine.tell(requestId, reported -> reported.onCallCompleted(outcome, took));
                if (outcome == Outcome.OK) {
                    node.work(requestId);
                }
            }
        }
    }

    private final class Node {
        final RecordingServer machine;
        final Map<Long, Integer> callsLeft = new HashMap<>();
        final TreeMap<Integer, List<Long>> works =
                new TreeMap<>(); // which requests leave the cores when
        final List<Long> failed = new ArrayList<>();

        Node(double share, boolean cold) {
            machine =
                    new RecordingServer()
                            .set(
                                    "domain.cpus=4 domain.calls_out="
                                            + share
                                            + " domain.calls_over_ns="
                                            + WINDOW
                                            + "000000 domain.linger_ns="
                                            + LINGER
                                            + "000000"
                                            + " domain.cold="
                                            + cold
                                            + " rules.cold_share=0.3 rules.ramp_time_ns=9000000000");
            machine.listener = this::heard;
            machine.start();
            machine.pass(now);
        }

        private void heard(String line) {
            String[] words = line.split("[ ,]+", 0);
            switch (words[0]) {
                case "run" -> work(Long.parseLong(words[1]));
                case "fail" -> failed.add(Long.parseLong(words[1]));
                case "call" -> {
                    long requestId = Long.parseLong(words[1]);
                    giveUp(call -> call.node == this && call.requestId == requestId);
                    made.add(new Call(this, requestId));
                }
                default -> {}
            }
        }

        void work(long requestId) {
            works.computeIfAbsent(now + 20 + chance.nextInt(40), at -> new ArrayList<>())
                    .add(requestId);
        }

        void step(double requestsEach) {
            if (chance.nextDouble() < requestsEach) {
                long requestId =
                        machine.arrive(
                                chance.nextInt(5) == 0
                                        ? RecordingServer.UNSAFE
                                        : RecordingServer.SAFE);
                callsLeft.put(requestId, 1 + chance.nextInt(2));
            }
            machine.pass(1);
            List<Long> due =
                    works.isEmpty() || works.firstKey() > now
                            ? List.of()
                            : works.pollFirstEntry().getValue();
            for (long requestId : due) {
                if (!machine.handles.get(requestId).isFinished()) {
                    machine.tell(
                            requestId,
                            callsLeft.merge(requestId, -1, Integer::sum) >= 0
                                    ? RequestListener::onCallNeeded
                                    : handle -> handle.onCompleted(Outcome.OK, NanoDuration.ZERO));
                }
            }
            for (long requestId : failed) {
                if (giveUp(call -> call.node == this && call.requestId == requestId)) {
                    machine.tell(
                            requestId,
                            handle -> handle.onCompleted(Outcome.CANCELLED, NanoDuration.ZERO));
                }
            }
            failed.clear();
            machine.trace.clear();
        }
    }

    private final List<Node> nodes = new ArrayList<>();
    private final List<Call> inHand = new ArrayList<>();
    private final List<Call> made = new ArrayList<>(); // in this millisecond
    private Random chance;
    private int now;
    private int mostAtOnce;
    private double mostOverWindow;
    private int ended;

    private boolean giveUp(Predicate<Call> which) {
        List<Call> calls =
                inHand.stream().filter(call -> call.goneAt > now + LINGER).filter(which).toList();
        calls.forEach(Call::giveUp);
        return !calls.isEmpty();
    }

    private void play(int count, double share, Trouble trouble, double load) {
        chance = new Random(count);
        inHand.clear();
        nodes.clear();
        now = mostAtOnce = ended = 0;
        mostOverWindow = 0;
        for (int i = 0; i < count; i++) {
            nodes.add(new Node(share, trouble == Trouble.COLD_START));
        }
        double slots = count * share / 5;
        double requestsEach = load * slots / 100 / 1.5 / count;
        int[] leased = new int[LENGTH];
        int sum = 0;
        for (; now < LENGTH; now++) {
            boolean struck = now >= BEGIN && now < END;
            for (int i = 0; i < count; i++) {
                Node node = nodes.get(i);
                boolean away = trouble == Trouble.REPLACED && struck && i % 2 == 0;
                if (away && now == BEGIN) {
                    giveUp(call -> call.node == node);
                    nodes.set(i, null);
                } else if (!away) {
                    nodes.set(i, node == null ? new Node(share, true) : node);
                    nodes.get(i).step(requestsEach);
                }
            }
            serve(slots, trouble == Trouble.DOWN && struck, trouble == Trouble.SLOW && struck);
            leased[now] = inHand.size();
            sum += leased[now] - (now >= WINDOW ? leased[now - WINDOW] : 0);
            mostAtOnce = Math.max(mostAtOnce, leased[now]);
            mostOverWindow = Math.max(mostOverWindow, (double) sum / WINDOW);
        }
    }

    private void serve(double slots, boolean down, boolean slow) {
        List<Call> fresh = List.copyOf(made);
        made.clear();
        if (down) {
            fresh.forEach(call -> call.end(Outcome.UNREACHABLE));
        } else {
            inHand.addAll(fresh);
        }
        double pace = Math.min(1, slots / Math.max(1, inHand.size())) / (slow ? 6 : 1);
        for (Call call : List.copyOf(inHand)) {
            call.left -= pace;
            boolean givenUp = call.goneAt < Integer.MAX_VALUE;
            if (down || now >= call.goneAt || (!givenUp && call.left <= 0)) {
                inHand.remove(call);
                ended += givenUp || down ? 0 : 1;
                if (!givenUp) {
                    call.end(down ? Outcome.BROKEN : Outcome.OK);
                }
            } else if (!givenUp && now - call.madeAt >= call.cap) {
                call.giveUp();
                call.end(Outcome.TIMED_OUT);
            }
        }
    }

    /**
     * From a share of one on, the shares bound the sum at each moment. Below one they bound its
     * mean: one window may end within a call more of each node, and that takes at most half of what
     * the share lets through.
     */
    @ParameterizedTest
    @CsvSource({"20, 0.25", "30, 0.25", "30, 0.6", "20, 1.6", "30, 3.3"})
    void whatManyNodesCallTogetherStaysUnderTheSumOfTheirShares(int count, double share) {
        double sum = count * share;
        for (Trouble trouble : Trouble.values()) {
            for (double load : new double[] {0.8, 3}) {
                play(count, share, trouble, load);
                String what =
                        String.format(
                                Locale.ROOT,
                                "%s at load %.1f: %d nodes, a sum of %.1f,"
                                        + " %.2f over a window, %d at once, %d calls served",
                                trouble,
                                load,
                                count,
                                sum,
                                mostOverWindow,
                                mostAtOnce,
                                ended);
                assertThat(ended).as(what).isGreaterThan((int) (sum * 3));
                assertThat(mostOverWindow)
                        .as(what)
                        .isLessThan(sum + 2 * Math.sqrt(sum) + 2)
                        .isLessThanOrEqualTo(sum * Math.max(1, 1.5 - share / 2));
                assertThat(share < 1 ? 0 : mostAtOnce).as(what).isLessThanOrEqualTo((int) sum);
            }
        }
    }
}
