package lupinwood.rollout;

/**
 * The result of a canary analysis.
 *
 * @param text the reason with its figures, in one line
 */
public record CanaryVerdict(Kind kind, String text) {
    /** What the analysis can tell with enough confidence. */
    public enum Kind {
        /** Changed nodes do no worse than allowed. */
        WELL,
        /** Changed nodes do worse. */
        WORSE,
        /** Neither can be told yet. */
        UNSURE
    }
}
