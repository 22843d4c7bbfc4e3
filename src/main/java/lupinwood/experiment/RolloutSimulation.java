package lupinwood.experiment;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.cluster.ClusterCommand;
import lupinwood.cluster.ClusterState;
import lupinwood.cluster.DisruptionLimits;
import lupinwood.cluster.DisruptionPermit;
import lupinwood.cluster.DutyName;
import lupinwood.cluster.FencingToken;
import lupinwood.cluster.Heartbeat;
import lupinwood.cluster.Incarnation;
import lupinwood.cluster.LeaseManager;
import lupinwood.cluster.LeaseTiming;
import lupinwood.cluster.NodeCondition;
import lupinwood.cluster.NodeName;
import lupinwood.cluster.NodeReport;
import lupinwood.cluster.RequestCounts;
import lupinwood.cluster.Rollout;
import lupinwood.cluster.Site;
import lupinwood.rollout.CanaryLimits;
import lupinwood.rollout.RolloutAction;
import lupinwood.rollout.RolloutController;
import lupinwood.rollout.RolloutSnapshot;

/**
 * One release through a fleet in made-up time, by the real book, lease manager and rollout
 * controller. Nodes, their requests and what is wrong with what is released are made up; what may
 * never be is checked at each step, knowing the truth.
 */
final class RolloutSimulation {
    /** What is released, and what happens meanwhile. The first ones are good. */
    enum Kind {
        GOOD(true, 0),
        GOOD_WITH_ZONE_FAULT(true, 0),
        GOOD_WITH_FAULT_DOWNSTREAM(true, 0),
        GOOD_LITTLE_TRAFFIC(true, 0),
        GOOD_WITH_CRASHES(true, 0),
        GOOD_ROLLOUT_CONTROLLER_DIES(true, 0),
        GOOD_BY_RESTARTS(true, 0),
        BAD_AT_ONCE(false, 0.10),
        BAD_AFTER_A_MINUTE(false, 0.10),
        BAD_IN_ONE_ZONE(false, 0.15),
        BAD_FOR_ONE_REQUEST_CLASS(false, 0.35),
        BAD_ONCE_HALF_HAVE_IT(false, 0.10),
        SLOWER(false, 0),
        RESTARTS(false, 0),
        CRASHES_AT_START(false, 0),
        REFUSED_BY_ONE(false, 0);

        final boolean good;
        final double harm;

        Kind(boolean good, double harm) {
            this.good = good;
            this.harm = harm;
        }

        boolean byRestarts() {
            return this == GOOD_BY_RESTARTS || this == CRASHES_AT_START;
        }
    }

    /** A safeguard that may be left out, to show that the audit finds it. */
    enum Without {
        NOTHING,
        PERMITS,
        WATCH,
        TOKEN,
        CHECK
    }

    /** How it ended. */
    enum End {
        DONE,
        BACK,
        HALTED,
        REFUSED,
        OPEN
    }

    /**
     * What it came to.
     *
     * @param caughtAt seconds after the first wave until it was turned back, halted or refused;
     *     below zero where it wasn't
     * @param hadIt how many nodes had it by then, as a share
     */
    record Played(
            End end,
            double caughtAt,
            double hadIt,
            double seconds,
            String why,
            List<String> broken) {}

    static final NanoDuration LEASE = NanoDuration.ofSeconds(3);
    private static final double WATCH = 60;
    private static final double WATCH_MOST = 600;
    private static final double LONGEST = 4 * 3600;
    private static final CanaryLimits BLIND =
            new CanaryLimits(
                    NanoDuration.ofSeconds(WATCH),
                    NanoDuration.ofSeconds(WATCH_MOST),
                    100,
                    1e9,
                    LEASE,
                    NanoDuration.ofSeconds(WATCH));
    private static final double[] WEIGHTS = {0.55, 0.33, 0.12};
    private static final double WARMS_UP = 6;
    private static final double A_MINUTE = 60;
    private static final double SLOWNESS = 1.9;
    private static final String OLD = "";
    private static final String NEW = "new";
    private static final DutyName DUTY = DutyName.ROLLOUT_CONTROLLER;

    private final class Node {
        final NodeName name;
        final Site site;
        final int zone;
        final double base;
        final double mean;
        final long[][] counts = new long[WEIGHTS.length][4];
        final double[] seconds = new double[WEIGHTS.length];
        String runs = OLD;
        String takes = OLD;
        double takesAt;
        double changedAt = -1;
        boolean checked;
        long life;
        double upAt;
        boolean up = true;
        boolean permitted;
        long heartbeats;

        Node(int place, int zone) {
            this.zone = zone;
            name = new NodeName(String.format("n%03d", place));
            site = new Site("r", "z" + zone);
            base = 0.005 + 0.03 * random.nextDouble();
            mean = 0.05 * Math.exp(0.4 * random.nextGaussian());
            life = random.nextLong();
        }

        /** Its process went; it comes back after so long. */
        void goes(double after) {
            up = false;
            upAt = time + after;
        }

        void comes() {
            up = true;
            life = random.nextLong();
            heartbeats = 0;
            for (int i = 0; i < WEIGHTS.length; i++) {
                counts[i] = new long[4];
                seconds[i] = 0;
            }
            String wanted = clusterState.desiredState(name).configDigest();
            if (!wanted.equals(runs)) {
                changedAt = wanted.equals(NEW) ? time : -1;
            }
            runs = wanted;
            takes = wanted;
            if (kind == Kind.CRASHES_AT_START && runs.equals(NEW)) {
                goes(2);
                return;
            }
            upAt = time;
        }

        NodeCondition condition() {
            return time - upAt < WARMS_UP && life != 0 ? NodeCondition.COLD : NodeCondition.WARM;
        }

        /** What it answers in this second. */
        void serves() {
            for (int classIndex = 0; classIndex < WEIGHTS.length; classIndex++) {
                double expected = rate * WEIGHTS[classIndex];
                long all =
                        Math.max(
                                0,
                                Math.round(expected + Math.sqrt(expected) * random.nextGaussian()));
                double share = Math.min(0.95, base + trouble(zone) + harm(classIndex));
                double wrong =
                        all * share + Math.sqrt(all * share * (1 - share)) * random.nextGaussian();
                long bad = Math.max(0, Math.min(all, Math.round(wrong)));
                counts[classIndex][0] += all - bad;
                counts[classIndex][3] += bad;
                boolean slow = kind == Kind.SLOWER && runs.equals(NEW);
                seconds[classIndex] +=
                        (all - bad)
                                * mean
                                * (slow ? SLOWNESS : 1)
                                * (1 + 0.1 * random.nextGaussian());
            }
        }

        private double harm(int classIndex) {
            if (!runs.equals(NEW)) {
                return 0;
            }
            return switch (kind) {
                case BAD_AT_ONCE -> kind.harm;
                case BAD_AFTER_A_MINUTE -> time - changedAt > A_MINUTE ? kind.harm : 0;
                case BAD_IN_ONE_ZONE -> zone == 0 ? kind.harm : 0;
                case BAD_FOR_ONE_REQUEST_CLASS -> classIndex == WEIGHTS.length - 1 ? kind.harm : 0;
                case BAD_ONCE_HALF_HAVE_IT -> share(NEW) >= 0.5 ? kind.harm : 0;
                default -> 0;
            };
        }

        Heartbeat heartbeat() {
            List<RequestCounts.ClassCounts> reported = new ArrayList<>();
            for (int i = 0; i < WEIGHTS.length; i++) {
                reported.add(
                        new RequestCounts.ClassCounts(
                                "t" + i,
                                counts[i][0],
                                counts[i][1],
                                counts[i][2],
                                counts[i][3],
                                seconds[i]));
            }
            String wanted = clusterState.desiredState(name).configDigest();
            NodeReport.ConfigCheck says =
                    kind.byRestarts() && !wanted.equals(runs)
                            ? new NodeReport.ConfigCheck(wanted, true, true, "")
                            : !checked
                                    ? null
                                    : new NodeReport.ConfigCheck(
                                            NEW,
                                            !refuses(),
                                            kind.byRestarts(),
                                            refuses() ? "no" : "");
            return new Heartbeat(
                    Heartbeat.VERSION,
                    name,
                    new Incarnation(life),
                    site,
                    condition(),
                    ++heartbeats,
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(),
                    new NodeReport(
                            "1", runs, says, List.of(), 0, List.of(), new RequestCounts(reported)));
        }

        private boolean refuses() {
            return isRefuser() && without != Without.CHECK;
        }

        private boolean isRefuser() {
            return kind == Kind.REFUSED_BY_ONE && name.equals(nodes.get(nodes.size() - 1).name);
        }
    }

    private final Kind kind;
    private final Random random;
    private final double rate;
    private final DisruptionLimits disruptionLimits;
    private final LeaseTiming timing = LeaseTiming.of(LEASE, 0.01);
    private final ClusterState clusterState = new ClusterState(4096);
    private final LeaseManager leaseManager = new LeaseManager(timing, List.of(DUTY));
    private final List<Node> nodes = new ArrayList<>();
    private final List<String> broken = new ArrayList<>();
    private final Consumer<String> trace;
    private final CanaryLimits limits =
            CanaryLimits.of(
                    NanoDuration.ofSeconds(WATCH), NanoDuration.ofSeconds(WATCH_MOST), 0.03, LEASE);
    private double time;
    private RolloutController rolloutController;
    private FencingToken token;
    private double faultFrom = Double.MAX_VALUE;
    private double faultUntil;
    private double firstWave = -1;
    private boolean killed;
    private double begun = -1;
    private double diesAt = Double.MAX_VALUE;
    private double dyingShare;
    private Timeline timeline;
    private Without without = Without.NOTHING;

    /**
     * Of the rollout controller before, whose last word is still on its way; null where none is.
     */
    private FencingToken stalledToken;

    private int stepsObserved;
    private double stepAt;
    private double served;
    private double offered;

    /** Part of the nodes die so long after the beginning, and are back half a minute later. */
    RolloutSimulation dying(double after, double share) {
        diesAt = after;
        dyingShare = share;
        return this;
    }

    /**
     * Of what was offered since the beginning, at so much of what all nodes can do, what was done
     * in time; as a share.
     */
    double servedShare() {
        return served / offered;
    }

    RolloutSimulation without(Without leftOut) {
        without = leftOut;
        return this;
    }

    /** Writes down who runs what, and who is out, each second from the beginning on. */
    RolloutSimulation drawnBy(Timeline drawn) {
        timeline = drawn;
        return this;
    }

    /** Plays on, so that as much time is compared as elsewhere. */
    void playUntil(double seconds) {
        for (; time - begun < seconds; time++) {
            second();
        }
    }

    private void account() {
        double capacity =
                nodes.stream()
                        .filter(node -> node.up)
                        .mapToDouble(
                                node ->
                                        node.condition() == NodeCondition.WARM
                                                ? 1
                                                : RolloutStrategiesExperiment.COLD_SPEED)
                        .sum();
        if (timeline != null) {
            int old = (int) nodes.stream().filter(node -> node.up && node.runs.equals(OLD)).count();
            int changed =
                    (int) nodes.stream().filter(node -> node.up && node.runs.equals(NEW)).count();
            int in =
                    (int)
                            nodes.stream()
                                    .filter(
                                            node ->
                                                    node.up
                                                            && node.condition()
                                                                    == NodeCondition.WARM)
                                    .count();
            timeline.add(time - begun, old, changed, nodes.size() - in);
        }
        offered += nodes.size() * RolloutStrategiesExperiment.LOAD;
        served += Math.min(nodes.size() * RolloutStrategiesExperiment.LOAD, capacity);
        if (time - begun >= diesAt) {
            diesAt = Double.MAX_VALUE;
            nodes.stream()
                    .filter(node -> node.up && random.nextDouble() < dyingShare)
                    .forEach(node -> node.goes(RolloutStrategiesExperiment.DEAD_SECONDS));
        }
    }

    RolloutSimulation(Kind kind, int count, int zones, long seed, Consumer<String> trace) {
        this.kind = kind;
        this.trace = trace;
        random = new Random(seed);
        rate = kind == Kind.GOOD_LITTLE_TRAFFIC ? 1 : 8 + random.nextInt(30);
        disruptionLimits = new DisruptionLimits(Integer.MAX_VALUE, 0.15, Integer.MAX_VALUE, 0.4, 1);
        for (int i = 0; i < count; i++) {
            nodes.add(new Node(i, i % zones));
        }
    }

    private MonotonicTime now() {
        return new MonotonicTime(Math.round(time * 1e9));
    }

    private double trouble(int zone) {
        boolean on = time >= faultFrom && time < faultUntil;
        return !on ? 0 : kind == Kind.GOOD_WITH_ZONE_FAULT ? zone == 0 ? 0.25 : 0 : 0.15;
    }

    private double share(String version) {
        return (double) nodes.stream().filter(node -> node.runs.equals(version)).count()
                / nodes.size();
    }

    Played play() {
        clusterState.apply(new ClusterCommand.Bootstrap(1));
        leaseManager.onElected(clusterState, now());
        for (; time < 30; time++) {
            second();
        }
        clusterState.apply(
                new ClusterCommand.BeginRollout(
                        "o1", "ann", Rollout.Kind.CONFIGURATION, NEW, "text", true, 0));
        begun = time;
        double caught = -1;
        double had = 0;
        String why = "";
        End end = End.OPEN;
        while (end == End.OPEN && time - begun < LONGEST) {
            time++;
            second();
            Rollout rollout = clusterState.rollout();
            if (firstWave < 0 && rollout != null && rollout.steps() == 1) {
                firstWave = time;
                boolean faulty =
                        kind == Kind.GOOD_WITH_ZONE_FAULT
                                || kind == Kind.GOOD_WITH_FAULT_DOWNSTREAM;
                faultFrom = faulty ? time + random.nextInt(20) : faultFrom;
                faultUntil = faultFrom + 100 + random.nextInt(200);
            }
            boolean stops =
                    rollout == null
                            || rollout.isRollingBack()
                            || !clusterState.haltedBy().isEmpty();
            if (stops && caught < 0) {
                caught = time - Math.max(firstWave, begun);
                had = share(NEW);
                List<ClusterState.HistoryEntry> history = clusterState.history();
                why = history.get(history.size() - 1).text();
            }
            if (rollout == null) {
                boolean done =
                        clusterState.desiredState(nodes.get(0).name).configDigest().equals(NEW);
                end = done ? End.DONE : firstWave < 0 ? End.REFUSED : End.BACK;
            } else if (!clusterState.haltedBy().isEmpty()) {
                end = End.HALTED;
            }
        }
        whole(end);
        return new Played(
                end,
                end == End.DONE || end == End.OPEN ? -1 : caught,
                had,
                time - begun,
                why,
                broken);
    }

    /** All that are there run what was agreed on. */
    private void whole(End end) {
        double until = time + 60;
        for (; time < until; time++) {
            second();
        }
        String all = end == End.DONE ? NEW : OLD;
        for (Node node : nodes) {
            if (end != End.HALTED && end != End.OPEN && node.up && !node.runs.equals(all)) {
                breaks(node.name + " runs '" + node.runs + "' after the release ended as " + end);
            }
        }
    }

    private void breaks(String what) {
        if (broken.size() < 5) {
            broken.add(what);
        }
    }

    private void second() {
        faults();
        for (Node node : nodes) {
            if (!node.up && time >= node.upAt) {
                node.comes();
            }
            if (!node.up) {
                continue;
            }
            node.serves();
            follow(node);
            Heartbeat heartbeat = node.heartbeat();
            String trouble = leaseManager.onHeartbeat(heartbeat, clusterState, now());
            leaseManager.replyTo(heartbeat, trouble, clusterState, node.name, now());
        }
        leaseManager.decide(clusterState, 1, now()).forEach(clusterState::apply);
        conduct();
        audit();
        if (begun >= 0) {
            account();
        }
    }

    private void faults() {
        double crashes = kind == Kind.GOOD_WITH_CRASHES ? 1.0 / 600 : 1.0 / 50_000;
        for (Node node : nodes) {
            boolean dies =
                    random.nextDouble() < crashes
                            || (kind == Kind.RESTARTS
                                    && node.runs.equals(NEW)
                                    && random.nextDouble() < 1.0 / 45);
            if (node.up && dies) {
                node.goes(3 + random.nextInt(10));
            }
        }
        if (kind == Kind.GOOD_ROLLOUT_CONTROLLER_DIES
                && !killed
                && firstWave > 0
                && time - firstWave > 40) {
            killed = true;
            ClusterState.DutyLease lease = clusterState.duty(DUTY);
            nodes.stream()
                    .filter(node -> node.up && node.name.equals(lease.holder()))
                    .forEach(node -> node.goes(10));
        }
    }

    /** What a node does by the consensus group's word. */
    private void follow(Node node) {
        String wanted = clusterState.desiredState(node.name).configDigest();
        String checks = clusterState.desiredState(node.name).digestToCheck();
        node.checked =
                checks.isEmpty()
                        ? node.checked && clusterState.rollout() != null
                        : node.checked || random.nextInt(3) == 0;
        if (!wanted.equals(node.takes)) {
            node.takes = wanted;
            node.takesAt = time + 1 + random.nextInt(3);
        }
        boolean refuses = node.isRefuser() && node.takes.equals(NEW);
        if (!kind.byRestarts()
                && !node.takes.equals(node.runs)
                && time >= node.takesAt
                && !refuses) {
            node.runs = node.takes;
            node.changedAt = time;
        }
        boolean permit =
                clusterState.permits().stream()
                        .anyMatch(
                                one ->
                                        one.node().equals(node.name)
                                                && one.incarnation()
                                                        .equals(new Incarnation(node.life)));
        if (permit && !node.permitted) {
            node.goes(5 + random.nextInt(10));
        }
        node.permitted = permit;
    }

    private void conduct() {
        ClusterState.DutyLease lease = clusterState.duty(DUTY);
        if (lease.isFree()
                || nodes.stream().noneMatch(node -> node.up && node.name.equals(lease.holder()))) {
            return;
        }
        if (!lease.token().equals(token)) {
            stalledToken = token;
            token = lease.token();
            rolloutController =
                    new RolloutController(
                            lease.holder(), without == Without.WATCH ? BLIND : limits);
            trace.accept(time + " " + lease.holder() + " leads under " + token);
        }
        RolloutSnapshot snapshot =
                new RolloutSnapshot(
                        clusterState.rollout(),
                        clusterState.goodConfigDigest(),
                        clusterState.haltedBy(),
                        leaseManager.nodeViews(clusterState, now()),
                        clusterState.permits(),
                        disruptionLimits.maxUnavailable(nodes.size()),
                        clusterState.baselineCounts());
        if (stalledToken != null) {
            lateWord(snapshot);
        }
        String before = rolloutController.statusMessage();
        for (RolloutAction action : rolloutController.decide(snapshot, token, now())) {
            if (action instanceof RolloutAction.Propose write) {
                boolean fitted = clusterState.apply(write.command());
                trace.accept(time + " " + write.command() + " " + fitted);
            } else if (action instanceof RolloutAction.PermitRestart let) {
                DisruptionLimits bounds =
                        without == Without.PERMITS
                                ? new DisruptionLimits(nodes.size(), 1, nodes.size(), 1, 0)
                                : disruptionLimits;
                clusterState.apply(
                        new ClusterCommand.GrantPermit(
                                let.order(),
                                let.node(),
                                "release",
                                0,
                                bounds,
                                leaseManager.unavailableNodes(clusterState, now())));
            }
        }
        if (!rolloutController.statusMessage().equals(before)) {
            trace.accept(time + " " + rolloutController.statusMessage());
        }
    }

    /**
     * The next wave that the one before had decided on when it was stopped comes late, under its
     * token.
     */
    private void lateWord(RolloutSnapshot snapshot) {
        Rollout rollout = snapshot.rollout();
        if (rollout == null || rollout.steps() == 0 || rollout.isRollingBack()) {
            return;
        }
        List<NodeName> next =
                nodes.stream()
                        .map(node -> node.name)
                        .filter(name -> !rollout.isUpdated(name))
                        .limit(3)
                        .toList();
        FencingToken shown = without == Without.TOKEN ? token : stalledToken;
        clusterState.apply(
                new ClusterCommand.AdvanceRollout(
                        shown, rollout.number(), rollout.steps() + 1, false, next, "", null, 0));
        stalledToken = null;
    }

    private void audit() {
        Set<String> versions = new HashSet<>();
        nodes.forEach(node -> versions.add(node.runs));
        if (versions.size() > 2) {
            breaks("versions " + versions + " at once");
        }
        int permits = clusterState.permits().size();
        if (permits > disruptionLimits.maxUnavailable(nodes.size())) {
            breaks(
                    permits
                            + " nodes out by permits of "
                            + disruptionLimits.maxUnavailable(nodes.size())
                            + " allowed");
        }
        for (DisruptionPermit permit : clusterState.permits()) {
            if (clusterState.member(permit.node()) == null) {
                breaks("a permit of an unknown node");
            }
        }
        Rollout rollout = clusterState.rollout();
        if (rollout != null && !rollout.isRollingBack() && rollout.steps() != stepsObserved) {
            if (stepsObserved > 0 && time - stepAt < WATCH) {
                breaks(
                        "step "
                                + rollout.steps()
                                + " was given "
                                + (time - stepAt)
                                + " s after the one before");
            }
            stepsObserved = rollout.steps();
            stepAt = time;
        }
        for (Node node : nodes) {
            if (node.runs.equals(NEW) && rollout != null && rollout.steps() == 0) {
                breaks(node.name + " has it before it was given");
            }
        }
    }
}
