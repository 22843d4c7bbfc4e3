package lupinwood.admission;

/**
 * What follows on a downstream call that failed or is overdue.
 *
 * <ul>
 *   <li>A failed call is retried while fewer than three attempts were made, and only where that can
 *       have no second effect: a safe request, or proof that the call never ran (rule 2).
 *   <li>A call past its target that enough calls made later have overtaken is taken for lost, not
 *       slow: it would hold its place to the end. A safe request gives it up and calls again, any
 *       other fails at once. Where an answer without the call is paid for, the call is waited for.
 * </ul>
 *
 * <p>Stateless; any thread.
 */
final class RetryPolicy {
    /** Attempts of one call, the first included: past that the dependency is taken to be down. */
    private static final int MAX_ATTEMPTS = 3;

    /** A call is lost once so many made later have come back. */
    private static final int OVERTAKEN_BY = Histogram.RECENT_SAMPLES / 2;

    /** What to do about a call that is past its target. */
    enum OverdueCall {
        KEEP_WAITING,
        CALL_ANEW,
        FAIL
    }

    /**
     * Whether a call that failed may be made again.
     *
     * @param failedAttempts of this call so far, the one that just failed included
     */
    boolean mayRetry(Outcome outcome, RequestClass requestClass, int failedAttempts) {
        return failedAttempts < MAX_ATTEMPTS
                && (requestClass.idempotency() == Idempotency.SAFE || outcome.provesNeverRan());
    }

    /**
     * What to do about a call past its target.
     *
     * @param completedLater how many calls made later have come back
     * @param earlierFailures attempts of this call that failed before the one that is out
     */
    OverdueCall onOverdue(AdmittedRequest request, int completedLater, int earlierFailures) {
        if (request.isAnswered()
                || completedLater < OVERTAKEN_BY
                || request.requestClass().skippedCallValue() > 0) {
            return OverdueCall.KEEP_WAITING;
        }
        return request.requestClass().idempotency() == Idempotency.SAFE
                        && earlierFailures + 1 < MAX_ATTEMPTS
                ? OverdueCall.CALL_ANEW
                : OverdueCall.FAIL;
    }
}
