package lupinwood.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;

/**
 * Which duties this node holds, by its own monotonic clock. A grant counts from before the node
 * asked for it, and is shortened by how slow its clock may run: so it ends here before the
 * consensus group may give the duty on, however long a reply was on its way. To be asked before
 * every act, since the process may have been stopped since it last was.
 */
public final class HeldLeases {
    /** Heartbeats whose reply may still come. */
    private static final int MAX_REQUESTED = 64;

    private record LeaseExpiry(FencingToken token, MonotonicTime time) {}

    private final LeaseTiming timing;
    private final Map<Long, MonotonicTime> requestedAt = new HashMap<>();
    private long latest;
    private final TreeMap<DutyName, LeaseExpiry> leases = new TreeMap<>();

    /** Given back or failed at, and not to be taken again under the same token. */
    private final Map<DutyName, FencingToken> done = new HashMap<>();

    public HeldLeases(LeaseTiming timing) {
        this.timing = timing;
    }

    /** A heartbeat is about to go out. */
    public void asks(long number, MonotonicTime now) {
        requestedAt.put(number, now);
        if (requestedAt.size() > MAX_REQUESTED) {
            requestedAt.keySet().removeIf(old -> old <= number - MAX_REQUESTED);
        }
    }

    /**
     * The consensus group's word on what is held; it may come twice to one heartbeat, the second
     * time with more. One to an older heartbeat than the latest answered, or to one that isn't
     * known any more, says nothing.
     */
    public void onReply(HeartbeatReply reply, MonotonicTime now) {
        MonotonicTime requested = requestedAt.get(reply.number());
        if (requested == null || !reply.taken() || reply.number() < latest) {
            return;
        }
        latest = reply.number();
        requestedAt.keySet().removeIf(old -> old < latest);
        // The consensus group's lease counts where it is the shorter one: two files may differ.
        MonotonicTime until =
                requested.plus(timing.holderLease().min(reply.lease().times(1 - timing.drift())));
        TreeMap<DutyName, LeaseExpiry> next = new TreeMap<>();
        for (Lease lease : reply.leases()) {
            LeaseExpiry before = leases.get(lease.duty());
            boolean newer = before == null || before.token().compareTo(lease.token()) <= 0;
            boolean over =
                    done.containsKey(lease.duty())
                            && done.get(lease.duty()).compareTo(lease.token()) >= 0;
            if (newer && !over && now.isBefore(until)) {
                next.put(lease.duty(), new LeaseExpiry(lease.token(), until));
            }
        }
        leases.clear();
        leases.putAll(next);
    }

    /** When that heartbeat went out; null where it isn't known any more. */
    MonotonicTime requestSent(long number) {
        return requestedAt.get(number);
    }

    /** The token to act under, or null: then the act must not be done. */
    public FencingToken mayAct(DutyName duty, MonotonicTime now) {
        LeaseExpiry until = leases.get(duty);
        return until != null && now.isBefore(until.time()) ? until.token() : null;
    }

    /** How long it may act still; zero where it may not. */
    public NanoDuration left(DutyName duty, MonotonicTime now) {
        LeaseExpiry until = leases.get(duty);
        return until == null ? NanoDuration.ZERO : until.time().since(now).max(NanoDuration.ZERO);
    }

    /** What is held now. */
    public List<Lease> holds(MonotonicTime now) {
        List<Lease> holds = new ArrayList<>();
        leases.forEach(
                (duty, until) -> {
                    if (now.isBefore(until.time())) {
                        holds.add(new Lease(duty, until.token()));
                    }
                });
        return holds;
    }

    /**
     * From now on the duty isn't done here under the token it is held by; null where it isn't held.
     */
    public Lease giveUp(DutyName duty) {
        LeaseExpiry until = leases.remove(duty);
        if (until == null) {
            return null;
        }
        done.put(duty, until.token());
        return new Lease(duty, until.token());
    }
}
