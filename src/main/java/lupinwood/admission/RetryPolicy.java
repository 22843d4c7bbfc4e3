package lupinwood.admission;

/**
 * Decides what to do after a downstream call that failed or exceeded its target.
 *
 * <ul>
 *   <li>A call that failed, but not by its timeout, is retried up to three attempts in all, and
 *       only where that can have no second effect: for a safe request, or with proof that the call
 *       never ran. {@link RequestLifecycle} never retries a call that timed out.
 *   <li>A call past its target counts as lost, not as slow, once enough calls made later have
 *       succeeded; without this rule the request would wait for the call's timeout. A safe request
 *       gives the call up and makes it again, up to three attempts in all. Any other request fails
 *       at once, and so does a safe one at its third attempt. Where the request class has a
 *       positive skippedCallValue, the request keeps waiting.
 * </ul>
 *
 * <p>Stateless; may be used from any thread.
 */
final class RetryPolicy {
    /**
     * The most attempts of one call, the first included; after that the dependency is likely to be
     * down, and the request gives up the call.
     */
    private static final int MAX_CALL_ATTEMPTS = 3;

    /** A call counts as lost once this many calls made later have succeeded. */
    private static final int LOST_AFTER_OVERTAKING_CALLS = Histogram.RECENT_SAMPLES / 2;

    /** How to handle a call that is past its target. */
    enum OverdueAction {
        KEEP_WAITING,
        CALL_ANEW,
        FAIL
    }

    /**
     * Whether a call that failed may be made again.
     *
     * @param failedAttempts failed attempts of this call so far, the latest included
     */
    boolean mayRetry(Outcome outcome, RequestClass requestClass, int failedAttempts) {
        return failedAttempts < MAX_CALL_ATTEMPTS
                && (requestClass.idempotency() == Idempotency.SAFE || outcome.provesNeverRan());
    }

    /**
     * Decides how to handle a call that is past its target.
     *
     * @param laterSuccessfulCalls a lower bound of the number of calls that were made later and
     *     have succeeded
     * @param earlierFailures failed attempts of this call before the present one
     */
    OverdueAction onOverdue(
            AdmittedRequest request, int laterSuccessfulCalls, int earlierFailures) {
        if (request.needsNoAnswer()
                || laterSuccessfulCalls < LOST_AFTER_OVERTAKING_CALLS
                || request.requestClass().skippedCallValue() > 0) {
            return OverdueAction.KEEP_WAITING;
        }
        return request.requestClass().idempotency() == Idempotency.SAFE
                        && earlierFailures + 1 < MAX_CALL_ATTEMPTS
                ? OverdueAction.CALL_ANEW
                : OverdueAction.FAIL;
    }
}
