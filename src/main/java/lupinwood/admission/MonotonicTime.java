package lupinwood.admission;

/** A point in time on the node's clock, in nanoseconds since no particular start. */
public record MonotonicTime(long nanos) implements Comparable<MonotonicTime> {
    public static final MonotonicTime NEVER = new MonotonicTime(Long.MAX_VALUE);

    public MonotonicTime plus(NanoDuration duration) {
        return new MonotonicTime(nanos + duration.nanos());
    }

    public MonotonicTime minus(NanoDuration duration) {
        return new MonotonicTime(nanos - duration.nanos());
    }

    public NanoDuration since(MonotonicTime earlier) {
        return new NanoDuration(nanos - earlier.nanos);
    }

    public boolean isBefore(MonotonicTime other) {
        return nanos < other.nanos;
    }

    @Override
    public int compareTo(MonotonicTime other) {
        return Long.compare(nanos, other.nanos);
    }
}
