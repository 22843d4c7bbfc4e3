package lupinwood.cluster;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * Counts the nodes that are unavailable for any reason, and decides whether one more node may
 * become unavailable.
 */
final class DisruptionBudget {
    private final DisruptionLimits limits;
    private final Collection<ClusterState.Member> members;

    /** Nodes that have a permit, have left, or are not seen to be warm by the leader. */
    private final Set<NodeName> unavailable;

    DisruptionBudget(
            DisruptionLimits limits,
            Collection<ClusterState.Member> members,
            Collection<DisruptionPermit> permits,
            Collection<NodeName> unavailableNodes) {
        this.limits = limits;
        this.members = members;
        unavailable = new HashSet<>(unavailableNodes);
        permits.forEach(permit -> unavailable.add(permit.node()));
        members.stream()
                .filter(member -> !member.active())
                .forEach(member -> unavailable.add(member.name()));
    }

    int unavailableCount() {
        return (int) members.stream().filter(member -> unavailable.contains(member.name())).count();
    }

    /**
     * Why this node must not stop now; empty if it may stop. A node that isn't known to be healthy
     * is refused. So a new leader, which has received no heartbeat yet, refuses all nodes, because
     * by its view all are already unavailable.
     */
    String reasonAgainst(NodeName node) {
        ClusterState.Member member =
                members.stream().filter(peer -> peer.name().equals(node)).findFirst().orElse(null);
        if (member == null) {
            return "there is no node " + node;
        }
        if (unavailable.contains(node)) {
            return node + " is already unavailable, or not known to be healthy";
        }
        int total = members.size();
        int unavailableAfter = unavailableCount() + 1;
        if (unavailableAfter > limits.maxUnavailable(total)) {
            return "of "
                    + total
                    + " nodes "
                    + (unavailableAfter - 1)
                    + " are unavailable, and at most "
                    + limits.maxUnavailable(total)
                    + " may be";
        }
        if (total - unavailableAfter < limits.leastIn()) {
            return "fewer than " + limits.leastIn() + " nodes would remain available";
        }
        // voters is null in a command of an older version.
        if (limits.voters() != null && limits.voters().contains(node)) {
            int votersAfter =
                    1 + (int) limits.voters().stream().filter(unavailable::contains).count();
            if (votersAfter * 2 >= limits.voters().size()) {
                return "of "
                        + limits.voters().size()
                        + " voters "
                        + (votersAfter - 1)
                        + " are unavailable, and a majority must remain available";
            }
        }
        int zoneTotal =
                (int) members.stream().filter(peer -> peer.site().equals(member.site())).count();
        int zoneAfter =
                1
                        + (int)
                                members.stream()
                                        .filter(
                                                peer ->
                                                        peer.site().equals(member.site())
                                                                && unavailable.contains(
                                                                        peer.name()))
                                        .count();
        if (zoneAfter > limits.maxUnavailableInZone(zoneTotal)) {
            return "of "
                    + zoneTotal
                    + " nodes in "
                    + member.site()
                    + " "
                    + (zoneAfter - 1)
                    + " are unavailable, and at most "
                    + limits.maxUnavailableInZone(zoneTotal)
                    + " may be";
        }
        return "";
    }
}
