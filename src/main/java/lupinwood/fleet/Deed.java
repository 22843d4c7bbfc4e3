package lupinwood.fleet;

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

    /** Why a duty was taken from its holder. */
    enum Why { LAPSED, HANDED_ON, FAILED, WENT }
}
