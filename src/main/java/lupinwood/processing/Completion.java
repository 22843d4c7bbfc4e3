package lupinwood.processing;

import lupinwood.admission.Outcome;

/**
 * Every way in which a run, a call or a connection can end. The outcome that the node hears is
 * settled here and nowhere else, and with it what proves that nothing ran.
 */
public enum Completion {
    /** The run or the call went well. */
    WELL(Outcome.OK),
    /** The run failed. */
    FAILED(Outcome.ERROR),
    /** The executor was started anew during the run, which may have had its effect. */
    EXECUTOR_GONE(Outcome.ERROR),
    /** The executor would not carry out the command to run it: nothing ran. */
    NOT_CARRIED_OUT(Outcome.MOOT),
    /** The run was stopped, or ended at a call since its request is over. */
    STOPPED(Outcome.CANCELLED),
    /** Nothing was started: the request was over. */
    NOTHING_STARTED(Outcome.MOOT),
    /** The shared dependency turned the call away unseen. */
    SHED(Outcome.REFUSED),
    /** The shared dependency failed the call; it may have had its effect. */
    FAILED_DOWNSTREAM(Outcome.BROKEN),
    /** The shared dependency gave the call up; it may have had its effect. */
    TIMED_OUT_DOWNSTREAM(Outcome.TIMED_OUT),
    /** No run waits for the call: it never ran. */
    NOBODY_WAITS(Outcome.MOOT),
    /** This node gave the call up at its cap. */
    GIVEN_UP(Outcome.TIMED_OUT),
    /** The connection was refused: nothing was sent on it. */
    CONNECTION_REFUSED(Outcome.UNREACHABLE),
    /** The connection never came about: nothing was sent on it. */
    NEVER_CONNECTED(Outcome.UNREACHABLE),
    /** The connection ended before the request was written to it: nothing ran. */
    NOT_WRITTEN(Outcome.UNREACHABLE),
    /** The other side did not say in time that it is there, and so was sent nothing. */
    NO_PONG(Outcome.UNREACHABLE),
    /** The other side closed or reset the connection; what was under way on it may have run. */
    CLOSED_BY_PEER(Outcome.BROKEN),
    /** The other side sent what can't be read. */
    MALFORMED(Outcome.BROKEN),
    /** The other side didn't read what was written to it. */
    SLOW_READER(Outcome.BROKEN),
    /** The other side never said anything whole, or left off within a message. */
    SAID_NOTHING(Outcome.BROKEN),
    /** The other side sent what no one should who knows the protocol. */
    UNSOUND(Outcome.BROKEN),
    /** Others needed its place. */
    MADE_ROOM(Outcome.BROKEN),
    /** Others needed its place, and for so long nobody used it that nothing can cross the close. */
    LEFT_UNUSED(Outcome.BROKEN),
    /** This node closed the connection. */
    CLOSED_HERE(Outcome.BROKEN);

    private final Outcome outcome;

    Completion(Outcome outcome) {
        this.outcome = outcome;
    }

    /** What the admission policy hears of such an end. */
    public Outcome outcome() {
        return outcome;
    }
}
