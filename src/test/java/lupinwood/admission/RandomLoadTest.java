package lupinwood.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Runs random but valid sequences of events and checks four guarantees independently of {@link
 * AdmissionController}: every request is answered before its timeout and before the node stops; an
 * idempotent request runs at most once in its window; nothing that arrives past the grace period of
 * a drain is run; memory, running requests and calls in flight stay within their bounds.
 */
final class RandomLoadTest {
    private static final int CORES = 2;
    private static final double MEMORY_KB = 400;

    /** The state of a request as the node sees it. */
    private static final class TrackedRequest {
        int classIndex;
        long originalId;
        long arrivedAtNanos;
        double memoryKb;
        int runs;
        boolean answered;
        boolean clientGone;
        boolean answeredFromOriginal;
        boolean remembered;

        /** One of queued, running, waiting-to-call, calling and finished. */
        String state = "queued";
    }

    private final List<String> violations = new ArrayList<>();
    private final Map<Long, TrackedRequest> requests = new TreeMap<>();
    private RecordingServer server;
    private Random random;
    private long drainAtNanos;

    @Test
    void guaranteesHoldUnderRandomLoad() {
        for (int seed = 0; seed < 60; seed++) {
            runSeed(seed);
        }
        assertThat(violations).isEmpty();
    }

    private void runSeed(int seed) {
        random = new Random(seed);
        requests.clear();
        drainAtNanos = Long.MAX_VALUE / 2;
        server =
                new RecordingServer()
                        .set("domain.memory_kb=" + (int) MEMORY_KB + " domain.calls_out=3")
                        .set(
                                "domain.cold="
                                        + (seed % 2 == 0)
                                        + " rules.cold_share=0.3 rules.ramp_time_ns=9000000000")
                        .set(
                                "domain.stop_mode="
                                        + (seed % 3 == 0
                                                ? "freeze"
                                                : seed % 3 == 1 ? "discard" : "off"))
                        .set(
                                "domain.class_skip_worth="
                                        + (seed % 4 == 0 ? "0.3,0,0.2,0" : "0,0,0,0"))
                        .start();
        server.actionListener = this::onAction;
        boolean drains = seed % 5 == 0;
        long stopAtNanos = Long.MAX_VALUE / 2;
        for (int step = 0;
                step < 1500 && server.now().nanos() < stopAtNanos - 210_000_000L;
                step++) {
            if (drains && step == 1000) {
                drainAtNanos = server.now().nanos();
                stopAtNanos = drainAtNanos + 3_000_000_000L;
                server.policy.drain(NanoDuration.ofSeconds(3));
                server.policy.decide();
            }
            if (random.nextInt(3) == 0) {
                arrive();
            }
            deliverEvents();
            server.advanceMillis(random.nextInt(step % 300 < 40 ? 200 : 12));
            checkBounds(seed, step);
        }
        server.advanceMillis(
                drains ? (int) ((stopAtNanos - server.now().nanos()) / 1_000_000) : 6000);
        checkBounds(seed, -1);
    }

    private void arrive() {
        TrackedRequest tracked = new TrackedRequest();
        tracked.classIndex = random.nextInt(4);
        tracked.arrivedAtNanos = server.now().nanos();
        tracked.memoryKb = 1 + random.nextInt(12);
        List<Long> remembered =
                requests.keySet().stream().filter(id -> requests.get(id).remembered).toList();
        if (tracked.classIndex == RecordingServer.IDEMPOTENT
                && !remembered.isEmpty()
                && random.nextInt(3) == 0) {
            tracked.originalId = remembered.get(random.nextInt(remembered.size()));
            if (server.now().nanos() - requests.get(tracked.originalId).arrivedAtNanos
                    > 8_000_000_000L) {
                tracked.originalId = 0;
            }
        }
        requests.put(requests.size() + 1L, tracked);
        server.admit(tracked.classIndex, tracked.originalId, tracked.memoryKb, 0);
    }

    /** Sends some requests an event that is possible in their state. */
    private void deliverEvents() {
        for (Map.Entry<Long, TrackedRequest> entry : List.copyOf(requests.entrySet())) {
            TrackedRequest tracked = entry.getValue();
            if (tracked.state.equals("finished") || random.nextInt(12) != 0) {
                continue;
            }
            long id = entry.getKey();
            if (tracked.state.equals("running")) {
                if (tracked.classIndex != RecordingServer.LOCAL
                        && !tracked.answered
                        && !tracked.clientGone
                        && random.nextBoolean()) {
                    tracked.state = "waiting-to-call";
                    server.deliver(id, RequestListener::onCallNeeded);
                } else {
                    end(
                            id,
                            tracked,
                            tracked.answered || tracked.clientGone
                                    ? Outcome.CANCELLED
                                    : random.nextInt(8) == 0 ? Outcome.ERROR : Outcome.OK);
                }
            } else if (tracked.state.equals("calling")) {
                Outcome outcome = List.of(Outcome.values()).get(random.nextInt(6));
                tracked.state = outcome == Outcome.OK ? "running" : "waiting-to-call";
                server.deliver(
                        id,
                        listener -> listener.onCallCompleted(outcome, NanoDuration.ofSeconds(0.1)));
            } else if (tracked.answeredFromOriginal && random.nextInt(3) == 0) {
                end(id, tracked, Outcome.OK);
            } else if (!tracked.answered && random.nextInt(20) == 0) {
                tracked.clientGone = true;
                tracked.state = tracked.state.equals("queued") ? "finished" : tracked.state;
                server.deliver(id, RequestListener::onClientGone);
                if (tracked.state.equals("waiting-to-call")) {
                    end(id, tracked, Outcome.CANCELLED);
                }
            }
        }
    }

    private void end(long id, TrackedRequest tracked, Outcome outcome) {
        tracked.answered = true;
        tracked.state = "finished";
        server.deliver(id, listener -> listener.onCompleted(outcome, NanoDuration.ZERO));
    }

    private void onAction(String line) {
        String[] words = line.split("[ ,]+", 0);
        if (words[0].equals("log") || words[0].equals("health") || words[0].equals("release")) {
            return;
        }
        boolean endsWithId = words[words.length - 1].matches("\\d+");
        TrackedRequest tracked =
                requests.get(Long.parseLong(words[endsWithId ? words.length - 1 : 1]));
        switch (words[0]) {
            case "run" -> {
                tracked.runs++;
                tracked.state = "running";
                expect(tracked.runs == 1, line + " a second time");
                expect(!tracked.answered && !tracked.clientGone, line + " after its answer");
                expect(
                        tracked.originalId == 0 || requests.get(tracked.originalId).runs == 0,
                        line + " although its original ran");
                expect(
                        tracked.arrivedAtNanos - 1_000_000_000L <= drainAtNanos,
                        line + " past the drain grace period");
            }
            case "reject", "fail" -> {
                expect(!tracked.answered && !tracked.clientGone, line + " after its final answer");
                expect(!words[0].equals("reject") || tracked.runs == 0, line + " after its run");
                tracked.answered = true;
                tracked.state = tracked.state.equals("running") ? "running" : "finished";
            }
            case "call" -> tracked.state = "calling";
            case "skip" -> tracked.state = "running";
            case "answer" -> tracked.answeredFromOriginal = true;
            case "remember" -> tracked.remembered = true;
            case "forget" -> {
                tracked.remembered = false;
                expect(tracked.runs == 0, line + " although it ran");
            }
            default -> {}
        }
    }

    private void checkBounds(int seed, int step) {
        long now = server.now().nanos();
        double memoryKb = 0;
        int running = 0;
        int calls = 0;
        for (Map.Entry<Long, TrackedRequest> entry : requests.entrySet()) {
            TrackedRequest tracked = entry.getValue();
            boolean isDue =
                    now > tracked.arrivedAtNanos + 5_000_000_000L
                            || now >= drainAtNanos + 3_000_000_000L;
            expect(
                    !isDue || tracked.answered || tracked.clientGone,
                    entry.getKey() + " is unanswered");
            memoryKb +=
                    tracked.state.equals("finished")
                            ? 0
                            : tracked.memoryKb * (tracked.runs > 0 ? 4 : 1);
            memoryKb += tracked.remembered && now < tracked.arrivedAtNanos + 8_000_000_000L ? 1 : 0;
            running += tracked.state.equals("running") ? 1 : 0;
            calls += tracked.state.equals("calling") ? 1 : 0;
        }
        expect(memoryKb <= MEMORY_KB, "memory in kilobytes: " + memoryKb);
        expect(running <= CORES * 5, "running requests: " + running);
        expect(calls <= 3, "calls in flight: " + calls);
        if (!violations.isEmpty()) {
            violations.add("seed " + seed + ", step " + step);
            throw new AssertionError(violations);
        }
    }

    private void expect(boolean isMet, String violation) {
        if (!isMet) {
            violations.add(violation);
        }
    }
}
