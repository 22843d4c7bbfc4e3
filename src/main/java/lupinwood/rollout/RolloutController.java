package lupinwood.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.cluster.ClusterCommand;
import lupinwood.cluster.FencingToken;
import lupinwood.cluster.NodeName;
import lupinwood.cluster.NodeReport;
import lupinwood.cluster.NodeStatus;
import lupinwood.cluster.NodeView;
import lupinwood.cluster.RequestCounts;
import lupinwood.cluster.Rollout;

/**
 * Leads a release for whoever holds the duty: checks it first, gives it to one node a zone, then to
 * waves that grow, and watches after each. What it has decided is in the cluster state; what it has
 * seen it learns anew when another begins, which then watches the wave under way from its own
 * start. It never resumes what was halted.
 */
public final class RolloutController {
    private static final double GROWTH = 3;

    /**
     * Of those that haven't got it yet a wave takes no more, so that some are left to compare with.
     */
    private static final double MOST_OF_THE_REST = 0.6;

    /** Askings for permits at once. */
    private static final int MAX_REQUESTED = 8;

    /**
     * Counts of the past that are kept: what is written has to fit into one message, a few times.
     */
    private static final int MOST_COUNTS = 330;

    private final NodeName self;
    private final CanaryLimits limits;
    private final Map<NodeName, NodeHistory> histories = new HashMap<>();
    private long number = -1;
    private int step = -1;
    private boolean back;
    private boolean wasHalted;

    /** When the wave under way was first seen here. */
    private MonotonicTime stepObserved;

    /** From when the wave is watched: all that are there run it; null before. */
    private MonotonicTime watchFrom;

    /** Since when a node had it and wasn't seen to be well with it. */
    private final Map<NodeName, MonotonicTime> missing = new HashMap<>();

    /** Given it, and waiting for a permit to go and come back with it. */
    private final Set<NodeName> unpermitted = new HashSet<>();

    /** All that were seen to have it in this release. */
    private final Set<NodeName> hadIt = new HashSet<>();

    private int halts;
    private String says = "";
    private boolean wantsPast;

    public RolloutController(NodeName self, CanaryLimits limits) {
        this.self = self;
        this.limits = limits;
    }

    /** What it waits for or found last, in one line. */
    public String says() {
        return says;
    }

    /**
     * Whether the cluster state is to tell how nodes did before the release: it began under
     * another.
     */
    public boolean wantsPast() {
        return wantsPast;
    }

    /**
     * What is to be done now; asked again and again with a fresh picture, and the same is said
     * until it is in the cluster state.
     */
    public List<RolloutAction> decide(
            RolloutSnapshot snapshot, FencingToken token, MonotonicTime now) {
        Rollout rollout = snapshot.rollout();
        if (rollout == null) {
            number = -1;
            says = "";
            histories.clear();
            return snapshot.haltedBy().isEmpty() ? catchUp(snapshot) : List.of();
        }
        if (rollout.number() != number) {
            number = rollout.number();
            step = -1;
            histories.clear();
            hadIt.clear();
            wantsPast = rollout.steps() > 0;
        }
        Set<NodeName> known = new HashSet<>();
        for (NodeView nodeView : snapshot.nodeViews()) {
            known.add(nodeView.name());
            histories
                    .computeIfAbsent(nodeView.name(), none -> new NodeHistory())
                    .heard(nodeView, now, limits.watch().times(1.0 / NodeHistory.POINTS_A_WATCH));
        }
        histories.keySet().retainAll(known);
        hadIt.addAll(rollout.given());
        if (wantsPast && snapshot.past() != null) {
            wantsPast = false;
            snapshot.past()
                    .forEach(
                            (node, requestCounts) ->
                                    Optional.ofNullable(histories.get(new NodeName(node)))
                                            .ifPresent(history -> history.past(requestCounts)));
        }
        boolean halted = !snapshot.haltedBy().isEmpty();
        if (rollout.steps() != step || rollout.back() != back || (wasHalted && !halted)) {
            step = rollout.steps();
            back = rollout.back();
            stepObserved = now;
            watchFrom = null;
            missing.clear();
        }
        wasHalted = halted;
        if (halted) {
            says = "halted by " + snapshot.haltedBy();
            return List.of();
        }
        if (rollout.back()) {
            return goBack(snapshot, rollout, token, now);
        }
        return rollout.steps() == 0
                ? check(snapshot, rollout, token, now)
                : wave(snapshot, rollout, token, now);
    }

    /**
     * Nodes that were away, or came back while nobody could tell them, take what was agreed on, if
     * need be by a restart.
     */
    private List<RolloutAction> catchUp(RolloutSnapshot snapshot) {
        List<RolloutAction> actions = new ArrayList<>();
        for (NodeView nodeView : snapshot.nodeViews()) {
            boolean lags =
                    isThere(nodeView)
                            && nodeView.report() != null
                            && !nodeView.report().runs().equals(snapshot.good());
            if (lags
                    && restartsFor(nodeView, snapshot.good())
                    && !snapshot.hasPermit(nodeView.name())) {
                actions.add(
                        new RolloutAction.PermitRestart(
                                "g"
                                        + snapshot.good()
                                        + "."
                                        + nodeView.name()
                                        + "."
                                        + nodeView.incarnation(),
                                nodeView.name()));
            }
        }
        says =
                actions.isEmpty()
                        ? ""
                        : actions.size() + " nodes need a restart to run what was agreed on";
        return few(actions);
    }

    // ---- before it starts ----

    private List<RolloutAction> check(
            RolloutSnapshot snapshot, Rollout rollout, FencingToken token, MonotonicTime now) {
        List<NodeView> there =
                snapshot.nodeViews().stream().filter(RolloutController::isThere).toList();
        for (NodeView nodeView : there) {
            NodeReport report = nodeView.report();
            if (report == null) {
                return refuse(
                        rollout,
                        token,
                        nodeView.name() + " is of a version that knows of no releases");
            }
            NodeReport.ConfigCheck checked = report.checked();
            if (rollout.kind() == Rollout.Kind.CONFIGURATION
                    && checked != null
                    && checked.digest().equals(rollout.to())
                    && !checked.fits()) {
                return refuse(
                        rollout, token, nodeView.name() + " would not take it: " + checked.why());
            }
        }
        List<NodeName> open =
                there.stream()
                        .filter(nodeView -> !isChecked(nodeView, rollout))
                        .map(NodeView::name)
                        .toList();
        if (there.size() * 2 <= snapshot.nodeViews().size()) {
            says =
                    "only "
                            + there.size()
                            + " of "
                            + snapshot.nodeViews().size()
                            + " nodes are there";
            return late(rollout, token, now);
        }
        if (!open.isEmpty()) {
            says =
                    "waits for "
                            + open.get(0)
                            + (open.size() > 1 ? " and " + (open.size() - 1) + " more" : "")
                            + " to check it";
            return late(rollout, token, now);
        }
        if (now.since(stepObserved).compareTo(limits.watch()) < 0) {
            says = "looks at the fleet as it was before";
            return List.of(); // what the waves are compared with
        }
        Map<String, RequestCounts> past = new TreeMap<>();
        long counts =
                snapshot.nodeViews().stream()
                        .filter(nodeView -> nodeView.report() != null)
                        .mapToLong(nodeView -> nodeView.report().requestCounts().counts().size())
                        .sum();
        histories.forEach(
                (node, history) -> {
                    RequestCounts latest = history.latest(limits.watch(), now);
                    if (latest != null && past.size() < MOST_COUNTS) {
                        // In large fleets all request classes together: what is kept of each
                        // request class would be
                        // too long.
                        past.put(
                                node.text(),
                                counts <= MOST_COUNTS
                                        ? latest
                                        : new RequestCounts(List.of(latest.all())));
                    }
                    history.past(latest);
                });
        return give(rollout, token, canaries(snapshot, rollout), "all have checked it", past);
    }

    /** Whether it runs what all ran before, and would run the new. */
    private static boolean isChecked(NodeView nodeView, Rollout rollout) {
        NodeReport report = nodeView.report();
        if (rollout.kind() == Rollout.Kind.PROGRAM) {
            return true;
        }
        boolean settled =
                report.runs().equals(rollout.from()) || report.runs().equals(rollout.to());
        return settled
                && report.checked() != null
                && report.checked().digest().equals(rollout.to());
    }

    private List<RolloutAction> late(Rollout rollout, FencingToken token, MonotonicTime now) {
        return now.since(stepObserved).compareTo(limits.watchMost()) < 0
                ? List.of()
                : refuse(rollout, token, says);
    }

    private static List<RolloutAction> refuse(Rollout rollout, FencingToken token, String why) {
        return List.of(
                new RolloutAction.Propose(
                        new ClusterCommand.FinishRollout(token, rollout.number(), false, why, 0)));
    }

    private static boolean isThere(NodeView nodeView) {
        return nodeView.status() == NodeStatus.WARM || nodeView.status() == NodeStatus.UP;
    }

    // ---- waves ----

    /** One of each zone: well, and rather not this node. */
    private List<NodeName> canaries(RolloutSnapshot snapshot, Rollout rollout) {
        Map<String, List<NodeView>> zones = byZone(snapshot, rollout);
        List<NodeName> chosen = new ArrayList<>();
        zones.values()
                .forEach(
                        zone ->
                                zone.stream()
                                        .findFirst()
                                        .ifPresent(nodeView -> chosen.add(nodeView.name())));
        return chosen;
    }

    /**
     * Nodes that are well and haven't got it, in an order that begins with those that others need
     * least.
     */
    private Map<String, List<NodeView>> byZone(RolloutSnapshot snapshot, Rollout rollout) {
        Map<String, List<NodeView>> zones = new TreeMap<>();
        snapshot.nodeViews().stream()
                .filter(
                        nodeView ->
                                nodeView.status() == NodeStatus.WARM
                                        && !rollout.isGiven(nodeView.name()))
                .sorted(
                        Comparator.comparing((NodeView nodeView) -> nodeView.name().equals(self))
                                .thenComparing(NodeView::name))
                .forEach(
                        nodeView ->
                                zones.computeIfAbsent(
                                                nodeView.site().toString(),
                                                none -> new ArrayList<>())
                                        .add(nodeView));
        return zones;
    }

    private List<NodeName> next(RolloutSnapshot snapshot, Rollout rollout) {
        Map<String, List<NodeView>> zones = byZone(snapshot, rollout);
        int left = zones.values().stream().mapToInt(List::size).sum();
        int given = rollout.given().size();
        int all = given + left;
        int few = Math.max(zones.size(), all / 10);
        int size =
                left <= few
                        ? left
                        : (int)
                                Math.max(
                                        1,
                                        Math.min(
                                                given * (GROWTH - 1),
                                                Math.ceil(left * MOST_OF_THE_REST)));
        List<NodeName> chosen = new ArrayList<>();
        for (int turn = 0; chosen.size() < size; turn++) {
            for (List<NodeView> zone : zones.values()) {
                if (turn < zone.size() && chosen.size() < size) {
                    chosen.add(zone.get(turn).name());
                }
            }
        }
        return chosen;
    }

    private static List<RolloutAction> give(
            Rollout rollout,
            FencingToken token,
            List<NodeName> nodes,
            String why,
            Map<String, RequestCounts> past) {
        return nodes.isEmpty()
                ? List.of()
                : List.of(
                        new RolloutAction.Propose(
                                new ClusterCommand.AdvanceRollout(
                                        token,
                                        rollout.number(),
                                        rollout.steps() + 1,
                                        false,
                                        nodes,
                                        why,
                                        past,
                                        0)));
    }

    private List<RolloutAction> wave(
            RolloutSnapshot snapshot, Rollout rollout, FencingToken token, MonotonicTime now) {
        List<RolloutAction> actions = new ArrayList<>();
        List<NodeName> waits = new ArrayList<>();
        unpermitted.clear();
        for (NodeName node : rollout.given()) {
            NodeView nodeView = snapshot.of(node).orElse(null);
            if (nodeView == null
                    || (runs(nodeView, rollout.kind(), rollout.to()) && isWell(node, now))) {
                missing.remove(node);
                continue;
            }
            if (isThere(nodeView)
                    && !runs(nodeView, rollout.kind(), rollout.to())
                    && needsRestart(nodeView, rollout, rollout.to())) {
                if (!snapshot.hasPermit(node)) {
                    actions.add(
                            new RolloutAction.PermitRestart(
                                    "r"
                                            + rollout.number()
                                            + "."
                                            + node
                                            + "."
                                            + nodeView.incarnation(),
                                    node));
                    missing.remove(node); // it waits for its permit, which is nobody's fault
                    unpermitted.add(node);
                    waits.add(node);
                    continue;
                }
            }
            MonotonicTime since = missing.computeIfAbsent(node, none -> now);
            if (now.since(since).compareTo(limits.rejoin()) < 0) {
                waits.add(node);
            }
        }
        if (!waits.isEmpty()) {
            says =
                    "waits for "
                            + waits.get(0)
                            + (waits.size() > 1 ? " and " + (waits.size() - 1) + " more" : "")
                            + " to be well with it";
            watchFrom = watchFrom == null || !actions.isEmpty() ? null : watchFrom;
        } else if (watchFrom == null) {
            watchFrom = now;
            histories.values().forEach(NodeHistory::mark);
        }
        if (watchFrom == null) {
            CanaryVerdict gone = CanaryAnalysis.losses(samples(snapshot, rollout, now));
            if (gone != null) {
                return List.of(bad(rollout, token, gone.text()));
            }
            return now.since(stepObserved).compareTo(limits.watchMost().plus(limits.rejoin())) < 0
                    ? few(actions)
                    : List.of(halt(rollout, token, "it takes too long: " + says));
        }
        actions.addAll(judge(snapshot, rollout, token, now, waits.isEmpty()));
        return actions;
    }

    private List<RolloutAction> judge(
            RolloutSnapshot snapshot,
            Rollout rollout,
            FencingToken token,
            MonotonicTime now,
            boolean settled) {
        NanoDuration watched = now.since(watchFrom);
        CanaryVerdict verdict = CanaryAnalysis.judge(samples(snapshot, rollout, now), limits);
        says = verdict.text();
        if (verdict.kind() == CanaryVerdict.Kind.WORSE) {
            return List.of(bad(rollout, token, verdict.text()));
        }
        if (watched.compareTo(limits.watch()) < 0 || !settled) {
            return List.of();
        }
        if (verdict.kind() == CanaryVerdict.Kind.UNSURE) {
            return watched.compareTo(limits.watchMost()) < 0
                    ? List.of()
                    : List.of(
                            halt(
                                    rollout,
                                    token,
                                    "it can't be told whether it is well: " + verdict.text()));
        }
        boolean all =
                snapshot.nodeViews().stream()
                        .allMatch(
                                nodeView ->
                                        rollout.isGiven(nodeView.name())
                                                || (!isThere(nodeView)
                                                        && nodeView.status()
                                                                != NodeStatus.LEAVING));
        if (!all) {
            long out =
                    snapshot.nodeViews().stream()
                            .filter(nodeView -> nodeView.status() != NodeStatus.WARM)
                            .count();
            return out > snapshot.mostOut()
                    ? List.of(
                            halt(
                                    rollout,
                                    token,
                                    out
                                            + " of "
                                            + snapshot.nodeViews().size()
                                            + " nodes are out, and no more than "
                                            + snapshot.mostOut()
                                            + " may be"))
                    : give(rollout, token, next(snapshot, rollout), verdict.text(), null);
        }
        return List.of(
                new RolloutAction.Propose(
                        new ClusterCommand.FinishRollout(
                                token, rollout.number(), true, verdict.text(), 0)));
    }

    private List<NodeSample> samples(RolloutSnapshot snapshot, Rollout rollout, MonotonicTime now) {
        List<NodeSample> samples = new ArrayList<>();
        for (NodeView nodeView : snapshot.nodeViews()) {
            NodeHistory history = histories.get(nodeView.name());
            boolean changed =
                    rollout.isGiven(nodeView.name()) && !unpermitted.contains(nodeView.name());
            if (!changed && !history.wasEverWell()) {
                continue; // it was away before this began
            }
            MonotonicTime since = missing.get(nodeView.name());
            boolean lost =
                    changed
                            ? since != null && now.since(since).compareTo(limits.rejoin()) >= 0
                            : history.isLost(limits.rejoin(), now);
            samples.add(
                    new NodeSample(
                            nodeView.name(),
                            nodeView.site(),
                            changed,
                            history.past(),
                            history.sinceMark(),
                            watchFrom == null || snapshot.hasPermit(nodeView.name())
                                    ? 0
                                    : history.restartsSinceMark(),
                            lost));
        }
        return samples;
    }

    private boolean isWell(NodeName node, MonotonicTime now) {
        NodeHistory history = histories.get(node);
        return history != null && history.isWellFor(limits.well(), now);
    }

    private static boolean runs(NodeView nodeView, Rollout.Kind kind, String what) {
        NodeReport report = nodeView.report();
        return report != null
                && what.equals(kind == Rollout.Kind.PROGRAM ? report.program() : report.runs());
    }

    /**
     * Whether a node that is there says that it would run the one or the other after a restart
     * only.
     */
    private static boolean needsRestart(NodeView nodeView, Rollout rollout, String what) {
        return rollout.kind() == Rollout.Kind.PROGRAM || restartsFor(nodeView, what);
    }

    private static boolean restartsFor(NodeView nodeView, String digest) {
        NodeReport.ConfigCheck checked =
                nodeView.report() == null ? null : nodeView.report().checked();
        return checked != null && checked.digest().equals(digest) && checked.restarts();
    }

    // ---- halts, and back ----

    private RolloutAction bad(Rollout rollout, FencingToken token, String why) {
        return rollout.backsOnHalt()
                ? new RolloutAction.Propose(
                        new ClusterCommand.RollBack(
                                "back" + rollout.number(),
                                rollout.number(),
                                "the watch (" + why + ")",
                                0))
                : halt(rollout, token, why);
    }

    private RolloutAction halt(Rollout rollout, FencingToken token, String why) {
        String order = "r" + rollout.number() + "." + rollout.steps() + "." + token + "." + halts++;
        return new RolloutAction.Propose(
                new ClusterCommand.SetHalt(
                        order,
                        true,
                        rollout + (rollout.back() ? ", its way back: " : ", its watch: ") + why,
                        0));
    }

    /**
     * One node a zone first, the zone that is served worst before all others; once they are well,
     * the rest.
     */
    private List<RolloutAction> goBack(
            RolloutSnapshot snapshot, Rollout rollout, FencingToken token, MonotonicTime now) {
        List<RolloutAction> actions = new ArrayList<>();
        List<NodeName> waits = new ArrayList<>();
        NodeName late = null;
        for (NodeView nodeView : snapshot.nodeViews()) {
            NodeName node = nodeView.name();
            boolean old =
                    rollout.kind() == Rollout.Kind.PROGRAM
                            ? !runs(nodeView, rollout.kind(), rollout.to())
                            : runs(nodeView, rollout.kind(), rollout.from());
            if (rollout.isGiven(node)
                    || (!isThere(nodeView) && !hadIt.contains(node))
                    || (old && isWell(node, now))) {
                missing.remove(node);
                continue;
            }
            waits.add(node);
            if (isThere(nodeView)
                    && !old
                    && needsRestart(nodeView, rollout, rollout.from())
                    && !snapshot.hasPermit(node)) {
                actions.add(
                        new RolloutAction.PermitRestart(
                                "b" + rollout.number() + "." + node + "." + nodeView.incarnation(),
                                node));
                missing.remove(node); // it waits for its permit
                continue;
            }
            MonotonicTime since = missing.computeIfAbsent(node, none -> now);
            late = late == null && now.since(since).compareTo(limits.rejoin()) >= 0 ? node : late;
        }
        if (late != null) {
            return List.of(halt(rollout, token, late + " is not well with what it ran before"));
        }
        if (!waits.isEmpty()) {
            says =
                    "on its way back, waits for "
                            + waits.get(0)
                            + (waits.size() > 1 ? " and " + (waits.size() - 1) + " more" : "");
            return few(actions);
        }
        if (rollout.given().isEmpty()) {
            return List.of(
                    new RolloutAction.Propose(
                            new ClusterCommand.FinishRollout(
                                    token, rollout.number(), false, "all are back", 0)));
        }
        boolean first = rollout.steps() == rollout.turnedAt();
        return List.of(
                new RolloutAction.Propose(
                        new ClusterCommand.AdvanceRollout(
                                token,
                                rollout.number(),
                                rollout.steps() + 1,
                                true,
                                first ? worstFirst(snapshot, rollout) : rollout.given(),
                                first ? "one of each zone first" : "the first are well again",
                                null,
                                0)));
    }

    private static List<RolloutAction> few(List<RolloutAction> actions) {
        return actions.subList(0, Math.min(actions.size(), MAX_REQUESTED));
    }

    /** Of each zone the node that is served worst, in the order of how bad that is. */
    private List<NodeName> worstFirst(RolloutSnapshot snapshot, Rollout rollout) {
        Map<String, NodeView> worst = new TreeMap<>();
        snapshot.nodeViews().stream()
                .filter(nodeView -> rollout.isGiven(nodeView.name()))
                .forEach(
                        nodeView ->
                                worst.merge(
                                        nodeView.site().toString(),
                                        nodeView,
                                        (one, other) ->
                                                bad(one.name()) >= bad(other.name())
                                                        ? one
                                                        : other));
        List<NodeName> nodes =
                worst.values().stream()
                        .map(NodeView::name)
                        .sorted(
                                Comparator.comparing((NodeName node) -> -bad(node))
                                        .thenComparing(node -> node))
                        .toList();
        return nodes.isEmpty() ? rollout.given() : nodes; // who has it may be known no more
    }

    private double bad(NodeName node) {
        RequestCounts.ClassCounts all = histories.get(node).sinceMark().all();
        return all.all() == 0 ? 1 : (double) all.bad() / all.all();
    }
}
