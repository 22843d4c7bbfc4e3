package lupinwood.admission;

/** A length of time, in nanoseconds; below zero where a moment has gone by. */
public record NanoDuration(long nanos) implements Comparable<NanoDuration> {
    public static final NanoDuration ZERO = new NanoDuration(0);

    public static NanoDuration ofSeconds(double seconds) {
        return new NanoDuration(Math.round(seconds * 1e9));
    }

    public double seconds() {
        return nanos / 1e9;
    }

    public NanoDuration times(double factor) {
        return new NanoDuration(Math.round(nanos * factor));
    }

    public NanoDuration plus(NanoDuration other) {
        return new NanoDuration(nanos + other.nanos);
    }

    public NanoDuration minus(NanoDuration other) {
        return new NanoDuration(nanos - other.nanos);
    }

    public NanoDuration max(NanoDuration other) {
        return nanos >= other.nanos ? this : other;
    }

    public NanoDuration min(NanoDuration other) {
        return nanos <= other.nanos ? this : other;
    }

    public boolean isPositive() {
        return nanos > 0;
    }

    @Override
    public int compareTo(NanoDuration other) {
        return Long.compare(nanos, other.nanos);
    }
}
