package lupinwood.node;

/** A point in time on the node's clock, in nanoseconds since no particular start. */
public record Moment(long nanos) implements Comparable<Moment> {
    public static final Moment NEVER = new Moment(Long.MAX_VALUE);

    public Moment plus(Span span) {
        return new Moment(nanos + span.nanos());
    }

    public Moment minus(Span span) {
        return new Moment(nanos - span.nanos());
    }

    public Span since(Moment earlier) {
        return new Span(nanos - earlier.nanos);
    }

    public boolean isBefore(Moment other) {
        return nanos < other.nanos;
    }

    @Override
    public int compareTo(Moment other) {
        return Long.compare(nanos, other.nanos);
    }
}
