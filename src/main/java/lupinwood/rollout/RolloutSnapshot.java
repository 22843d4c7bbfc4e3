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
 * The rollout controller's input: the cluster state, and what its leader sees of the nodes.
 *
 * @param rollout null while none is in progress
 * @param agreedDigest the digest of the configuration that all nodes run while no rollout is in
 *     progress
 * @param haltedBy the operator who halted rollouts, or the rollout with the reason for its halt;
 *     empty while rollouts are not halted
 * @param maxUnavailableNodes how many nodes may be unavailable at once
 * @param baselineCounts each node's request counts over about {@link CanaryLimits#minWatch} before
 *     the first wave, with the previous version; null if they were not requested
 */
public record RolloutSnapshot(
        Rollout rollout,
        String agreedDigest,
        String haltedBy,
        List<NodeView> nodeViews,
        Collection<DisruptionPermit> permits,
        int maxUnavailableNodes,
        Map<String, RequestCounts> baselineCounts) {
    Optional<NodeView> of(NodeName node) {
        return nodeViews.stream().filter(nodeView -> nodeView.name().equals(node)).findFirst();
    }

    boolean hasPermit(NodeName node) {
        return permits.stream().anyMatch(permit -> permit.node().equals(node));
    }
}
