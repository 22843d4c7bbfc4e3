package lupinwood.processing;

import lupinwood.admission.NanoDuration;

/**
 * The calls that the request processor makes to the shared dependency, from the event loop thread.
 */
public interface Dependency {
    /**
     * Makes a call; its completion is reported with the attempt's id.
     *
     * @param timeout how long until the call will be cancelled
     */
    void call(AttemptId id, NanoDuration timeout, byte[] body);

    /** Cancels the pending call; its completion is not reported. */
    void cancelCall(AttemptId id);
}
