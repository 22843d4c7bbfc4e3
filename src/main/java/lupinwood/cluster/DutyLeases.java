package lupinwood.cluster;

import java.util.Collection;
import java.util.Collections;
import java.util.TreeMap;
import lupinwood.cluster.ClusterState.DutyLease;
import lupinwood.cluster.ClusterState.Member;

/**
 * Which node holds which duty, under which fencing token. Tokens increase across all duties, and
 * start above those of a lost older state. {@link LeaseManager#decide} proposes the commands that
 * grant and release the duties. Part of {@link ClusterState}, and owned by the same thread.
 */
final class DutyLeases {
    private static final int MAX_DUTIES = 64;

    private final TreeMap<DutyName, DutyLease> duties = new TreeMap<>();
    private long lastToken;

    void restore(Collection<DutyLease> stored, long storedLastToken) {
        duties.clear();
        stored.forEach(lease -> duties.put(lease.duty(), lease));
        lastToken = storedLastToken;
    }

    /** Sets where tokens start; accepted only once. */
    boolean bootstrap(ClusterCommand.Bootstrap command) {
        if (isBootstrapped()) {
            return false;
        }
        lastToken = Math.max(1, command.above());
        return true;
    }

    /**
     * Whether it is known where tokens start; before that, the lease manager proposes only {@link
     * ClusterCommand.Bootstrap}.
     */
    boolean isBootstrapped() {
        return lastToken > 0;
    }

    /**
     * Grants the lease of a free duty to a node that is in the cluster.
     *
     * @param heir the member that the command names; null if there is none
     */
    boolean grant(ClusterCommand.GrantLease command, Member heir) {
        DutyLease lease = duties.get(command.duty());
        boolean isAvailable =
                lease == null
                        ? command.after().number() == 0 && duties.size() < MAX_DUTIES
                        : lease.isFree() && lease.token().equals(command.after());
        if (!isAvailable
                || heir == null
                || !heir.active()
                || !heir.incarnation().equals(command.incarnation())) {
            return false;
        }
        duties.put(
                command.duty(),
                new DutyLease(
                        command.duty(),
                        command.heir(),
                        command.incarnation(),
                        new FencingToken(++lastToken)));
        return true;
    }

    /** Accepted only under the token with which the lease was last granted. */
    boolean release(ClusterCommand.ReleaseLease command) {
        DutyLease lease = duties.get(command.duty());
        if (lease == null || lease.isFree() || !lease.token().equals(command.token())) {
            return false;
        }
        duties.put(command.duty(), new DutyLease(command.duty(), null, null, lease.token()));
        return true;
    }

    /** Whether the duty is held under this token. */
    boolean isHeldUnder(DutyName duty, FencingToken token) {
        DutyLease lease = duties.get(duty);
        return lease != null && !lease.isFree() && lease.token().equals(token);
    }

    boolean holdsAnyDuty(NodeName node) {
        return duties.values().stream().anyMatch(lease -> node.equals(lease.holder()));
    }

    /** Never null: a duty that was never granted is free, under token 0. */
    DutyLease duty(DutyName duty) {
        DutyLease lease = duties.get(duty);
        return lease == null ? new DutyLease(duty, null, null, new FencingToken(0)) : lease;
    }

    /** Ordered by the name of the duty. */
    Collection<DutyLease> all() {
        return Collections.unmodifiableCollection(duties.values());
    }

    long lastToken() {
        return lastToken;
    }
}
