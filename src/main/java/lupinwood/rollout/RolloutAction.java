package lupinwood.rollout;

import lupinwood.cluster.ClusterCommand;
import lupinwood.cluster.NodeName;

/**
 * What the rollout controller wants done next. Each action may be lost or done twice without harm.
 */
public sealed interface RolloutAction {
    /** Proposes a command to the cluster state. */
    record Propose(ClusterCommand command) implements RolloutAction {}

    /**
     * Requests a disruption permit for a node, so that it restarts with what it is to run.
     *
     * @param order identifies the request for one incarnation of the node; repeated requests with
     *     the same identifier are carried out once
     */
    record PermitRestart(String order, NodeName node) implements RolloutAction {}
}
