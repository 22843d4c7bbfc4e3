package lupinwood.cluster;

import java.util.List;
import java.util.Map;

/**
 * What is written into the cluster state, in the order agreed on. Each is done by {@link
 * ServerState#apply} or found not to fit.
 */
public sealed interface ClusterCommand {
    /**
     * The first of all commands.
     *
     * @param above tokens begin above it, so that those of an older book, should it be lost, stay
     *     lower
     */
    record Bootstrap(long above) implements ClusterCommand {}

    /** A node comes, or comes back under a new life. */
    record Join(NodeName name, Incarnation incarnation, Site site) implements ClusterCommand {}

    /** A node goes, by its own word. */
    record Leave(NodeName name, Incarnation incarnation) implements ClusterCommand {}

    /** An operator's word that a node is gone for good; the cluster state forgets it. */
    record RemoveNode(NodeName name) implements ClusterCommand {}

    /**
     * Gives a duty to a node.
     *
     * @param after the duty's token before, so that one decision made twice is done once
     */
    record GrantLease(DutyName duty, NodeName heir, Incarnation incarnation, FencingToken after)
            implements ClusterCommand {}

    /** The duty is nobody's any more. */
    record ReleaseLease(DutyName duty, FencingToken token, LeaseEnd why)
            implements ClusterCommand {}

    /** What the status reporter gathered; counts under its token only. */
    record RecordStatus(FencingToken token, String digest) implements ClusterCommand {}

    /**
     * A node may go. Fits only while nothing is halted and the rules allow it, so whoever leads,
     * and however many ask at once, no more are out by permits than they say.
     *
     * @param order names what an operator asked for, so that asking again does nothing twice
     * @param unavailableNodes who is out by what the leader sees, beside the permits in the cluster
     *     state
     */
    record GrantPermit(
            String order,
            NodeName node,
            String by,
            long atMillis,
            DisruptionLimits limits,
            List<NodeName> unavailableNodes)
            implements ClusterCommand {}

    /** A permit counts no longer. */
    record ReturnPermit(long permit, String why, long atMillis) implements ClusterCommand {}

    /** No permit is given any more, or permits may be given again. */
    record SetHalt(String order, boolean halted, String by, long atMillis)
            implements ClusterCommand {}

    /**
     * A release begins. Fits only while no other is open and nothing is halted.
     *
     * @param to a text's digest, or a version of the program
     * @param text of a configuration; else empty
     */
    record BeginRollout(
            String order,
            String by,
            Rollout.Kind kind,
            String to,
            String text,
            boolean backsOnHalt,
            long atMillis)
            implements ClusterCommand {}

    /**
     * The next wave. Fits only under the rollout controller's token, while nothing is halted, and
     * as the next one.
     *
     * @param nodes that get it, or on the way back have it no more
     * @param why what the watch of the one before came to
     * @param past what each node answered over a watch before the first wave, by its name; with
     *     that wave only
     */
    record AdvanceRollout(
            FencingToken token,
            long rollout,
            int step,
            boolean back,
            List<NodeName> nodes,
            String why,
            Map<String, RequestCounts> past,
            long atMillis)
            implements ClusterCommand {}

    /**
     * A release turns back, which ends a halt: an operator's word, or the program's where the
     * release said so.
     */
    record RollBack(String order, long rollout, String by, long atMillis)
            implements ClusterCommand {}

    /** A release has ended; counts under the rollout controller's token. */
    record FinishRollout(FencingToken token, long rollout, boolean done, String why, long atMillis)
            implements ClusterCommand {}

    /**
     * A server below rests. Fits only while nothing is halted, no release is open and fewer rest
     * than may.
     *
     * @param most so many may rest at once
     */
    record CordonServer(String order, String server, String by, int most, long atMillis)
            implements ClusterCommand {}

    /** It rests no more. */
    record UncordonServer(String order, String server, String by, long atMillis)
            implements ClusterCommand {}

    /**
     * How much each node may send where, under the planner's token. Fits only where no place could
     * be sent more than it bears by all that any node may still believe.
     *
     * @param after the number of the plan before, so that one made twice is made once
     * @param bears how many requests at once each place can bear
     * @param alone what a node of a site may have at a place without a plan
     * @param slots what all nodes of a site together may have at a place
     */
    record SetCapacityPlan(
            FencingToken token,
            long after,
            Map<String, Integer> bears,
            Map<String, Map<String, Integer>> alone,
            Map<String, Map<String, Integer>> slots,
            String why,
            long atMillis)
            implements ClusterCommand {}

    /**
     * No node goes by a plan under this number any more: told by whoever leads the consensus group,
     * who knows of all leases.
     */
    record RetireCapacityPlans(long beforePlan) implements ClusterCommand {}

    /** Why a duty was taken from its holder. */
    enum LeaseEnd {
        LAPSED,
        HANDED_ON,
        FAILED,
        WENT
    }
}
