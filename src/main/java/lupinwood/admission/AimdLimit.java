package lupinwood.admission;

/**
 * The limit on in-flight requests that may call downstream, by additive increase and multiplicative
 * decrease (AIMD).
 *
 * <pre>
 * fast call while inFlight * 2 &gt;= limit:            limit = min(MAX_LIMIT_REQUESTS, limit + 1)
 * slow or failed call, at most once per attempt:  limit = max(minimum, limit * BACKOFF_RATIO)
 * </pre>
 *
 * <p>Based on the AIMD limiter of the article cited in docs/design.md. The condition on requests in
 * flight keeps light traffic from raising a limit that it never reaches.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class AimdLimit {
    /**
     * The initial limit, in requests: enough for the first seconds, before any call has returned.
     */
    private static final double INITIAL_LIMIT_REQUESTS = 20;

    /**
     * The least limit, in requests: calls go on, so that a recovery of the dependency is noticed.
     */
    private static final double MIN_LIMIT_REQUESTS = 5;

    /** The greatest limit, in requests, whatever the latency of the dependency. */
    private static final double MAX_LIMIT_REQUESTS = 200;

    /** The factor applied to the limit after a slow or failed call. */
    private static final double BACKOFF_RATIO = 0.9;

    private final double minLimit;
    private double limit;

    /**
     * Starts at the initial limit, or at one request per core where that is more.
     *
     * @param cores the cores of this node, at least 1
     */
    AimdLimit(double cores) {
        minLimit = Math.max(MIN_LIMIT_REQUESTS, cores);
        limit = Math.max(INITIAL_LIMIT_REQUESTS, cores);
    }

    /** The limit in requests, not necessarily a whole number. */
    double limit() {
        return limit;
    }

    /** Whether one more request would exceed the limit. */
    boolean isReachedBy(int inFlight) {
        return inFlight >= Math.floor(limit);
    }

    /**
     * Whether so few requests are in flight that calls show the latency of an unloaded dependency.
     */
    boolean isUnderusedBy(int inFlight) {
        return inFlight * 2 < limit;
    }

    /** Records a successful call that returned within its target, or while no target is known. */
    void onFastCall(int inFlight) {
        if (inFlight * 2 >= limit) {
            limit = Math.min(MAX_LIMIT_REQUESTS, limit + 1);
        }
    }

    /** Records a call that exceeded its target or failed; to be called at most once per attempt. */
    void onSlowOrFailedCall() {
        limit = Math.max(minLimit, limit * BACKOFF_RATIO);
    }
}
