package lupinwood.consensus;

import java.util.ArrayList;
import java.util.List;
import lupinwood.cluster.NodeStatus;
import lupinwood.cluster.NodeView;

/**
 * Whether a server that rests is empty: each node that is in has said, in this life and lately,
 * that it sends nothing new there and has nothing there. A node that can't be heard is never taken
 * to have stopped: it may be at work beyond a cut.
 */
public final class DrainTracker {
    private static final int MOST_NAMED = 5;

    private DrainTracker() {}

    /** Which nodes haven't said so, and why, in one line; empty where all have. */
    public static String left(RaftReplica.ReplicaView state, String server) {
        List<String> left = new ArrayList<>();
        for (NodeView nodeView : state.nodeViews()) {
            if (nodeView.status() == NodeStatus.OUT) {
                continue;
            }
            if (nodeView.status() == NodeStatus.UNKNOWN) {
                left.add(nodeView.name() + " isn't heard");
            } else if (nodeView.report() == null || !nodeView.report().drained().contains(server)) {
                left.add(nodeView.name() + " has not said so");
            }
        }
        int more = left.size() - MOST_NAMED;
        return String.join(", ", left.subList(0, Math.min(left.size(), MOST_NAMED)))
                + (more > 0 ? " and " + more + " more" : "");
    }
}
