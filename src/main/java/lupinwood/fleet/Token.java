package lupinwood.fleet;

/**
 * Comes with each duty given, and only grows: whatever an act reaches refuses a lower one than it
 * has seen.
 */
public record Token(long number) implements Comparable<Token> {
    @Override
    public int compareTo(Token other) {
        return Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return Long.toString(number);
    }
}
