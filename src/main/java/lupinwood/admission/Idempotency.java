package lupinwood.admission;

/** What running a request more than once would do, in the terms of HTTP. */
public enum Idempotency {
    /** It has no effect; it may run any number of times. */
    SAFE,
    /**
     * It carries an idempotency key that identifies its retries, and must run once within its
     * window.
     */
    IDEMPOTENT,
    /** It must not run more than once. */
    UNSAFE
}
