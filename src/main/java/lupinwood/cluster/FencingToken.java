package lupinwood.cluster;

/**
 * Comes with each duty given, and only grows: whatever an act reaches refuses a lower one than it
 * has seen.
 */
public record FencingToken(long number) implements Comparable<FencingToken> {
    @Override
    public int compareTo(FencingToken other) {
        return Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return Long.toString(number);
    }
}
