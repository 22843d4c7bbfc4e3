package lupinwood.admission;

/** What a node may ask of its machine. All of it takes effect at {@link #now()}. */
public interface ServerActions {
    MonotonicTime now();

    /** Start a held request, or take up a paused one. */
    void run(RequestId requestId);

    /**
     * Stop running work, keeping what was done if the machine can only pause, losing it otherwise.
     */
    void stop(RequestId requestId);

    /**
     * Final answer: never ran here; Retry-After the pause; perhaps don't ask another node either.
     */
    void reject(RequestId requestId, boolean doNotRetryElsewhere, NanoDuration retryAfter);

    /** Final answer: an error, with nothing promised. */
    void fail(RequestId requestId);

    /** Make the call that a request waits for, and give it up after the cap. */
    void call(RequestId requestId, NanoDuration cap);

    /** Go on without the call that a request waits for. */
    void skipCall(RequestId requestId);

    /** Answer a held repeat from the result of its original. */
    void answerFromOriginal(RequestId requestId);

    /** Remember a request, so that its repeats are known. */
    void remember(RequestId requestId, NanoDuration duration);

    void forget(RequestId requestId);

    /** What health checks hear; from store, or by real work. */
    void reportHealth(boolean good, boolean fromStore);

    /** Set the available capacity that goes along with every answer. */
    void reportAvailableCapacity(double value);

    /** Close connections that have been idle this long. */
    void closeIdleConnections(NanoDuration idle);

    /** Ask to be woken. */
    void wakeAt(MonotonicTime time);

    /** The machine may drop the handle: nothing more will be asked of this request, nor heard. */
    void release(RequestId requestId);

    void log(String line);
}
