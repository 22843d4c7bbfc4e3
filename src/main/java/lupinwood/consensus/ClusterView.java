package lupinwood.consensus;

import java.util.List;
import java.util.Map;
import lupinwood.admission.MonotonicTime;
import lupinwood.cluster.DutyName;
import lupinwood.cluster.FencingToken;
import lupinwood.cluster.NodeName;

/**
 * An immutable view of the cluster for the other threads of a node, replaced as a whole. Times are
 * on the monotonic clock of {@link System#nanoTime}.
 *
 * @param connectedUntil after this time the consensus group's last reply is stale, and this node
 *     acts as it would without a cluster
 * @param leases the leases that this node holds, each with its end
 * @param found the results of the health check duty's holder, in no particular order
 * @param share the slots that this node may use at each location by the capacity plan, and until
 *     when
 * @param cordons the servers that get no new requests, by the consensus group's last reply, however
 *     old that is
 * @param leader the consensus group's leader; null if none is known
 */
public record ClusterView(
        MonotonicTime connectedUntil,
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
     * @param until the time from which the holder must not act on the duty
     */
    public record LeaseView(DutyName duty, FencingToken token, MonotonicTime until) {}

    /**
     * This node's share of the slots by the capacity plan.
     *
     * @param plan the plan's number; zero before the first
     */
    public record CapacityShare(long plan, Map<String, Integer> slots, MonotonicTime until) {}

    /**
     * The result of one health check.
     *
     * @param at the time of the check by this node's clock
     */
    public record ServerHealth(String server, boolean well, MonotonicTime at) {}

    public boolean isConnected(MonotonicTime now) {
        return now.isBefore(connectedUntil);
    }

    /**
     * The fencing token under which this node may act on the duty; null if it may not. Has to be
     * called before each action.
     */
    public FencingToken tokenFor(DutyName duty, MonotonicTime now) {
        for (LeaseView lease : leases) {
            if (lease.duty().equals(duty) && now.isBefore(lease.until())) {
                return lease.token();
            }
        }
        return null;
    }
}
