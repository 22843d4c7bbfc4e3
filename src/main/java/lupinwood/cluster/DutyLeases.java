package lupinwood.cluster;

import java.util.Collection;
import java.util.Collections;
import java.util.TreeMap;
import lupinwood.cluster.ClusterState.DutyLease;
import lupinwood.cluster.ClusterState.Member;

/**
 * Who holds which duty, and under which fencing token. Tokens only grow, over all duties, and begin
 * above those of an older state. Part of {@link ClusterState}, and owned by the same thread.
 */
final class DutyLeases {
    private static final int MAX_DUTIES = 64;

    private final TreeMap<DutyName, DutyLease> duties = new TreeMap<>();
    private long lastToken;

    void open(Collection<DutyLease> all, long token) {
        duties.clear();
        all.forEach(lease -> duties.put(lease.duty(), lease));
        lastToken = token;
    }

    /** Sets where tokens begin; fits once. */
    boolean bootstrap(ClusterCommand.Bootstrap command) {
        if (isBootstrapped()) {
            return false;
        }
        lastToken = Math.max(1, command.above());
        return true;
    }

    /** Whether the first token is known; before, no duty is given. */
    boolean isBootstrapped() {
        return lastToken > 0;
    }

    /**
     * Gives a duty that is nobody's to a node that is in.
     *
     * @param heir null where no such node came
     */
    boolean grant(ClusterCommand.GrantLease command, Member heir) {
        DutyLease lease = duties.get(command.duty());
        boolean fits =
                lease == null
                        ? command.after().number() == 0 && duties.size() < MAX_DUTIES
                        : lease.isFree() && lease.token().equals(command.after());
        if (!fits
                || heir == null
                || !heir.in()
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

    /** Fits only under the token that the duty was given under last. */
    boolean release(ClusterCommand.ReleaseLease command) {
        DutyLease lease = duties.get(command.duty());
        if (lease == null || lease.isFree() || !lease.token().equals(command.token())) {
            return false;
        }
        duties.put(command.duty(), new DutyLease(command.duty(), null, null, lease.token()));
        return true;
    }

    /** Whether the duty is held under this token. */
    boolean isUnder(DutyName duty, FencingToken token) {
        DutyLease lease = duties.get(duty);
        return lease != null && !lease.isFree() && lease.token().equals(token);
    }

    boolean isHolder(NodeName node) {
        return duties.values().stream().anyMatch(lease -> node.equals(lease.holder()));
    }

    /** Never null: a duty that was never given is nobody's under token 0. */
    DutyLease duty(DutyName duty) {
        DutyLease lease = duties.get(duty);
        return lease == null ? new DutyLease(duty, null, null, new FencingToken(0)) : lease;
    }

    /** In the order of their names. */
    Collection<DutyLease> all() {
        return Collections.unmodifiableCollection(duties.values());
    }

    long lastToken() {
        return lastToken;
    }
}
