package lupinwood.node;

/** A ticket that was taken: everything that happens to it later is a call on this. */
public interface Handle {
    /** Its run, or its reuse of another's result, is over. */
    void ended(Outcome outcome, Span took);

    /** Its run can't go on without a call below. */
    void needsCall();

    /** The call made for it came to this end. */
    void callEnded(Outcome outcome, Span took);

    /** Whether nothing more will be asked of this ticket, nor heard. */
    boolean isOver();

    /** Nobody waits for it any more; no answer is owed. */
    void left();
}
