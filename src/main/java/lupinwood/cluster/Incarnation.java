package lupinwood.cluster;

/**
 * One start of a node: drawn anew each time, so that two processes under one name are told apart.
 */
public record Incarnation(long number) {
    @Override
    public String toString() {
        return Long.toHexString(number);
    }
}
