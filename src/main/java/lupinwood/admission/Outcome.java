package lupinwood.admission;

/** The result of a run or a downstream call, and whether it proves that there was no effect. */
public enum Outcome {
    /** It succeeded. */
    OK(false),
    /** It failed, possibly after taking effect. */
    ERROR(false),
    /** It was refused before it began. */
    REFUSED(true),
    /** Its timeout passed; it may have taken effect. */
    TIMED_OUT(false),
    /** The peer could not be reached. */
    UNREACHABLE(true),
    /** The connection was lost meanwhile; it may have taken effect. */
    BROKEN(false),
    /** It was stopped. */
    CANCELLED(false),
    /** It never began. */
    MOOT(true);

    private final boolean neverRan;

    Outcome(boolean neverRan) {
        this.neverRan = neverRan;
    }

    /** Whether this outcome proves that nothing took effect. */
    public boolean provesNeverRan() {
        return neverRan;
    }
}
