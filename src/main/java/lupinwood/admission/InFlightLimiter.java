package lupinwood.admission;

/**
 * The one count of in-flight requests that may call downstream, held to the {@link AimdLimit}. A
 * request is counted from admission until its last call ended; a class that never calls is not
 * counted, and so never rejected for a slow dependency.
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

    /** Whether the limit leaves no room for this request. */
    boolean isFullFor(AdmittedRequest request) {
        return request.requestClass().calls() && limit.isReachedBy(inFlight);
    }

    /** Counts a request that may call, once. */
    void enter(AdmittedRequest request) {
        count(request, true);
    }

    /** Takes it out of the count. */
    void leave(AdmittedRequest request) {
        count(request, false);
    }

    private void count(AdmittedRequest request, boolean counted) {
        if (request.isCountedInFlight() != counted && request.requestClass().calls()) {
            request.countInFlight(counted);
            inFlight += counted ? 1 : -1;
        }
    }
}
