package lupinwood.admission;

/**
 * The limit on in-flight requests that may call downstream, by additive increase and multiplicative
 * decrease.
 *
 * <pre>
 * fast call while inFlight * 2 &gt;= limit:  limit = min(MAX_LIMIT, limit + 1)
 * slow or dropped call, once an attempt:   limit = max(minimum, limit * BACKOFF_RATIO)
 * </pre>
 *
 * <p>Source: the AIMD limiter of the article that docs/design.md names. The in-flight condition
 * keeps light traffic from inflating a limit that it never tests.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class AimdLimit {
    /** Where the limit starts: enough for the first seconds, before any call has come back. */
    private static final double INITIAL_LIMIT = 20;

    /** The limit never falls below this, so that calls go on and recovery can be seen. */
    private static final double MIN_LIMIT = 5;

    /** The limit never rises above this, whatever the dependency answers. */
    private static final double MAX_LIMIT = 200;

    /** What is left of the limit after a slow or dropped call. */
    private static final double BACKOFF_RATIO = 0.9;

    private final double minimum;
    private double limit;

    /**
     * Starts at the initial limit, or at one request a core where that is more.
     *
     * @param cores of this node, at least 1
     */
    AimdLimit(double cores) {
        minimum = Math.max(MIN_LIMIT, cores);
        limit = Math.max(INITIAL_LIMIT, cores);
    }

    /** The limit in requests; need not be whole. */
    double limit() {
        return limit;
    }

    /** Whether one more request would pass the limit. */
    boolean isReachedBy(int inFlight) {
        return inFlight >= Math.floor(limit);
    }

    /** Whether so few are in flight that the dependency's latency shows its unloaded state. */
    boolean isUnderusedBy(int inFlight) {
        return inFlight * 2 < limit;
    }

    /** A call came back within its target. */
    void onFastCall(int inFlight) {
        if (inFlight * 2 >= limit) {
            limit = Math.min(MAX_LIMIT, limit + 1);
        }
    }

    /** A call passed its target or was dropped; to be told once an attempt of a call. */
    void onSlowOrDroppedCall() {
        limit = Math.max(minimum, limit * BACKOFF_RATIO);
    }
}
