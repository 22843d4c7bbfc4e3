package lupinwood.cluster;

import java.util.Map;
import lupinwood.admission.MonotonicTime;

/**
 * How many concurrent requests this node may send to each location. While the lease on the newest
 * capacity plan that it received lasts, this is the larger of the node's slots in that plan and its
 * base slots; afterwards only the base slots. The lease starts when the heartbeat is sent and is
 * shortened by the clock drift, as in {@link HeldLeases}, because the node's clock may run slow.
 * Plan numbers never decrease within one incarnation, so a delayed reply with an older plan changes
 * nothing.
 *
 * <p>Not thread-safe: owned by the task loop thread of the cluster's membership.
 */
public final class CapacityLease {
    private final Map<String, Integer> baseSlots;
    private long planNumber;
    private Map<String, Integer> slots = Map.of();
    private MonotonicTime expiresAt = new MonotonicTime(Long.MIN_VALUE);

    /**
     * @param baseSlots concurrent requests that the node may send to each location without a plan
     */
    public CapacityLease(Map<String, Integer> baseSlots) {
        this.baseSlots = Map.copyOf(baseSlots);
    }

    /**
     * Applies what the leader grants under a plan.
     *
     * @param newPlanNumber the number of the plan; zero for none
     * @param newSlots the node's concurrent requests for each location
     * @param newExpiresAt when the lease given by the reply that carries the plan ends on this
     *     node's clock
     */
    public void update(
            long newPlanNumber, Map<String, Integer> newSlots, MonotonicTime newExpiresAt) {
        if (newPlanNumber < planNumber || newPlanNumber == 0) {
            return;
        }
        if (newPlanNumber > planNumber) {
            planNumber = newPlanNumber;
            slots = Map.copyOf(newSlots);
            expiresAt = newExpiresAt;
        } else if (expiresAt.isBefore(newExpiresAt)) {
            expiresAt = newExpiresAt;
        }
    }

    /** The number of the newest plan received; this node no longer follows an older one. */
    public long planNumber() {
        return planNumber;
    }

    /** How many concurrent requests the node may send to the location now. */
    public int allowedRequests(String location, MonotonicTime now) {
        int base = baseSlots.getOrDefault(location, 0);
        return now.isBefore(expiresAt) ? Math.max(base, slots.getOrDefault(location, 0)) : base;
    }

    /** When the lease on {@link #slots} ends. */
    public MonotonicTime expiresAt() {
        return expiresAt;
    }

    public Map<String, Integer> slots() {
        return slots;
    }
}
