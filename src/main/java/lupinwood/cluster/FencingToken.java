package lupinwood.cluster;

/**
 * Granted with each duty lease, and always increasing. The receiver of an action rejects a token
 * lower than the highest it has seen, which fences off a former lease holder.
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
