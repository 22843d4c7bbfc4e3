package lupinwood.processing;

/**
 * The name that an upstream load balancer gives one try of a request: 16 hex digits, new with every
 * try.
 */
public record AttemptId(String digits) {
    private static final int LENGTH = 16;

    /** Whether a text, or null, is such a name. */
    public static boolean isValid(String text) {
        return text != null
                && text.length() == LENGTH
                && text.chars().allMatch(c -> (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'));
    }
}
