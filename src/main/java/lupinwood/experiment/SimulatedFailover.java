package lupinwood.experiment;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Ways to choose among places, side by side in made-up time, with the same faults. */
final class SimulatedFailover implements Experiment {
    private static final double LOAD = 0.55;

    /**
     * How far the planned way may lie under the one that knows the truth, in parts of all requests.
     */
    private static final double MOST_UNDER = 0.06;

    private final long seed;
    private final int nodes;

    SimulatedFailover(long seed, int nodes) {
        this.seed = seed;
        this.nodes = nodes;
    }

    @Override
    public Outcome run() {
        Map<FailoverSimulation.Way, FailoverSimulation.Played> all =
                new EnumMap<>(FailoverSimulation.Way.class);
        Arrays.stream(FailoverSimulation.Way.values())
                .parallel()
                .forEach(
                        way -> {
                            FailoverSimulation.Played played =
                                    new FailoverSimulation(way, nodes, LOAD, seed).play();
                            synchronized (all) {
                                all.put(way, played);
                            }
                        });
        List<String> broken = new ArrayList<>();
        StringBuilder line = new StringBuilder("failover-time: nodes " + nodes);
        all.forEach(
                (way, played) -> {
                    line.append(
                            String.format(
                                    Locale.ROOT,
                                    ", %s in time %.4f near %.3f broke %d most %.2f",
                                    way.name().toLowerCase(Locale.ROOT).replace('_', '-'),
                                    played.inTime(),
                                    played.near(),
                                    played.broke(),
                                    played.mostOver()));
                    played.broken().forEach(what -> broken.add(way + ": " + what));
                });
        FailoverSimulation.Played planned = all.get(FailoverSimulation.Way.PLANNED);
        line.append(
                String.format(
                        Locale.ROOT,
                        "; plans %d of %.0f characters",
                        planned.plans(),
                        planned.planBytes()));
        if (planned.broke() > 0) {
            broken.add("a place broke under the plan");
        }
        if (planned.inTime() < all.get(FailoverSimulation.Way.TRUTH).inTime() - MOST_UNDER) {
            broken.add("the plan lies too far under the truth");
        }
        return new Outcome(line + ", broken " + broken.size(), broken);
    }
}
