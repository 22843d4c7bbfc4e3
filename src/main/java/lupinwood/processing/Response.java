package lupinwood.processing;

import lupinwood.admission.NanoDuration;

/**
 * What an upstream load balancer hears about a request or a health check.
 *
 * @param word the kind of answer
 * @param availableCapacity the available capacity, below zero for none
 * @param retryAfter zero for no such advice
 * @param doNotRetryElsewhere it should not be sent to another node either
 * @param result the bytes as the executor gave them
 */
@SuppressWarnings("ArrayRecordComponent") // handed over once and never compared
public record Response(
        Kind word,
        double availableCapacity,
        NanoDuration retryAfter,
        boolean doNotRetryElsewhere,
        byte[] result) {
    /** The kinds of answer. */
    public enum Kind {
        /** The result of the run. */
        SERVED,
        /** It never ran here and may be sent elsewhere, unless the answer says otherwise. */
        REJECTED,
        /** An error; it may have run. */
        FAILED,
        /** A health check found the node well. */
        HEALTHY,
        /** A health check found the node not well. */
        UNHEALTHY
    }

    private static final byte[] NOTHING = {};

    static Response plain(Kind word, double availableCapacity) {
        return new Response(word, availableCapacity, NanoDuration.ZERO, false, NOTHING);
    }

    static Response served(double availableCapacity, byte[] result) {
        return new Response(Kind.SERVED, availableCapacity, NanoDuration.ZERO, false, result);
    }

    static Response rejected(
            double availableCapacity, NanoDuration retryAfter, boolean doNotRetryElsewhere) {
        return new Response(
                Kind.REJECTED, availableCapacity, retryAfter, doNotRetryElsewhere, NOTHING);
    }
}
