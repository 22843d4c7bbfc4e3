package lupinwood.cluster;

import java.util.Collection;
import java.util.Collections;
import java.util.TreeMap;
import lupinwood.cluster.ClusterState.Member;

/**
 * The members, and the nodes that left and were not removed since. Part of {@link ClusterState},
 * and owned by the same thread.
 */
final class MemberRegistry {
    private final int maxMembers;
    private final TreeMap<NodeName, Member> members = new TreeMap<>();

    MemberRegistry(int maxMembers) {
        this.maxMembers = maxMembers;
    }

    void restore(Collection<Member> stored) {
        members.clear();
        stored.forEach(member -> members.put(member.name(), member));
    }

    boolean join(ClusterCommand.Join command) {
        if (!members.containsKey(command.name()) && members.size() >= maxMembers) {
            // Nodes may get a new name at each start, so a member that left is removed to make
            // room.
            members.values().stream()
                    .filter(member -> !member.active())
                    .findFirst()
                    .ifPresent(former -> members.remove(former.name()));
            if (members.size() >= maxMembers) {
                return false;
            }
        }
        members.put(
                command.name(),
                new Member(command.name(), command.incarnation(), command.site(), true));
        return true;
    }

    /** Accepted only under the incarnation that joined last. */
    boolean leave(ClusterCommand.Leave command) {
        Member member = members.get(command.name());
        if (member == null || !member.incarnation().equals(command.incarnation())) {
            return false;
        }
        members.put(
                command.name(),
                new Member(member.name(), member.incarnation(), member.site(), false));
        return true;
    }

    /** Removes a node; false where it wasn't known. */
    boolean remove(NodeName name) {
        return members.remove(name) != null;
    }

    /** Null if there is no such node, or it was removed. */
    Member member(NodeName name) {
        return members.get(name);
    }

    /** Ordered by name. */
    Collection<Member> all() {
        return Collections.unmodifiableCollection(members.values());
    }

    /** Whether no further node can join. */
    boolean isFull() {
        return members.size() >= maxMembers && members.values().stream().allMatch(Member::active);
    }
}
