package lupinwood.processing;

/** The key that all attempts of one idempotent request share. */
public record IdempotencyKey(String digits) {}
