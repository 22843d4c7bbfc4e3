package lupinwood.experiment;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

/**
 * Many releases in made-up time, good and bad by kinds: which are caught, how fast, and which good
 * ones are stopped in error.
 */
final class SimulatedRollouts implements Experiment {
    /** Good releases that may be stopped in error, and bad ones that may get through, as shares. */
    private static final double MOST_IN_ERROR = 0.05;

    private static final int TRIES = 10;
    private static final double MOST_MISSED = 0.10;

    private record One(
            RolloutSimulation.Kind kind, int nodes, RolloutSimulation.Played played, long seed) {}

    private final long seed;
    private final int rollouts;
    private final PrintStream out;

    /**
     * @param rollouts how many; one is played by its own seed, and told in full
     */
    SimulatedRollouts(long seed, int rollouts, PrintStream out) {
        this.seed = seed;
        this.rollouts = rollouts;
        this.out = out;
    }

    @Override
    public Outcome run() {
        List<One> all =
                IntStream.range(0, rollouts)
                        .parallel()
                        .mapToObj(i -> one(rollouts == 1 ? seed : seed * 1_000_003 + i))
                        .toList();
        List<String> broken = new ArrayList<>();
        Map<RolloutSimulation.Kind, List<One>> kinds = new EnumMap<>(RolloutSimulation.Kind.class);
        all.forEach(one -> kinds.computeIfAbsent(one.kind(), none -> new ArrayList<>()).add(one));
        int good = 0;
        int inError = 0;
        int bad = 0;
        int missed = 0;
        int unsure = 0;
        for (Map.Entry<RolloutSimulation.Kind, List<One>> entry : kinds.entrySet()) {
            List<One> plays = entry.getValue();
            long done =
                    plays.stream()
                            .filter(one -> one.played().end() == RolloutSimulation.End.DONE)
                            .count();
            long stopped = plays.stream().filter(one -> one.played().caughtAt() >= 0).count();
            out.println(
                    String.format(
                            Locale.ROOT,
                            "%-22s %3d played, %3d done, %3d stopped, after %4.0f s and at %2.0f%% of the"
                                    + " nodes in the median, took %5.0f s",
                            entry.getKey(),
                            plays.size(),
                            done,
                            stopped,
                            median(plays, one -> one.played().caughtAt()),
                            100 * median(plays, one -> one.played().hadIt()),
                            median(plays, one -> one.played().seconds())));
            for (One one : plays) {
                RolloutSimulation.Played played = one.played();
                played.broken().forEach(what -> broken.add(what + " (seed " + one.seed() + ")"));
                boolean error =
                        one.kind().good
                                ? played.end() != RolloutSimulation.End.DONE
                                : played.caughtAt() < 0;
                if (error) {
                    out.println(
                            "    seed "
                                    + one.seed()
                                    + ", "
                                    + one.nodes()
                                    + " nodes: "
                                    + played.end()
                                    + ", "
                                    + played.why());
                }
                good += one.kind().good ? 1 : 0;
                boolean notSure =
                        error
                                && one.kind().good
                                && played.why().contains("canary analysis is inconclusive");
                unsure += notSure ? 1 : 0;
                inError += one.kind().good && error && !notSure ? 1 : 0;
                bad += one.kind().good ? 0 : 1;
                missed += !one.kind().good && error ? 1 : 0;
            }
        }
        StringBuilder found = new StringBuilder();
        for (RolloutSimulation.Without without :
                rollouts > 1
                        ? RolloutSimulation.Without.values()
                        : new RolloutSimulation.Without[0]) {
            if (without != RolloutSimulation.Without.NOTHING) {
                int tries = firstFound(without);
                found.append(", without ").append(without).append(" found in play ").append(tries);
                if (tries < 0) {
                    broken.add("nothing found without " + without + " in " + TRIES + " plays");
                }
            }
        }
        if (rollouts > 1 && inError > MOST_IN_ERROR * good) {
            broken.add(inError + " of " + good + " good releases were stopped");
        }
        if (rollouts > 1 && missed > MOST_MISSED * bad) {
            broken.add(missed + " of " + bad + " bad releases went through");
        }
        return new Outcome(
                String.format(
                        Locale.ROOT,
                        "releases-time: good %d, stopped in error %d, halted as not sure %d, bad %d, missed %d%s, broken %d",
                        good,
                        inError,
                        unsure,
                        bad,
                        missed,
                        found,
                        broken.size()),
                broken);
    }

    private static double median(List<One> plays, ToDoubleFunction<One> of) {
        List<Double> values =
                new ArrayList<>(
                        plays.stream()
                                .filter(one -> of.applyAsDouble(one) >= 0)
                                .map(of::applyAsDouble)
                                .toList());
        Collections.sort(values);
        return values.isEmpty() ? 0 : values.get(values.size() / 2);
    }

    /** In which play what was left out is found, or below zero; each by a release that shows it. */
    private int firstFound(RolloutSimulation.Without without) {
        RolloutSimulation.Kind kind =
                switch (without) {
                    case PERMITS -> RolloutSimulation.Kind.GOOD_BY_RESTARTS;
                    case WATCH -> RolloutSimulation.Kind.BAD_AT_ONCE;
                    case TOKEN -> RolloutSimulation.Kind.GOOD_ROLLOUT_CONTROLLER_DIES;
                    default -> RolloutSimulation.Kind.REFUSED_BY_ONE;
                };
        for (int i = 0; i < TRIES; i++) {
            RolloutSimulation.Played played =
                    new RolloutSimulation(kind, 40, 4, seed * 7_000_003 + i, text -> {})
                            .without(without)
                            .play();
            if (!played.broken().isEmpty()
                    || (!kind.good && played.end() == RolloutSimulation.End.DONE)) {
                return i;
            }
        }
        return -1;
    }

    private One one(long ofSeed) {
        Random random = new Random(new Random(ofSeed).nextLong() ^ ofSeed * 0x9E3779B97F4A7C15L);
        RolloutSimulation.Kind kind =
                List.of(RolloutSimulation.Kind.values())
                        .get(random.nextInt(RolloutSimulation.Kind.values().length));
        int zones = 2 + random.nextInt(4);
        int nodes = zones * (3 + random.nextInt(random.nextBoolean() ? 5 : 40));
        return new One(
                kind,
                nodes,
                new RolloutSimulation(
                                kind,
                                nodes,
                                zones,
                                random.nextLong(),
                                rollouts == 1 ? out::println : text -> {})
                        .play(),
                ofSeed);
    }
}
