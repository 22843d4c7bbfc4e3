package lupinwood.processing;

import lupinwood.admission.NanoDuration;

/** What the request processor asks of the shared dependency, from the event loop thread. */
public interface Dependency {
    /**
     * Make a call; its end is reported by the attempt's id.
     *
     * @param cap after so long it will be given up
     */
    void call(AttemptId id, NanoDuration cap, byte[] body);

    /** Give up the call under way; nothing more is reported of it. */
    void giveUp(AttemptId id);
}
