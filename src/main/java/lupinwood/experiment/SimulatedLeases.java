package lupinwood.experiment;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import lupinwood.admission.NanoDuration;
import lupinwood.cluster.DutyName;
import lupinwood.cluster.LeaseTiming;

/**
 * Many schedules of faults in made-up time: at no time may two nodes do one duty, none of their
 * acts is taken out of order. After them each safeguard is left out in turn, and the audit has to
 * find that.
 */
final class SimulatedLeases implements Experiment {
    private static final double SECONDS = 60;

    /** The bound on drift by turns: as clocks are, and far worse. */
    private static final double[] DRIFTS = {0.02, 0.2};

    private static final NanoDuration LEASE = NanoDuration.ofSeconds(3);

    /**
     * The share of time a duty has to be held in which a majority could talk, over all schedules.
     */
    private static final double MIN_LEASED = 0.6;

    private static final int TRIES = 200;

    private record Played(
            List<String> broken,
            long sampled,
            long leasedNanos,
            List<Double> gaps,
            long acts,
            long refused,
            String schedule) {}

    private final long seed;
    private final int schedules;
    private final PrintStream out;

    /**
     * @param schedules how many; one is played by its own seed, and told in full
     */
    SimulatedLeases(long seed, int schedules, PrintStream out) {
        this.seed = seed;
        this.out = out;
        this.schedules = schedules;
    }

    @Override
    public Outcome run() {
        if (schedules == 1) {
            Played one = play(seed, SimulatedCluster.Without.NOTHING, out::println);
            return new Outcome(
                    "duties-time: "
                            + one.schedule()
                            + ", acts "
                            + one.acts()
                            + ", broken "
                            + one.broken().size(),
                    one.broken());
        }
        List<Played> all =
                IntStream.range(0, schedules)
                        .parallel()
                        .mapToObj(
                                i ->
                                        play(
                                                seed * 1_000_003 + i,
                                                SimulatedCluster.Without.NOTHING,
                                                text -> {}))
                        .toList();
        List<String> broken = new ArrayList<>();
        long sampled = 0;
        long leasedNanos = 0;
        long acts = 0;
        long refused = 0;
        List<Double> gaps = new ArrayList<>();
        for (Played one : all) {
            one.broken()
                    .forEach(what -> broken.add(what + "; to play it again: " + one.schedule()));
            sampled += one.sampled();
            leasedNanos += one.leasedNanos();
            acts += one.acts();
            refused += one.refused();
            gaps.addAll(one.gaps());
        }
        double share = (double) leasedNanos / Math.max(1, sampled);
        if (share < MIN_LEASED) {
            broken.add(
                    String.format(
                            Locale.ROOT, "duties were held for %.3f of the time only", share));
        }
        StringBuilder found = new StringBuilder();
        for (SimulatedCluster.Without without : SimulatedCluster.Without.values()) {
            if (without != SimulatedCluster.Without.NOTHING) {
                int tries = firstFound(without);
                found.append(", without ")
                        .append(without)
                        .append(" found in schedule ")
                        .append(tries);
                if (tries < 0) {
                    broken.add("nothing found without " + without + " in " + TRIES + " schedules");
                }
            }
        }
        Collections.sort(gaps);
        return new Outcome(
                String.format(
                        Locale.ROOT,
                        "duties-time: schedules %d, acts %d, refused by token %d, held %.3f,"
                                + " gaps %d, median %.2f and longest %.2f leases%s, broken %d",
                        schedules,
                        acts,
                        refused,
                        share,
                        gaps.size(),
                        gaps.isEmpty() ? 0 : gaps.get(gaps.size() / 2),
                        gaps.isEmpty() ? 0 : gaps.get(gaps.size() - 1),
                        found,
                        broken.size()),
                broken);
    }

    /** In which schedule what was left out is found, or below zero. */
    private int firstFound(SimulatedCluster.Without without) {
        return IntStream.range(0, TRIES)
                .parallel()
                .filter(i -> !play(seed * 7_000_003 + i, without, text -> {}).broken().isEmpty())
                .findFirst()
                .orElse(-1);
    }

    private static Played play(
            long seed, SimulatedCluster.Without without, Consumer<String> trace) {
        Random random = new Random(seed);
        int voters = random.nextBoolean() ? 3 : 5;
        double drift =
                DRIFTS[
                        without == SimulatedCluster.Without.DRIFT
                                ? 1
                                : random.nextInt(DRIFTS.length)];
        SimulatedCluster fleet =
                new SimulatedCluster(
                        voters,
                        3 + random.nextInt(6),
                        3,
                        LeaseTiming.of(LEASE, drift),
                        drift,
                        without,
                        seed);
        fleet.links.loss = random.nextInt(4) == 0 ? 0.1 * random.nextDouble() : 0;
        fleet.links.repeats = random.nextInt(4) == 0 ? 0.1 : 0;
        fleet.links.more = random.nextInt(4) == 0 ? 0.3 : 0.003;
        fleet.trace = trace;
        fleet.startAll();
        List<String> schedule = new ArrayList<>();
        for (double at = 8; at < SECONDS - 5; at += 2 + random.nextDouble() * 14) {
            fault(fleet, random, at, schedule);
        }
        fleet.time.playUntil(SECONDS);
        return new Played(
                fleet.broken,
                fleet.sampled,
                fleet.leased,
                fleet.gaps,
                fleet.acts,
                fleet.refused,
                "seed " + seed + " " + schedule);
    }

    /** One of the faults, and its end some seconds later. */
    private static void fault(
            SimulatedCluster fleet, Random random, double at, List<String> schedule) {
        int count = fleet.nodes.size();
        SimulatedCluster.Node one = fleet.nodes.get(random.nextInt(count));
        double lasts = 0.5 + random.nextDouble() * 10;
        int kind = random.nextInt(13);
        Runnable begin;
        Runnable end = () -> {};
        switch (kind) {
            case 0 -> begin = () -> one.stopFor(lasts);
            case 1 -> {
                begin = one::kill;
                end = one::start;
            }
            case 2 -> {
                begin = () -> around(fleet, one, true, true);
                end = () -> around(fleet, one, true, false);
            }
            case 3 -> {
                begin = () -> around(fleet, one, false, true);
                end = () -> around(fleet, one, true, false);
            }
            case 4 -> {
                int zone = random.nextInt(3);
                begin = () -> zone(fleet, zone, true);
                end = () -> zone(fleet, zone, false);
            }
            case 5 -> {
                begin = () -> fleet.each(SimulatedCluster.Node::isUp, SimulatedCluster.Node::kill);
                end = () -> fleet.each(node -> !node.isUp(), SimulatedCluster.Node::start);
            }
            case 6 ->
                    begin =
                            () ->
                                    fleet.each(
                                            node -> node.holds(DutyName.HEALTH_CHECK),
                                            node -> node.stopFor(lasts));
            case 7 -> {
                begin =
                        () ->
                                fleet.each(
                                        node -> node.votes && node.place % 2 == 0,
                                        SimulatedCluster.Node::kill);
                end = () -> fleet.each(node -> !node.isUp(), SimulatedCluster.Node::start);
            }
            case 8 -> {
                begin =
                        () ->
                                fleet.each(
                                        node -> node.holds(DutyName.STATUS_REPORTER),
                                        node -> around(fleet, node, true, true));
                end = fleet.links::mendAll;
            }
            case 10 -> {
                begin =
                        () ->
                                fleet.each(
                                        node -> (node.votes && node.leads()) || node == one,
                                        SimulatedCluster.Node::failStorage);
                end =
                        () ->
                                fleet.each(
                                        node -> node.votes,
                                        node -> {
                                            node.kill();
                                            node.start();
                                        });
            }
            case 11 -> {
                begin =
                        () ->
                                fleet.each(
                                        node -> node.holds(DutyName.STATUS_REPORTER),
                                        SimulatedCluster.Node::leave);
                end = () -> fleet.each(node -> !node.isUp(), SimulatedCluster.Node::start);
            }
            case 9 ->
                    begin =
                            () -> {
                                fleet.dieVoting(lasts);
                                fleet.each(
                                        node -> node.votes && node.leads(),
                                        SimulatedCluster.Node::kill);
                                fleet.time.after(
                                        lasts,
                                        () ->
                                                fleet.each(
                                                        node -> !node.isUp(),
                                                        SimulatedCluster.Node::start));
                            };
            default ->
                    begin =
                            () ->
                                    fleet.each(
                                            node -> node.votes,
                                            node -> node.stopFor(lasts * random.nextDouble()));
        }
        schedule.add(
                String.format(Locale.ROOT, "%.2f+%.2f kind %d at %s", at, lasts, kind, one.name));
        fleet.time.after(at, begin);
        fleet.time.after(at + lasts, end);
    }

    /** Cuts or mends what goes out of a node, and where both, what comes in. */
    private static void around(
            SimulatedCluster fleet, SimulatedCluster.Node one, boolean both, boolean cut) {
        for (SimulatedCluster.Node other : fleet.nodes) {
            turn(fleet, one.place, other.place, cut);
            if (both) {
                turn(fleet, other.place, one.place, cut);
            }
        }
    }

    private static void zone(SimulatedCluster fleet, int zone, boolean cut) {
        for (SimulatedCluster.Node one : fleet.nodes) {
            for (SimulatedCluster.Node other : fleet.nodes) {
                if (one.place % 3 == zone && other.place % 3 != zone) {
                    turn(fleet, one.place, other.place, cut);
                    turn(fleet, other.place, one.place, cut);
                }
            }
        }
    }

    private static void turn(SimulatedCluster fleet, int from, int to, boolean cut) {
        if (cut) {
            fleet.links.cut(from, to);
        } else {
            fleet.links.mend(from, to);
        }
    }
}
