package lupinwood.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * How many requests a node served, rejected and failed since it started, by request class. Counts
 * never decrease within one incarnation, so a lost heartbeat does no harm.
 */
public record RequestCounts(List<ClassCounts> counts) {
    /**
     * The most request classes that are counted separately; the node counts all further ones
     * together as {@link #OTHER_CLASSES}.
     */
    public static final int MAX_REQUEST_CLASSES = 16;

    public static final String OTHER_CLASSES = "others";
    public static final RequestCounts EMPTY = new RequestCounts(List.of());

    /**
     * The counts of one request class.
     *
     * @param served requests that were served, whether in time or late
     * @param late the served requests that missed the latency objective
     * @param seconds the total time from arrival to response over all served requests
     */
    public record ClassCounts(
            String className, long served, long late, long rejected, long failed, double seconds) {
        public long total() {
            return served + rejected + failed;
        }

        /** Requests that were not served in time. */
        public long notServedInTime() {
            return late + rejected + failed;
        }

        ClassCounts plus(ClassCounts other, int sign) {
            return new ClassCounts(
                    className,
                    served + sign * other.served,
                    late + sign * other.late,
                    rejected + sign * other.rejected,
                    failed + sign * other.failed,
                    seconds + sign * other.seconds);
        }
    }

    /** These counts without the request classes past the bound; empty if there are none. */
    RequestCounts truncated() {
        return counts == null
                ? EMPTY
                : counts.size() <= MAX_REQUEST_CLASSES + 1
                        ? this
                        : new RequestCounts(
                                List.copyOf(counts.subList(0, MAX_REQUEST_CLASSES + 1)));
    }

    /** The counts of a request class; null where it has none. */
    public ClassCounts of(String className) {
        return counts.stream()
                .filter(count -> count.className().equals(className))
                .findFirst()
                .orElse(null);
    }

    /** The increase over earlier counts of the same incarnation. */
    public RequestCounts since(RequestCounts earlier) {
        List<ClassCounts> increase = new ArrayList<>();
        for (ClassCounts count : counts) {
            ClassCounts old = earlier.of(count.className());
            increase.add(old == null ? count : count.plus(old, -1));
        }
        return new RequestCounts(increase);
    }

    public RequestCounts plus(RequestCounts other) {
        Map<String, ClassCounts> sum = new TreeMap<>();
        counts.forEach(count -> sum.put(count.className(), count));
        other.counts.forEach(count -> sum.merge(count.className(), count, (a, b) -> a.plus(b, 1)));
        return new RequestCounts(List.copyOf(sum.values()));
    }

    /** All request classes together. */
    public ClassCounts all() {
        ClassCounts sum = new ClassCounts("all", 0, 0, 0, 0, 0);
        for (ClassCounts count : counts) {
            sum = sum.plus(count, 1);
        }
        return sum;
    }
}
