package lupinwood.admission;

/**
 * The timeout of a downstream call: the time for which the request can still earn utility or, where
 * the request class has a positive skippedCallValue, the time until the due time less the core time
 * that the request still needs, but at least half of the time until the due time.
 *
 * <p>Under a dependency quota of less than one call in flight, the timeout also has a limit. {@code
 * callBudget} is half of what the quota allows within its window: half of quota * quota window. The
 * limit is {@code callBudget} less the time for which the dependency may go on with a call that was
 * given up (the linger time), but at least half of {@code callBudget}, since otherwise no call
 * could return. Where this minimum applies, the pause after each call keeps the mean within the
 * quota.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class CallTimeoutPolicy {
    /** The part of the time left that a call which may be skipped gets in any case. */
    private static final double MIN_TIME_LEFT_RATIO = 0.5;

    private final CostEstimator cost;
    private final double dependencyQuota;
    private PolicySettings settings;

    CallTimeoutPolicy(CostEstimator cost, double dependencyQuota, PolicySettings settings) {
        this.cost = cost;
        this.dependencyQuota = dependencyQuota;
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
        NanoDuration callBudget = settings.dependencyQuotaWindow().times(dependencyQuota / 2);
        if (dependencyQuota >= 1 || !callBudget.isPositive()) {
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
        NanoDuration timeLeft = request.dueAt().since(now);
        if (request.requestClass().skippedCallValue() > 0) {
            double coreSecondsLeft =
                    Math.max(0, cost.coreSeconds(request, now) - request.coreSeconds());
            return timeLeft.minus(NanoDuration.ofSeconds(coreSecondsLeft))
                    .max(timeLeft.times(MIN_TIME_LEFT_RATIO))
                    .max(settings.machine().tick());
        }
        return request.requestClass().lateValue() > 0
                ? request.answerDeadline().since(now)
                : timeLeft;
    }
}
