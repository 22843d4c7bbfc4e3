package lupinwood.core;

/** What the host says to dispatchers. */
public interface Dispatchers {
    void answer(ConnectionId connection, long tag, Answer answer);

    /** Ask that no new ticket be sent on this connection. */
    void sayNoMore(ConnectionId connection);

    /** Pass over what else comes on this connection. */
    void readNoMore(ConnectionId connection);

    void close(ConnectionId connection, Ending why);
}
