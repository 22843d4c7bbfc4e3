package lupinwood.admission;

/**
 * The count of in-flight requests that may call downstream, shared by all request classes and
 * tenants. A request is counted from admission until its predicted last call succeeded, and again
 * from its next call if it needs one after all. The {@link AimdLimit} bounds the count when a
 * request is admitted; a request that is counted again is not checked against it. A request class
 * that never calls is not counted, so none of its requests is rejected because of a slow
 * dependency.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class InFlightLimiter {
    private final AimdLimit limit;
    private int inFlight;

    InFlightLimiter(AimdLimit limit) {
        this.limit = limit;
    }

    AimdLimit limit() {
        return limit;
    }

    int inFlight() {
        return inFlight;
    }

    /** Whether the limit has no room for this request. */
    boolean isFullFor(AdmittedRequest request) {
        return request.requestClass().calls() && limit.isReachedBy(inFlight);
    }

    /** Counts a request that may call downstream, unless it is counted already. */
    void enter(AdmittedRequest request) {
        setCounted(request, true);
    }

    /** Removes a request from the count, if it is counted. */
    void leave(AdmittedRequest request) {
        setCounted(request, false);
    }

    private void setCounted(AdmittedRequest request, boolean counted) {
        if (request.isCountedInFlight() != counted && request.requestClass().calls()) {
            request.setCountedInFlight(counted);
            inFlight += counted ? 1 : -1;
        }
    }
}
