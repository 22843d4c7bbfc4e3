package lupinwood.cluster;

import java.util.List;

/**
 * What a node tells the consensus group, again and again.
 *
 * @param version of this form; a consensus group passes over what it can't read
 * @param number counts up within one life; the reply names it
 * @param holds what it holds for certain now
 * @param releasing what it held, and does no more
 * @param failsAt what it can't do
 * @param leftOut servers that it has left out
 * @param found what it tried under the duty trial
 * @param report null of an older version
 */
public record Heartbeat(
        int version,
        NodeName name,
        Incarnation incarnation,
        Site site,
        NodeCondition condition,
        long number,
        List<Lease> holds,
        List<Lease> releasing,
        List<Lease> failsAt,
        List<String> leftOut,
        List<HealthCheckResult> found,
        NodeReport report) {
    public static final int VERSION = 1;

    /**
     * What one node may name of each, so many servers at the least; a longer list is cut, which
     * costs only that node.
     */
    public static final int MOST = 1024;

    /** Without what would be too much, or is missing in an older form. */
    public Heartbeat cut() {
        return new Heartbeat(
                version,
                name,
                incarnation,
                site,
                condition,
                number,
                cut(holds),
                cut(releasing),
                cut(failsAt),
                cut(leftOut),
                cut(found),
                report == null ? null : report.cut());
    }

    private static <T> List<T> cut(List<T> list) {
        return list == null
                ? List.of()
                : list.size() <= MOST ? list : List.copyOf(list.subList(0, MOST));
    }
}
