package lupinwood.admission;

/**
 * A length of time in nanoseconds; below zero where a time has gone by. One long in place of {@link
 * java.time.Duration}, since decisions reckon with many of them in each round.
 */
public record NanoDuration(long nanos) implements Comparable<NanoDuration> {
    /** No time. */
    public static final NanoDuration ZERO = new NanoDuration(0);

    /** Seconds, rounded to the nanosecond. */
    public static NanoDuration ofSeconds(double seconds) {
        return new NanoDuration(Math.round(seconds * 1e9));
    }

    /** The same in seconds. */
    public double seconds() {
        return nanos / 1e9;
    }

    /** A multiple, rounded to the nanosecond. */
    public NanoDuration times(double factor) {
        return new NanoDuration(Math.round(nanos * factor));
    }

    /** The sum. */
    public NanoDuration plus(NanoDuration other) {
        return new NanoDuration(nanos + other.nanos);
    }

    /** The difference. */
    public NanoDuration minus(NanoDuration other) {
        return new NanoDuration(nanos - other.nanos);
    }

    /** The longer of the two. */
    public NanoDuration max(NanoDuration other) {
        return nanos >= other.nanos ? this : other;
    }

    /** The shorter of the two. */
    public NanoDuration min(NanoDuration other) {
        return nanos <= other.nanos ? this : other;
    }

    /** Whether it is longer than zero. */
    public boolean isPositive() {
        return nanos > 0;
    }

    @Override
    public int compareTo(NanoDuration other) {
        return Long.compare(nanos, other.nanos);
    }
}
