package lupinwood.processing;

import lupinwood.admission.MonotonicTime;
import lupinwood.admission.RequestId;
import lupinwood.admission.RequestListener;

/**
 * A request in the table: where its answer goes, and how far its run and its call are. The parts of
 * the request processor each keep their own fields of it here.
 *
 * <p>Owned by the event loop thread.
 */
final class ActiveRequest {
    /** In place of a reply: the run is to go on without its call. */
    static final byte[] NO_CALL = {};

    final ConnectionId connection;
    final long tag;
    final IncomingRequest incomingRequest;

    /** Set when it is added to the table. */
    RequestId id;

    /** What the admission policy wants to hear of it. */
    RequestListener listener;

    /** The idempotency record of an earlier attempt, or null. */
    IdempotencyStore.IdempotencyRecord original;

    /** An answer was given, or none is owed any more. */
    boolean answered;

    /** It was given to the executor, link or no link. */
    boolean started;

    /** It runs at a server and not on the executor's link. */
    boolean offLink;

    /** The command to run it was written to a link, so it may have been read. */
    boolean runSent;

    /** Something was heard that proves that the executor read the command to run it. */
    boolean runConfirmed;

    /** The last command, to run it or with a reply, may have been lost with a link. */
    boolean inDoubt;

    /** The last tag asked about before the command to run it was written. */
    long lastTagBeforeRun;

    /** The last tag asked about before the latest reply was written. */
    long lastTagBeforeReply;

    /** The call that its run waits for, as it came; null while there is none. */
    byte[] callBody;

    /** The reply last handed to its run, until it is known to have been read; or null. */
    byte[] unreadReply;

    /** The reply was written to a link, so it may have been read. */
    boolean replySent;

    /** When the call under way was made; null while none is. */
    MonotonicTime calledAt;

    /** When the call under way is given up; null while none is. */
    TimerService.Timer callTimer;

    ActiveRequest(ConnectionId connection, long tag, IncomingRequest incomingRequest) {
        this.connection = connection;
        this.tag = tag;
        this.incomingRequest = incomingRequest;
    }

    /** Whether its run is to go on without its call, and is not known to have read so. */
    boolean isSkippingCall() {
        return unreadReply == NO_CALL;
    }
}
