package lupinwood.admission;

/** A point in time on the node's clock, in nanoseconds since no particular start. */
public record MonotonicTime(long nanos) implements Comparable<MonotonicTime> {
    /** Later than any other. */
    public static final MonotonicTime NEVER = new MonotonicTime(Long.MAX_VALUE);

    /** The time so much later. */
    public MonotonicTime plus(NanoDuration duration) {
        return new MonotonicTime(nanos + duration.nanos());
    }

    /** The time so much earlier. */
    public MonotonicTime minus(NanoDuration duration) {
        return new MonotonicTime(nanos - duration.nanos());
    }

    /** What passed since another time; below zero where that is later. */
    public NanoDuration since(MonotonicTime earlier) {
        return new NanoDuration(nanos - earlier.nanos);
    }

    /** Whether this is strictly earlier. */
    public boolean isBefore(MonotonicTime other) {
        return nanos < other.nanos;
    }

    @Override
    public int compareTo(MonotonicTime other) {
        return Long.compare(nanos, other.nanos);
    }
}
