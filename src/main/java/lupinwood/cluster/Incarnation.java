package lupinwood.cluster;

/**
 * One process lifetime of a node. The number is drawn anew at each start, so that two processes
 * under one name can be told apart.
 */
public record Incarnation(long number) {
    @Override
    public String toString() {
        return Long.toHexString(number);
    }
}
