package lupinwood.admission;

/** How a run or a downstream call ended, and whether that proves that it had no effect. */
public enum Outcome {
    /** It went well. */
    OK(false),
    /** It failed, perhaps with effect. */
    ERROR(false),
    /** It was turned away before it began. */
    REFUSED(true),
    /** It was given up; it may have had its effect. */
    TIMED_OUT(false),
    /** The other side could not be reached. */
    UNREACHABLE(true),
    /** The link was lost on the way; it may have had its effect. */
    BROKEN(false),
    /** It was stopped. */
    CANCELLED(false),
    /** It never began. */
    MOOT(true);

    private final boolean neverRan;

    Outcome(boolean neverRan) {
        this.neverRan = neverRan;
    }

    /** Whether this proves that nothing took effect. */
    public boolean provesNeverRan() {
        return neverRan;
    }
}
