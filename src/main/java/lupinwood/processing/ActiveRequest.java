package lupinwood.processing;

import lupinwood.admission.MonotonicTime;
import lupinwood.admission.RequestId;
import lupinwood.admission.RequestListener;

/** A request in the table: where its answer goes, and how far its run and its call are. */
final class ActiveRequest {
    final ConnectionId connection;
    final long tag;
    final IncomingRequest incomingRequest;
    RequestId id;
    RequestListener handle;

    /** The idempotency record of an earlier try, or null. */
    IdempotencyStore.IdempotencyRecord original;

    /** An answer was given, or none is owed any more. */
    boolean answered;

    boolean started;

    /** It runs at a server and not on the executor's link. */
    boolean elsewhere;

    /** The command to run it was written to a link, so it may have been read. */
    boolean sent;

    /** Something was heard that proves that the executor read that command. */
    boolean startKnown;

    /** The last command, to run it or with a reply, may have been lost with a link. */
    boolean unsure;

    /**
     * The last tag asked about before the command to run it, and before the latest reply, was
     * written.
     */
    long startedAfter;

    long repliedAfter;

    /** The call that its run waits for, as it came; null while there is none. */
    byte[] callBody;

    /** In place of a reply: the run is to go on without its call. */
    static final byte[] NO_CALL = {};

    /** The reply last handed to its run, until it is known to have been read. */
    byte[] unreadReply;

    /** It was written to a link, so it may have been read. */
    boolean replySent;

    /** When the call that is out was made; null while none is. */
    MonotonicTime calledAt;

    TimerService.Timer callCap;

    ActiveRequest(ConnectionId connection, long tag, IncomingRequest incomingRequest) {
        this.connection = connection;
        this.tag = tag;
        this.incomingRequest = incomingRequest;
    }
}
