package lupinwood.cluster;

import java.util.List;

/**
 * A change of the shared configuration or of the program, made in waves of nodes.
 *
 * @param number identifies the rollout; increases with each one
 * @param kind what it changes
 * @param from what all nodes ran before: a configuration's digest, or a version of the program
 * @param to what all nodes are to run
 * @param by who ordered it
 * @param rollsBackAutomatically whether the rollout controller may roll it back without an order
 *     when the canary analysis fails
 * @param stepsBeforeRollback the number of steps decided when the rollback began; negative if none
 *     began
 * @param steps how many waves were decided, forward and back
 * @param updatedNodes the nodes that are to run {@code to} now, in the order in which they got it
 */
public record Rollout(
        long number,
        Kind kind,
        String from,
        String to,
        String by,
        boolean rollsBackAutomatically,
        int stepsBeforeRollback,
        int steps,
        List<NodeName> updatedNodes) {
    /** What a rollout changes. */
    public enum Kind {
        CONFIGURATION,
        PROGRAM
    }

    /** Whether it is being rolled back. */
    public boolean isRollingBack() {
        return stepsBeforeRollback >= 0;
    }

    Rollout with(int newTurnedAt, int newSteps, List<NodeName> newGiven) {
        return new Rollout(
                number,
                kind,
                from,
                to,
                by,
                rollsBackAutomatically,
                newTurnedAt,
                newSteps,
                List.copyOf(newGiven));
    }

    public boolean isUpdated(NodeName node) {
        return updatedNodes.contains(node);
    }

    @Override
    public String toString() {
        return "release " + number;
    }
}
