package lupinwood.cluster;

import java.util.Map;
import lupinwood.admission.MonotonicTime;

/**
 * What this node may have at places below, by the plan that it heard of last and while its lease
 * lasts, counted as {@link HeldLeases} counts duties: from before it asked, on a clock that may run
 * slow. After that, and before the first word, only what is its by standing right. Plans never go
 * back within one life, so an older word that comes late changes nothing.
 */
public final class CapacityLease {
    private final Map<String, Integer> alone;
    private long number;
    private Map<String, Integer> slots = Map.of();
    private MonotonicTime until = new MonotonicTime(Long.MIN_VALUE);

    /**
     * @param alone what it may have at a place by standing right
     */
    public CapacityLease(Map<String, Integer> alone) {
        this.alone = Map.copyOf(alone);
    }

    /**
     * Takes in what the leader grants by the named plan.
     *
     * @param ends when the lease that this word gives ends by this node's clock
     */
    public void update(long plan, Map<String, Integer> may, MonotonicTime ends) {
        if (plan < number || plan == 0) {
            return;
        }
        if (plan > number) {
            number = plan;
            slots = Map.copyOf(may);
            until = ends;
        } else if (until.isBefore(ends)) {
            until = ends;
        }
    }

    /** The newest plan heard of; nothing older is gone by any more. */
    public long plan() {
        return number;
    }

    /** How many requests at once it may have there now. */
    public int may(String place, MonotonicTime now) {
        int standing = alone.getOrDefault(place, 0);
        return now.isBefore(until) ? Math.max(standing, slots.getOrDefault(place, 0)) : standing;
    }

    /** Until when it may go by {@link #slots}. */
    public MonotonicTime until() {
        return until;
    }

    public Map<String, Integer> slots() {
        return slots;
    }
}
