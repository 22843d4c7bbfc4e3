package lupinwood.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Nodes of a fleet and nodes without one, side by side under the same load: what belonging to it
 * costs.
 */
final class ClusterOverheadExperiment implements Experiment {
    private static final int VOTERS = 3;
    private static final int EACH = 2;
    private static final int SETTLES_MILLIS = 5000;
    private final long seed;
    private final int seconds;

    ClusterOverheadExperiment(long seed, int seconds) {
        this.seed = seed;
        this.seconds = seconds;
    }

    @Override
    public Outcome run() throws Exception {
        try (ProcessCluster fleet =
                new ProcessCluster(
                        VOTERS,
                        VOTERS + EACH,
                        VOTERS + 2 * EACH,
                        3000,
                        4,
                        true,
                        seed,
                        line -> {})) {
            fleet.startAll();
            Thread.sleep(SETTLES_MILLIS + seconds * 1000L);
            StringBuilder line = new StringBuilder("fleet-on-off: ");
            line.append(reported("voters", fleet.members.subList(0, VOTERS)));
            line.append(reported("members", fleet.members.subList(VOTERS, VOTERS + EACH)));
            line.append(reported("alone", fleet.members.subList(VOTERS + EACH, VOTERS + 2 * EACH)));
            List<String> broken = new ArrayList<>(fleet.leaveAll());
            return new Outcome(
                    line
                            + "tickets "
                            + fleet.count("sent")
                            + ", satisfied "
                            + fleet.count("satisfied")
                            + ", broken "
                            + broken.size(),
                    broken);
        }
    }

    private static String reported(String what, List<ProcessCluster.Member> members) {
        double median = members.stream().mapToDouble(one -> one.took(0.5)).average().orElse(0);
        double tail = members.stream().mapToDouble(one -> one.took(0.99)).average().orElse(0);
        double memory =
                members.stream().mapToLong(one -> one.process.memoryMb()).average().orElse(0);
        double cpu = members.stream().mapToLong(one -> one.process.cpuMillis()).average().orElse(0);
        return String.format(
                Locale.ROOT,
                "%s: median %.2f ms, 99%% %.2f ms, %.0f MB, %.0f ms of core time; ",
                what,
                median,
                tail,
                memory,
                cpu);
    }
}
