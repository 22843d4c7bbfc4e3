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
 * Runs a rollout for the holder of the rollout controller duty: checks that all reachable nodes,
 * more than half of all, accept the release (nodes don't check a program in advance, but must
 * support rollouts), gives it to one node of each site, then to growing waves, and observes the
 * nodes after each wave. Its decisions are in the cluster state; its observations are not, so a new
 * holder of the duty starts to observe the current wave anew. It never resumes a halted rollout.
 */
public final class RolloutController {
    /**
     * The number of changed nodes grows at most by this factor with each wave but the last, which
     * takes all unchanged nodes once only a few are left.
     */
    private static final double WAVE_GROWTH_FACTOR = 3;

    /**
     * Largest share of the unchanged nodes, rounded up to a whole node, that any wave but the first
     * and the last may take; the others are left to compare with.
     */
    private static final double MAX_WAVE_RATIO = 0.6;

    private static final int MAX_PERMIT_REQUESTS_PER_DECISION = 8;

    /**
     * Maximum number of stored baseline entries, so that several such commands fit into one
     * message. An entry is one request class of one node; if there would be more, an entry is the
     * total of one node.
     */
    private static final int MAX_BASELINE_ENTRIES = 330;

    private final NodeName self;
    private final CanaryLimits limits;
    private final Map<NodeName, NodeHistory> histories = new HashMap<>();
    private long rolloutNumber = -1;
    private int step = -1;
    private boolean isRollingBack;
    private boolean wasHalted;

    /** When this controller first saw the current step. */
    private MonotonicTime stepSeenAt;

    /** Start of the observation of the current wave; null until its nodes run the release. */
    private MonotonicTime watchStartedAt;

    /** Since when a node has not been healthy with the version that it is to run. */
    private final Map<NodeName, MonotonicTime> unhealthySince = new HashMap<>();

    /** Nodes that were given the release and wait for a disruption permit to restart with it. */
    private final Set<NodeName> awaitingPermit = new HashSet<>();

    /** All nodes that were seen to be given the release in this rollout. */
    private final Set<NodeName> everGiven = new HashSet<>();

    private int haltCount;
    private String statusMessage = "";
    private boolean needsBaseline;

    public RolloutController(NodeName self, CanaryLimits limits) {
        this.self = self;
        this.limits = limits;
    }

    /** What the controller waits for, or its last finding, in one line. */
    public String statusMessage() {
        return statusMessage;
    }

    /**
     * Whether the next snapshot is to contain the stored baseline counts, since the rollout began
     * under another holder of the duty.
     */
    public boolean needsBaseline() {
        return needsBaseline;
    }

    /**
     * Returns the next actions. Called regularly with a new snapshot; actions are returned again
     * until the cluster state shows that they were carried out. Each repeated halt has a new order
     * identifier.
     */
    public List<RolloutAction> decide(
            RolloutSnapshot snapshot, FencingToken token, MonotonicTime now) {
        Rollout rollout = snapshot.rollout();
        if (rollout == null) {
            rolloutNumber = -1;
            statusMessage = "";
            histories.clear();
            return snapshot.haltedBy().isEmpty() ? restartOutdated(snapshot) : List.of();
        }
        if (rollout.number() != rolloutNumber) {
            rolloutNumber = rollout.number();
            step = -1;
            histories.clear();
            everGiven.clear();
            needsBaseline = rollout.steps() > 0;
        }
        Set<NodeName> known = new HashSet<>();
        for (NodeView nodeView : snapshot.nodeViews()) {
            known.add(nodeView.name());
            histories
                    .computeIfAbsent(nodeView.name(), key -> new NodeHistory())
                    .update(
                            nodeView,
                            now,
                            limits.minWatch().times(1.0 / NodeHistory.SAMPLES_PER_WATCH));
        }
        histories.keySet().retainAll(known);
        everGiven.addAll(rollout.updatedNodes());
        if (needsBaseline && snapshot.baselineCounts() != null) {
            needsBaseline = false;
            snapshot.baselineCounts()
                    .forEach(
                            (node, requestCounts) ->
                                    Optional.ofNullable(histories.get(new NodeName(node)))
                                            .ifPresent(
                                                    history ->
                                                            history.setBaselineCounts(
                                                                    requestCounts)));
        }
        boolean isHalted = !snapshot.haltedBy().isEmpty();
        if (rollout.steps() != step
                || rollout.isRollingBack() != isRollingBack
                || (wasHalted && !isHalted)) {
            step = rollout.steps();
            isRollingBack = rollout.isRollingBack();
            stepSeenAt = now;
            watchStartedAt = null;
            unhealthySince.clear();
        }
        wasHalted = isHalted;
        if (isHalted) {
            statusMessage = "halted by " + snapshot.haltedBy();
            return List.of();
        }
        if (rollout.isRollingBack()) {
            return rollBack(snapshot, rollout, token, now);
        }
        return rollout.steps() == 0
                ? prepare(snapshot, rollout, token, now)
                : advance(snapshot, rollout, token, now);
    }

    /**
     * Requests permits for nodes that need a restart to run the agreed configuration, because they
     * were disconnected when it changed, or rejoined while no leader could inform them.
     */
    private List<RolloutAction> restartOutdated(RolloutSnapshot snapshot) {
        List<RolloutAction> actions = new ArrayList<>();
        for (NodeView nodeView : snapshot.nodeViews()) {
            boolean isOutdated =
                    isReachable(nodeView)
                            && nodeView.report() != null
                            && !nodeView.report().configDigest().equals(snapshot.agreedDigest());
            if (isOutdated
                    && reportsRestartNeeded(nodeView, snapshot.agreedDigest())
                    && !snapshot.hasPermit(nodeView.name())) {
                actions.add(
                        new RolloutAction.PermitRestart(
                                "g"
                                        + snapshot.agreedDigest()
                                        + "."
                                        + nodeView.name()
                                        + "."
                                        + nodeView.incarnation(),
                                nodeView.name()));
            }
        }
        statusMessage =
                actions.isEmpty()
                        ? ""
                        : actions.size() + " nodes need a restart to run the agreed configuration";
        return limitRequests(actions);
    }

    // ---- preparation ----

    private List<RolloutAction> prepare(
            RolloutSnapshot snapshot, Rollout rollout, FencingToken token, MonotonicTime now) {
        List<NodeView> reachable =
                snapshot.nodeViews().stream().filter(RolloutController::isReachable).toList();
        for (NodeView nodeView : reachable) {
            NodeReport report = nodeView.report();
            if (report == null) {
                return refuse(
                        rollout,
                        token,
                        nodeView.name() + " runs a program version that doesn't support rollouts");
            }
            NodeReport.ConfigCheck checked = report.configCheck();
            if (rollout.kind() == Rollout.Kind.CONFIGURATION
                    && checked != null
                    && checked.digest().equals(rollout.to())
                    && !checked.usable()) {
                return refuse(
                        rollout,
                        token,
                        nodeView.name() + " rejects the configuration: " + checked.why());
            }
        }
        List<NodeName> unchecked =
                reachable.stream()
                        .filter(nodeView -> !isChecked(nodeView, rollout))
                        .map(NodeView::name)
                        .toList();
        if (reachable.size() * 2 <= snapshot.nodeViews().size()) {
            statusMessage =
                    "only "
                            + reachable.size()
                            + " of "
                            + snapshot.nodeViews().size()
                            + " nodes are reachable";
            return refuseIfLate(rollout, token, now);
        }
        if (!unchecked.isEmpty()) {
            statusMessage =
                    "waiting for "
                            + unchecked.get(0)
                            + (unchecked.size() > 1
                                    ? " and " + (unchecked.size() - 1) + " more"
                                    : "")
                            + " to check the release";
            return refuseIfLate(rollout, token, now);
        }
        if (now.since(stepSeenAt).compareTo(limits.minWatch()) < 0) {
            statusMessage = "recording the baseline before the first wave";
            return List.of();
        }
        Map<String, RequestCounts> baselineCounts = new TreeMap<>();
        long countEntries =
                snapshot.nodeViews().stream()
                        .filter(nodeView -> nodeView.report() != null)
                        .mapToLong(nodeView -> nodeView.report().requestCounts().counts().size())
                        .sum();
        histories.forEach(
                (node, history) -> {
                    RequestCounts latest = history.latestCounts(limits.minWatch(), now);
                    if (latest != null && baselineCounts.size() < MAX_BASELINE_ENTRIES) {
                        // Large clusters store all request classes together, since counts by
                        // request class would be too long.
                        baselineCounts.put(
                                node.text(),
                                countEntries <= MAX_BASELINE_ENTRIES
                                        ? latest
                                        : new RequestCounts(List.of(latest.all())));
                    }
                    history.setBaselineCounts(latest);
                });
        return giveTo(
                rollout,
                token,
                chooseCanaries(snapshot, rollout),
                "all reachable nodes accept the release",
                baselineCounts);
    }

    /**
     * Whether the node runs the previous or the new version, and has checked the new one. Always
     * true for a program, which nodes don't check in advance.
     */
    private static boolean isChecked(NodeView nodeView, Rollout rollout) {
        NodeReport report = nodeView.report();
        if (rollout.kind() == Rollout.Kind.PROGRAM) {
            return true;
        }
        boolean settled =
                report.configDigest().equals(rollout.from())
                        || report.configDigest().equals(rollout.to());
        return settled
                && report.configCheck() != null
                && report.configCheck().digest().equals(rollout.to());
    }

    /** Refuses the release if it has been waiting for too long. */
    private List<RolloutAction> refuseIfLate(
            Rollout rollout, FencingToken token, MonotonicTime now) {
        return now.since(stepSeenAt).compareTo(limits.maxWatch()) < 0
                ? List.of()
                : refuse(rollout, token, statusMessage);
    }

    private static List<RolloutAction> refuse(Rollout rollout, FencingToken token, String why) {
        return List.of(
                new RolloutAction.Propose(
                        new ClusterCommand.FinishRollout(token, rollout.number(), false, why, 0)));
    }

    private static boolean isReachable(NodeView nodeView) {
        return nodeView.status() == NodeStatus.WARM || nodeView.status() == NodeStatus.UP;
    }

    // ---- waves ----

    /** One healthy node of each site; this node only if it is the only one. */
    private List<NodeName> chooseCanaries(RolloutSnapshot snapshot, Rollout rollout) {
        Map<String, List<NodeView>> sites = unchangedBySite(snapshot, rollout);
        List<NodeName> chosen = new ArrayList<>();
        sites.values()
                .forEach(
                        site ->
                                site.stream()
                                        .findFirst()
                                        .ifPresent(nodeView -> chosen.add(nodeView.name())));
        return chosen;
    }

    /** Healthy nodes without the release by site, ordered by name with this node last. */
    private Map<String, List<NodeView>> unchangedBySite(RolloutSnapshot snapshot, Rollout rollout) {
        Map<String, List<NodeView>> sites = new TreeMap<>();
        snapshot.nodeViews().stream()
                .filter(
                        nodeView ->
                                nodeView.status() == NodeStatus.WARM
                                        && !rollout.isUpdated(nodeView.name()))
                .sorted(
                        Comparator.comparing((NodeView nodeView) -> nodeView.name().equals(self))
                                .thenComparing(NodeView::name))
                .forEach(
                        nodeView ->
                                sites.computeIfAbsent(
                                                nodeView.site().toString(),
                                                key -> new ArrayList<>())
                                        .add(nodeView));
        return sites;
    }

    private List<NodeName> chooseNextWave(RolloutSnapshot snapshot, Rollout rollout) {
        Map<String, List<NodeView>> sites = unchangedBySite(snapshot, rollout);
        int unchanged = sites.values().stream().mapToInt(List::size).sum();
        int given = rollout.updatedNodes().size();
        int all = given + unchanged;
        int maxLastWave = Math.max(sites.size(), all / 10);
        int size =
                unchanged <= maxLastWave
                        ? unchanged
                        : (int)
                                Math.max(
                                        1,
                                        Math.min(
                                                given * (WAVE_GROWTH_FACTOR - 1),
                                                Math.ceil(unchanged * MAX_WAVE_RATIO)));
        List<NodeName> chosen = new ArrayList<>();
        for (int index = 0; chosen.size() < size; index++) {
            for (List<NodeView> site : sites.values()) {
                if (index < site.size() && chosen.size() < size) {
                    chosen.add(site.get(index).name());
                }
            }
        }
        return chosen;
    }

    private static List<RolloutAction> giveTo(
            Rollout rollout,
            FencingToken token,
            List<NodeName> nodes,
            String why,
            Map<String, RequestCounts> baselineCounts) {
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
                                        baselineCounts,
                                        0)));
    }

    /**
     * Waits until all nodes that were given the release are healthy with it or have exceeded the
     * rejoin timeout (these count as lost), then observes the current wave and decides on the next
     * one.
     */
    private List<RolloutAction> advance(
            RolloutSnapshot snapshot, Rollout rollout, FencingToken token, MonotonicTime now) {
        List<RolloutAction> actions = new ArrayList<>();
        List<NodeName> waitingFor = new ArrayList<>();
        awaitingPermit.clear();
        for (NodeName node : rollout.updatedNodes()) {
            NodeView nodeView = snapshot.of(node).orElse(null);
            if (nodeView == null
                    || (runs(nodeView, rollout.kind(), rollout.to()) && isHealthy(node, now))) {
                unhealthySince.remove(node);
                continue;
            }
            if (isReachable(nodeView)
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
                    unhealthySince.remove(node); // waiting for a permit is no fault of the node
                    awaitingPermit.add(node);
                    waitingFor.add(node);
                    continue;
                }
            }
            MonotonicTime since = unhealthySince.computeIfAbsent(node, key -> now);
            if (now.since(since).compareTo(limits.rejoinTimeout()) < 0) {
                waitingFor.add(node);
            }
        }
        if (!waitingFor.isEmpty()) {
            statusMessage =
                    "waiting for "
                            + waitingFor.get(0)
                            + (waitingFor.size() > 1
                                    ? " and " + (waitingFor.size() - 1) + " more"
                                    : "")
                            + " to be healthy with the release";
            watchStartedAt = watchStartedAt == null || !actions.isEmpty() ? null : watchStartedAt;
        } else if (watchStartedAt == null) {
            watchStartedAt = now;
            histories.values().forEach(NodeHistory::mark);
        }
        if (watchStartedAt == null) {
            CanaryVerdict losses = CanaryAnalysis.judgeLosses(samples(snapshot, rollout, now));
            if (losses != null) {
                return List.of(rollBackOrHalt(rollout, token, losses.text()));
            }
            return now.since(stepSeenAt).compareTo(limits.maxWatch().plus(limits.rejoinTimeout()))
                            < 0
                    ? limitRequests(actions)
                    : List.of(halt(rollout, token, "the wave takes too long: " + statusMessage));
        }
        actions.addAll(judgeWave(snapshot, rollout, token, now, waitingFor.isEmpty()));
        return actions;
    }

    private List<RolloutAction> judgeWave(
            RolloutSnapshot snapshot,
            Rollout rollout,
            FencingToken token,
            MonotonicTime now,
            boolean isSettled) {
        NanoDuration watched = now.since(watchStartedAt);
        CanaryVerdict verdict = CanaryAnalysis.judge(samples(snapshot, rollout, now), limits);
        statusMessage = verdict.text();
        if (verdict.kind() == CanaryVerdict.Kind.WORSE) {
            return List.of(rollBackOrHalt(rollout, token, verdict.text()));
        }
        if (watched.compareTo(limits.minWatch()) < 0 || !isSettled) {
            return List.of();
        }
        if (verdict.kind() == CanaryVerdict.Kind.UNSURE) {
            return watched.compareTo(limits.maxWatch()) < 0
                    ? List.of()
                    : List.of(
                            halt(
                                    rollout,
                                    token,
                                    "canary analysis is inconclusive: " + verdict.text()));
        }
        boolean isComplete =
                snapshot.nodeViews().stream()
                        .allMatch(
                                nodeView ->
                                        rollout.isUpdated(nodeView.name())
                                                || (!isReachable(nodeView)
                                                        && nodeView.status()
                                                                != NodeStatus.LEAVING));
        if (!isComplete) {
            long unavailableNodes =
                    snapshot.nodeViews().stream()
                            .filter(nodeView -> nodeView.status() != NodeStatus.WARM)
                            .count();
            return unavailableNodes > snapshot.maxUnavailableNodes()
                    ? List.of(
                            halt(
                                    rollout,
                                    token,
                                    unavailableNodes
                                            + " of "
                                            + snapshot.nodeViews().size()
                                            + " nodes are unavailable, and the disruption limit is "
                                            + snapshot.maxUnavailableNodes()
                                            + " nodes"))
                    : giveTo(
                            rollout,
                            token,
                            chooseNextWave(snapshot, rollout),
                            verdict.text(),
                            null);
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
                    rollout.isUpdated(nodeView.name()) && !awaitingPermit.contains(nodeView.name());
            if (!changed && !history.wasEverHealthy()) {
                continue; // it was unavailable before the rollout began
            }
            MonotonicTime since = unhealthySince.get(nodeView.name());
            boolean isLost =
                    changed
                            ? since != null
                                    && now.since(since).compareTo(limits.rejoinTimeout()) >= 0
                            : history.isLost(limits.rejoinTimeout(), now);
            samples.add(
                    new NodeSample(
                            nodeView.name(),
                            nodeView.site(),
                            changed,
                            history.baselineCounts(),
                            history.countsSinceMark(),
                            watchStartedAt == null || snapshot.hasPermit(nodeView.name())
                                    ? 0
                                    : history.restartsSinceMark(),
                            isLost));
        }
        return samples;
    }

    private boolean isHealthy(NodeName node, MonotonicTime now) {
        NodeHistory history = histories.get(node);
        return history != null && history.isHealthyFor(limits.minHealthyTime(), now);
    }

    private static boolean runs(NodeView nodeView, Rollout.Kind kind, String version) {
        NodeReport report = nodeView.report();
        return report != null
                && version.equals(
                        kind == Rollout.Kind.PROGRAM ? report.program() : report.configDigest());
    }

    /** Whether the node needs a restart to run this version of the program or configuration. */
    private static boolean needsRestart(NodeView nodeView, Rollout rollout, String version) {
        return rollout.kind() == Rollout.Kind.PROGRAM || reportsRestartNeeded(nodeView, version);
    }

    private static boolean reportsRestartNeeded(NodeView nodeView, String digest) {
        NodeReport.ConfigCheck checked =
                nodeView.report() == null ? null : nodeView.report().configCheck();
        return checked != null && checked.digest().equals(digest) && checked.needsRestart();
    }

    // ---- halting and rolling back ----

    private RolloutAction rollBackOrHalt(Rollout rollout, FencingToken token, String why) {
        return rollout.rollsBackAutomatically()
                ? new RolloutAction.Propose(
                        new ClusterCommand.RollBack(
                                "back" + rollout.number(),
                                rollout.number(),
                                "the canary analysis (" + why + ")",
                                0))
                : halt(rollout, token, why);
    }

    private RolloutAction halt(Rollout rollout, FencingToken token, String why) {
        String order =
                "r" + rollout.number() + "." + rollout.steps() + "." + token + "." + haltCount++;
        return new RolloutAction.Propose(
                new ClusterCommand.SetHalt(
                        order,
                        true,
                        rollout
                                + (rollout.isRollingBack() ? ", rolling back: " : ", rolling out: ")
                                + why,
                        0));
    }

    /**
     * Rolls back the node of each site that serves requests worst; once these are healthy, all
     * others.
     */
    private List<RolloutAction> rollBack(
            RolloutSnapshot snapshot, Rollout rollout, FencingToken token, MonotonicTime now) {
        List<RolloutAction> actions = new ArrayList<>();
        List<NodeName> waitingFor = new ArrayList<>();
        NodeName overdue = null;
        for (NodeView nodeView : snapshot.nodeViews()) {
            NodeName node = nodeView.name();
            boolean runsPrevious =
                    rollout.kind() == Rollout.Kind.PROGRAM
                            ? !runs(nodeView, rollout.kind(), rollout.to())
                            : runs(nodeView, rollout.kind(), rollout.from());
            if (rollout.isUpdated(node)
                    || (!isReachable(nodeView) && !everGiven.contains(node))
                    || (runsPrevious && isHealthy(node, now))) {
                unhealthySince.remove(node);
                continue;
            }
            waitingFor.add(node);
            if (isReachable(nodeView)
                    && !runsPrevious
                    && needsRestart(nodeView, rollout, rollout.from())
                    && !snapshot.hasPermit(node)) {
                actions.add(
                        new RolloutAction.PermitRestart(
                                "b" + rollout.number() + "." + node + "." + nodeView.incarnation(),
                                node));
                unhealthySince.remove(node); // waiting for a permit is no fault of the node
                continue;
            }
            MonotonicTime since = unhealthySince.computeIfAbsent(node, key -> now);
            overdue =
                    overdue == null && now.since(since).compareTo(limits.rejoinTimeout()) >= 0
                            ? node
                            : overdue;
        }
        if (overdue != null) {
            return List.of(
                    halt(rollout, token, overdue + " is not healthy with the previous version"));
        }
        if (!waitingFor.isEmpty()) {
            statusMessage =
                    "rolling back, waiting for "
                            + waitingFor.get(0)
                            + (waitingFor.size() > 1
                                    ? " and " + (waitingFor.size() - 1) + " more"
                                    : "");
            return limitRequests(actions);
        }
        if (rollout.updatedNodes().isEmpty()) {
            return List.of(
                    new RolloutAction.Propose(
                            new ClusterCommand.FinishRollout(
                                    token, rollout.number(), false, "all nodes rolled back", 0)));
        }
        boolean isFirstStep = rollout.steps() == rollout.stepsBeforeRollback();
        return List.of(
                new RolloutAction.Propose(
                        new ClusterCommand.AdvanceRollout(
                                token,
                                rollout.number(),
                                rollout.steps() + 1,
                                true,
                                isFirstStep
                                        ? chooseWorstOfEachSite(snapshot, rollout)
                                        : rollout.updatedNodes(),
                                isFirstStep
                                        ? "one node of each site first"
                                        : "the first nodes are healthy again",
                                null,
                                0)));
    }

    private static List<RolloutAction> limitRequests(List<RolloutAction> actions) {
        return actions.subList(0, Math.min(actions.size(), MAX_PERMIT_REQUESTS_PER_DECISION));
    }

    /**
     * The node of each site that serves requests worst. The worst of them is the first in the list,
     * since the history names the first; all are rolled back by one command.
     */
    private List<NodeName> chooseWorstOfEachSite(RolloutSnapshot snapshot, Rollout rollout) {
        Map<String, NodeView> worst = new TreeMap<>();
        snapshot.nodeViews().stream()
                .filter(nodeView -> rollout.isUpdated(nodeView.name()))
                .forEach(
                        nodeView ->
                                worst.merge(
                                        nodeView.site().toString(),
                                        nodeView,
                                        (first, second) ->
                                                badRatio(first.name()) >= badRatio(second.name())
                                                        ? first
                                                        : second));
        List<NodeName> nodes =
                worst.values().stream()
                        .map(NodeView::name)
                        .sorted(
                                Comparator.comparing((NodeName node) -> -badRatio(node))
                                        .thenComparing(node -> node))
                        .toList();
        // If no node with the release is in the node view any more, all are rolled back at once.
        return nodes.isEmpty() ? rollout.updatedNodes() : nodes;
    }

    /** The share of requests since the mark that were not served in time; 1 without requests. */
    private double badRatio(NodeName node) {
        RequestCounts.ClassCounts total = histories.get(node).countsSinceMark().all();
        return total.total() == 0 ? 1 : (double) total.notServedInTime() / total.total();
    }
}
