package lupinwood.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import lupinwood.admission.MonotonicTime;
import lupinwood.balancing.HealthChecker;
import lupinwood.balancing.OutlierLimits;
import lupinwood.balancing.ServerPool;

/**
 * Many nodes with four servers each in made-up time, of which one dies for a minute: how many
 * requests are spent on the dead one, and how soon after its return each node sends there again,
 * where each tries for itself and where one tries for all.
 */
final class HealthChecksExperiment implements Experiment {
    private static final List<String> SERVERS = List.of("a", "b", "c", "d");
    private static final double DIES = 10;
    private static final double RETURNS = 70;
    private static final double ENDS = 110;
    private static final double EVERY = 0.05;
    private static final double WORK = 0.02;

    /** A word of the consensus group may be as old as a heartbeat. */
    private static final double HEARTBEAT = 1;

    private final long seed;
    private final int nodes;

    HealthChecksExperiment(long seed, int nodes) {
        this.seed = seed;
        this.nodes = nodes;
    }

    private static final class Result {
        private long lost;
        private long later;
        private double lastBack;
        private double meanBack;
        private int back;

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%d on the dead server (%d once all had left it out), back on average after"
                            + " %.1f s, the last after %.1f s",
                    lost,
                    later,
                    meanBack,
                    lastBack);
        }
    }

    @Override
    public Outcome run() {
        Result alone = new Play(false).play();
        Result common = new Play(true).play();
        List<String> broken = new ArrayList<>();
        if (common.later >= alone.later) {
            broken.add("one for all spent no less than each for itself");
        }
        if (common.back < nodes || alone.back < nodes) {
            broken.add("not all nodes went back to a server that is well again");
        }
        return new Outcome(
                "trials: nodes "
                        + nodes
                        + ", each for itself: "
                        + alone
                        + "; one for all: "
                        + common
                        + "; broken "
                        + broken.size(),
                broken);
    }

    /** One way of trying. */
    private final class Play {
        private final boolean inCommon;
        private final Random random = new Random(seed);
        private final SimulatedTime time = new SimulatedTime();
        private final List<ServerPool> pools = new ArrayList<>();
        private final boolean[] isBack = new boolean[nodes];
        private final Result result = new Result();

        Play(boolean inCommon) {
            this.inCommon = inCommon;
        }

        private MonotonicTime now() {
            return new MonotonicTime(time.now());
        }

        Result play() {
            for (int i = 0; i < nodes; i++) {
                ServerPool pool =
                        new ServerPool(SERVERS, OutlierLimits.DEFAULTS, random.nextLong());
                pools.add(pool);
                int place = i;
                if (inCommon) {
                    pool.setHealthChecker(
                            new HealthChecker() {
                                @Override
                                public boolean allowsProbe(String server) {
                                    return place == 0;
                                }

                                @Override
                                public void onProbeResult(String server, boolean well) {
                                    if (place == 0) {
                                        tell(server, well);
                                    }
                                }
                            });
                }
                time.after(EVERY * random.nextDouble(), () -> request(place));
            }
            time.playUntil(ENDS);
            result.meanBack /= Math.max(1, result.back);
            return result;
        }

        /** The others hear of it with their next heartbeats. */
        private void tell(String server, boolean well) {
            MonotonicTime at = now();
            for (ServerPool pool : pools) {
                time.after(
                        HEARTBEAT * random.nextDouble(),
                        () -> pool.onHealthCheckResult(server, well, at, now()));
            }
        }

        private boolean isDead(int server) {
            double seconds = time.now() / 1e9;
            return server == 0 && seconds >= DIES && seconds < RETURNS;
        }

        private void request(int place) {
            time.after(EVERY * (0.5 + random.nextDouble()), () -> request(place));
            ServerPool pool = pools.get(place);
            int server = pool.acquireServer(now(), List.of());
            if (server < 0) {
                return;
            }
            boolean dead = isDead(server);
            if (dead) {
                result.lost++;
                result.later += time.now() / 1e9 > DIES + 5 ? 1 : 0;
            } else if (server == 0 && time.now() / 1e9 >= RETURNS && !isBack[place]) {
                isBack[place] = true;
                double after = time.now() / 1e9 - RETURNS;
                result.back++;
                result.meanBack += after;
                result.lastBack = Math.max(result.lastBack, after);
            }
            double takes = dead ? 0.001 : WORK * (0.5 + random.nextDouble());
            MonotonicTime begun = now();
            time.after(
                    takes,
                    () ->
                            pool.onAttemptEnded(
                                    server,
                                    dead
                                            ? ServerPool.AttemptCompletion.FAILED
                                            : ServerPool.AttemptCompletion.WELL,
                                    now().since(begun),
                                    false,
                                    now()));
        }
    }
}
