package lupinwood.processing;

import lupinwood.admission.MonotonicTime;
import lupinwood.admission.RequestId;
import lupinwood.admission.RequestListener;
import lupinwood.admission.TimerSet;

/**
 * A request in the request table: where its response goes, and the progress of its run and its
 * call. Each class of the request processor keeps its state of the request in fields here.
 *
 * <p>Owned by the event loop thread.
 */
final class ActiveRequest {
    final ConnectionId connection;

    /** The tag of the request on its connection. */
    final long tag;

    final IncomingRequest incomingRequest;

    /** Set when it is added to the table. */
    RequestId id;

    /** Receives the admission policy's notifications about the request. */
    RequestListener listener;

    /** The idempotency record of an earlier attempt, or null. */
    IdempotencyStore.IdempotencyRecord originalRecord;

    /** Whether the response was written, or is no longer needed since the client left. */
    boolean answered;

    /** When its client no longer waits for the response, at the latest. */
    final MonotonicTime clientWaitsUntil;

    /** Whether the client said that it no longer waits for the response. */
    boolean aborted;

    /** Whether a run was requested, with or without a connection to the executor. */
    boolean started;

    /** Whether it runs at a server and does not use the executor connection. */
    boolean runsAtServer;

    /** Whether the executor read the run command. */
    final CommandDelivery runDelivery = new CommandDelivery();

    /**
     * The body of the call that the run waits for, as received; null while it waits for none. After
     * a skip it stays until the executor is known to have read the skip.
     */
    byte[] callBody;

    /** The last reply to the run, until the executor is known to have read it; otherwise null. */
    CallReply unconfirmedReply;

    /** When the pending call was made; null if none is pending. */
    MonotonicTime calledAt;

    /** Fires when the pending call times out; null if none is pending. */
    TimerSet.Timer callTimer;

    ActiveRequest(
            ConnectionId connection,
            long tag,
            IncomingRequest incomingRequest,
            MonotonicTime clientWaitsUntil) {
        this.connection = connection;
        this.tag = tag;
        this.incomingRequest = incomingRequest;
        this.clientWaitsUntil = clientWaitsUntil;
    }

    /**
     * Whether the run was told to continue without its call and the executor may not have read that
     * yet.
     */
    boolean isSkippingCall() {
        return unconfirmedReply != null && unconfirmedReply.skipsCall();
    }
}
