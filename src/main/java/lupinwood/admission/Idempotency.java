package lupinwood.admission;

/** What running a request twice would do. */
public enum Idempotency {
    /** Nothing: it may run again. */
    SAFE,
    /** It carries a mark by which a repeat is known, and must run once within its window. */
    IDEMPOTENT,
    /** It must never run twice. */
    UNSAFE
}
