package lupinwood.admission;

/**
 * How long a downstream call may take: while its request can still earn anything, or as long as
 * there is time to go on without the call where the settings pay for that.
 *
 * <p>Exception, under a quota of less than one call in flight: no call lasts longer than half of
 * what the quota lets through in the time averaged over, less the time for which the dependency may
 * linger over a call that was given up. Of a quota that lingering alone uses up half is left, or no
 * call would ever come back; the pause after each call keeps the quota.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class CallTimeoutPolicy {
    /** A call that may be skipped gets this part of the time left in any case. */
    private static final double MIN_SHARE_OF_TIME_LEFT = 0.5;

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

    /** The timeout of a call that the request makes now; at least one tick under a small quota. */
    NanoDuration timeout(AdmittedRequest request, MonotonicTime now) {
        NanoDuration byRequest = whileItEarns(request, now);
        NanoDuration share = settings.quotaWindow().times(quota / 2);
        if (quota >= 1 || !share.isPositive()) {
            return byRequest;
        }
        NanoDuration byQuota =
                share.minus(settings.callLinger())
                        .max(share.times(0.5))
                        .max(settings.machine().tick());
        return byRequest.min(byQuota);
    }

    private NanoDuration whileItEarns(AdmittedRequest request, MonotonicTime now) {
        NanoDuration left = request.due().since(now);
        if (request.requestClass().skippedCallValue() > 0) {
            double workLeft = Math.max(0, cost.cost(request, now) - request.coreSeconds());
            return left.minus(NanoDuration.ofSeconds(workLeft))
                    .max(left.times(MIN_SHARE_OF_TIME_LEFT))
                    .max(settings.machine().tick());
        }
        return request.requestClass().lateValue() > 0 ? request.answerBy().since(now) : left;
    }
}
