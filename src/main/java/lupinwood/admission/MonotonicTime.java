package lupinwood.admission;

/**
 * A point in time on the clock of the node, in nanoseconds from an arbitrary origin; only
 * differences between times have a meaning.
 */
public record MonotonicTime(long nanos) implements Comparable<MonotonicTime> {
    /** Later than any other time. */
    public static final MonotonicTime NEVER = new MonotonicTime(Long.MAX_VALUE);

    /** The time later by this duration. */
    public MonotonicTime plus(NanoDuration duration) {
        return new MonotonicTime(nanos + duration.nanos());
    }

    /** The time earlier by this duration. */
    public MonotonicTime minus(NanoDuration duration) {
        return new MonotonicTime(nanos - duration.nanos());
    }

    /** The time elapsed since another point in time; negative if that is later. */
    public NanoDuration since(MonotonicTime earlier) {
        return new NanoDuration(nanos - earlier.nanos);
    }

    /** Whether this time is strictly earlier. */
    public boolean isBefore(MonotonicTime other) {
        return nanos < other.nanos;
    }

    @Override
    public int compareTo(MonotonicTime other) {
        return Long.compare(nanos, other.nanos);
    }
}
