package lupinwood.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import lupinwood.admission.NanoDuration;
import lupinwood.cluster.DutyName;
import lupinwood.cluster.LeaseTiming;
import lupinwood.consensus.ClusterJson;

/**
 * What a fleet says in calm made-up time, by size: messages and bytes a node and second, and
 * hand-overs, of which none has a cause.
 */
final class ClusterCostExperiment implements Experiment {
    private static final int VOTERS = 5;
    private static final double SETTLES = 10;
    private static final double CUT_SECONDS = 20;
    private static final double QUARTER = 0.25;

    /** A small fleet swings by itself; a large one has to come back spread. */
    private static final double MAX_LOAD = 3;

    private final long seed;
    private final List<Integer> sizes;
    private final int seconds;

    ClusterCostExperiment(long seed, int size, int seconds) {
        this.seed = seed;
        sizes = size > 0 ? List.of(size) : List.of(12, 100, 300);
        this.seconds = seconds;
    }

    @Override
    public Outcome run() {
        List<String> broken = new ArrayList<>();
        StringBuilder line = new StringBuilder("fleet-cost: ");
        double first = 0;
        for (int size : sizes) {
            SimulatedCluster fleet =
                    new SimulatedCluster(
                            VOTERS,
                            size - VOTERS,
                            3,
                            LeaseTiming.of(NanoDuration.ofSeconds(3), 0.01),
                            0.01,
                            SimulatedCluster.Without.NOTHING,
                            seed);
            fleet.stalls = false;
            fleet.weigh(ClusterJson.gson());
            fleet.startAll();
            fleet.time.playUntil(SETTLES);
            long heartbeats = fleet.heartbeats;
            long bytes = fleet.bytes;
            long baseline = fleet.handOvers.size();
            fleet.time.playUntil(SETTLES + seconds);
            double perNode = (double) (fleet.bytes - bytes) / size / seconds;
            first = first == 0 ? perNode : first;
            broken.addAll(fleet.broken);
            long causeless = fleet.handOvers.size() - baseline;
            if (causeless > 0) {
                broken.add(causeless + " hand-overs without a cause at " + size + " nodes");
            }
            if (perNode > first * 1.5) {
                broken.add("bytes a node grow with the fleet's size");
            }
            double heartbeatsEach = (double) (fleet.heartbeats - heartbeats) / size / seconds;
            double load = loadAfterACut(fleet, size);
            if (load > MAX_LOAD) {
                broken.add(
                        String.format(
                                Locale.ROOT,
                                "after a cut %d nodes came back at %.1f times the calm rate",
                                size,
                                load));
            }
            boolean leased =
                    fleet.nodes.stream().anyMatch(node -> node.holds(DutyName.HEALTH_CHECK));
            if (!leased) {
                broken.add("nobody holds the duty at " + size + " nodes");
            }
            line.append(
                    String.format(
                            Locale.ROOT,
                            "%d nodes: %.2f beats and %.0f bytes a node and second, joined and held in"
                                    + " %.1f s, hand-overs in %d s %d, back after a cut at most %.1f times the calm rate; ",
                            size,
                            heartbeatsEach,
                            perNode,
                            fleet.firstLeased / 1e9,
                            seconds,
                            causeless,
                            load));
        }
        return new Outcome(line + "broken " + broken.size(), broken);
    }

    /**
     * All are cut from the consensus group for some leases; then the most heartbeats in a quarter
     * of a second, beside the calm rate.
     */
    private static double loadAfterACut(SimulatedCluster fleet, int size) {
        for (SimulatedCluster.Node one : fleet.nodes) {
            for (int voter = 0; voter < VOTERS; voter++) {
                if (one.place >= VOTERS) {
                    fleet.links.cut(one.place, voter);
                }
            }
        }
        double now = fleet.time.now() / 1e9 + CUT_SECONDS;
        fleet.time.playUntil(now);
        fleet.links.mendAll();
        long most = 0;
        for (int i = 0; i < 80; i++) {
            long before = fleet.heartbeats;
            now += QUARTER;
            fleet.time.playUntil(now);
            most = Math.max(most, fleet.heartbeats - before);
        }
        // In calm each node has one heartbeat a second, a third of the lease.
        return most / (size * QUARTER);
    }
}
