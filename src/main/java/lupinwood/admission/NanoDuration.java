package lupinwood.admission;

/**
 * A duration in nanoseconds, which may be negative. Used in place of {@link java.time.Duration} for
 * speed, since each round of decisions computes with many durations.
 */
public record NanoDuration(long nanos) implements Comparable<NanoDuration> {
    /** A duration of zero. */
    public static final NanoDuration ZERO = new NanoDuration(0);

    /** Converts seconds, rounded to the nanosecond. */
    public static NanoDuration ofSeconds(double seconds) {
        return new NanoDuration(Math.round(seconds * 1e9));
    }

    /** The duration in seconds. */
    public double seconds() {
        return nanos / 1e9;
    }

    /** This duration multiplied by a factor, rounded to the nanosecond. */
    public NanoDuration times(double factor) {
        return new NanoDuration(Math.round(nanos * factor));
    }

    /** The sum of both durations. */
    public NanoDuration plus(NanoDuration other) {
        return new NanoDuration(nanos + other.nanos);
    }

    /** This duration less the other. */
    public NanoDuration minus(NanoDuration other) {
        return new NanoDuration(nanos - other.nanos);
    }

    /** The longer of the two durations. */
    public NanoDuration max(NanoDuration other) {
        return nanos >= other.nanos ? this : other;
    }

    /** The shorter of the two durations. */
    public NanoDuration min(NanoDuration other) {
        return nanos <= other.nanos ? this : other;
    }

    /** Whether the duration is longer than zero. */
    public boolean isPositive() {
        return nanos > 0;
    }

    @Override
    public int compareTo(NanoDuration other) {
        return Long.compare(nanos, other.nanos);
    }
}
