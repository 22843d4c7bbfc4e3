package lupinwood.cluster;

import java.util.Collection;
import java.util.Collections;
import java.util.TreeMap;
import lupinwood.cluster.ClusterState.Member;

/**
 * The permits under which nodes may be out. Part of {@link ClusterState}, and owned by the same
 * thread.
 */
final class DisruptionPermits {
    private static final int MAX_PERMITS = 1024;

    private final TreeMap<Long, DisruptionPermit> permits = new TreeMap<>();
    private long lastNumber;

    void open(Collection<DisruptionPermit> all, long last) {
        permits.clear();
        all.forEach(permit -> permits.put(permit.number(), permit));
        lastNumber = last;
    }

    boolean isFull() {
        return permits.size() >= MAX_PERMITS;
    }

    boolean isFor(NodeName node) {
        return permits.values().stream().anyMatch(permit -> permit.node().equals(node));
    }

    /** A new permit, under the next number. */
    DisruptionPermit grant(Member member, String by) {
        DisruptionPermit permit =
                new DisruptionPermit(
                        ++lastNumber, member.name(), member.incarnation(), member.site(), by);
        permits.put(permit.number(), permit);
        return permit;
    }

    /** Null where there is no such permit. */
    DisruptionPermit remove(long number) {
        return permits.remove(number);
    }

    void removeAllOf(NodeName node) {
        permits.values().removeIf(permit -> permit.node().equals(node));
    }

    /** In the order in which they were given. */
    Collection<DisruptionPermit> all() {
        return Collections.unmodifiableCollection(permits.values());
    }

    long lastNumber() {
        return lastNumber;
    }
}
