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
 * Decides for the consensus group while its voter leads: who is known to be well, and who is to
 * hold which duty. What it knows of sessions it alone knows, and learns anew when another voter
 * leads; what must outlive it goes into the cluster state by commands.
 *
 * <p>A duty is given on only when its holder has said that it stopped, or when it has stopped for
 * certain: so long after the last word to it as its lease and the clocks' drift allow. A new leader
 * can't know when that was, so it counts from when it began to lead.
 */
public final class LeaseManager {
    /** What the leader knows of one node beside the cluster state. */
    private static final class LatestHeartbeat {
        Heartbeat heartbeat;
        MonotonicTime at;

        /** Since when it has been well without a break. */
        MonotonicTime wellSince;

        LatestHeartbeat(Heartbeat heartbeat, MonotonicTime at) {
            this.heartbeat = heartbeat;
            this.at = at;
        }
    }

    /** One life of a node. */
    private record NodeIncarnation(NodeName name, Incarnation incarnation) {}

    private record Ineligibility(int times, MonotonicTime until) {}

    private static final Comparator<MonotonicTime> EARLIER = Comparator.naturalOrder();

    /**
     * In leases: how long a node that came back has to be well, and how long a permit may lie
     * unused.
     */
    private static final double WELL_FOR = 2;

    private static final double UNUSED_FOR = 20;

    private final LeaseTiming timing;
    private final List<DutyName> duties;
    private final Map<NodeName, LatestHeartbeat> heard = new HashMap<>();

    /** When a duty's holder has stopped for certain, unless it is told on before. */
    private final TreeMap<DutyName, MonotonicTime> lapses = new TreeMap<>();

    private final Map<DutyName, Map<NodeName, Ineligibility>> shunned = new HashMap<>();
    private final Map<String, HealthCheckResult> results = new LinkedHashMap<>();
    private final Map<String, MonotonicTime> foundAt = new HashMap<>();

    /**
     * Being taken back: from then on it is granted no more, however long the cluster state takes to
     * say so.
     */
    private final Set<Lease> takenBack = new HashSet<>();

    /** Since when a node with a permit is seen to be here still. */
    private final Map<Long, MonotonicTime> permitNoticeSentAt = new HashMap<>();

    /** Until when a life may go by which plan, for all that were told. */
    private final Map<NodeIncarnation, TreeMap<Long, MonotonicTime>> plansInUse = new HashMap<>();

    private MonotonicTime leadsSince;

    /** Whether some node runs another text than it is to. */
    private boolean lags;

    public LeaseManager(LeaseTiming timing, List<DutyName> duties) {
        this.timing = timing;
        this.duties = List.copyOf(duties);
    }

    /** This voter leads from now on. */
    public void leads(ClusterState clusterState, MonotonicTime now) {
        leadsSince = now;
        heard.clear();
        lapses.clear();
        takenBack.clear();
        permitNoticeSentAt.clear();
        plansInUse.clear();
        results.clear();
        foundAt.clear();
        clusterState.duties().stream()
                .filter(dutyLease -> !dutyLease.isFree())
                .forEach(
                        dutyLease -> lapses.put(dutyLease.duty(), now.plus(timing.expiresAfter())));
    }

    /** It leads no more; what it decided before may or may not be in the cluster state. */
    public void leadsNoMore() {
        leadsSince = null;
    }

    public boolean isLeading() {
        return leadsSince != null;
    }

    /**
     * A heartbeat came.
     *
     * @return why the node stands outside, or an empty text
     */
    public String heard(Heartbeat heartbeat, ClusterState clusterState, MonotonicTime now) {
        if (heartbeat.version() != Heartbeat.VERSION) {
            return "it speaks form "
                    + heartbeat.version()
                    + ", this council form "
                    + Heartbeat.VERSION;
        }
        LatestHeartbeat before = heard.get(heartbeat.name());
        ClusterState.Member member = clusterState.member(heartbeat.name());
        boolean another =
                member != null
                        && member.in()
                        && !member.incarnation().equals(heartbeat.incarnation());
        if (another
                && before != null
                && before.heartbeat.incarnation().equals(member.incarnation())
                && isFresh(before, now)) {
            // Guards against two processes under one name: the one that is there stays, until it is
            // silent.
            return "the name " + heartbeat.name() + " is in use by another process";
        }
        if (member == null && clusterState.isFull()) {
            return "the book holds no more than " + clusterState.members().size() + " nodes";
        }
        if (before != null && before.heartbeat.incarnation().equals(heartbeat.incarnation())) {
            if (heartbeat.number() < before.heartbeat.number()) {
                return ""; // it was overtaken
            }
            boolean wasWell =
                    before.heartbeat.condition() == NodeCondition.WARM && isFresh(before, now);
            before.heartbeat = heartbeat;
            before.at = now;
            before.wellSince =
                    heartbeat.condition() != NodeCondition.WARM
                            ? null
                            : wasWell ? before.wellSince : now;
        } else {
            LatestHeartbeat first = new LatestHeartbeat(heartbeat, now);
            first.wellSince = heartbeat.condition() == NodeCondition.WARM ? now : null;
            heard.put(heartbeat.name(), first);
        }
        found(heartbeat, clusterState, now);
        return "";
    }

    /** Findings count under the token of today's holder only, the latest for each server. */
    private void found(Heartbeat heartbeat, ClusterState clusterState, MonotonicTime now) {
        ClusterState.DutyLease trial = clusterState.duty(DutyName.HEALTH_CHECK);
        for (HealthCheckResult result : heartbeat.found()) {
            MonotonicTime at = now.minus(result.age());
            MonotonicTime before = foundAt.get(result.server());
            if (trial.isBy(heartbeat.name(), heartbeat.incarnation())
                    && trial.token().equals(result.token())
                    && (before == null || before.isBefore(at))
                    && (before != null || foundAt.size() < Heartbeat.MOST)) {
                results.put(result.server(), result);
                foundAt.put(result.server(), at);
            }
        }
        foundAt.values().removeIf(at -> timing.lease().times(4).compareTo(now.since(at)) < 0);
        results.keySet().retainAll(foundAt.keySet());
    }

    private boolean isFresh(LatestHeartbeat one, MonotonicTime now) {
        return now.since(one.at).compareTo(timing.silent()) <= 0;
    }

    /**
     * What is to be written into the cluster state now. Said again until it is there, so a lost
     * command does no harm.
     */
    public List<ClusterCommand> decide(
            ClusterState clusterState, long tokensAbove, MonotonicTime now) {
        List<ClusterCommand> commands = new ArrayList<>();
        if (!isLeading()) {
            return commands;
        }
        if (!clusterState.isFounded()) {
            commands.add(new ClusterCommand.Bootstrap(tokensAbove));
            return commands;
        }
        roster(clusterState, now, commands);
        lags =
                heard.values().stream()
                        .anyMatch(
                                one ->
                                        isFresh(one, now)
                                                && one.heartbeat.report() != null
                                                && !clusterState
                                                        .wanted(one.heartbeat.name())
                                                        .runs()
                                                        .equals(one.heartbeat.report().runs()));
        permits(clusterState, now, commands);
        plans(clusterState, now, commands);
        for (DutyName duty : duties) {
            ClusterState.DutyLease dutyLease = clusterState.duty(duty);
            if (dutyLease.isFree()) {
                lapses.remove(duty);
                takenBack.removeIf(lease -> lease.duty().equals(duty));
                heir(duty, clusterState, now)
                        .ifPresent(
                                heir ->
                                        commands.add(
                                                new ClusterCommand.GrantLease(
                                                        duty,
                                                        heir.name(),
                                                        heir.incarnation(),
                                                        dutyLease.token())));
            } else {
                takeBack(dutyLease, now, commands);
            }
        }
        return commands;
    }

    private void roster(
            ClusterState clusterState, MonotonicTime now, List<ClusterCommand> commands) {
        for (LatestHeartbeat one : heard.values()) {
            Heartbeat heartbeat = one.heartbeat;
            ClusterState.Member member = clusterState.member(heartbeat.name());
            boolean in =
                    member != null
                            && member.in()
                            && member.incarnation().equals(heartbeat.incarnation());
            boolean changed = member != null && !member.site().equals(heartbeat.site());
            if (in && heartbeat.condition() == NodeCondition.GONE) {
                commands.add(new ClusterCommand.Leave(heartbeat.name(), heartbeat.incarnation()));
                continue;
            }
            boolean comes =
                    heartbeat.condition() == NodeCondition.COLD
                            || heartbeat.condition() == NodeCondition.WARM;
            if (isFresh(one, now) && ((!in && comes) || (in && changed))) {
                commands.add(
                        new ClusterCommand.Join(
                                heartbeat.name(), heartbeat.incarnation(), heartbeat.site()));
            }
        }
    }

    /**
     * A permit ends when its node has been well for a while under another life, or stays and never
     * used it.
     */
    private void permits(
            ClusterState clusterState, MonotonicTime now, List<ClusterCommand> commands) {
        for (DisruptionPermit permit : clusterState.permits()) {
            LatestHeartbeat one = heard.get(permit.node());
            MonotonicTime since = one == null || !isFresh(one, now) ? null : one.wellSince;
            boolean another =
                    one != null && !one.heartbeat.incarnation().equals(permit.incarnation());
            if (since == null) {
                permitNoticeSentAt.remove(permit.number());
            } else if (another && now.since(since).compareTo(timing.lease().times(WELL_FOR)) >= 0) {
                commands.add(new ClusterCommand.ReturnPermit(permit.number(), "well again", 0));
            } else if (!another) {
                MonotonicTime reported =
                        permitNoticeSentAt.computeIfAbsent(permit.number(), none -> now);
                if (now.since(reported).compareTo(timing.lease().times(UNUSED_FOR)) >= 0) {
                    commands.add(new ClusterCommand.ReturnPermit(permit.number(), "never used", 0));
                }
            }
        }
        permitNoticeSentAt
                .keySet()
                .retainAll(clusterState.permits().stream().map(DisruptionPermit::number).toList());
    }

    /** Members that are out by what is seen here: all that aren't heard to be warm. */
    public List<NodeName> unavailableNodes(ClusterState clusterState, MonotonicTime now) {
        return snapshot(clusterState, now).stream()
                .filter(nodeView -> nodeView.status() != NodeStatus.WARM)
                .map(NodeView::name)
                .toList();
    }

    private void takeBack(
            ClusterState.DutyLease dutyLease, MonotonicTime now, List<ClusterCommand> commands) {
        // A duty that was given since this voter leads has no end noted yet: it counts from when it
        // is first seen here.
        MonotonicTime expiry =
                lapses.computeIfAbsent(dutyLease.duty(), duty -> now.plus(timing.expiresAfter()));
        LatestHeartbeat holder = heard.get(dutyLease.holder());
        if (holder != null && holder.heartbeat.incarnation().equals(dutyLease.incarnation())) {
            Lease lease = new Lease(dutyLease.duty(), dutyLease.token());
            if (holder.heartbeat.failsAt().contains(lease)) {
                takenBack.add(lease);
                shun(dutyLease.duty(), dutyLease.holder(), now);
                commands.add(
                        new ClusterCommand.ReleaseLease(
                                dutyLease.duty(),
                                dutyLease.token(),
                                ClusterCommand.LeaseEnd.FAILED));
                return;
            }
            if (holder.heartbeat.releasing().contains(lease)) {
                takenBack.add(lease);
                commands.add(
                        new ClusterCommand.ReleaseLease(
                                dutyLease.duty(),
                                dutyLease.token(),
                                ClusterCommand.LeaseEnd.HANDED_ON));
                return;
            }
        }
        if (!now.isBefore(expiry)
                || takenBack.contains(new Lease(dutyLease.duty(), dutyLease.token()))) {
            takenBack.add(new Lease(dutyLease.duty(), dutyLease.token()));
            commands.add(
                    new ClusterCommand.ReleaseLease(
                            dutyLease.duty(), dutyLease.token(), ClusterCommand.LeaseEnd.LAPSED));
        }
    }

    private void shun(DutyName duty, NodeName name, MonotonicTime now) {
        Map<NodeName, Ineligibility> all = shunned.computeIfAbsent(duty, none -> new HashMap<>());
        Ineligibility before = all.get(name);
        if (before != null && now.isBefore(before.until())) {
            return; // told again before the cluster state has it
        }
        int times = before == null ? 0 : before.times() + 1;
        NanoDuration duration =
                timing.shunned().times(Math.pow(2, Math.min(20, times))).min(timing.shunnedMost());
        all.put(name, new Ineligibility(times, now.plus(duration)));
    }

    private boolean isShunned(DutyName duty, NodeName name, MonotonicTime now) {
        Ineligibility one = shunned.getOrDefault(duty, Map.of()).get(name);
        return one != null && now.isBefore(one.until());
    }

    /**
     * Who gets it: warm, heard within the last heartbeats, not shunned; first whose zone is well,
     * then who holds least, then who has been well for longest.
     */
    private Optional<ClusterState.Member> heir(
            DutyName duty, ClusterState clusterState, MonotonicTime now) {
        if (now.since(leadsSince).compareTo(timing.heartbeatInterval()) < 0) {
            return Optional.empty(); // else the first to be heard would get all
        }
        Map<Site, int[]> zones = new HashMap<>();
        for (ClusterState.Member member : clusterState.members()) {
            if (member.in()) {
                int[] zone = zones.computeIfAbsent(member.site(), none -> new int[2]);
                zone[0]++;
                zone[1] += isWell(member, now) ? 1 : 0;
            }
        }
        return clusterState.members().stream()
                .filter(
                        member ->
                                member.in()
                                        && isWell(member, now)
                                        && !isShunned(duty, member.name(), now))
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
                                                                        dutyLease.isBy(
                                                                                member.name(),
                                                                                member
                                                                                        .incarnation()))
                                                        .count())
                                .thenComparing(
                                        member -> heard.get(member.name()).wellSince, EARLIER)
                                .thenComparing(ClusterState.Member::name));
    }

    private boolean isWell(ClusterState.Member member, MonotonicTime now) {
        LatestHeartbeat one = heard.get(member.name());
        return one != null
                && one.heartbeat.incarnation().equals(member.incarnation())
                && one.heartbeat.condition() == NodeCondition.WARM
                && now.since(one.at).compareTo(timing.heartbeatInterval().times(1.6)) <= 0;
    }

    /**
     * What to say to a heartbeat, once the consensus group has confirmed that this voter led after
     * the heartbeat came. Whatever it grants counts from now on.
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
                boolean stops =
                        heartbeat.releasing().contains(lease)
                                || heartbeat.failsAt().contains(lease);
                if (dutyLease.isBy(heartbeat.name(), heartbeat.incarnation())
                        && !takenBack.contains(lease)) {
                    // Named as long as the cluster state has it, so that the node knows what is
                    // still to be
                    // taken back.
                    leases.add(lease);
                    if (!stops) {
                        lapses.put(dutyLease.duty(), now.plus(timing.expiresAfter()));
                    }
                }
            }
        }
        List<HealthCheckResult> reported = new ArrayList<>();
        results.forEach(
                (server, one) ->
                        reported.add(
                                new HealthCheckResult(
                                        server,
                                        one.well(),
                                        one.token(),
                                        now.since(foundAt.get(server)))));
        int others = (int) heard.values().stream().filter(one -> isFresh(one, now)).count();
        long leave =
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
                timing.lease(),
                leases,
                reported,
                leave,
                clusterState.wanted(heartbeat.name()).busyOr(lags),
                trouble.isEmpty() ? share(heartbeat, clusterState, now) : null,
                others);
    }

    /**
     * A node's part of the newest plan, which it may go by until a lease after it asked; so here it
     * counts until later.
     */
    private HeartbeatReply.CapacityShare share(
            Heartbeat heartbeat, ClusterState clusterState, MonotonicTime now) {
        CapacityPlan plan = clusterState.plan();
        if (plan == null) {
            return null;
        }
        plansInUse
                .computeIfAbsent(
                        new NodeIncarnation(heartbeat.name(), heartbeat.incarnation()),
                        none -> new TreeMap<>())
                .put(plan.number(), now.plus(timing.expiresAfter()));
        return new HeartbeatReply.CapacityShare(plan.number(), plan.of(heartbeat.name()));
    }

    /**
     * Older plans are retired once nobody can go by them any more: each life that was told of one
     * has said that it goes by a newer, or its lease has run out. A new leader can't know what was
     * told before it, so it waits for a lease first.
     */
    private void plans(
            ClusterState clusterState, MonotonicTime now, List<ClusterCommand> commands) {
        CapacityPlan newest = clusterState.plan();
        if (newest == null
                || clusterState.livePlans().size() < 2
                || now.since(leadsSince).compareTo(timing.expiresAfter()) < 0) {
            return;
        }
        long oldest = newest.number();
        for (Iterator<Map.Entry<NodeIncarnation, TreeMap<Long, MonotonicTime>>> all =
                        plansInUse.entrySet().iterator();
                all.hasNext(); ) {
            Map.Entry<NodeIncarnation, TreeMap<Long, MonotonicTime>> one = all.next();
            LatestHeartbeat latest = heard.get(one.getKey().name());
            boolean same =
                    latest != null
                            && latest.heartbeat.incarnation().equals(one.getKey().incarnation())
                            && latest.heartbeat.report() != null;
            long acknowledged = same ? latest.heartbeat.report().plan() : 0;
            one.getValue()
                    .entrySet()
                    .removeIf(
                            plan -> !now.isBefore(plan.getValue()) || plan.getKey() < acknowledged);
            if (one.getValue().isEmpty()) {
                all.remove();
            } else {
                oldest = Math.min(oldest, one.getValue().firstKey());
            }
        }
        if (oldest > clusterState.livePlans().get(0).number()) {
            commands.add(new ClusterCommand.RetireCapacityPlans(oldest));
        }
    }

    /** What a voter that doesn't lead says. */
    public static HeartbeatReply elsewhere(Heartbeat heartbeat, NodeName leader) {
        return HeartbeatReply.notTaken(heartbeat.number(), leader);
    }

    /** What is known of each node of the cluster state. */
    public List<NodeView> snapshot(ClusterState clusterState, MonotonicTime now) {
        List<NodeView> picture = new ArrayList<>();
        for (ClusterState.Member member : clusterState.members()) {
            LatestHeartbeat one = heard.get(member.name());
            boolean same = one != null && one.heartbeat.incarnation().equals(member.incarnation());
            NodeStatus status;
            if (!member.in()) {
                status = NodeStatus.OUT;
            } else if (!same || !isFresh(one, now)) {
                status = NodeStatus.UNKNOWN;
            } else {
                status =
                        switch (one.heartbeat.condition()) {
                            case WARM -> NodeStatus.WARM;
                            case COLD -> NodeStatus.UP;
                            case LEAVING -> NodeStatus.LEAVING;
                            case GONE -> NodeStatus.OUT;
                        };
            }
            picture.add(
                    new NodeView(
                            member.name(),
                            member.incarnation(),
                            member.site(),
                            status,
                            same ? now.since(one.at) : null,
                            same ? one.heartbeat.report() : null));
        }
        return picture;
    }

    /** How soon something is decided again without a heartbeat. */
    public NanoDuration looksEvery() {
        return timing.holderHeartbeatInterval().times(0.5);
    }
}
