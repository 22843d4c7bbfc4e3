package lupinwood.cluster;

import java.util.Collection;
import java.util.Collections;
import java.util.TreeMap;
import lupinwood.cluster.ClusterState.Member;

/**
 * The nodes that came, whether they are in or went. Part of {@link ClusterState}, and owned by the
 * same thread.
 */
final class MemberRegistry {
    private final int maxMembers;
    private final TreeMap<NodeName, Member> members = new TreeMap<>();

    MemberRegistry(int maxMembers) {
        this.maxMembers = maxMembers;
    }

    void open(Collection<Member> all) {
        members.clear();
        all.forEach(member -> members.put(member.name(), member));
    }

    boolean join(ClusterCommand.Join command) {
        if (!members.containsKey(command.name()) && members.size() >= maxMembers) {
            // Guards against names that come once each, as of nodes named anew at each start: who
            // went makes room.
            members.values().stream()
                    .filter(member -> !member.in())
                    .findFirst()
                    .ifPresent(gone -> members.remove(gone.name()));
            if (members.size() >= maxMembers) {
                return false;
            }
        }
        members.put(
                command.name(),
                new Member(command.name(), command.incarnation(), command.site(), true));
        return true;
    }

    /** Fits only under the incarnation that came last. */
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

    /** Forgets a node; false where it wasn't known. */
    boolean remove(NodeName name) {
        return members.remove(name) != null;
    }

    /** Null where no such node came. */
    Member member(NodeName name) {
        return members.get(name);
    }

    /** In the order of their names. */
    Collection<Member> all() {
        return Collections.unmodifiableCollection(members.values());
    }

    /** Whether no further node may come. */
    boolean isFull() {
        return members.size() >= maxMembers && members.values().stream().allMatch(Member::in);
    }
}
