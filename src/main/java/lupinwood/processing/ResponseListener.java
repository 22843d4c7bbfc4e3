package lupinwood.processing;

import lupinwood.admission.NanoDuration;

/**
 * Receives each final response to a request that was admitted, and to one that arrived after its
 * deadline.
 */
public interface ResponseListener {
    /**
     * Called when a final response is written, or when the client left before it.
     *
     * @param kind {@code FAILED} where the client left first
     * @param elapsed time since the request reached the host
     * @param objectiveMissed whether {@code elapsed} exceeds the latency objective of the request
     *     class
     */
    void answered(
            String className, Response.Kind kind, NanoDuration elapsed, boolean objectiveMissed);
}
