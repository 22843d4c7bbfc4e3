package lupinwood.settings;

/** In what a value may lie outside of what its entry takes, and a node serve all the same. */
public enum Violation {
    /** There is none, though one is needed. */
    ABSENT,
    TOO_LITTLE,
    TOO_MUCH,
    /** It is not whole, though it should be. */
    FRACTION,
    /** It is none of the words listed. */
    UNKNOWN_WORD
}
