package lupinwood.admission;

/**
 * The timeout of a downstream call: as long as the request can still earn utility or, where a
 * skipped call is paid for, as long as time remains to finish without the call.
 *
 * <p>Under a quota of less than one call in flight, a call also lasts no longer than half of what
 * the quota allows within the quota window, less the time for which the dependency may go on with a
 * call that was given up (the linger time). If the linger time uses up more than half of that, half
 * is left, since otherwise no call could return; the pause after each call then keeps the quota.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class CallTimeoutPolicy {
    /** The part of the time left that a call which may be skipped gets in any case. */
    private static final double MIN_TIME_LEFT_RATIO = 0.5;

    private final CostEstimator cost;
    private final double quota;
    private PolicySettings settings;

    CallTimeoutPolicy(CostEstimator cost, double quota, PolicySettings settings) {
        this.cost = cost;
        this.quota = quota;
        this.settings = settings;
    }

    void update(PolicySettings changed) {
        settings = changed;
    }

    /**
     * The timeout of a call that the request makes now; at least one tick where the quota bounds
     * it.
     */
    NanoDuration timeout(AdmittedRequest request, MonotonicTime now) {
        NanoDuration requestLimit = requestTimeout(request, now);
        NanoDuration callBudget = settings.quotaWindow().times(quota / 2);
        if (quota >= 1 || !callBudget.isPositive()) {
            return requestLimit;
        }
        NanoDuration quotaLimit =
                callBudget
                        .minus(settings.callLinger())
                        .max(callBudget.times(0.5))
                        .max(settings.machine().tick());
        return requestLimit.min(quotaLimit);
    }

    private NanoDuration requestTimeout(AdmittedRequest request, MonotonicTime now) {
        NanoDuration timeLeft = request.due().since(now);
        if (request.requestClass().skippedCallValue() > 0) {
            double coreSecondsLeft = Math.max(0, cost.cost(request, now) - request.coreSeconds());
            return timeLeft.minus(NanoDuration.ofSeconds(coreSecondsLeft))
                    .max(timeLeft.times(MIN_TIME_LEFT_RATIO))
                    .max(settings.machine().tick());
        }
        return request.requestClass().lateValue() > 0
                ? request.answerDeadline().since(now)
                : timeLeft;
    }
}
