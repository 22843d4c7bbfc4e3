package lupinwood.experiment;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import lupinwood.log.Log;

/**
 * Duties among real processes, with faults between them by a schedule that the seed makes: the
 * auditor counts at the sockets, and never finds an act under two tokens, one taken out of order,
 * or a request that broke a rule.
 */
final class LeaseFaultsExperiment implements Experiment {
    private static final int VOTERS = 3;
    private static final long LEASE_MILLIS = 3000;
    private static final int LATE_MILLIS = 4500;
    private static final int REQUESTS_EVERY = 25;
    private static final int FULL_LOAD_EVERY = 5;
    private static final long HOUR_MILLIS = 3_600_000;
    private static final double MIN_LEASED = 0.5;

    private interface Job {
        void run() throws IOException, InterruptedException;
    }

    /**
     * What a run may be, beside the usual; in the last two what the acts reach refuses nothing, so
     * early stops alone hold.
     */
    enum Kind {
        USUAL,
        NO_FAULT,
        NO_TOKEN,
        LATE,
        NO_EARLY_STOP
    }

    private record Fault(double at, double lasts, String what, Job begin, Job end) {}

    private final long seed;
    private final int nodes;
    private final int seconds;
    private final List<String> wrong = new ArrayList<>();
    private final Kind kind;
    private final Log log;

    /**
     * @param seconds how long, beside the start and the end
     * @param kind a safeguard may be left out, to show that the audit finds it, or all faults
     */
    LeaseFaultsExperiment(long seed, int nodes, int seconds, Kind kind, Log log) {
        this.kind = kind;
        this.seed = seed;
        this.nodes = nodes;
        this.seconds = seconds;
        this.log = log;
    }

    @Override
    public Outcome run() throws Exception {
        List<String> broken = new ArrayList<>();
        try (ProcessCluster fleet =
                new ProcessCluster(
                        VOTERS,
                        nodes,
                        LEASE_MILLIS,
                        kind == Kind.NO_FAULT ? FULL_LOAD_EVERY : REQUESTS_EVERY,
                        kind.compareTo(Kind.NO_TOKEN) < 0,
                        seed,
                        log::line)) {
            if (kind == Kind.NO_EARLY_STOP) {
                fleet.members.forEach(
                        member -> member.process.wrong(List.of("--without-early-stop")));
            }
            fleet.startAll();
            await(fleet, 30);
            List<Fault> faults = schedule(fleet);
            String reported =
                    faults.stream()
                            .map(
                                    one ->
                                            String.format(
                                                    Locale.ROOT,
                                                    "%.1f+%.1f %s",
                                                    one.at(),
                                                    one.lasts(),
                                                    one.what()))
                            .toList()
                            .toString();
            log.line("schedule: " + reported);
            double leased = play(fleet, faults);
            broken.addAll(fleet.leaveAll());
            broken.addAll(wrong);
            if (kind == Kind.NO_FAULT && fleet.sink.handOvers() > 0) {
                broken.add(fleet.sink.handOvers() + " hand-overs without a cause");
            }
            if (fleet.sink.acts() == 0) {
                broken.add("nobody ever held the duty");
            } else if (leased < MIN_LEASED) {
                broken.add(
                        String.format(
                                Locale.ROOT, "the duty was done in %.2f of the time only", leased));
            }
            if (!broken.isEmpty()) {
                broken.add("the schedule was " + reported);
            }
            return new Outcome(
                    String.format(
                            Locale.ROOT,
                            "duties: nodes %d, faults %d, %s, done in %.3f of the time, tickets %d,"
                                    + " satisfied %d, bounced %d, abandoned %d, excused %d, broken %d",
                            nodes,
                            faults.size(),
                            fleet.sink.line(LEASE_MILLIS),
                            leased,
                            fleet.count("sent"),
                            fleet.count("satisfied"),
                            fleet.count("bounced"),
                            fleet.count("abandoned"),
                            fleet.count("excused"),
                            broken.size()),
                    broken);
        }
    }

    private static void await(ProcessCluster fleet, int within) throws InterruptedException {
        for (int i = 0; i < within * 20 && fleet.sink.acts() == 0; i++) {
            Thread.sleep(50);
        }
    }

    private List<Fault> schedule(ProcessCluster fleet) {
        Random random = new Random(seed);
        List<Fault> faults = new ArrayList<>();
        for (double at = 2;
                at < seconds - 8 && kind != Kind.NO_FAULT;
                at += 3 + random.nextDouble() * 5) {
            faults.add(kind.compareTo(Kind.LATE) >= 0 ? late(fleet, at) : fault(fleet, random, at));
        }
        return faults;
    }

    /** One at a time: each ends before the next begins to count, or overlaps it by chance. */
    private Fault fault(ProcessCluster fleet, Random random, double at) {
        double lasts = 0.5 + random.nextDouble() * 6;
        ProcessCluster.Member one = fleet.members.get(random.nextInt(nodes));
        ProcessCluster.Member[] holder = new ProcessCluster.Member[1];
        return switch (random.nextInt(15)) {
            case 0 ->
                    new Fault(
                            at,
                            lasts,
                            "the holder is stopped",
                            () -> {
                                holder[0] = holder(fleet, one);
                                stop(holder[0]);
                            },
                            () -> goOn(holder[0]));
            case 1 ->
                    new Fault(
                            at,
                            lasts,
                            "the holder is killed",
                            () -> {
                                holder[0] = holder(fleet, one);
                                holder[0].kill();
                            },
                            () -> holder[0].start());
            case 2 ->
                    new Fault(
                            at,
                            lasts,
                            "the holder is cut from the council",
                            () -> {
                                holder[0] = holder(fleet, one);
                                fleet.link(holder[0], FaultProxy::cut);
                            },
                            () -> fleet.link(holder[0], FaultProxy::mend));
            case 3 ->
                    new Fault(
                            at,
                            lasts,
                            "the holder is cut from what it acts on",
                            () -> {
                                holder[0] = holder(fleet, one);
                                holder[0].toSink.cut();
                            },
                            () -> holder[0].toSink.mend());
            case 4 ->
                    new Fault(
                            at,
                            lasts,
                            "what " + one.process.name() + " hears of the council is lost",
                            () -> fleet.link(one, link -> link.swallow(false, true)),
                            () -> fleet.link(one, FaultProxy::mend));
            case 5 ->
                    new Fault(
                            at,
                            lasts,
                            "zone " + one.place % ProcessCluster.ZONES + " is cut off",
                            () ->
                                    fleet.zone(
                                            one.place % ProcessCluster.ZONES,
                                            VOTERS,
                                            FaultProxy::cut),
                            () ->
                                    fleet.zone(
                                            one.place % ProcessCluster.ZONES,
                                            VOTERS,
                                            FaultProxy::mend));
            case 6 -> {
                ProcessCluster.Member voter = fleet.members.get(random.nextInt(VOTERS));
                boolean forgets = random.nextInt(3) == 0;
                yield new Fault(
                        at,
                        lasts,
                        voter.process.name()
                                + " is killed"
                                + (forgets ? ", and its folder lost" : ""),
                        () -> {
                            voter.kill();
                            if (forgets) {
                                voter.process.forgetDirectory();
                            }
                        },
                        voter::start);
            }
            case 8 ->
                    new Fault(
                            at,
                            lasts,
                            one.process.name() + " is told to leave",
                            () -> leaves(one),
                            one::start);
            case 9 ->
                    new Fault(
                            at,
                            lasts + 4,
                            "two voters are killed, and "
                                    + one.process.name()
                                    + " is told to leave",
                            () -> {
                                fleet.members.get(0).kill();
                                fleet.members.get(1).kill();
                                leaves(one);
                            },
                            () -> {
                                fleet.members.get(0).start();
                                fleet.members.get(1).start();
                                one.start();
                            });
            case 7 ->
                    new Fault(
                            at,
                            lasts + 4,
                            "the holder's acts arrive late, and it is cut from the council",
                            () -> {
                                holder[0] = holder(fleet, one);
                                holder[0].slow(lasts + 4, LATE_MILLIS);
                                Thread.sleep(LEASE_MILLIS / 6);
                                fleet.link(holder[0], FaultProxy::cut);
                            },
                            () -> {
                                fleet.link(holder[0], FaultProxy::mend);
                                holder[0].toSink.mend();
                            });
            case 11 -> {
                ProcessCluster.Member voter = fleet.members.get(random.nextInt(VOTERS));
                yield new Fault(
                        at,
                        lasts + 4,
                        voter.process.name() + "'s folder is full",
                        () -> voter.process.fillDisk(4096),
                        () -> {
                            voter.kill();
                            voter.start();
                        });
            }
            case 12 -> {
                ProcessCluster.Member voter = fleet.members.get(random.nextInt(VOTERS));
                yield new Fault(
                        at,
                        lasts + 4,
                        voter.process.name() + " comes back with a folder that is slow",
                        () -> voter.startWrong(0, List.of("--sync-takes-ms", "300")),
                        () -> voter.startWrong(0, List.of()));
            }
            case 13 -> {
                long off = random.nextBoolean() ? HOUR_MILLIS : -HOUR_MILLIS;
                yield new Fault(
                        at,
                        lasts + 4,
                        one.process.name() + " comes back with its wall clock an hour off",
                        () -> one.startWrong(off, List.of("--shift-ms", Long.toString(off))),
                        () -> one.startWrong(0, List.of()));
            }
            case 14 ->
                    new Fault(
                            at,
                            lasts + 4,
                            one.process.name() + " comes back an hour behind, and its clock steps",
                            () ->
                                    one.startWrong(
                                            0,
                                            List.of(
                                                    "--shift-ms",
                                                    "-" + HOUR_MILLIS,
                                                    "--step-after-ms",
                                                    "3000")),
                            () -> one.startWrong(0, List.of()));
            default ->
                    new Fault(
                            at,
                            lasts,
                            "all links of " + one.process.name() + " are slow",
                            () -> fleet.link(one, link -> link.delay(150)),
                            () -> fleet.link(one, FaultProxy::mend));
        };
    }

    /** The consensus group's word comes to the holder late, and then not at all. */
    private static Fault late(ProcessCluster fleet, double at) {
        ProcessCluster.Member[] holder = new ProcessCluster.Member[1];
        return new Fault(
                at,
                LEASE_MILLIS / 1000.0 * 4,
                "the holder hears the council late, and then not at all",
                () -> {
                    holder[0] = holder(fleet, fleet.members.get(0));
                    fleet.link(holder[0], link -> link.delayBack((int) (LEASE_MILLIS * 0.7)));
                    Thread.sleep(2 * LEASE_MILLIS);
                    fleet.link(holder[0], link -> link.swallow(true, false));
                },
                () -> fleet.link(holder[0], FaultProxy::mend));
    }

    private static ProcessCluster.Member holder(
            ProcessCluster fleet, ProcessCluster.Member otherwise) {
        String name = fleet.sink.holder();
        return name.isEmpty() ? otherwise : fleet.members.get(Integer.parseInt(name.substring(1)));
    }

    private static void stop(ProcessCluster.Member member)
            throws IOException, InterruptedException {
        member.stalled();
        member.process.stop();
    }

    /** It goes by itself and in good order, whatever the consensus group can do. */
    private void leaves(ProcessCluster.Member member) throws InterruptedException {
        String what = member.process.isStopped() ? null : member.leaves();
        if (what != null) {
            wrong.add(what);
        }
    }

    private static void goOn(ProcessCluster.Member member)
            throws IOException, InterruptedException {
        member.process.goOn();
        Thread.sleep(50);
        member.goesOn();
    }

    /** The share of time in which the duty was done lately. */
    private double play(ProcessCluster fleet, List<Fault> faults)
            throws IOException, InterruptedException {
        long begun = System.currentTimeMillis();
        List<Fault> waiting = new ArrayList<>(faults);
        List<Fault> open = new ArrayList<>();
        int looks = 0;
        int done = 0;
        for (double now = 0; now < seconds; now = (System.currentTimeMillis() - begun) / 1000.0) {
            if (!waiting.isEmpty() && waiting.get(0).at() <= now) {
                Fault next = waiting.remove(0);
                log.line(
                        String.format(
                                Locale.ROOT,
                                "at %.1f s for %.1f s: %s",
                                now,
                                next.lasts(),
                                next.what()));
                next.begin().run();
                open.add(next);
            }
            for (Fault over :
                    open.stream()
                            .filter(
                                    one ->
                                            one.at() + one.lasts()
                                                    <= (System.currentTimeMillis() - begun)
                                                            / 1000.0)
                            .toList()) {
                over.end().run();
                open.remove(over);
            }
            if (fleet.members.subList(0, VOTERS).stream()
                                    .filter(
                                            voter ->
                                                    voter.process.isUp()
                                                            && !voter.process.isStopped())
                                    .count()
                            * 2
                    > VOTERS) {
                looks++; // a majority could talk, cuts apart
            } else {
                Thread.sleep(20);
                continue;
            }
            done += System.currentTimeMillis() - fleet.sink.latest() < LEASE_MILLIS / 2 ? 1 : 0;
            Thread.sleep(20);
        }
        for (Fault over : open) {
            over.end().run();
        }
        for (ProcessCluster.Member member : fleet.members) {
            fleet.link(member, FaultProxy::mend);
            member.toSink.mend();
            if (!member.process.isUp()) {
                member.start();
            }
        }
        Thread.sleep(3 * LEASE_MILLIS);
        return (double) done / Math.max(1, looks);
    }
}
