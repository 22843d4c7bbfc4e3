package lupinwood.admission;

/**
 * What the decisions may have the machine do. All of it takes effect at {@link #now()}, and is
 * called on the thread that owns the {@link AdmissionPolicy} alone.
 */
public interface ServerActions {
    /** The time of the events that are being told; it stands still while they are decided on. */
    MonotonicTime now();

    /** Starts a queued request. */
    void run(RequestId requestId);

    /** Stops a run whose answer nobody waits for; what was done is lost. */
    void stop(RequestId requestId);

    /**
     * Final answer: the request never ran here.
     *
     * @param doNotRetryElsewhere whether the upstream is asked to try no other node either
     * @param retryAfter how long the upstream is asked to stay away; zero for no such wish
     */
    void reject(RequestId requestId, boolean doNotRetryElsewhere, NanoDuration retryAfter);

    /** Final answer: an error, with nothing promised. */
    void fail(RequestId requestId);

    /** Makes the downstream call that a request waits for, and gives it up after the timeout. */
    void call(RequestId requestId, NanoDuration timeout);

    /** Lets a run go on without the call that it waits for. */
    void skipCall(RequestId requestId);

    /** Answers a retry from the result of its original, now or once that is there. */
    void answerFromOriginal(RequestId requestId);

    /** Remembers an idempotent request for so long, so that its retries are known. */
    void remember(RequestId requestId, NanoDuration duration);

    /** Forgets a request that never ran, so that a retry may run. */
    void forget(RequestId requestId);

    /**
     * Sets what health checks hear.
     *
     * @param good whether the node is well
     * @param fromStore whether the answer is given at once, and not after real work
     */
    void reportHealth(boolean good, boolean fromStore);

    /** Sets the value of the load report that goes along with every answer. */
    void reportAvailableCapacity(double value);

    /** Closes connections of upstreams that have been idle this long, from now on. */
    void closeIdleConnections(NanoDuration idle);

    /** Asks for {@link AdmissionPolicy#wake} at this time; a later wish replaces an earlier one. */
    void wakeAt(MonotonicTime time);

    /** Nothing more will be asked of this request, nor heard: the machine may drop its listener. */
    void release(RequestId requestId);

    /** Writes one line to the log: an event phrase, then key=value. */
    void log(String line);
}
