package lupinwood.processing;

/**
 * The id that an upstream load balancer gives to one attempt of a request: 16 lower-case hex
 * digits, unique to each attempt.
 */
public record AttemptId(String digits) {
    private static final int DIGIT_COUNT = 16;

    /** Whether the text is a valid attempt id; false for null. */
    public static boolean isValid(String text) {
        return text != null
                && text.length() == DIGIT_COUNT
                && text.chars().allMatch(c -> (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'));
    }
}
