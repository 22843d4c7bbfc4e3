package lupinwood.admission;

/**
 * Decides what follows on a downstream call that failed or exceeded its target.
 *
 * <ul>
 *   <li>A failed call is retried up to three attempts in all, and only where that can have no
 *       second effect: for a safe request, or with proof that the call never ran.
 *   <li>A call past its target that enough later calls have overtaken counts as lost, not as slow;
 *       otherwise it would stay in flight until its timeout. A safe request gives the call up and
 *       makes it again, any other request fails at once. Where an answer without the call is paid
 *       for, waiting goes on.
 * </ul>
 *
 * <p>Stateless; may be used from any thread.
 */
final class RetryPolicy {
    /**
     * The most attempts of one call, the first included; after that the dependency is taken to be
     * down.
     */
    private static final int MAX_ATTEMPTS = 3;

    /** A call counts as lost once this many calls made later have returned. */
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
        return failedAttempts < MAX_ATTEMPTS
                && (requestClass.idempotency() == Idempotency.SAFE || outcome.provesNeverRan());
    }

    /**
     * Decides how to handle a call that is past its target.
     *
     * @param completedLater the number of calls that were made later and have returned
     * @param earlierFailures failed attempts of this call before the present one
     */
    OverdueAction onOverdue(AdmittedRequest request, int completedLater, int earlierFailures) {
        if (request.isAnswered()
                || completedLater < LOST_AFTER_OVERTAKING_CALLS
                || request.requestClass().skippedCallValue() > 0) {
            return OverdueAction.KEEP_WAITING;
        }
        return request.requestClass().idempotency() == Idempotency.SAFE
                        && earlierFailures + 1 < MAX_ATTEMPTS
                ? OverdueAction.CALL_ANEW
                : OverdueAction.FAIL;
    }
}
