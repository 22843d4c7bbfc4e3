package lupinwood.admission;

/**
 * The actions that the decisions can request of the node. Each takes effect at {@link #now()}, and
 * is called only on the thread that owns the {@link AdmissionPolicy}.
 */
public interface ServerActions {
    /**
     * The time of the events that are being handled; it does not advance while decisions are made.
     */
    MonotonicTime now();

    /** Starts the run of a queued request. */
    void run(RequestId requestId);

    /** Stops a run whose answer is no longer needed; its work is lost. */
    void stop(RequestId requestId);

    /**
     * Final answer: the request never ran here.
     *
     * @param doNotRetryElsewhere whether to ask the upstream to try no other node
     * @param retryAfter how long the upstream is asked to wait; zero if no Retry-After is sent
     */
    void reject(RequestId requestId, boolean doNotRetryElsewhere, NanoDuration retryAfter);

    /** Final answer: an error. Nothing is promised about whether the request ran. */
    void fail(RequestId requestId);

    /** Makes the downstream call that a request waits for, and gives it up after the timeout. */
    void call(RequestId requestId, NanoDuration timeout);

    /** Lets a run continue without the call that it waits for. */
    void skipCall(RequestId requestId);

    /** Answers a retry from the result of its original, at once or when that is available. */
    void answerFromOriginal(RequestId requestId);

    /** Remembers an idempotent request for this duration, so that its retries are recognized. */
    void remember(RequestId requestId, NanoDuration duration);

    /** Forgets a request that never ran, so that a retry may run. */
    void forget(RequestId requestId);

    /**
     * Sets the answer to health checks.
     *
     * @param healthy whether the node is healthy
     * @param answeredAtOnce whether health checks are answered at once rather than after real work
     */
    void reportHealth(boolean healthy, boolean answeredAtOnce);

    /** Sets the value of the load report, which is sent with every answer. */
    void reportAvailableCapacity(double value);

    /** Closes upstream connections that are idle for this long, from now on. */
    void closeIdleConnections(NanoDuration idle);

    /**
     * Requests a wake-up ({@link AdmissionPolicy#wake}) at this time; replaces the wake-up
     * requested before, if any.
     */
    void wakeAt(MonotonicTime time);

    /**
     * Ends the handling of a request: no action or event follows, and its listener may be dropped.
     */
    void release(RequestId requestId);

    /** Writes one log line: an event phrase, then key=value pairs. */
    void log(String line);
}
