package lupinwood.processing;

import lupinwood.admission.NanoDuration;

/**
 * The response to a request or a health check of an upstream load balancer.
 *
 * @param word the kind of response
 * @param availableCapacity the load report; negative while there is none
 * @param retryAfter zero if the response carries no Retry-After
 * @param doNotRetryElsewhere whether the upstream is asked not to retry at another node either
 * @param result the bytes that the executor returned, unchanged; empty unless the request was
 *     served
 */
@SuppressWarnings("ArrayRecordComponent") // passed on once and never compared
public record Response(
        Kind word,
        double availableCapacity,
        NanoDuration retryAfter,
        boolean doNotRetryElsewhere,
        byte[] result) {
    /** The kinds of response. */
    public enum Kind {
        /** The result of the run. */
        SERVED,
        /**
         * The request never ran here and may be retried at another node, unless the response
         * forbids it.
         */
        REJECTED,
        /** The request failed; it may have run. */
        FAILED,
        /** The node passed the health check. */
        HEALTHY,
        /** The node failed the health check. */
        UNHEALTHY
    }

    private static final byte[] NO_RESULT = {};

    static Response plain(Kind kind, double availableCapacity) {
        return new Response(kind, availableCapacity, NanoDuration.ZERO, false, NO_RESULT);
    }

    static Response served(double availableCapacity, byte[] result) {
        return new Response(Kind.SERVED, availableCapacity, NanoDuration.ZERO, false, result);
    }

    static Response rejected(
            double availableCapacity, NanoDuration retryAfter, boolean doNotRetryElsewhere) {
        return new Response(
                Kind.REJECTED, availableCapacity, retryAfter, doNotRetryElsewhere, NO_RESULT);
    }
}
