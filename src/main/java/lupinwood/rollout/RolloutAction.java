package lupinwood.rollout;

import lupinwood.cluster.ClusterCommand;
import lupinwood.cluster.NodeName;

/**
 * What the rollout controller wants done next. All may be lost or come twice, and does no harm
 * then.
 */
public sealed interface RolloutAction {
    /** Written into the cluster state. */
    record Propose(ClusterCommand command) implements RolloutAction {}

    /**
     * A node asks for its permit to go, so that it comes back with what it is to run.
     *
     * @param order names the asking for one life of the node: again under the same name it is done
     *     once
     */
    record PermitRestart(String order, NodeName node) implements RolloutAction {}
}
