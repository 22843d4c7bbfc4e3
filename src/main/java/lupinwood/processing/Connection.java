package lupinwood.processing;

import java.util.HashMap;
import java.util.Map;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.RequestId;
import lupinwood.admission.TimerSet;

/**
 * The connection of an upstream load balancer in the {@link ConnectionTable}: its open requests,
 * and what tells whether it is idle, trusted or closing.
 *
 * <p>Owned by the event loop thread.
 */
final class Connection {
    /** The states of a connection without open requests, each ordered by when it was entered. */
    enum IdleState {
        /** Its last responses and the end of the stream have been sent. */
        FLUSHED,
        /** It has not sent a message yet. */
        SILENT,
        CLOSE_REQUESTED,
        IDLE,
        /** Its last responses are being sent. */
        FLUSHING
    }

    ConnectionId id;
    final Map<Long, RequestId> openByTag = new HashMap<>();
    TimerSet.Timer idleTimer;
    MonotonicTime idleSince;

    /** Null while a request is open on the connection. */
    IdleState idleState;

    boolean hasSentMessage;

    /** How many silence intervals have passed without a message. */
    int silentIntervals;

    boolean trusted;
    int invalidSinceRun;
    int unservedRequests;
    MonotonicTime openedAt;

    /** Since when a message is known to be incomplete; null if none is known to be. */
    MonotonicTime incompleteSince;

    /** When the upstream was asked to close it; null if it was not. */
    MonotonicTime closeRequestedAt;

    boolean closing;
    boolean flushed;
    Completion closeReason;

    /** The idle state that its fields tell; null while a request is open. */
    IdleState currentIdleState() {
        if (!openByTag.isEmpty()) {
            return null;
        }
        if (closing) {
            return flushed ? IdleState.FLUSHED : IdleState.FLUSHING;
        }
        if (!hasSentMessage) {
            return IdleState.SILENT;
        }
        return closeRequestedAt != null ? IdleState.CLOSE_REQUESTED : IdleState.IDLE;
    }
}
