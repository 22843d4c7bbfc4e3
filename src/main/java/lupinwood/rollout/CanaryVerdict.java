package lupinwood.rollout;

/**
 * The result of a canary analysis.
 *
 * @param text the reason with its figures, in one line
 */
public record CanaryVerdict(Kind kind, String text) {
    /** What the analysis can tell with enough confidence. */
    public enum Kind {
        /**
         * Changed nodes do no worse than allowed, or there are no changed or no unchanged nodes to
         * compare.
         */
        WELL,
        /** Changed nodes do worse than unchanged ones. */
        WORSE,
        /** Neither is shown with enough confidence yet. */
        UNSURE
    }
}
