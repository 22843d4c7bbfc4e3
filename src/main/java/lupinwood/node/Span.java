package lupinwood.node;

/** A length of time, in nanoseconds; below zero where a moment has gone by. */
public record Span(long nanos) implements Comparable<Span> {
    public static final Span ZERO = new Span(0);

    public static Span ofSeconds(double seconds) {
        return new Span(Math.round(seconds * 1e9));
    }

    public double seconds() {
        return nanos / 1e9;
    }

    public Span times(double factor) {
        return new Span(Math.round(nanos * factor));
    }

    public Span plus(Span other) {
        return new Span(nanos + other.nanos);
    }

    public Span minus(Span other) {
        return new Span(nanos - other.nanos);
    }

    public Span max(Span other) {
        return nanos >= other.nanos ? this : other;
    }

    public Span min(Span other) {
        return nanos <= other.nanos ? this : other;
    }

    public boolean isPositive() {
        return nanos > 0;
    }

    @Override
    public int compareTo(Span other) {
        return Long.compare(nanos, other.nanos);
    }
}
