package lupinwood.processing;

/**
 * What is known of whether the executor read one command: a run command or the reply to a call. The
 * executor reads the commands and queries of one connection in order, and reads nothing more of a
 * connection once the next one has replaced it.
 *
 * <pre>
 * state     event                                                    next state
 * UNSENT    written to the current connection                        SENT
 * SENT      reply to a query that followed it on its connection      READ
 * SENT      message of the executor that the command led to          READ
 * SENT      recovery of a connection later than the command's own    IN_DOUBT
 * IN_DOUBT  message of the executor that the command led to          READ
 * IN_DOUBT  written to the current connection once more              SENT
 * </pre>
 *
 * <p>Every other event leaves the state as it is. Owned by the event loop thread.
 */
final class CommandDelivery {
    /** Whether the executor read the command. */
    enum State {
        /** The command was never written, so the executor did not read it. */
        UNSENT,
        /** The command was written to the current connection, or to one not yet recovered from. */
        SENT,
        /** The command was written to a connection that is lost; whether it was read is unknown. */
        IN_DOUBT,
        /** The executor read the command. */
        READ
    }

    private State state = State.UNSENT;

    /** The number of the connection that the command was last written to. */
    private long connectionNumber;

    /** The last query tag issued before the command was last written. */
    private long precedingQueryTag;

    State state() {
        return state;
    }

    boolean is(State other) {
        return state == other;
    }

    /**
     * Handles an attempt to write the command. An attempt without a connection changes nothing: a
     * command in doubt stays in doubt.
     *
     * @param written whether there was a connection to write to
     * @param currentConnection the number of that connection
     * @param lastQueryTag the last query tag issued so far
     */
    void onWriteAttempted(boolean written, long currentConnection, long lastQueryTag) {
        if (written) {
            state = State.SENT;
            connectionNumber = currentConnection;
            precedingQueryTag = lastQueryTag;
        }
    }

    /** Handles the reply to a query on the current connection, which has been recovered from. */
    void onQueryReply(long queryTag) {
        if (state == State.SENT && queryTag > precedingQueryTag) {
            state = State.READ;
        }
    }

    /** Handles a message that the executor sends only after it read the command. */
    void onProvenRead() {
        state = State.READ;
    }

    /**
     * Handles the recovery of a connection. A command that was written to it is not in doubt: the
     * executor reads it in its turn, however early after the connection was made it was written.
     */
    void onRecovery(long recoveredConnection) {
        if (state == State.SENT && connectionNumber < recoveredConnection) {
            state = State.IN_DOUBT;
        }
    }

    @Override
    public String toString() {
        return state + " connection=" + connectionNumber + " precedingQuery=" + precedingQueryTag;
    }
}
