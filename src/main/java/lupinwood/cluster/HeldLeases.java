package lupinwood.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;

/**
 * Which duties this node holds, by its own monotonic clock. A lease is counted from when the node
 * sent its heartbeat, and is shortened by the clock drift, so it ends on this node before the
 * consensus group may grant the duty to another node, however long the reply took. {@link
 * #tokenFor} must be called before every action under a duty, because the process may have been
 * paused since the last check. A command that carries the token is dropped by the cluster state if
 * the duty is no longer held under that token, see {@link DutyLeases#isHeldUnder}.
 *
 * <p>Not thread-safe: owned by the task loop thread of the cluster's membership.
 */
public final class HeldLeases {
    /** Heartbeats for which a reply is still accepted. */
    private static final int MAX_PENDING_HEARTBEATS = 64;

    private record LeaseExpiry(FencingToken token, MonotonicTime expiresAt) {}

    private final LeaseTiming timing;
    private final Map<Long, MonotonicTime> heartbeatSentAt = new HashMap<>();
    private long latestAnswered;
    private final TreeMap<DutyName, LeaseExpiry> leases = new TreeMap<>();

    /** Tokens of released duties, under which this node must not hold the duty again. */
    private final Map<DutyName, FencingToken> releasedTokens = new HashMap<>();

    public HeldLeases(LeaseTiming timing) {
        this.timing = timing;
    }

    /** Records that a heartbeat is about to be sent. */
    public void onHeartbeatSent(long number, MonotonicTime now) {
        heartbeatSentAt.put(number, now);
        if (heartbeatSentAt.size() > MAX_PENDING_HEARTBEATS) {
            heartbeatSentAt.keySet().removeIf(old -> old <= number - MAX_PENDING_HEARTBEATS);
        }
    }

    /**
     * Replaces the held leases by those that a reply names, except leases that were released, are
     * older than the held one or have already expired. One heartbeat may get two replies, the
     * second with more leases. A reply to a heartbeat older than the latest answered one, or to one
     * that is no longer remembered, is ignored.
     */
    public void onReply(HeartbeatReply reply, MonotonicTime now) {
        MonotonicTime sentAt = heartbeatSentAt.get(reply.number());
        if (sentAt == null || !reply.accepted() || reply.number() < latestAnswered) {
            return;
        }
        latestAnswered = reply.number();
        heartbeatSentAt.keySet().removeIf(old -> old < latestAnswered);
        // The shorter lease counts: the node's and the voter's configuration may differ.
        MonotonicTime expiresAt =
                sentAt.plus(
                        timing.holderLease()
                                .min(reply.leaseDuration().times(1 - timing.driftRatio())));
        TreeMap<DutyName, LeaseExpiry> next = new TreeMap<>();
        for (Lease lease : reply.leases()) {
            LeaseExpiry previous = leases.get(lease.duty());
            boolean isCurrent = previous == null || previous.token().compareTo(lease.token()) <= 0;
            boolean wasReleased =
                    releasedTokens.containsKey(lease.duty())
                            && releasedTokens.get(lease.duty()).compareTo(lease.token()) >= 0;
            if (isCurrent && !wasReleased && now.isBefore(expiresAt)) {
                next.put(lease.duty(), new LeaseExpiry(lease.token(), expiresAt));
            }
        }
        leases.clear();
        leases.putAll(next);
    }

    /** When the heartbeat was sent; null where it is no longer remembered. */
    MonotonicTime heartbeatSentAt(long number) {
        return heartbeatSentAt.get(number);
    }

    /** The token to act under; null where the node must not act. */
    public FencingToken tokenFor(DutyName duty, MonotonicTime now) {
        LeaseExpiry lease = leases.get(duty);
        return lease != null && now.isBefore(lease.expiresAt()) ? lease.token() : null;
    }

    /** How long the node may still act; zero where it must not. */
    public NanoDuration remaining(DutyName duty, MonotonicTime now) {
        LeaseExpiry lease = leases.get(duty);
        return lease == null
                ? NanoDuration.ZERO
                : lease.expiresAt().since(now).max(NanoDuration.ZERO);
    }

    /** The leases held now. */
    public List<Lease> holds(MonotonicTime now) {
        List<Lease> held = new ArrayList<>();
        leases.forEach(
                (duty, lease) -> {
                    if (now.isBefore(lease.expiresAt())) {
                        held.add(new Lease(duty, lease.token()));
                    }
                });
        return held;
    }

    /**
     * Gives up the duty. No later reply gives it back under the same token. Returns the released
     * lease; null where the duty isn't held.
     */
    public Lease release(DutyName duty) {
        LeaseExpiry lease = leases.remove(duty);
        if (lease == null) {
            return null;
        }
        releasedTokens.put(duty, lease.token());
        return new Lease(duty, lease.token());
    }
}
