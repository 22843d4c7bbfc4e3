package lupinwood.fleet;

import java.util.List;

/** What is written into the book, in the order agreed on. Each is done by {@link Book#apply} or found not to fit. */
public sealed interface Deed {
    /**
     * The first of all deeds.
     *
     * @param above tokens begin above it, so that those of an older book, should it be lost, stay lower
     */
    record Found(long above) implements Deed {}

    /** A node comes, or comes back under a new life. */
    record Join(NodeName name, Life life, Site site) implements Deed {}

    /** A node goes, by its own word. */
    record Leave(NodeName name, Life life) implements Deed {}

    /** An operator's word that a node is gone for good; the book forgets it. */
    record Forget(NodeName name) implements Deed {}

    /** @param after the duty's token before, so that one decision made twice is done once */
    record Give(DutyName duty, NodeName heir, Life life, Token after) implements Deed {}

    /** The duty is nobody's any more. */
    record Free(DutyName duty, Token token, Why why) implements Deed {}

    /** What the keeper gathered; counts under its token only. */
    record Keep(Token token, String digest) implements Deed {}

    /**
     * A node may go. Fits only while nothing is halted and the rules allow it, so whoever leads, and however many ask at
     * once, no more are out by permits than they say.
     *
     * @param order names what an operator asked for, so that asking again does nothing twice
     * @param seenOut who is out by what the leader sees, beside the permits in the book
     */
    record Allow(String order, NodeName node, String by, long atMillis, OutRules rules, List<NodeName> seenOut)
            implements Deed {}

    /** A permit counts no longer. */
    record Back(long permit, String why, long atMillis) implements Deed {}

    /** No permit is given any more, or permits may be given again. */
    record Halt(String order, boolean halted, String by, long atMillis) implements Deed {}

    /** Why a duty was taken from its holder. */
    enum Why { LAPSED, HANDED_ON, FAILED, WENT }
}
