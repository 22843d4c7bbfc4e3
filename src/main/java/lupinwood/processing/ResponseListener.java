package lupinwood.processing;

import lupinwood.admission.NanoDuration;

/** Hears of each final answer to a request that was taken in or rejected at the listener. */
public interface ResponseListener {
    /**
     * One was given.
     *
     * @param elapsed since the request came to the machine
     * @param late whether that is past its latency objective
     */
    void answered(String className, Response.Kind kind, NanoDuration elapsed, boolean late);
}
