package lupinwood.rollout;

/**
 * What a watch came to.
 *
 * @param text why, with figures, in one line
 */
public record CanaryVerdict(Kind kind, String text) {
    /** How sure it is. */
    public enum Kind {
        /** Those that have it surely do no worse than allowed. */
        WELL,
        /** They surely do worse. */
        WORSE,
        /** Neither is sure yet. */
        UNSURE
    }
}
