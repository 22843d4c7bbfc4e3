package lupinwood.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a node answered since it started, by track; counts only grow within one life, so a lost word
 * does no harm.
 */
public record Tally(List<Count> counts) {
    /** Past so many tracks the further ones are counted together. */
    public static final int MOST_TRACKS = 16;

    public static final String OTHERS = "others";
    public static final Tally NOTHING = new Tally(List.of());

    /**
     * One track's.
     *
     * @param satisfied in time and late
     * @param late of these, past the agreed time
     * @param seconds from arrival to answer, over all satisfied
     */
    public record Count(
            String track, long satisfied, long late, long bounced, long abandoned, double seconds) {
        public long all() {
            return satisfied + bounced + abandoned;
        }

        /** What did not get what it came for, in time. */
        public long bad() {
            return late + bounced + abandoned;
        }

        Count plus(Count other, int sign) {
            return new Count(
                    track,
                    satisfied + sign * other.satisfied,
                    late + sign * other.late,
                    bounced + sign * other.bounced,
                    abandoned + sign * other.abandoned,
                    seconds + sign * other.seconds);
        }
    }

    Tally cut() {
        return counts == null
                ? NOTHING
                : counts.size() <= MOST_TRACKS + 1
                        ? this
                        : new Tally(List.copyOf(counts.subList(0, MOST_TRACKS + 1)));
    }

    /** Null where that track has none. */
    public Count of(String track) {
        return counts.stream()
                .filter(count -> count.track().equals(track))
                .findFirst()
                .orElse(null);
    }

    /** What came after an earlier word of the same life. */
    public Tally since(Tally before) {
        List<Count> since = new ArrayList<>();
        for (Count count : counts) {
            Count old = before.of(count.track());
            since.add(old == null ? count : count.plus(old, -1));
        }
        return new Tally(since);
    }

    public Tally plus(Tally other) {
        Map<String, Count> sum = new TreeMap<>();
        counts.forEach(count -> sum.put(count.track(), count));
        other.counts.forEach(count -> sum.merge(count.track(), count, (a, b) -> a.plus(b, 1)));
        return new Tally(List.copyOf(sum.values()));
    }

    /** All tracks together. */
    public Count all() {
        Count sum = new Count("all", 0, 0, 0, 0, 0);
        for (Count count : counts) {
            sum = sum.plus(count, 1);
        }
        return sum;
    }
}
