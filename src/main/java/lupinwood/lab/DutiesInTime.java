package lupinwood.lab;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import lupinwood.fleet.DutyName;
import lupinwood.fleet.Rules;
import lupinwood.node.Span;

/**
 * Many schedules of faults in made-up time: at no time may two nodes do one duty, none of their
 * acts is taken out of order. After them each safeguard is left out in turn, and the audit has to
 * find that.
 */
final class DutiesInTime implements Experiment {
    private static final double SECONDS = 60;

    /** The bound on drift by turns: as clocks are, and far worse. */
    private static final double[] DRIFTS = {0.02, 0.2};

    private static final Span LEASE = Span.ofSeconds(3);

    /**
     * The share of time a duty has to be held in which a majority could talk, over all schedules.
     */
    private static final double LEAST_HELD = 0.6;

    private static final int TRIES = 200;

    private record Played(
            List<String> broken,
            long sampled,
            long held,
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
    DutiesInTime(long seed, int schedules, PrintStream out) {
        this.seed = seed;
        this.out = out;
        this.schedules = schedules;
    }

    @Override
    public Outcome run() {
        if (schedules == 1) {
            Played one = play(seed, TimedFleet.Without.NOTHING, out::println);
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
                                                TimedFleet.Without.NOTHING,
                                                text -> {}))
                        .toList();
        List<String> broken = new ArrayList<>();
        long sampled = 0;
        long held = 0;
        long acts = 0;
        long refused = 0;
        List<Double> gaps = new ArrayList<>();
        for (Played one : all) {
            one.broken()
                    .forEach(what -> broken.add(what + "; to play it again: " + one.schedule()));
            sampled += one.sampled();
            held += one.held();
            acts += one.acts();
            refused += one.refused();
            gaps.addAll(one.gaps());
        }
        double share = (double) held / Math.max(1, sampled);
        if (share < LEAST_HELD) {
            broken.add(
                    String.format(
                            Locale.ROOT, "duties were held for %.3f of the time only", share));
        }
        StringBuilder found = new StringBuilder();
        for (TimedFleet.Without without : TimedFleet.Without.values()) {
            if (without != TimedFleet.Without.NOTHING) {
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
    private int firstFound(TimedFleet.Without without) {
        return IntStream.range(0, TRIES)
                .parallel()
                .filter(i -> !play(seed * 7_000_003 + i, without, text -> {}).broken().isEmpty())
                .findFirst()
                .orElse(-1);
    }

    private static Played play(long seed, TimedFleet.Without without, Consumer<String> trace) {
        Random random = new Random(seed);
        int voters = random.nextBoolean() ? 3 : 5;
        double drift =
                DRIFTS[without == TimedFleet.Without.DRIFT ? 1 : random.nextInt(DRIFTS.length)];
        TimedFleet fleet =
                new TimedFleet(
                        voters,
                        3 + random.nextInt(6),
                        3,
                        Rules.of(LEASE, drift),
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
                fleet.held,
                fleet.gaps,
                fleet.acts,
                fleet.refused,
                "seed " + seed + " " + schedule);
    }

    /** One of the faults, and its end some seconds later. */
    private static void fault(TimedFleet fleet, Random random, double at, List<String> schedule) {
        int count = fleet.nodes.size();
        TimedFleet.Node one = fleet.nodes.get(random.nextInt(count));
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
                begin = () -> fleet.each(TimedFleet.Node::isUp, TimedFleet.Node::kill);
                end = () -> fleet.each(node -> !node.isUp(), TimedFleet.Node::start);
            }
            case 6 ->
                    begin =
                            () ->
                                    fleet.each(
                                            node -> node.holds(DutyName.TRIAL),
                                            node -> node.stopFor(lasts));
            case 7 -> {
                begin =
                        () ->
                                fleet.each(
                                        node -> node.votes && node.place % 2 == 0,
                                        TimedFleet.Node::kill);
                end = () -> fleet.each(node -> !node.isUp(), TimedFleet.Node::start);
            }
            case 8 -> {
                begin =
                        () ->
                                fleet.each(
                                        node -> node.holds(DutyName.KEEPER),
                                        node -> around(fleet, node, true, true));
                end = fleet.links::mendAll;
            }
            case 10 -> {
                begin =
                        () ->
                                fleet.each(
                                        node -> (node.votes && node.leads()) || node == one,
                                        TimedFleet.Node::failFolder);
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
                                        node -> node.holds(DutyName.KEEPER),
                                        TimedFleet.Node::leave);
                end = () -> fleet.each(node -> !node.isUp(), TimedFleet.Node::start);
            }
            case 9 ->
                    begin =
                            () -> {
                                fleet.dieVoting(lasts);
                                fleet.each(
                                        node -> node.votes && node.leads(), TimedFleet.Node::kill);
                                fleet.time.after(
                                        lasts,
                                        () ->
                                                fleet.each(
                                                        node -> !node.isUp(),
                                                        TimedFleet.Node::start));
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
    private static void around(TimedFleet fleet, TimedFleet.Node one, boolean both, boolean cut) {
        for (TimedFleet.Node other : fleet.nodes) {
            turn(fleet, one.place, other.place, cut);
            if (both) {
                turn(fleet, other.place, one.place, cut);
            }
        }
    }

    private static void zone(TimedFleet fleet, int zone, boolean cut) {
        for (TimedFleet.Node one : fleet.nodes) {
            for (TimedFleet.Node other : fleet.nodes) {
                if (one.place % 3 == zone && other.place % 3 != zone) {
                    turn(fleet, one.place, other.place, cut);
                    turn(fleet, other.place, one.place, cut);
                }
            }
        }
    }

    private static void turn(TimedFleet fleet, int from, int to, boolean cut) {
        if (cut) {
            fleet.links.cut(from, to);
        } else {
            fleet.links.mend(from, to);
        }
    }
}
