package lupinwood.admission;

/** A request that was taken: everything that happens to it later is a call on this. */
public interface RequestListener {
    /** Its run, or its reuse of another's result, is over. */
    void onCompleted(Outcome outcome, NanoDuration took);

    /** Its run can't go on without a call below. */
    void onCallNeeded();

    /** The call made for it came to this end. */
    void onCallCompleted(Outcome outcome, NanoDuration took);

    /** Whether nothing more will be asked of this request, nor heard. */
    boolean isFinished();

    /** Nobody waits for it any more; no answer is owed. */
    void onClientGone();
}
