package lupinwood.experiment;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/**
 * A release by restarts in made-up time, side by side with other ways: all at once, one by one or
 * in batches by a script that asks nobody, and none at all; a fifth of the nodes dies meanwhile.
 * Told is how much of what was offered was done in time.
 */
final class RolloutStrategiesExperiment implements Experiment {
    /** Of what all nodes can do together, that much is offered. */
    static final double LOAD = 0.85;

    static final double COLD_SPEED = 0.3;
    static final double DEAD_SECONDS = 30;
    private static final double RESTART = 10;
    private static final double WARMS_UP = 6;
    private static final double DIES_AFTER = 150;
    private static final double DYING = 0.2;

    /** As much as the rules allow to be out, by a script that asks nobody who else is out. */
    private static final double BATCH = 0.15;

    private static final int ZONES = 6;

    private final long seed;
    private final int nodes;
    private final String plot;

    /**
     * @param plot where the agreed one is drawn; empty for nowhere
     */
    RolloutStrategiesExperiment(long seed, int nodes, String plot) {
        this.plot = plot;
        this.seed = seed;
        this.nodes = nodes;
    }

    private record RolloutOutcome(double served, double took) {}

    @Override
    public Outcome run() throws IOException {
        List<String> broken = new ArrayList<>();
        double script = nodes * (RESTART + 2);
        double horizon = Math.max(script, 3600);
        Timeline timeline = new Timeline();
        RolloutSimulation play =
                new RolloutSimulation(
                                RolloutSimulation.Kind.GOOD_BY_RESTARTS,
                                nodes,
                                ZONES,
                                seed,
                                text -> {})
                        .dying(DIES_AFTER, DYING)
                        .drawnBy(timeline);
        RolloutSimulation.Played played = play.play();
        if (!plot.isEmpty()) {
            timeline.draw(
                    Path.of(plot),
                    "A release by restarts among "
                            + nodes
                            + " nodes, a fifth of which dies after "
                            + Math.round(DIES_AFTER)
                            + " s");
        }
        play.playUntil(horizon);
        broken.addAll(played.broken());
        if (played.end() != RolloutSimulation.End.DONE) {
            broken.add("it ended as " + played.end() + ": " + played.why());
        }
        RolloutOutcome none = simple(horizon, 0, 0);
        RolloutOutcome atOnce = simple(horizon, nodes, 0);
        RolloutOutcome oneByOne = simple(horizon, 1, RESTART + 2);
        RolloutOutcome batches = simple(horizon, (int) (nodes * BATCH), RESTART + 2);
        double latencyObjective = play.servedShare();
        return new Outcome(
                String.format(
                        Locale.ROOT,
                        "release-ways: nodes %d, over %.0f s with a fifth dying: not done in time"
                                + " %.4f without a release, %.4f agreed (took %.0f s), %.4f one by one (took %.0f s), %.4f in batches by a script (took %.0f s), %.4f all at once (took %.0f s),"
                                + " broken %d",
                        nodes,
                        horizon,
                        1 - none.served(),
                        1 - latencyObjective,
                        played.seconds(),
                        1 - oneByOne.served(),
                        oneByOne.took(),
                        1 - batches.served(),
                        batches.took(),
                        1 - atOnce.served(),
                        atOnce.took(),
                        broken.size()),
                broken);
    }

    /** So many at once, the next so long after that, whatever else is out. */
    private RolloutOutcome simple(double horizon, int atOnce, double every) {
        Random random = new Random(seed);
        double[] backAt = new double[nodes];
        double served = 0;
        double done = 0;
        int next = 0;
        for (double now = 0; now < horizon; now++) {
            int wavesBefore = atOnce > 0 ? next / atOnce : 0;
            boolean turn =
                    atOnce > 0
                            && next < nodes
                            && (every == 0 ? now == 0 : now >= wavesBefore * every);
            for (int i = 0; turn && i < atOnce && next < nodes; i++) {
                backAt[next++] = now + RESTART;
                done = now + RESTART + WARMS_UP;
            }
            double capacity = 0;
            for (int i = 0; i < nodes; i++) {
                if (now == DIES_AFTER && random.nextDouble() < DYING) {
                    backAt[i] = now + DEAD_SECONDS;
                }
                capacity +=
                        now < backAt[i]
                                ? 0
                                : backAt[i] > 0 && now < backAt[i] + WARMS_UP ? COLD_SPEED : 1;
            }
            served += Math.min(nodes * LOAD, capacity);
        }
        return new RolloutOutcome(served / (horizon * nodes * LOAD), done);
    }
}
