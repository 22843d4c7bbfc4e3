package lupinwood.cluster;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/** Who is out, whatever the reason, and whether one more may go. */
final class DisruptionBudget {
    private final DisruptionLimits limits;
    private final Collection<ClusterState.Member> members;

    /** By permits, and by what was seen: not in, unknown, cold or leaving. */
    private final Set<NodeName> out;

    DisruptionBudget(
            DisruptionLimits limits,
            Collection<ClusterState.Member> members,
            Collection<DisruptionPermit> permits,
            Collection<NodeName> unavailableNodes) {
        this.limits = limits;
        this.members = members;
        out = new HashSet<>(unavailableNodes);
        permits.forEach(permit -> out.add(permit.node()));
        members.stream().filter(member -> !member.in()).forEach(member -> out.add(member.name()));
    }

    int count() {
        return (int) members.stream().filter(member -> out.contains(member.name())).count();
    }

    /**
     * Why this node may not go now; empty where it may. One that isn't known to be well may not: a
     * new leader has heard nobody yet, and all would be out already by what it sees.
     */
    String against(NodeName node) {
        ClusterState.Member member =
                members.stream().filter(one -> one.name().equals(node)).findFirst().orElse(null);
        if (member == null) {
            return "there is no node " + node;
        }
        if (out.contains(node)) {
            return node + " is out already, or not known to be well";
        }
        int all = members.size();
        int gone = count() + 1;
        if (gone > limits.mostOf(all)) {
            return "of "
                    + all
                    + " nodes "
                    + (gone - 1)
                    + " are out, and no more than "
                    + limits.mostOf(all)
                    + " may be";
        }
        if (all - gone < limits.leastIn()) {
            return "fewer than " + limits.leastIn() + " nodes would stay in";
        }
        // Null in a command of an older version.
        if (limits.voters() != null && limits.voters().contains(node)) {
            int without = 1 + (int) limits.voters().stream().filter(out::contains).count();
            if (without * 2 >= limits.voters().size()) {
                return "of "
                        + limits.voters().size()
                        + " voters "
                        + (without - 1)
                        + " are out, and a majority has to stay";
            }
        }
        int inZone = (int) members.stream().filter(one -> one.site().equals(member.site())).count();
        int outOfZone =
                1
                        + (int)
                                members.stream()
                                        .filter(
                                                one ->
                                                        one.site().equals(member.site())
                                                                && out.contains(one.name()))
                                        .count();
        if (outOfZone > limits.mostOfZone(inZone)) {
            return "of "
                    + inZone
                    + " nodes in "
                    + member.site()
                    + " "
                    + (outOfZone - 1)
                    + " are out, and no more than "
                    + limits.mostOfZone(inZone)
                    + " may be";
        }
        return "";
    }
}
