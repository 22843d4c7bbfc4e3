package lupinwood.cluster;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;

/**
 * A node's session with the consensus group: which voter gets the next heartbeat and when, and what
 * the replies said. If a reply names the leader, the next heartbeat goes there. While no voter
 * replies, the session tries the voters in turn, with a jittered exponential backoff, so that
 * hundreds of nodes that were cut off don't reconnect at the same time.
 *
 * <p>Not thread-safe: owned by the task loop thread of the cluster's membership.
 */
public final class ClusterSession {
    /** A heartbeat to be sent, and the voter that gets it. */
    public record OutgoingHeartbeat(NodeName voter, Heartbeat heartbeat) {}

    /** In units of the heartbeat interval that applies, the holder's or the usual one. */
    private static final double MAX_BACKOFF_INTERVALS = 4;

    private final LeaseTiming timing;
    private final NodeName name;
    private final Incarnation incarnation;
    private final Site site;
    private final Random random;
    private final HeldLeases heldLeases;
    private List<NodeName> voters;
    private NodeName currentVoter;
    private long heartbeatNumber;
    private MonotonicTime nextHeartbeatAt;

    /** When the last heartbeat was sent; null once its reply came. */
    private MonotonicTime awaitingReplySince;

    /**
     * The number of consecutive heartbeats without effect: unanswered, or answered by a voter that
     * doesn't lead.
     */
    private int failedAttempts;

    private MonotonicTime latestReplyAt;
    private HeartbeatReply latestReply;
    private final Map<DutyName, Lease> releasing = new TreeMap<>();
    private final Map<DutyName, Lease> failedLeases = new TreeMap<>();
    private List<String> ejectedServers = List.of();
    private NodeReport report;
    private final CapacityLease capacityLease = new CapacityLease(Map.of());
    private final Map<String, HealthCheckResult> healthChecks = new LinkedHashMap<>();
    private final Map<String, MonotonicTime> checkedAt = new LinkedHashMap<>();

    public ClusterSession(
            LeaseTiming timing,
            NodeName name,
            Incarnation incarnation,
            Site site,
            List<NodeName> voters,
            long seed,
            MonotonicTime now) {
        this.timing = timing;
        this.name = name;
        this.incarnation = incarnation;
        this.site = site;
        random = new Random(seed);
        heldLeases = new HeldLeases(timing);
        setVoters(voters);
        // Random from the start, because a whole fleet may be started at once.
        nextHeartbeatAt = now.plus(timing.heartbeatInterval().times(random.nextDouble()));
    }

    /** Replaces the voters, and picks one at random for the next heartbeat. */
    public void setVoters(List<NodeName> newVoters) {
        voters = List.copyOf(newVoters);
        currentVoter = voters.get(random.nextInt(voters.size()));
    }

    /** When the next heartbeat is due. */
    public MonotonicTime nextHeartbeatAt() {
        return nextHeartbeatAt;
    }

    /**
     * Returns the heartbeat that is due now, or null if none is due. The caller must send it: it
     * counts as sent.
     */
    public OutgoingHeartbeat pollHeartbeat(NodeCondition condition, MonotonicTime now) {
        if (now.isBefore(nextHeartbeatAt)) {
            return null;
        }
        if (awaitingReplySince != null) {
            currentVoter =
                    voters.get((voters.indexOf(currentVoter) + 1 + voters.size()) % voters.size());
            failedAttempts++;
        }
        heartbeatNumber++;
        heldLeases.onHeartbeatSent(heartbeatNumber, now);
        awaitingReplySince = now;
        nextHeartbeatAt = now.plus(jitteredInterval(condition, now));
        List<HealthCheckResult> agedChecks = new ArrayList<>();
        healthChecks.forEach(
                (server, check) -> agedChecks.add(check.agedBy(now.since(checkedAt.get(server)))));
        return new OutgoingHeartbeat(
                currentVoter,
                new Heartbeat(
                                Heartbeat.VERSION,
                                name,
                                incarnation,
                                site,
                                condition,
                                heartbeatNumber,
                                heldLeases.holds(now),
                                List.copyOf(releasing.values()),
                                List.copyOf(failedLeases.values()),
                                ejectedServers,
                                agedChecks,
                                report)
                        .truncated());
    }

    /** The last heartbeat of this incarnation; to be called after all duties were released. */
    public OutgoingHeartbeat finalHeartbeat(MonotonicTime now) {
        nextHeartbeatAt = now;
        return pollHeartbeat(NodeCondition.GONE, now);
    }

    private NanoDuration jitteredInterval(NodeCondition condition, MonotonicTime now) {
        boolean urgent =
                !heldLeases.holds(now).isEmpty()
                        || !releasing.isEmpty()
                        || condition == NodeCondition.LEAVING;
        NanoDuration base = urgent ? timing.holderHeartbeatInterval() : timing.heartbeatInterval();
        // The first round through the voters keeps the interval; then it doubles with each failed
        // attempt, up to MAX_BACKOFF_INTERVALS.
        double factor =
                failedAttempts <= voters.size()
                        ? 1
                        : Math.pow(2, Math.min(10, failedAttempts - voters.size()));
        return base.times(
                Math.min(factor, MAX_BACKOFF_INTERVALS) * (0.8 + 0.4 * random.nextDouble()));
    }

    /** Handles a reply to a heartbeat. */
    public void onReply(HeartbeatReply reply, MonotonicTime now) {
        if (reply.number() > heartbeatNumber) {
            return; // the heartbeat was sent by another incarnation
        }
        if (reply.number() == heartbeatNumber) {
            awaitingReplySince = null;
        }
        if (!reply.accepted()) {
            redirect(reply, now);
            return;
        }
        failedAttempts = 0;
        latestReplyAt = now;
        latestReply = reply;
        MonotonicTime sentAt = heldLeases.heartbeatSentAt(reply.number());
        if (reply.capacityShare() != null && sentAt != null) {
            capacityLease.update(
                    reply.capacityShare().plan(),
                    reply.capacityShare().slots(),
                    sentAt.plus(
                            timing.holderLease()
                                    .min(reply.leaseDuration().times(1 - timing.driftRatio()))));
        }
        heldLeases.onReply(reply, now);
        releasing
                .values()
                .removeIf(
                        lease ->
                                reply.number() == heartbeatNumber
                                        && !reply.leases().contains(lease));
        failedLeases
                .values()
                .removeIf(
                        lease ->
                                reply.number() == heartbeatNumber
                                        && !reply.leases().contains(lease));
        checkedAt
                .entrySet()
                .removeIf(
                        check ->
                                timing.leaseDuration()
                                                .times(4)
                                                .compareTo(now.since(check.getValue()))
                                        < 0);
        healthChecks.keySet().retainAll(checkedAt.keySet());
    }

    /** Switches to the leader that the reply names, or else to the next voter. */
    private void redirect(HeartbeatReply reply, MonotonicTime now) {
        if (reply.number() != heartbeatNumber) {
            return;
        }
        boolean namesOtherVoter =
                reply.leader() != null
                        && voters.contains(reply.leader())
                        && !reply.leader().equals(currentVoter);
        currentVoter =
                namesOtherVoter
                        ? reply.leader()
                        : voters.get((voters.indexOf(currentVoter) + 1) % voters.size());
        failedAttempts++;
        // A redirect is followed soon, but not at once: two voters that name each other as leader
        // would otherwise cause a storm of heartbeats.
        MonotonicTime retryAt =
                now.plus(
                        timing.holderHeartbeatInterval()
                                .times(
                                        namesOtherVoter && failedAttempts < 4
                                                ? 0.1
                                                : 0.5 + random.nextDouble()));
        nextHeartbeatAt = retryAt.isBefore(nextHeartbeatAt) ? retryAt : nextHeartbeatAt;
    }

    /** The lease on this node's slots in the capacity plan, created without base slots. */
    public CapacityLease capacityLease() {
        return capacityLease;
    }

    /** The duties that this node holds. */
    public HeldLeases heldLeases() {
        return heldLeases;
    }

    /**
     * Stops performing a duty, so that another node can get it. The consensus group learns of it
     * with the next heartbeat, which is then due at once.
     */
    public void release(DutyName duty, MonotonicTime now) {
        Lease lease = heldLeases.release(duty);
        if (lease != null) {
            releasing.put(duty, lease);
            nextHeartbeatAt = now;
        }
    }

    /**
     * Releases a duty that this node can't perform, and reports the failure, so that the node isn't
     * given the duty again for some time.
     */
    public void reportFailure(DutyName duty, MonotonicTime now) {
        Lease lease = heldLeases.release(duty);
        if (lease != null) {
            failedLeases.put(duty, lease);
            nextHeartbeatAt = now;
        }
    }

    /** Releases all duties that this node holds. */
    public void releaseAll(MonotonicTime now) {
        heldLeases.holds(now).forEach(lease -> release(lease.duty(), now));
    }

    public void setEjectedServers(List<String> servers) {
        ejectedServers = List.copyOf(servers);
    }

    /** Sets the report that is sent with each heartbeat from now on. */
    public void setReport(NodeReport newReport) {
        report = newReport;
    }

    /** Records the result of a health check made under the duty's token. */
    public void recordHealthCheck(
            String server, boolean well, FencingToken token, MonotonicTime now) {
        healthChecks.put(server, new HealthCheckResult(server, well, token, NanoDuration.ZERO));
        checkedAt.put(server, now);
        nextHeartbeatAt = nextHeartbeatAt.isBefore(now) ? nextHeartbeatAt : now;
    }

    /**
     * Whether the latest reply of a leader is at most one lease old and accepts this node as a
     * member; otherwise the node decides as it would without a cluster.
     */
    public boolean isConnected(MonotonicTime now) {
        return latestReplyAt != null
                && now.since(latestReplyAt).compareTo(timing.leaseDuration()) <= 0
                && latestReply.rejectionReason().isEmpty();
    }

    /** The latest reply of a leader; null before the first. */
    public HeartbeatReply latestReply() {
        return latestReply;
    }

    public MonotonicTime latestReplyAt() {
        return latestReplyAt;
    }

    public NodeName currentVoter() {
        return currentVoter;
    }
}
