package lupinwood.consensus;

import java.util.ArrayList;
import java.util.List;
import lupinwood.cluster.NodeStatus;
import lupinwood.cluster.NodeView;

/**
 * Tells whether a cordoned server is drained: each member whose status isn't OUT has reported, in
 * its current incarnation and recently, that it sends no new requests to the server and has none in
 * flight there. A node whose heartbeats are missing never counts as drained: it may still send
 * requests from behind a network partition.
 */
public final class DrainTracker {
    private static final int MAX_NAMED_NODES = 5;

    private DrainTracker() {}

    /**
     * One line that names the nodes that haven't reported the server as drained, with the reason;
     * empty if all have.
     *
     * @param state the leader's view; that of another voter has no nodes, which gives an empty line
     */
    public static String undrainedNodes(RaftReplica.ReplicaView state, String server) {
        List<String> undrained = new ArrayList<>();
        for (NodeView nodeView : state.nodeViews()) {
            if (nodeView.status() == NodeStatus.OUT) {
                continue;
            }
            if (nodeView.status() == NodeStatus.UNKNOWN) {
                undrained.add(nodeView.name() + " sends no heartbeats");
            } else if (nodeView.report() == null || !nodeView.report().drained().contains(server)) {
                undrained.add(nodeView.name() + " has not reported the server as drained");
            }
        }
        int unnamedCount = undrained.size() - MAX_NAMED_NODES;
        return String.join(", ", undrained.subList(0, Math.min(undrained.size(), MAX_NAMED_NODES)))
                + (unnamedCount > 0 ? " and " + unnamedCount + " more" : "");
    }
}
