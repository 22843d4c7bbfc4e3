package lupinwood.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.Random;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.balancing.OutlierLimits;
import lupinwood.balancing.RetryBudget;
import lupinwood.balancing.ServerPool;

/**
 * Four servers in made-up time, of which in turn one fails fast, one is ten times slower and one is
 * dead, under a load that the other three could carry: how much is served in time by the pool, by
 * round robin and by least in hand.
 */
final class BalancingExperiment implements Experiment {
    private static final int SERVERS = 4;
    private static final int SLOTS = 8;
    private static final double WORK = 0.02;
    private static final double PHASE = 15;
    private static final double RESPONSE_TIMEOUT = 1;
    private static final double LOAD = 0.7;
    private static final double LEAST = 0.97;

    /** How a server is chosen. */
    private interface Chooser {
        int send(MonotonicTime now, List<Integer> tried, int[] out);

        default void slow(int server) {}

        default void ended(
                int server,
                ServerPool.AttemptCompletion end,
                NanoDuration took,
                boolean slow,
                MonotonicTime now) {}

        default NanoDuration target() {
            return NanoDuration.ZERO;
        }
    }

    private record Event(MonotonicTime at, long order, Runnable job) {}

    private final long seed;

    BalancingExperiment(long seed) {
        this.seed = seed;
    }

    @Override
    public Outcome run() {
        Result pool =
                new Play(
                                new OfPool(
                                        new ServerPool(
                                                List.of("a", "b", "c", "d"),
                                                OutlierLimits.DEFAULTS,
                                                seed)))
                        .play();
        int[] turn = {0};
        Result robin = new Play((now, tried, out) -> turn[0]++ % SERVERS).play();
        Result least =
                new Play(
                                (now, tried, out) -> {
                                    int best = 0;
                                    for (int i = 1; i < SERVERS; i++) {
                                        best = out[i] < out[best] ? i : best;
                                    }
                                    return best;
                                })
                        .play();
        List<String> broken = new ArrayList<>();
        if (pool.worst() < LEAST) {
            broken.add("in one phase only " + percent(pool.worst()) + " were satisfied");
        }
        if (pool.repeats > pool.firsts * OutlierLimits.DEFAULTS.retryRatio() + 11) {
            broken.add(pool.repeats + " repeats are past the budget");
        }
        return new Outcome(
                "pools: tickets "
                        + pool.firsts
                        + ", pool "
                        + pool
                        + ", round robin "
                        + robin
                        + ", least in hand "
                        + least
                        + ", broken "
                        + broken.size(),
                broken);
    }

    private static String percent(double share) {
        return String.format(Locale.ROOT, "%.1f%%", share * 100);
    }

    private static final class Result {
        private final int[] came = new int[SERVERS];
        private final int[] served = new int[SERVERS];
        private long firsts;
        private long repeats;

        double worst() {
            double worst = 1;
            for (int i = 0; i < SERVERS; i++) {
                worst = Math.min(worst, (double) served[i] / Math.max(1, came[i]));
            }
            return worst;
        }

        @Override
        public String toString() {
            StringBuilder text = new StringBuilder();
            String[] names = {"calm", "failing", "slow", "dead"};
            for (int i = 0; i < SERVERS; i++) {
                text.append(i == 0 ? "" : " ")
                        .append(names[i])
                        .append(' ')
                        .append(percent((double) served[i] / Math.max(1, came[i])));
            }
            return text + " repeats " + percent((double) repeats / firsts);
        }
    }

    private record OfPool(ServerPool pool) implements Chooser {
        @Override
        public int send(MonotonicTime now, List<Integer> tried, int[] out) {
            return pool.acquireServer(now, tried);
        }

        @Override
        public void slow(int server) {
            pool.onAttemptSlow(server);
        }

        @Override
        public void ended(
                int server,
                ServerPool.AttemptCompletion end,
                NanoDuration took,
                boolean slow,
                MonotonicTime now) {
            pool.onAttemptEnded(server, end, took, slow, now);
        }

        @Override
        public NanoDuration target() {
            return pool.slowAttemptThreshold();
        }
    }

    /** One way of choosing, played over all phases. */
    private final class Play {
        private final Chooser chooser;
        private final Random random = new Random(seed);
        private final RetryBudget budget = new RetryBudget(OutlierLimits.DEFAULTS.retryRatio(), 10);
        private final PriorityQueue<Event> queue =
                new PriorityQueue<>(
                        Comparator.comparing(Event::at).thenComparingLong(Event::order));
        private final int[] out = new int[SERVERS];

        /** When each slot of each server is free again. */
        private final double[][] free = new double[SERVERS][SLOTS];

        private final List<SimulatedRequest> waiting = new ArrayList<>();
        private final Result result = new Result();
        private double now;
        private long order;

        private final class SimulatedRequest {
            final double came = now;
            final int phase = (int) Math.min(SERVERS - 1, now / PHASE);
            final List<Integer> tried = new ArrayList<>();
        }

        Play(Chooser chooser) {
            this.chooser = chooser;
        }

        Result play() {
            double rate = LOAD * (SERVERS - 1) * SLOTS / WORK;
            for (double at = 0;
                    at < PHASE * SERVERS;
                    at -= Math.log(1 - random.nextDouble()) / rate) {
                at(
                        at,
                        () -> {
                            result.firsts++;
                            budget.recordFirstAttempt();
                            SimulatedRequest request = new SimulatedRequest();
                            result.came[request.phase]++;
                            send(request);
                        });
            }
            while (!queue.isEmpty()) {
                Event next = queue.poll();
                now = Math.max(now, next.at().nanos() / 1e9);
                next.job().run();
            }
            result.repeats = budget.retries();
            return result;
        }

        private void at(double seconds, Runnable job) {
            queue.add(new Event(time(seconds), order++, job));
        }

        private MonotonicTime time(double seconds) {
            return new MonotonicTime(Math.round(seconds * 1e9));
        }

        private void send(SimulatedRequest request) {
            if (now - request.came > RESPONSE_TIMEOUT) {
                return;
            }
            int server = chooser.send(time(now), request.tried, out);
            if (server < 0) {
                if (waiting.size() < 1000) {
                    waiting.add(request);
                }
                return;
            }
            out[server]++;
            request.tried.add(server);
            double begun = now;
            boolean fails = requestPhaseNow() == 1 && server == 0;
            boolean dead = requestPhaseNow() == 3 && server == 2;
            boolean[] slow = {false};
            boolean[] over = {false};
            double end = fails ? now + 0.001 : dead ? now + 0.0002 : work(server);
            NanoDuration target = chooser.target();
            if (target.isPositive()) {
                at(
                        now + target.seconds(),
                        () -> {
                            if (!over[0]) {
                                slow[0] = true;
                                chooser.slow(server);
                            }
                        });
            }
            at(
                    end,
                    () -> {
                        over[0] = true;
                        out[server]--;
                        chooser.ended(
                                server,
                                fails || dead
                                        ? ServerPool.AttemptCompletion.FAILED
                                        : ServerPool.AttemptCompletion.WELL,
                                NanoDuration.ofSeconds(now - begun),
                                slow[0],
                                time(now));
                        if (fails || dead) {
                            if (now - request.came < RESPONSE_TIMEOUT && budget.tryAcquireRetry()) {
                                send(request);
                            }
                        } else if (now - request.came <= RESPONSE_TIMEOUT) {
                            result.served[request.phase]++;
                        }
                        if (!waiting.isEmpty()) {
                            send(waiting.remove(0));
                        }
                    });
        }

        private int requestPhaseNow() {
            return (int) Math.min(SERVERS - 1, now / PHASE);
        }

        /** When a server's first free slot would have done it. */
        private double work(int server) {
            int first = 0;
            for (int i = 1; i < SLOTS; i++) {
                first = free[server][i] < free[server][first] ? i : first;
            }
            double takes =
                    WORK
                            * (0.5 + random.nextDouble())
                            * (requestPhaseNow() == 2 && server == 1 ? 10 : 1);
            free[server][first] = Math.max(now, free[server][first]) + takes;
            return free[server][first];
        }
    }
}
