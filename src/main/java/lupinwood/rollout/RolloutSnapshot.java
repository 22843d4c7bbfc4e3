package lupinwood.rollout;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import lupinwood.cluster.DisruptionPermit;
import lupinwood.cluster.NodeName;
import lupinwood.cluster.NodeView;
import lupinwood.cluster.RequestCounts;
import lupinwood.cluster.Rollout;

/**
 * What the rollout controller goes by: the cluster state and what the one who leads sees.
 *
 * @param rollout null while none is open
 * @param good the digest of the text that all run while no release is open
 * @param haltedBy empty while nothing is halted
 * @param mostOut so many nodes may be out at once
 * @param past what each node answered over a watch before the first wave; null where it wasn't
 *     asked for
 */
public record RolloutSnapshot(
        Rollout rollout,
        String good,
        String haltedBy,
        List<NodeView> nodeViews,
        Collection<DisruptionPermit> permits,
        int mostOut,
        Map<String, RequestCounts> past) {
    Optional<NodeView> of(NodeName node) {
        return nodeViews.stream().filter(one -> one.name().equals(node)).findFirst();
    }

    boolean hasPermit(NodeName node) {
        return permits.stream().anyMatch(permit -> permit.node().equals(node));
    }
}
