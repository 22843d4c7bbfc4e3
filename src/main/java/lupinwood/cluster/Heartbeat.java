package lupinwood.cluster;

import java.util.List;

/**
 * What a node periodically reports to the consensus group.
 *
 * @param version of this message format; the consensus group rejects a version that it can't read
 * @param number increases within one incarnation; the reply repeats it
 * @param heldLeases leases that it certainly holds now
 * @param releasing leases that it held and no longer acts under
 * @param failedLeases leases of duties that it can't perform
 * @param ejectedServers servers that it has ejected
 * @param healthChecks results of the health checks that it made as the holder of the health check
 *     duty
 * @param report null from a node of an older version
 */
public record Heartbeat(
        int version,
        NodeName name,
        Incarnation incarnation,
        Site site,
        NodeCondition condition,
        long number,
        List<Lease> heldLeases,
        List<Lease> releasing,
        List<Lease> failedLeases,
        List<String> ejectedServers,
        List<HealthCheckResult> healthChecks,
        NodeReport report) {
    public static final int VERSION = 1;

    /**
     * The most entries that are read from each list of a heartbeat, and so the most servers that
     * one node can name. A longer list is truncated, which affects only what is known of that node.
     */
    public static final int MAX_LIST_LENGTH = 1024;

    /** A copy without list entries past the bound, and with an empty list for each missing one. */
    public Heartbeat truncated() {
        return new Heartbeat(
                version,
                name,
                incarnation,
                site,
                condition,
                number,
                truncate(heldLeases),
                truncate(releasing),
                truncate(failedLeases),
                truncate(ejectedServers),
                truncate(healthChecks),
                report == null ? null : report.truncated());
    }

    private static <T> List<T> truncate(List<T> list) {
        return list == null
                ? List.of()
                : list.size() <= MAX_LIST_LENGTH
                        ? list
                        : List.copyOf(list.subList(0, MAX_LIST_LENGTH));
    }
}
