package lupinwood.admission;

/** Hears of everything that happens to one admitted request, on the thread of its policy. */
public interface RequestListener {
    /** Its run ended, or its original's result was handed out. */
    void onCompleted(Outcome outcome, NanoDuration took);

    /** Its run can't go on without a downstream call. */
    void onCallNeeded();

    /** The downstream call made for it came to this end. */
    void onCallCompleted(Outcome outcome, NanoDuration took);

    /** Whether nothing more will be asked of this request, nor heard. */
    boolean isFinished();

    /** Nobody waits for it any more; no answer is owed. */
    void onClientGone();
}
