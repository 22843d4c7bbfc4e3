package lupinwood.admission;

/** How a run or a call below ended. */
public enum Outcome {
    OK(false),
    ERROR(false),
    REFUSED(true),
    TIMED_OUT(false),
    UNREACHABLE(true),
    BROKEN(false),
    CANCELLED(false),
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
