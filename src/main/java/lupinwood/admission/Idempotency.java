package lupinwood.admission;

/** What running a request twice would do; as HTTP says it. */
public enum Idempotency {
    /** Nothing: it may run again. */
    SAFE,
    /** It carries a key by which a retry is known, and must run once within its window. */
    IDEMPOTENT,
    /** It must never run twice. */
    UNSAFE
}
