package lupinwood.admission;

/**
 * What a rejection tells the upstream: how long to stay away (Retry-After), and whether to try no
 * other node either.
 *
 * <p>No other node is worth trying where the request is over its tenant's quota, came too late for
 * its work, or where requests have had to wait here for long and this node is not slow: then the
 * others are likely as full, and each node that reads the request pays for it.
 *
 * <p>A request of a tenant in a burst carries no Retry-After: its upstream serves other tenants
 * too.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class RejectionPolicy {
    /** A node whose work takes more than this multiple of the hints is slow itself. */
    private static final double SLOW_NODE = 1 / 0.85;

    private final CostEstimator cost;
    private final LoadReporter load;
    private PolicySettings settings;

    RejectionPolicy(CostEstimator cost, LoadReporter load, PolicySettings settings) {
        this.cost = cost;
        this.load = load;
        this.settings = settings;
    }

    void update(PolicySettings changed) {
        settings = changed;
    }

    /** Whether the upstream is asked to try no other node. */
    boolean discouragesOtherNodes(AdmittedRequest request, MonotonicTime now) {
        return request.isOverQuota()
                || cost.isTooLate(request, now)
                || (load.isFloorHigh() && cost.slowness(now) < SLOW_NODE);
    }

    /** How long the upstream is to stay away; within the bound of the settings. */
    NanoDuration retryAfter(AdmittedRequest request, NanoDuration wanted) {
        return request.isOverQuota() && request.isOfBurstingTenant()
                ? NanoDuration.ZERO
                : wanted.min(settings.maxRetryAfter());
    }
}
