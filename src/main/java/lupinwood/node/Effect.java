package lupinwood.node;

/** What running a ticket twice would do. */
public enum Effect {
    /** Nothing: it may run again. */
    PURE,
    /** It carries a mark by which a repeat is known, and must run once within its window. */
    RECEIPTED,
    /** It must never run twice. */
    EFFECTFUL
}
