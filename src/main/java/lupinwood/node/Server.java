package lupinwood.node;

/** What a node may ask of its machine. All of it takes effect at {@link #now()}. */
public interface Server {
    Moment now();

    /** Start a held ticket, or take up a paused one. */
    void run(TicketId ticket);

    /**
     * Stop running work, keeping what was done if the machine can only pause, losing it otherwise.
     */
    void stop(TicketId ticket);

    /**
     * Final answer: never ran here; come back after the pause; perhaps don't ask another node
     * either.
     */
    void bounce(TicketId ticket, boolean askNoOther, Span comeBackAfter);

    /** Final answer: an error, with nothing promised. */
    void fail(TicketId ticket);

    /** Make the call that a ticket waits for, and give it up after the cap. */
    void call(TicketId ticket, Span cap);

    /** Go on without the call that a ticket waits for. */
    void skipCall(TicketId ticket);

    /** Answer a held repeat from the result of its original. */
    void reuse(TicketId ticket);

    /** Remember a ticket, so that its repeats are known. */
    void remember(TicketId ticket, Span span);

    void forget(TicketId ticket);

    /** What health checks hear; from store, or by real work. */
    void health(boolean good, boolean fromStore);

    /** Set the free value that goes along with every answer. */
    void advise(double value);

    /** Close connections that have been idle this long. */
    void closeIdle(Span idle);

    /** Ask to be woken. */
    void wakeAt(Moment moment);

    /** The machine may drop the handle: nothing more will be asked of this ticket, nor heard. */
    void over(TicketId ticket);

    void log(String line);
}
