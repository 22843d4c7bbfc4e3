package lupinwood.experiment;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import lupinwood.admission.NanoDuration;
import lupinwood.cluster.DutyName;
import lupinwood.cluster.LeaseTiming;

/** How long a duty is nobody's after its holder went, by how it went, in made-up time. */
final class LeaseHandoverExperiment implements Experiment {
    private enum Way {
        DRAIN,
        KILL,
        STALL,
        CUT,
        KILLED_WITH_THE_LEADER
    }

    private static final double AT = 12;
    private static final double ENDS = 32;
    private static final int VOTERS = 5;
    private static final int NODES = 30;

    /** In leases: past it a duty lies too long. */
    private static final double MOST = 2;

    private final long seed;
    private final int plays;

    LeaseHandoverExperiment(long seed, int plays) {
        this.seed = seed;
        this.plays = plays;
    }

    @Override
    public Outcome run() {
        List<String> broken = new ArrayList<>();
        StringBuilder line =
                new StringBuilder(
                        "hand-overs: leases without a holder (median, longest of " + plays + ")");
        for (Way way : Way.values()) {
            List<Double> gaps = new ArrayList<>();
            for (int i = 0; i < plays; i++) {
                gaps.add(play(way, seed * 1009 + i, broken));
            }
            Collections.sort(gaps);
            double longest = gaps.get(gaps.size() - 1);
            if (longest > MOST) {
                broken.add(way + " left the duty to nobody for " + longest + " leases");
            }
            line.append(
                    String.format(
                            Locale.ROOT,
                            ", %s %.2f %.2f",
                            way.name().toLowerCase(Locale.ROOT).replace('_', '-'),
                            gaps.get(gaps.size() / 2),
                            longest));
        }
        return new Outcome(line + ", broken " + broken.size(), broken);
    }

    private static double play(Way way, long seed, List<String> broken) {
        LeaseTiming timing = LeaseTiming.of(NanoDuration.ofSeconds(3), 0.01);
        SimulatedCluster fleet =
                new SimulatedCluster(
                        VOTERS,
                        NODES - VOTERS,
                        3,
                        timing,
                        0.01,
                        SimulatedCluster.Without.NOTHING,
                        seed);
        fleet.stalls = false;
        fleet.startAll();
        // Each play loses its holder at another place between two heartbeats.
        fleet.time.playUntil(AT + seed % 97 / 97.0);
        SimulatedCluster.Node holder =
                fleet.nodes.stream()
                        .filter(node -> node.holds(DutyName.STATUS_REPORTER))
                        .findFirst()
                        .orElse(null);
        if (holder == null) {
            broken.add("nobody held the duty at first, seed " + seed);
            return 0;
        }
        switch (way) {
            case DRAIN -> holder.leave();
            case KILL -> holder.kill();
            case STALL -> holder.stopFor(ENDS);
            case CUT ->
                    fleet.nodes.forEach(
                            other -> {
                                fleet.links.cut(holder.place, other.place);
                                fleet.links.cut(other.place, holder.place);
                            });
            case KILLED_WITH_THE_LEADER ->
                    fleet.each(node -> node == holder || node.leads(), SimulatedCluster.Node::kill);
        }
        double since = fleet.time.now() / 1e9;
        double gap = 0;
        for (double now = since; now < ENDS; now += 0.01) {
            fleet.time.playUntil(now);
            boolean leased =
                    fleet.nodes.stream()
                            .anyMatch(
                                    node -> node != holder && node.holds(DutyName.STATUS_REPORTER));
            if (leased) {
                break;
            }
            // One that is cut goes on until its lease ends: that is no gap.
            gap += holder.holds(DutyName.STATUS_REPORTER) ? 0 : 0.01;
        }
        broken.addAll(fleet.broken);
        return gap / timing.leaseDuration().seconds();
    }
}
