package lupinwood.fleet;

import java.util.List;
import java.util.Map;

/**
 * What is written into the book, in the order agreed on. Each is done by {@link Book#apply} or
 * found not to fit.
 */
public sealed interface Deed {
    /**
     * The first of all deeds.
     *
     * @param above tokens begin above it, so that those of an older book, should it be lost, stay
     *     lower
     */
    record Found(long above) implements Deed {}

    /** A node comes, or comes back under a new life. */
    record Join(NodeName name, Life life, Site site) implements Deed {}

    /** A node goes, by its own word. */
    record Leave(NodeName name, Life life) implements Deed {}

    /** An operator's word that a node is gone for good; the book forgets it. */
    record Forget(NodeName name) implements Deed {}

    /**
     * Gives a duty to a node.
     *
     * @param after the duty's token before, so that one decision made twice is done once
     */
    record Give(DutyName duty, NodeName heir, Life life, Token after) implements Deed {}

    /** The duty is nobody's any more. */
    record Free(DutyName duty, Token token, Why why) implements Deed {}

    /** What the keeper gathered; counts under its token only. */
    record Keep(Token token, String digest) implements Deed {}

    /**
     * A node may go. Fits only while nothing is halted and the rules allow it, so whoever leads,
     * and however many ask at once, no more are out by permits than they say.
     *
     * @param order names what an operator asked for, so that asking again does nothing twice
     * @param seenOut who is out by what the leader sees, beside the permits in the book
     */
    record Allow(
            String order,
            NodeName node,
            String by,
            long atMillis,
            OutRules rules,
            List<NodeName> seenOut)
            implements Deed {}

    /** A permit counts no longer. */
    record Back(long permit, String why, long atMillis) implements Deed {}

    /** No permit is given any more, or permits may be given again. */
    record Halt(String order, boolean halted, String by, long atMillis) implements Deed {}

    /**
     * A release begins. Fits only while no other is open and nothing is halted.
     *
     * @param to a text's digest, or a version of the program
     * @param text of a configuration; else empty
     */
    record Begin(
            String order,
            String by,
            Release.Kind kind,
            String to,
            String text,
            boolean backsOnHalt,
            long atMillis)
            implements Deed {}

    /**
     * The next wave. Fits only under the conductor's token, while nothing is halted, and as the
     * next one.
     *
     * @param nodes that get it, or on the way back have it no more
     * @param why what the watch of the one before came to
     * @param past what each node answered over a watch before the first wave, by its name; with
     *     that wave only
     */
    record Step(
            Token token,
            long release,
            int step,
            boolean back,
            List<NodeName> nodes,
            String why,
            Map<String, Tally> past,
            long atMillis)
            implements Deed {}

    /**
     * A release turns back, which ends a halt: an operator's word, or the program's where the
     * release said so.
     */
    record Turn(String order, long release, String by, long atMillis) implements Deed {}

    /** A release has ended; counts under the conductor's token. */
    record Finish(Token token, long release, boolean done, String why, long atMillis)
            implements Deed {}

    /**
     * A server below rests. Fits only while nothing is halted, no release is open and fewer rest
     * than may.
     *
     * @param most so many may rest at once
     */
    record LetRest(String order, String server, String by, int most, long atMillis)
            implements Deed {}

    /** It rests no more. */
    record EndRest(String order, String server, String by, long atMillis) implements Deed {}

    /**
     * How much each node may send where, under the planner's token. Fits only where no place could
     * be sent more than it bears by all that any node may still believe.
     *
     * @param after the number of the plan before, so that one made twice is made once
     * @param bears how many tickets at once each place can bear
     * @param alone what a node of a site may have at a place without a plan
     * @param slots what all nodes of a site together may have at a place
     */
    record SetPlan(
            Token token,
            long after,
            Map<String, Integer> bears,
            Map<String, Map<String, Integer>> alone,
            Map<String, Map<String, Integer>> slots,
            String why,
            long atMillis)
            implements Deed {}

    /**
     * No node goes by a plan under this number any more: told by whoever leads the council, who
     * knows of all leases.
     */
    record Retire(long below) implements Deed {}

    /** Why a duty was taken from its holder. */
    enum Why {
        LAPSED,
        HANDED_ON,
        FAILED,
        WENT
    }
}
