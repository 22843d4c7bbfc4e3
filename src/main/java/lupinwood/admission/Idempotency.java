package lupinwood.admission;

/**
 * What the settings declare about running a request more than once. SAFE has the meaning of HTTP;
 * IDEMPOTENT has not: there, repeating a request is harmless, here it must be prevented.
 */
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
