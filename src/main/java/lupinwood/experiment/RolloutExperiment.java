package lupinwood.experiment;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lupinwood.admission.NanoDuration;
import lupinwood.cluster.NodeName;
import lupinwood.cluster.Rollout;
import lupinwood.consensus.ClusterQuery;
import lupinwood.consensus.RaftReplica;
import lupinwood.load.SharedConfig;
import lupinwood.log.Log;
import lupinwood.net.NodeConfig;

/**
 * Releases through real processes under request load, good and bad ones by turns, each with a fault
 * in the middle. The auditor reads what processes do and log: who is out, who runs what, and when;
 * a supervisor starts again what went.
 */
final class RolloutExperiment implements Experiment {
    /** What is released. */
    private enum What {
        GOOD_TEXT,
        BAD_TEXT,
        RESTARTING_TEXT,
        PROGRAM,
        BAD_PROGRAM,
        REFUSED_TEXT
    }

    /** What happens once the first nodes have it. */
    private enum Fault {
        NOTHING,
        ROLLOUT_CONTROLLER_DIES,
        ROLLOUT_CONTROLLER_STALLS,
        ZONE_CUT,
        HALTED_FOR_A_WHILE,
        SECOND_ROLLOUT_REQUESTED,
        NO_MAJORITY,
        NODE_DIES
    }

    private static final int VOTERS = 3;
    private static final long LEASE_MILLIS = 1500;
    private static final int REQUESTS_EVERY = 30;
    private static final String RULES = "release { watch 4s; watch-most 30s; harm 8% }\n";

    /** A quote works twice as long, which no bad text gives it. */
    private static final long WORK_MILLIS = 15;

    private static final long LONGEST_MILLIS = 150_000;

    /** A node hears of a halt no later than with a heartbeat, and what it began by then it ends. */
    private static final long HALT_BOUND_MILLIS = 2 * LEASE_MILLIS + 4000;

    private static final Pattern RUNS =
            Pattern.compile(
                    "^(n\\d+): .*fleet: (?:shared configuration applied|starts with)"
                            + " (?:(?:digest=|the text )(\\w+)|own-files-only=true|its own)");
    private static final Pattern GOES =
            Pattern.compile("^(n\\d+): .*fleet: leaving under disruption permit=(\\d+)");

    private final long seed;
    private final int nodes;
    private final int rounds;
    private final Log log;
    private final Log quiet = new Log(new PrintStream(new ByteArrayOutputStream()), Instant::now);
    private final List<String> broken = new ArrayList<>();
    private final Map<String, String> runs = new ConcurrentHashMap<>();
    private final Map<String, Long> goneByPermit = new ConcurrentHashMap<>();
    private final Map<String, Integer> ends = new TreeMap<>();
    private final Random random;
    private final String plot;
    private final Timeline timeline = new Timeline();
    private final long begun = System.currentTimeMillis();
    private ProcessCluster fleet;
    private String good = "";
    private volatile String from = "";
    private volatile String to = "";
    private volatile long haltedAt;
    private volatile boolean over;
    private final Set<String> paused = ConcurrentHashMap.newKeySet();
    private int orders;
    private int mostOut;
    private int went;

    /**
     * @param plot where it is drawn; empty for nowhere
     */
    RolloutExperiment(long seed, int nodes, int rounds, String plot, Log log) {
        this.plot = plot;
        this.seed = seed;
        this.nodes = nodes;
        this.rounds = rounds;
        this.log = log;
        random = new Random(seed * 0x9E3779B97F4A7C15L);
    }

    @Override
    public Outcome run() throws Exception {
        try (ProcessCluster all =
                new ProcessCluster(
                        VOTERS,
                        nodes,
                        nodes,
                        LEASE_MILLIS,
                        REQUESTS_EVERY,
                        true,
                        seed,
                        this::hears,
                        RULES,
                        WORK_MILLIS)) {
            fleet = all;
            all.startAll();
            all.awaitLeader();
            LoopbackServer.daemon(this::supervise);
            Thread.sleep(4 * LEASE_MILLIS);
            for (int round = 0; round < rounds; round++) {
                What what = What.values()[Math.floorMod(seed + round * 5L, What.values().length)];
                Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
                round(round, what, fault);
            }
            over = true;
            long end = System.currentTimeMillis() + 20 * LEASE_MILLIS;
            for (ProcessCluster.Member member : all.members) {
                while (!member.process.isUp() && System.currentTimeMillis() < end) {
                    member.start();
                    Thread.sleep(100);
                }
            }
            Thread.sleep(3 * LEASE_MILLIS);
            if (!plot.isEmpty()) {
                timeline.draw(
                        Path.of(plot),
                        rounds + " releases among " + nodes + " processes, seed " + seed);
            }
            broken.addAll(all.leaveAll());
            return new Outcome(
                    String.format(
                            Locale.ROOT,
                            "release: nodes %d, rounds %d, ended %s, went by permit %d, out at most %d"
                                    + " of %d, tickets %d, satisfied %d, bounced %d, abandoned %d, excused %d, broken %d",
                            nodes,
                            rounds,
                            ends,
                            went,
                            mostOut,
                            ProcessCluster.MOST_OUT,
                            all.count("sent"),
                            all.count("satisfied"),
                            all.count("bounced"),
                            all.count("abandoned"),
                            all.count("excused"),
                            broken.size()),
                    broken);
        }
    }

    // ---- what the processes do ----

    private void hears(String line) {
        log.line(line);
        Matcher reported = RUNS.matcher(line);
        if (reported.find()) {
            String digest = reported.group(2) == null ? "" : reported.group(2);
            runs.put(reported.group(1), digest);
            if (!digest.equals(from) && !digest.equals(to)) {
                wrong(
                        reported.group(1)
                                + " runs "
                                + digest
                                + ", which is neither "
                                + from
                                + " nor "
                                + to);
            }
            if (haltedAt > 0
                    && System.currentTimeMillis() - haltedAt > HALT_BOUND_MILLIS
                    && line.contains("shared configuration applied")) {
                wrong(
                        reported.group(1)
                                + " changed "
                                + (System.currentTimeMillis() - haltedAt)
                                + " ms after a halt");
            }
        }
        Matcher goes = GOES.matcher(line);
        if (goes.find()) {
            long now = System.currentTimeMillis();
            went++;
            goneByPermit.put(goes.group(1), now);
            mostOut = Math.max(mostOut, goneByPermit.size());
            if (goneByPermit.size() > ProcessCluster.MOST_OUT) {
                wrong(
                        goes.group(1)
                                + " went as number "
                                + goneByPermit.size()
                                + ": "
                                + goneByPermit.keySet());
            }
            if (haltedAt > 0 && now - haltedAt > HALT_BOUND_MILLIS) {
                wrong(goes.group(1) + " went " + (now - haltedAt) + " ms after a halt");
            }
        }
    }

    private synchronized void wrong(String what) {
        broken.add(what);
    }

    /** Starts again what went, with the program that the fleet wants there. */
    private void supervise() {
        try {
            while (!over) {
                for (ProcessCluster.Member member : fleet.members) {
                    String name = member.process.name();
                    if (member.process.isUp() || paused.contains(name)) {
                        continue;
                    }
                    if (goneByPermit.containsKey(name)) {
                        member.stalled();
                    }
                    Thread.sleep(200);
                    ClusterQuery.Wanted wanted =
                            ClusterQuery.wanted(
                                    fleet.voterAddresses(),
                                    new NodeName(name),
                                    NanoDuration.ofSeconds(1),
                                    quiet);
                    String program = wanted == null ? "" : wanted.program();
                    member.process.wrong(
                            program.isEmpty()
                                    ? List.of()
                                    : program.startsWith("bad")
                                            ? List.of("--program", program, "--fails-at-start")
                                            : List.of("--program", program));
                    runs.remove(name);
                    member.start();
                    Thread.sleep(100);
                    if (member.process.isUp()) {
                        goneByPermit.remove(name);
                    }
                }
                Thread.sleep(50);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            wrong("the supervisor failed: " + e);
        }
    }

    // ---- what operators do ----

    private RaftReplica.OrderResult order(String kind, RaftReplica.RolloutRequest rolloutRequest)
            throws InterruptedException {
        return ClusterQuery.order(
                fleet.voterAddresses(),
                new RaftReplica.OperatorOrder(
                        "lab" + seed + "." + orders++, kind, null, "ann", rolloutRequest),
                NanoDuration.ofSeconds(5),
                quiet);
    }

    private static String text(What what, int round) {
        return switch (what) {
            case GOOD_TEXT ->
                    "goal { worst-track " + (20 + round) + "% }\n// round " + round + "\n";
            case BAD_TEXT ->
                    "track quote { agreed-time " + (1 + round) + "ms; abandon-time 16ms }\n";
            case RESTARTING_TEXT -> "rules { crowd-over " + (3 + round) + "s }\n";
            case REFUSED_TEXT -> "track unlock { effect pure }\n";
            default -> "";
        };
    }

    private void round(int round, What what, Fault fault) throws InterruptedException, IOException {
        String text = text(what, round);
        boolean program = what == What.PROGRAM || what == What.BAD_PROGRAM;
        RaftReplica.RolloutRequest rolloutRequest;
        try {
            rolloutRequest =
                    program
                            ? new RaftReplica.RolloutRequest(
                                    Rollout.Kind.PROGRAM,
                                    (what == What.PROGRAM ? "p" : "bad") + round,
                                    "",
                                    true)
                            : new RaftReplica.RolloutRequest(
                                    Rollout.Kind.CONFIGURATION,
                                    SharedConfig.read(text).digest(),
                                    text,
                                    true);
        } catch (NodeConfig.UnusableConfiguration e) {
            throw new IOException(e);
        }
        from = good;
        to = program ? good : rolloutRequest.to();
        RaftReplica.OrderResult begun = order("release", rolloutRequest);
        log.line("round " + round + ": " + what + " with " + fault + ": " + begun);
        if (begun == null || !begun.done()) {
            wrong("round " + round + ", " + what + ", did not begin: " + begun);
            return;
        }
        long deadline = System.currentTimeMillis() + LONGEST_MILLIS;
        boolean faulted = false;
        int resumed = 0;
        RaftReplica.ReplicaView state = fleet.state();
        while (System.currentTimeMillis() < deadline) {
            state = fleet.state();
            draw();
            if (state != null && state.rollout() == null) {
                break;
            }
            if (state != null && state.rollout().steps() > 0 && !faulted) {
                faulted = true;
                fault(fault, state);
            } else if (state != null && !state.haltedBy().isEmpty()) {
                log.line("round " + round + ": " + state.haltedBy());
                order(resumed++ < 3 ? "resume" : "back", null);
            }
            Thread.sleep(100);
        }
        Thread.sleep(2 * LEASE_MILLIS);
        ended(round, what, fault, state, rolloutRequest);
    }

    private void draw() {
        List<ProcessCluster.Member> up =
                fleet.members.stream().filter(member -> member.process.isUp()).toList();
        int changed =
                (int)
                        up.stream()
                                .filter(
                                        member ->
                                                !to.equals(from)
                                                        && to.equals(
                                                                runs.getOrDefault(
                                                                        member.process.name(), "")))
                                .count();
        timeline.add(
                (System.currentTimeMillis() - begun) / 1000.0,
                up.size() - changed,
                changed,
                nodes - up.size());
    }

    private void ended(
            int round,
            What what,
            Fault fault,
            RaftReplica.ReplicaView state,
            RaftReplica.RolloutRequest rolloutRequest)
            throws InterruptedException {
        String last =
                state == null || state.history().isEmpty()
                        ? ""
                        : state.history().stream()
                                .map(one -> one.text())
                                .filter(
                                        one ->
                                                one.contains(" is done")
                                                        || one.contains(" has ended"))
                                .reduce((a, b) -> b)
                                .orElse("");
        boolean done = last.contains(" is done");
        boolean open = state == null || state.rollout() != null;
        ends.merge(what + (open ? " open" : done ? " done" : " back"), 1, Integer::sum);
        log.line("round " + round + " ended: " + last);
        boolean isGood =
                what == What.GOOD_TEXT || what == What.RESTARTING_TEXT || what == What.PROGRAM;
        if (open) {
            wrong(
                    "round "
                            + round
                            + ", "
                            + what
                            + " with "
                            + fault
                            + ", did not end: "
                            + (state == null
                                    ? "nobody leads"
                                    : state.rollout()
                                            + " step "
                                            + state.rollout().steps()
                                            + " "
                                            + state.haltedBy()));
            order("back", null);
            return;
        }
        if (done && !isGood) {
            wrong("round " + round + ", " + what + " with " + fault + ", went through: " + last);
        } else if (!done && isGood) {
            wrong(
                    "round "
                            + round
                            + ", "
                            + what
                            + " with "
                            + fault
                            + ", was stopped: "
                            + state.history()
                                    .subList(
                                            Math.max(0, state.history().size() - 6),
                                            state.history().size()));
        }
        if (done && rolloutRequest.kind() == Rollout.Kind.CONFIGURATION) {
            good = rolloutRequest.to();
        }
        whole(round, what);
    }

    /** All that are there run what was agreed on. */
    private void whole(int round, What what) throws InterruptedException {
        long end = System.currentTimeMillis() + 20 * LEASE_MILLIS;
        List<String> others = new ArrayList<>();
        while (System.currentTimeMillis() < end) {
            others.clear();
            RaftReplica.ReplicaView state = fleet.state();
            if (state != null) {
                state.nodeViews().stream()
                        .filter(
                                nodeView ->
                                        nodeView.report() == null
                                                || !nodeView.report().configDigest().equals(good))
                        .forEach(
                                nodeView ->
                                        others.add(
                                                nodeView.name()
                                                        + " runs "
                                                        + (nodeView.report() == null
                                                                ? "nothing known"
                                                                : nodeView.report()
                                                                        .configDigest())));
                if (others.isEmpty()) {
                    return;
                }
            }
            Thread.sleep(200);
        }
        wrong("round " + round + ", " + what + ": all should run '" + good + "', and " + others);
    }

    // ---- faults ----

    private ProcessCluster.Member member(NodeName name) {
        return fleet.members.get(Integer.parseInt(name.text().substring(1)));
    }

    private void fault(Fault fault, RaftReplica.ReplicaView state)
            throws InterruptedException, IOException {
        NodeName controllerNode =
                state.duties().stream()
                        .filter(lease -> lease.duty().text().equals("conductor"))
                        .map(lease -> lease.holder())
                        .findFirst()
                        .orElse(null);
        ProcessCluster.Member one =
                controllerNode == null ? fleet.members.get(nodes - 1) : member(controllerNode);
        switch (fault) {
            case ROLLOUT_CONTROLLER_DIES -> one.kill();
            case ROLLOUT_CONTROLLER_STALLS -> {
                one.stalled();
                one.process.stop();
                Thread.sleep(3 * LEASE_MILLIS);
                one.process.goOn();
                Thread.sleep(50);
                one.goesOn();
            }
            case ZONE_CUT -> {
                int zone = random.nextInt(ProcessCluster.ZONES);
                fleet.zone(zone, VOTERS, FaultProxy::cut);
                Thread.sleep(2 * LEASE_MILLIS);
                fleet.zone(zone, VOTERS, FaultProxy::mend);
            }
            case HALTED_FOR_A_WHILE -> {
                RaftReplica.OrderResult halted = order("halt", null);
                if (halted != null && halted.done()) {
                    haltedAt = System.currentTimeMillis();
                    Thread.sleep(HALT_BOUND_MILLIS + 2 * LEASE_MILLIS);
                    haltedAt = 0;
                    order("resume", null);
                }
            }
            case SECOND_ROLLOUT_REQUESTED -> {
                RaftReplica.OrderResult second =
                        order(
                                "release",
                                new RaftReplica.RolloutRequest(
                                        Rollout.Kind.PROGRAM, "other", "", false));
                if (second != null && second.done()) {
                    wrong("a second release began while one was open");
                }
            }
            case NO_MAJORITY -> {
                Set<String> down = new HashSet<>();
                for (int i = 0; i < 2; i++) {
                    down.add(fleet.members.get(i).process.name());
                }
                paused.addAll(down);
                fleet.members.get(0).kill();
                fleet.members.get(1).kill();
                Thread.sleep(3 * LEASE_MILLIS);
                paused.removeAll(down);
            }
            case NODE_DIES -> fleet.members.get(nodes - 1 - random.nextInt(nodes / 2)).kill();
            default -> {}
        }
    }
}
