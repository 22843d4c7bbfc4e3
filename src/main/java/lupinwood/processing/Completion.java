package lupinwood.processing;

import lupinwood.admission.Outcome;

/**
 * Every way in which a run, a call or a connection can end. Only this enum maps a completion to the
 * outcome that the admission policy is told, and thereby defines which completions prove that
 * nothing ran.
 */
public enum Completion {
    /** The run or the call succeeded. */
    WELL(Outcome.OK),
    /** The run failed. */
    FAILED(Outcome.ERROR),
    /** The executor restarted during the run; the run may have had its effect. */
    EXECUTOR_GONE(Outcome.ERROR),
    /** The executor refused the run command: nothing ran. */
    NOT_CARRIED_OUT(Outcome.MOOT),
    /**
     * The run was stopped, or the executor ended it because it needed a call after its request was
     * already over.
     */
    STOPPED(Outcome.CANCELLED),
    /**
     * Nothing was started, because the request was already over or no server was free for it in
     * time.
     */
    NOTHING_STARTED(Outcome.MOOT),
    /** The shared dependency rejected the call without processing it. */
    SHED(Outcome.REFUSED),
    /** The shared dependency failed the call; it may have had its effect. */
    FAILED_DOWNSTREAM(Outcome.BROKEN),
    /** The call timed out at the shared dependency; it may have had its effect. */
    TIMED_OUT_DOWNSTREAM(Outcome.TIMED_OUT),
    /** No run waits for the call: the call was never made. */
    NOBODY_WAITS(Outcome.MOOT),
    /** This node cancelled the call at its timeout. */
    GIVEN_UP(Outcome.TIMED_OUT),
    /** The connection was refused: nothing was sent on it. */
    CONNECTION_REFUSED(Outcome.UNREACHABLE),
    /** The connection was never established: nothing was sent on it. */
    NEVER_CONNECTED(Outcome.UNREACHABLE),
    /** The connection closed before the request was written: nothing ran. */
    NOT_WRITTEN(Outcome.UNREACHABLE),
    /** The peer did not reply to the ping in time, so nothing was sent to it. */
    NO_PONG(Outcome.UNREACHABLE),
    /** The peer closed or reset the connection; requests pending on it may have run. */
    CLOSED_BY_PEER(Outcome.BROKEN),
    /** The peer sent data that can't be parsed. */
    MALFORMED(Outcome.BROKEN),
    /**
     * The peer didn't read what was written to it in time, or didn't close its side in time after
     * that.
     */
    SLOW_READER(Outcome.BROKEN),
    /** The peer never sent a complete message, or stopped in the middle of one. */
    SAID_NOTHING(Outcome.BROKEN),
    /** The peer violated the protocol. */
    UNSOUND(Outcome.BROKEN),
    /** The connection was evicted to make room for another. */
    MADE_ROOM(Outcome.BROKEN),
    /**
     * The connection was evicted when no request could cross the close any more, because it had
     * been unused for long or its last responses and the end of the stream had been sent.
     */
    LEFT_UNUSED(Outcome.BROKEN),
    /** This node closed the connection. */
    CLOSED_HERE(Outcome.BROKEN);

    private final Outcome outcome;

    Completion(Outcome outcome) {
        this.outcome = outcome;
    }

    /** The outcome that the admission policy is told for this completion. */
    public Outcome outcome() {
        return outcome;
    }
}
