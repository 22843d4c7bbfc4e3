package lupinwood.processing;

/** What all tries of one idempotent request have in common. */
public record IdempotencyKey(String digits) {}
