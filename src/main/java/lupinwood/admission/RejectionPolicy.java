package lupinwood.admission;

/**
 * What a rejection asks of the upstream: a pause before the next request (Retry-After), and whether
 * to try no other node.
 *
 * <p>Other nodes are discouraged where the request is over its tenant's quota, where too little of
 * its time is left for its work, or where requests here have waited for long although this node is
 * not slow, since then the other nodes are likely to be as loaded. Reading the request would cost
 * each of these nodes core time.
 *
 * <p>A request of a bursting tenant that is over its tenant's quota gets no Retry-After, since its
 * upstream serves other tenants too.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class RejectionPolicy {
    /** A node is slow if its work takes more than this multiple of the hints. */
    private static final double SLOW_NODE_RATIO = 1 / 0.85;

    private final CostEstimator cost;
    private final LoadReporter load;
    private PolicySettings settings;

    RejectionPolicy(CostEstimator cost, LoadReporter load, PolicySettings settings) {
        this.cost = cost;
        this.load = load;
        this.settings = settings;
    }

    void update(PolicySettings newSettings) {
        settings = newSettings;
    }

    /** Whether to ask the upstream to try no other node. */
    boolean discouragesOtherNodes(AdmittedRequest request, MonotonicTime now) {
        return request.isOverQuota()
                || cost.isTooLate(request, now)
                || (load.isFloorHigh() && cost.slowness(now) < SLOW_NODE_RATIO);
    }

    /** The Retry-After of a rejection, at most the longest of the settings; zero for none. */
    NanoDuration retryAfter(AdmittedRequest request, NanoDuration suggested) {
        return request.isOverQuota() && request.isOfBurstingTenant()
                ? NanoDuration.ZERO
                : suggested.min(settings.maxRetryAfter());
    }
}
