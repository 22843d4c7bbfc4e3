package lupinwood.consensus;

import java.util.List;
import java.util.Map;
import lupinwood.admission.MonotonicTime;
import lupinwood.cluster.DutyName;
import lupinwood.cluster.FencingToken;
import lupinwood.cluster.NodeName;

/**
 * What other threads of a node may know of the fleet: a ready picture, replaced as a whole, on the
 * monotonic clock of {@link System#nanoTime}.
 *
 * @param touchUntil after it the consensus group's word is stale, and this node does as it would
 *     alone
 * @param leases what this node holds, each with its end
 * @param found what the holder of the duty trial found, in no order
 * @param share what it may have at places below by the plan, and until when
 * @param cordons servers to which nothing new is to be sent, by the consensus group's last word,
 *     however old that is
 * @param leader who leads the consensus group; null where nobody is known to
 */
public record ClusterView(
        MonotonicTime touchUntil,
        List<LeaseView> leases,
        List<ServerHealth> found,
        CapacityShare share,
        List<String> cordons,
        NodeName leader) {
    static final ClusterView NONE =
            new ClusterView(
                    new MonotonicTime(Long.MIN_VALUE),
                    List.of(),
                    List.of(),
                    new CapacityShare(0, Map.of(), new MonotonicTime(Long.MIN_VALUE)),
                    List.of(),
                    null);

    /**
     * One lease that this node holds.
     *
     * @param until when it may be done no more
     */
    public record LeaseView(DutyName duty, FencingToken token, MonotonicTime until) {}

    /**
     * This node's share of the slots by plan.
     *
     * @param plan zero before the first
     */
    public record CapacityShare(long plan, Map<String, Integer> slots, MonotonicTime until) {}

    /**
     * The result of one health check.
     *
     * @param at when it was tried, by this node's clock
     */
    public record ServerHealth(String server, boolean well, MonotonicTime at) {}

    public boolean isInTouch(MonotonicTime now) {
        return now.isBefore(touchUntil);
    }

    /** The token to act under, or null. To be asked before every act. */
    public FencingToken mayAct(DutyName duty, MonotonicTime now) {
        for (LeaseView one : leases) {
            if (one.duty().equals(duty) && now.isBefore(one.until())) {
                return one.token();
            }
        }
        return null;
    }
}
