package lupinwood.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a node answered since it started, by request class; counts only grow within one life, so a
 * lost word does no harm.
 */
public record RequestCounts(List<ClassCounts> counts) {
    /** Past so many request classes the further ones are counted together. */
    public static final int MOST_REQUEST_CLASSES = 16;

    public static final String OTHERS = "others";
    public static final RequestCounts NOTHING = new RequestCounts(List.of());

    /**
     * One request class's.
     *
     * @param served in time and late
     * @param late of these, past the latency objective
     * @param seconds from arrival to answer, over all served
     */
    public record ClassCounts(
            String className, long served, long late, long rejected, long failed, double seconds) {
        public long all() {
            return served + rejected + failed;
        }

        /** What did not get what it came for, in time. */
        public long bad() {
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

    RequestCounts cut() {
        return counts == null
                ? NOTHING
                : counts.size() <= MOST_REQUEST_CLASSES + 1
                        ? this
                        : new RequestCounts(
                                List.copyOf(counts.subList(0, MOST_REQUEST_CLASSES + 1)));
    }

    /** Null where that request class has none. */
    public ClassCounts of(String className) {
        return counts.stream()
                .filter(count -> count.className().equals(className))
                .findFirst()
                .orElse(null);
    }

    /** What came after an earlier word of the same life. */
    public RequestCounts since(RequestCounts before) {
        List<ClassCounts> since = new ArrayList<>();
        for (ClassCounts count : counts) {
            ClassCounts old = before.of(count.className());
            since.add(old == null ? count : count.plus(old, -1));
        }
        return new RequestCounts(since);
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
