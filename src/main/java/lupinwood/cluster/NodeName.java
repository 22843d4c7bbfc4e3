package lupinwood.cluster;

/** The name of a node, the same after a restart. */
public record NodeName(String text) implements Comparable<NodeName> {
    @Override
    public int compareTo(NodeName other) {
        return text.compareTo(other.text);
    }

    @Override
    public String toString() {
        return text;
    }
}
