package lupinwood.cluster;

import java.util.List;

/**
 * A change that goes through the fleet in waves.
 *
 * @param number counts up; names it
 * @param kind of a configuration or of the program
 * @param from what all ran before: a text's digest, or a version of the program
 * @param to what all are to run
 * @param backsOnHalt whether the program may turn it back by itself when its watch fails
 * @param turnedAt after which step it was turned back; below zero while it wasn't
 * @param steps how many waves were given, there and back
 * @param given the nodes that are to have it now, in the order in which they got it
 */
public record Rollout(
        long number,
        Kind kind,
        String from,
        String to,
        String by,
        boolean backsOnHalt,
        int turnedAt,
        int steps,
        List<NodeName> given) {
    /** What is released. */
    public enum Kind {
        CONFIGURATION,
        PROGRAM
    }

    /** Whether it is on its way back. */
    public boolean back() {
        return turnedAt >= 0;
    }

    Rollout with(int turned, int step, List<NodeName> nodes) {
        return new Rollout(
                number, kind, from, to, by, backsOnHalt, turned, step, List.copyOf(nodes));
    }

    public boolean isGiven(NodeName node) {
        return given.contains(node);
    }

    @Override
    public String toString() {
        return "release " + number;
    }
}
