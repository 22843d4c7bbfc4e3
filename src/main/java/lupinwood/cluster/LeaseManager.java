package lupinwood.cluster;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;

/**
 * Decides for the consensus group while the voter to which it belongs leads: which nodes are
 * healthy, and which node is to hold which duty. What it learns from heartbeats is not replicated.
 * A new leader learns most of it from the next heartbeats; it doesn't know which nodes earlier
 * leaders made ineligible, and waits until all capacity leases of earlier leaders have expired
 * before it retires plans. What must outlast the leader goes into the cluster state by commands.
 *
 * <p>A duty is granted to another node only after its holder reported that it stopped, or has
 * certainly stopped: after the last reply to the holder, the lease plus the clock drift has passed.
 * A new leader can't know when that reply was, so it counts from when it began to lead. The holder
 * itself stops by {@link HeldLeases#tokenFor}.
 *
 * <p>Not thread-safe: owned by the task loop thread of the cluster's membership, as {@code
 * consensus.RaftReplica} is.
 */
public final class LeaseManager {
    /** What the leader knows of one node in addition to the cluster state. */
    private static final class LatestHeartbeat {
        Heartbeat heartbeat;
        MonotonicTime receivedAt;

        /** Since when it has been warm and heard without a break; null while it is not warm. */
        MonotonicTime warmSince;

        LatestHeartbeat(Heartbeat heartbeat, MonotonicTime receivedAt) {
            this.heartbeat = heartbeat;
            this.receivedAt = receivedAt;
        }
    }

    /** A node's name and incarnation, as a key. */
    private record IncarnationKey(NodeName name, Incarnation incarnation) {}

    /**
     * How long a node is ineligible for a duty after a failure at it.
     *
     * @param earlierFailures earlier failures of the node at this duty
     * @param until when the node may get the duty again
     */
    private record Ineligibility(int earlierFailures, MonotonicTime until) {}

    private static final Comparator<MonotonicTime> EARLIEST_FIRST = Comparator.naturalOrder();

    /** How long a restarted node must be healthy until its permit ends, in lease durations. */
    private static final double PERMIT_END_HEALTHY_LEASES = 2;

    /** How long a permit may stay unused, in lease durations. */
    private static final double UNUSED_PERMIT_LEASES = 20;

    private final LeaseTiming timing;
    private final List<DutyName> duties;
    private final Map<NodeName, LatestHeartbeat> latestHeartbeats = new HashMap<>();

    /** When a duty's holder has certainly stopped, unless its lease is renewed before. */
    private final TreeMap<DutyName, MonotonicTime> leaseExpiries = new TreeMap<>();

    private final Map<DutyName, Map<NodeName, Ineligibility>> ineligibilities = new HashMap<>();
    private final Map<String, HealthCheckResult> healthChecks = new LinkedHashMap<>();
    private final Map<String, MonotonicTime> checkedAt = new HashMap<>();

    /**
     * Leases that this leader decided to end. No reply renews them, even before the command that
     * ends them is applied, however long that takes.
     */
    private final Set<Lease> endingLeases = new HashSet<>();

    /**
     * Since when the leader has seen a permit's node warm without a break, still under the permit's
     * incarnation; by the permit's number.
     */
    private final Map<Long, MonotonicTime> permitUnusedSince = new HashMap<>();

    /** Until when an incarnation may follow each plan that a reply has sent to it. */
    private final Map<IncarnationKey, TreeMap<Long, MonotonicTime>> plansInUse = new HashMap<>();

    /** Null while this voter doesn't lead. */
    private MonotonicTime leadingSince;

    /** Whether some node runs a configuration other than the wanted one. */
    private boolean isSomeNodeOutdated;

    public LeaseManager(LeaseTiming timing, List<DutyName> duties) {
        this.timing = timing;
        this.duties = List.copyOf(duties);
    }

    /** Starts to decide, when this voter becomes the leader. */
    public void onElected(ClusterState clusterState, MonotonicTime now) {
        leadingSince = now;
        latestHeartbeats.clear();
        leaseExpiries.clear();
        endingLeases.clear();
        permitUnusedSince.clear();
        plansInUse.clear();
        healthChecks.clear();
        checkedAt.clear();
        clusterState.duties().stream()
                .filter(dutyLease -> !dutyLease.isFree())
                .forEach(
                        dutyLease ->
                                leaseExpiries.put(
                                        dutyLease.duty(), now.plus(timing.expiresAfter())));
    }

    /**
     * Stops deciding, when this voter is no longer the leader. Commands that it decided before may
     * still be applied, or be lost.
     */
    public void onDeposed() {
        leadingSince = null;
    }

    public boolean isLeading() {
        return leadingSince != null;
    }

    /**
     * Handles a heartbeat.
     *
     * @return why the node is not accepted as a member, or an empty text
     */
    public String onHeartbeat(Heartbeat heartbeat, ClusterState clusterState, MonotonicTime now) {
        if (heartbeat.version() != Heartbeat.VERSION) {
            return "heartbeat version "
                    + heartbeat.version()
                    + " is not supported, expected version "
                    + Heartbeat.VERSION;
        }
        LatestHeartbeat previous = latestHeartbeats.get(heartbeat.name());
        ClusterState.Member member = clusterState.member(heartbeat.name());
        boolean isAnotherIncarnation =
                member != null
                        && member.active()
                        && !member.incarnation().equals(heartbeat.incarnation());
        if (isAnotherIncarnation
                && previous != null
                && previous.heartbeat.incarnation().equals(member.incarnation())
                && isFresh(previous, now)) {
            // Guards against two processes under one name: the member stays until it is silent.
            return "the name " + heartbeat.name() + " is in use by another process";
        }
        if (member == null && clusterState.isFull()) {
            return "the cluster is full: it holds at most "
                    + clusterState.members().size()
                    + " nodes";
        }
        if (previous != null && previous.heartbeat.incarnation().equals(heartbeat.incarnation())) {
            if (heartbeat.number() < previous.heartbeat.number()) {
                return ""; // a newer heartbeat overtook it
            }
            boolean wasWarm =
                    previous.heartbeat.condition() == NodeCondition.WARM && isFresh(previous, now);
            previous.heartbeat = heartbeat;
            previous.receivedAt = now;
            previous.warmSince =
                    heartbeat.condition() != NodeCondition.WARM
                            ? null
                            : wasWarm ? previous.warmSince : now;
        } else {
            LatestHeartbeat first = new LatestHeartbeat(heartbeat, now);
            first.warmSince = heartbeat.condition() == NodeCondition.WARM ? now : null;
            latestHeartbeats.put(heartbeat.name(), first);
        }
        recordHealthChecks(heartbeat, clusterState, now);
        return "";
    }

    /** Takes results under the present holder's token only, and the latest for each server. */
    private void recordHealthChecks(
            Heartbeat heartbeat, ClusterState clusterState, MonotonicTime now) {
        ClusterState.DutyLease healthCheckDuty = clusterState.duty(DutyName.HEALTH_CHECK);
        for (HealthCheckResult result : heartbeat.healthChecks()) {
            MonotonicTime madeAt = now.minus(result.age());
            MonotonicTime previous = checkedAt.get(result.server());
            if (healthCheckDuty.isHeldBy(heartbeat.name(), heartbeat.incarnation())
                    && healthCheckDuty.token().equals(result.token())
                    && (previous == null || previous.isBefore(madeAt))
                    && (previous != null || checkedAt.size() < Heartbeat.MAX_LIST_LENGTH)) {
                healthChecks.put(result.server(), result);
                checkedAt.put(result.server(), madeAt);
            }
        }
        checkedAt
                .values()
                .removeIf(time -> timing.leaseDuration().times(4).compareTo(now.since(time)) < 0);
        healthChecks.keySet().retainAll(checkedAt.keySet());
    }

    private boolean isFresh(LatestHeartbeat latest, MonotonicTime now) {
        return now.since(latest.receivedAt).compareTo(timing.silenceTimeout()) <= 0;
    }

    /**
     * The commands that are to be applied to the cluster state now. Each is repeated until its
     * effect is there, so a lost command does no harm.
     *
     * @param tokensAbove fencing tokens start above it in a new cluster state
     */
    public List<ClusterCommand> decide(
            ClusterState clusterState, long tokensAbove, MonotonicTime now) {
        List<ClusterCommand> commands = new ArrayList<>();
        if (!isLeading()) {
            return commands;
        }
        if (!clusterState.isBootstrapped()) {
            commands.add(new ClusterCommand.Bootstrap(tokensAbove));
            return commands;
        }
        updateMembers(clusterState, now, commands);
        isSomeNodeOutdated =
                latestHeartbeats.values().stream()
                        .anyMatch(
                                latest ->
                                        isFresh(latest, now)
                                                && latest.heartbeat.report() != null
                                                && !clusterState
                                                        .desiredState(latest.heartbeat.name())
                                                        .configDigest()
                                                        .equals(
                                                                latest.heartbeat
                                                                        .report()
                                                                        .configDigest()));
        returnPermits(clusterState, now, commands);
        retirePlans(clusterState, now, commands);
        for (DutyName duty : duties) {
            ClusterState.DutyLease dutyLease = clusterState.duty(duty);
            if (dutyLease.isFree()) {
                leaseExpiries.remove(duty);
                endingLeases.removeIf(lease -> lease.duty().equals(duty));
                selectHolder(duty, clusterState, now)
                        .ifPresent(
                                heir ->
                                        commands.add(
                                                new ClusterCommand.GrantLease(
                                                        duty,
                                                        heir.name(),
                                                        heir.incarnation(),
                                                        dutyLease.token())));
            } else {
                endLeaseIfDue(dutyLease, now, commands);
            }
        }
        return commands;
    }

    private void updateMembers(
            ClusterState clusterState, MonotonicTime now, List<ClusterCommand> commands) {
        for (LatestHeartbeat latest : latestHeartbeats.values()) {
            Heartbeat heartbeat = latest.heartbeat;
            ClusterState.Member member = clusterState.member(heartbeat.name());
            boolean isMember =
                    member != null
                            && member.active()
                            && member.incarnation().equals(heartbeat.incarnation());
            boolean siteChanged = member != null && !member.site().equals(heartbeat.site());
            if (isMember && heartbeat.condition() == NodeCondition.GONE) {
                commands.add(new ClusterCommand.Leave(heartbeat.name(), heartbeat.incarnation()));
                continue;
            }
            boolean wantsToJoin =
                    heartbeat.condition() == NodeCondition.COLD
                            || heartbeat.condition() == NodeCondition.WARM;
            if (isFresh(latest, now) && ((!isMember && wantsToJoin) || (isMember && siteChanged))) {
                commands.add(
                        new ClusterCommand.Join(
                                heartbeat.name(), heartbeat.incarnation(), heartbeat.site()));
            }
        }
    }

    /**
     * Ends a permit when its node has been healthy for a while under another incarnation, or has
     * kept running without using the permit.
     */
    private void returnPermits(
            ClusterState clusterState, MonotonicTime now, List<ClusterCommand> commands) {
        for (DisruptionPermit permit : clusterState.permits()) {
            LatestHeartbeat latest = latestHeartbeats.get(permit.node());
            MonotonicTime warmSince =
                    latest == null || !isFresh(latest, now) ? null : latest.warmSince;
            boolean isAnotherIncarnation =
                    latest != null && !latest.heartbeat.incarnation().equals(permit.incarnation());
            if (warmSince == null) {
                permitUnusedSince.remove(permit.number());
            } else if (isAnotherIncarnation
                    && now.since(warmSince)
                                    .compareTo(
                                            timing.leaseDuration().times(PERMIT_END_HEALTHY_LEASES))
                            >= 0) {
                commands.add(new ClusterCommand.ReturnPermit(permit.number(), "well again", 0));
            } else if (!isAnotherIncarnation) {
                MonotonicTime unusedSince =
                        permitUnusedSince.computeIfAbsent(permit.number(), number -> now);
                if (now.since(unusedSince)
                                .compareTo(timing.leaseDuration().times(UNUSED_PERMIT_LEASES))
                        >= 0) {
                    commands.add(new ClusterCommand.ReturnPermit(permit.number(), "never used", 0));
                }
            }
        }
        permitUnusedSince
                .keySet()
                .retainAll(clusterState.permits().stream().map(DisruptionPermit::number).toList());
    }

    /** Members that the leader sees as unavailable: all without a recent warm heartbeat. */
    public List<NodeName> unavailableNodes(ClusterState clusterState, MonotonicTime now) {
        return nodeViews(clusterState, now).stream()
                .filter(nodeView -> nodeView.status() != NodeStatus.WARM)
                .map(NodeView::name)
                .toList();
    }

    /** Ends a lease if its holder failed at the duty, released it, or has certainly stopped. */
    private void endLeaseIfDue(
            ClusterState.DutyLease dutyLease, MonotonicTime now, List<ClusterCommand> commands) {
        // A lease granted after this voter became leader has no expiry yet: it expires one lease
        // plus the clock drift after this method first sees it, unless a reply renews it.
        MonotonicTime expiry =
                leaseExpiries.computeIfAbsent(
                        dutyLease.duty(), duty -> now.plus(timing.expiresAfter()));
        LatestHeartbeat holder = latestHeartbeats.get(dutyLease.holder());
        if (holder != null && holder.heartbeat.incarnation().equals(dutyLease.incarnation())) {
            Lease lease = new Lease(dutyLease.duty(), dutyLease.token());
            if (holder.heartbeat.failedLeases().contains(lease)) {
                endingLeases.add(lease);
                makeIneligible(dutyLease.duty(), dutyLease.holder(), now);
                commands.add(
                        new ClusterCommand.ReleaseLease(
                                dutyLease.duty(),
                                dutyLease.token(),
                                ClusterCommand.LeaseEnd.FAILED));
                return;
            }
            if (holder.heartbeat.releasing().contains(lease)) {
                endingLeases.add(lease);
                commands.add(
                        new ClusterCommand.ReleaseLease(
                                dutyLease.duty(),
                                dutyLease.token(),
                                ClusterCommand.LeaseEnd.HANDED_ON));
                return;
            }
        }
        if (!now.isBefore(expiry)
                || endingLeases.contains(new Lease(dutyLease.duty(), dutyLease.token()))) {
            endingLeases.add(new Lease(dutyLease.duty(), dutyLease.token()));
            commands.add(
                    new ClusterCommand.ReleaseLease(
                            dutyLease.duty(), dutyLease.token(), ClusterCommand.LeaseEnd.LAPSED));
        }
    }

    private void makeIneligible(DutyName duty, NodeName name, MonotonicTime now) {
        Map<NodeName, Ineligibility> byNode =
                ineligibilities.computeIfAbsent(duty, key -> new HashMap<>());
        Ineligibility previous = byNode.get(name);
        if (previous != null && now.isBefore(previous.until())) {
            return; // the same failure, reported again before the lease's end was applied
        }
        int earlierFailures = previous == null ? 0 : previous.earlierFailures() + 1;
        NanoDuration duration =
                timing.ineligibility()
                        .times(Math.pow(2, Math.min(20, earlierFailures)))
                        .min(timing.maxIneligibility());
        byNode.put(name, new Ineligibility(earlierFailures, now.plus(duration)));
    }

    private boolean isIneligible(DutyName duty, NodeName name, MonotonicTime now) {
        Ineligibility ineligibility = ineligibilities.getOrDefault(duty, Map.of()).get(name);
        return ineligibility != null && now.isBefore(ineligibility.until());
    }

    /**
     * Selects the next holder of a duty among the healthy and eligible members: first by whether
     * most nodes of its zone are healthy, then by the fewest duties held, then by the longest time
     * healthy.
     */
    private Optional<ClusterState.Member> selectHolder(
            DutyName duty, ClusterState clusterState, MonotonicTime now) {
        if (now.since(leadingSince).compareTo(timing.heartbeatInterval()) < 0) {
            return Optional.empty(); // otherwise the first node heard would get all duties
        }
        Map<Site, int[]> zones = new HashMap<>(); // members in it, and how many are healthy
        for (ClusterState.Member member : clusterState.members()) {
            if (member.active()) {
                int[] zone = zones.computeIfAbsent(member.site(), site -> new int[2]);
                zone[0]++;
                zone[1] += isRecentlyWarm(member, now) ? 1 : 0;
            }
        }
        return clusterState.members().stream()
                .filter(
                        member ->
                                member.active()
                                        && isRecentlyWarm(member, now)
                                        && !isIneligible(duty, member.name(), now))
                .min(
                        Comparator.<ClusterState.Member>comparingInt(
                                        member -> {
                                            int[] zone = zones.get(member.site());
                                            return zone[1] * 2 > zone[0] ? 0 : 1;
                                        })
                                .thenComparingLong(
                                        member ->
                                                clusterState.duties().stream()
                                                        .filter(
                                                                dutyLease ->
                                                                        dutyLease.isHeldBy(
                                                                                member.name(),
                                                                                member
                                                                                        .incarnation()))
                                                        .count())
                                .thenComparing(
                                        member -> latestHeartbeats.get(member.name()).warmSince,
                                        EARLIEST_FIRST)
                                .thenComparing(ClusterState.Member::name));
    }

    /** Whether the member is warm and was heard within the last 1.6 heartbeat intervals. */
    private boolean isRecentlyWarm(ClusterState.Member member, MonotonicTime now) {
        LatestHeartbeat latest = latestHeartbeats.get(member.name());
        return latest != null
                && latest.heartbeat.incarnation().equals(member.incarnation())
                && latest.heartbeat.condition() == NodeCondition.WARM
                && now.since(latest.receivedAt).compareTo(timing.heartbeatInterval().times(1.6))
                        <= 0;
    }

    /**
     * The reply to a heartbeat. To be called once the consensus group has confirmed that this voter
     * still led after the heartbeat arrived; the leader counts the leases in the reply from now.
     *
     * @param trouble what {@link #onHeartbeat} returned
     */
    public HeartbeatReply replyTo(
            Heartbeat heartbeat,
            String trouble,
            ClusterState clusterState,
            NodeName self,
            MonotonicTime now) {
        List<Lease> leases = new ArrayList<>();
        if (trouble.isEmpty()) {
            for (ClusterState.DutyLease dutyLease : clusterState.duties()) {
                Lease lease = new Lease(dutyLease.duty(), dutyLease.token());
                boolean isStopping =
                        heartbeat.releasing().contains(lease)
                                || heartbeat.failedLeases().contains(lease);
                if (dutyLease.isHeldBy(heartbeat.name(), heartbeat.incarnation())
                        && !endingLeases.contains(lease)) {
                    // A lease that the node is releasing is still included, but not renewed, until
                    // this leader decides to end it: the node must know which release it still has
                    // to report.
                    leases.add(lease);
                    if (!isStopping) {
                        leaseExpiries.put(dutyLease.duty(), now.plus(timing.expiresAfter()));
                    }
                }
            }
        }
        List<HealthCheckResult> agedChecks = new ArrayList<>();
        healthChecks.forEach(
                (server, result) ->
                        agedChecks.add(
                                new HealthCheckResult(
                                        server,
                                        result.passed(),
                                        result.token(),
                                        now.since(checkedAt.get(server)))));
        int freshNodes =
                (int)
                        latestHeartbeats.values().stream()
                                .filter(latest -> isFresh(latest, now))
                                .count();
        long leavePermit =
                trouble.isEmpty()
                        ? clusterState.permits().stream()
                                .filter(
                                        permit ->
                                                permit.node().equals(heartbeat.name())
                                                        && permit.incarnation()
                                                                .equals(heartbeat.incarnation()))
                                .mapToLong(DisruptionPermit::number)
                                .findFirst()
                                .orElse(0)
                        : 0;
        return new HeartbeatReply(
                heartbeat.number(),
                true,
                self,
                trouble,
                timing.leaseDuration(),
                leases,
                agedChecks,
                leavePermit,
                clusterState.desiredState(heartbeat.name()).busyIf(isSomeNodeOutdated),
                trouble.isEmpty() ? grantCapacityShare(heartbeat, clusterState, now) : null,
                freshNodes);
    }

    /**
     * A node's part of the newest plan. The node may follow it for one lease, counted from when it
     * sent its heartbeat; the leader counts from now and adds the clock drift, so it assumes a
     * later end.
     */
    private HeartbeatReply.CapacityShare grantCapacityShare(
            Heartbeat heartbeat, ClusterState clusterState, MonotonicTime now) {
        CapacityPlan plan = clusterState.newestPlan();
        if (plan == null) {
            return null;
        }
        plansInUse
                .computeIfAbsent(
                        new IncarnationKey(heartbeat.name(), heartbeat.incarnation()),
                        key -> new TreeMap<>())
                .put(plan.number(), now.plus(timing.expiresAfter()));
        return new HeartbeatReply.CapacityShare(plan.number(), plan.slotsOf(heartbeat.name()));
    }

    /**
     * Retires older plans once no node can follow them any more: each incarnation that got such a
     * plan has reported a newer one, or its lease on the plan has expired. A new leader can't know
     * what earlier leaders sent, so it first waits until every lease that they granted has expired.
     */
    private void retirePlans(
            ClusterState clusterState, MonotonicTime now, List<ClusterCommand> commands) {
        CapacityPlan newest = clusterState.newestPlan();
        if (newest == null
                || clusterState.livePlans().size() < 2
                || now.since(leadingSince).compareTo(timing.expiresAfter()) < 0) {
            return;
        }
        long oldestInUse = newest.number();
        for (Iterator<Map.Entry<IncarnationKey, TreeMap<Long, MonotonicTime>>> iterator =
                        plansInUse.entrySet().iterator();
                iterator.hasNext(); ) {
            Map.Entry<IncarnationKey, TreeMap<Long, MonotonicTime>> inUse = iterator.next();
            LatestHeartbeat latest = latestHeartbeats.get(inUse.getKey().name());
            boolean hasReport =
                    latest != null
                            && latest.heartbeat.incarnation().equals(inUse.getKey().incarnation())
                            && latest.heartbeat.report() != null;
            long acknowledgedPlan = hasReport ? latest.heartbeat.report().plan() : 0;
            inUse.getValue()
                    .entrySet()
                    .removeIf(
                            plan ->
                                    !now.isBefore(plan.getValue())
                                            || plan.getKey() < acknowledgedPlan);
            if (inUse.getValue().isEmpty()) {
                iterator.remove();
            } else {
                oldestInUse = Math.min(oldestInUse, inUse.getValue().firstKey());
            }
        }
        if (oldestInUse > clusterState.livePlans().get(0).number()) {
            commands.add(new ClusterCommand.RetireCapacityPlans(oldestInUse));
        }
    }

    /** The reply of a voter that doesn't lead. */
    public static HeartbeatReply notLeadingReply(Heartbeat heartbeat, NodeName leader) {
        return HeartbeatReply.notLeading(heartbeat.number(), leader);
    }

    /** What this leader knows of each member, ordered by name. */
    public List<NodeView> nodeViews(ClusterState clusterState, MonotonicTime now) {
        List<NodeView> views = new ArrayList<>();
        for (ClusterState.Member member : clusterState.members()) {
            LatestHeartbeat latest = latestHeartbeats.get(member.name());
            boolean isKnown =
                    latest != null && latest.heartbeat.incarnation().equals(member.incarnation());
            NodeStatus status;
            if (!member.active()) {
                status = NodeStatus.OUT;
            } else if (!isKnown || !isFresh(latest, now)) {
                status = NodeStatus.UNKNOWN;
            } else {
                status =
                        switch (latest.heartbeat.condition()) {
                            case WARM -> NodeStatus.WARM;
                            case COLD -> NodeStatus.UP;
                            case LEAVING -> NodeStatus.LEAVING;
                            case GONE -> NodeStatus.OUT;
                        };
            }
            views.add(
                    new NodeView(
                            member.name(),
                            member.incarnation(),
                            member.site(),
                            status,
                            isKnown ? now.since(latest.receivedAt) : null,
                            isKnown ? latest.heartbeat.report() : null));
        }
        return views;
    }

    /** The interval at which {@link #decide} is to be called even without a heartbeat. */
    public NanoDuration decisionInterval() {
        return timing.holderHeartbeatInterval().times(0.5);
    }
}
