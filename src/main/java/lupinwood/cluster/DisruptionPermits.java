package lupinwood.cluster;

import java.util.Collection;
import java.util.Collections;
import java.util.TreeMap;
import lupinwood.cluster.ClusterState.Member;

/**
 * The permits under which nodes may be unavailable. Part of {@link ClusterState}, and owned by the
 * same thread.
 */
final class DisruptionPermits {
    private static final int MAX_PERMITS = 1024;

    private final TreeMap<Long, DisruptionPermit> permits = new TreeMap<>();
    private long lastNumber;

    void restore(Collection<DisruptionPermit> stored, long storedLastNumber) {
        permits.clear();
        stored.forEach(permit -> permits.put(permit.number(), permit));
        lastNumber = storedLastNumber;
    }

    boolean isFull() {
        return permits.size() >= MAX_PERMITS;
    }

    boolean hasPermit(NodeName node) {
        return permits.values().stream().anyMatch(permit -> permit.node().equals(node));
    }

    /** Adds a permit under the next number. */
    DisruptionPermit grant(Member member, String by) {
        DisruptionPermit permit =
                new DisruptionPermit(
                        ++lastNumber, member.name(), member.incarnation(), member.site(), by);
        permits.put(permit.number(), permit);
        return permit;
    }

    /** Removes a permit and returns it; null where there is none of this number. */
    DisruptionPermit remove(long number) {
        return permits.remove(number);
    }

    void removeAllOf(NodeName node) {
        permits.values().removeIf(permit -> permit.node().equals(node));
    }

    /** Ordered by number, and so by when they were granted. */
    Collection<DisruptionPermit> all() {
        return Collections.unmodifiableCollection(permits.values());
    }

    long lastNumber() {
        return lastNumber;
    }
}
