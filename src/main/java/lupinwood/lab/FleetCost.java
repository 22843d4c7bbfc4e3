package lupinwood.lab;

import com.google.gson.Gson;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import lupinwood.fleet.DutyName;
import lupinwood.fleet.Rules;
import lupinwood.node.Span;

/** What a fleet says in calm made-up time, by size: messages and bytes a node and second, and hand-overs, of which none has a cause. */
final class FleetCost implements Experiment {
    private static final int VOTERS = 5;
    private static final double SETTLES = 10;
    private final long seed;
    private final List<Integer> sizes;
    private final int seconds;

    FleetCost(long seed, int size, int seconds) {
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
            TimedFleet fleet = new TimedFleet(VOTERS, size - VOTERS, 3, Rules.of(Span.ofSeconds(3), 0.01), 0.01,
                    TimedFleet.Without.NOTHING, seed);
            fleet.stalls = false;
            fleet.weigh(new Gson());
            fleet.startAll();
            fleet.time.playUntil(SETTLES);
            long beats = fleet.beats;
            long bytes = fleet.bytes;
            long calm = fleet.handOvers.size();
            fleet.time.playUntil(SETTLES + seconds);
            double perNode = (double) (fleet.bytes - bytes) / size / seconds;
            first = first == 0 ? perNode : first;
            broken.addAll(fleet.broken);
            long causeless = fleet.handOvers.size() - calm;
            if (causeless > 0) {
                broken.add(causeless + " hand-overs without a cause at " + size + " nodes");
            }
            if (perNode > first * 1.5) {
                broken.add("bytes a node grow with the fleet's size");
            }
            boolean held = fleet.nodes.stream().anyMatch(node -> node.holds(DutyName.TRIAL));
            if (!held) {
                broken.add("nobody holds the duty at " + size + " nodes");
            }
            line.append(String.format(Locale.ROOT, "%d nodes: %.2f beats and %.0f bytes a node and second, joined and held in"
                    + " %.1f s, hand-overs in %d s %d; ", size, (double) (fleet.beats - beats) / size / seconds, perNode,
                    fleet.firstHeld / 1e9, seconds, causeless));
        }
        return new Outcome(line + "broken " + broken.size(), broken);
    }
}
