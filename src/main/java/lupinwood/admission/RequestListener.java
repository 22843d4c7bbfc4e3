package lupinwood.admission;

/** Receives the events of one admitted request, on the thread of its policy. */
public interface RequestListener {
    /** The run ended, or the result of the original was sent as the answer. */
    void onCompleted(Outcome outcome, NanoDuration duration);

    /** The run cannot continue without a downstream call. */
    void onCallNeeded();

    /** The downstream call of the request ended with this outcome. */
    void onCallCompleted(Outcome outcome, NanoDuration duration);

    /** Whether no further action or event can concern the request. */
    boolean isFinished();

    /** The client no longer waits for the request, so no answer is required. */
    void onClientGone();
}
