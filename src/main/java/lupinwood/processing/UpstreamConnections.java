package lupinwood.processing;

/** What the request processor says to upstream load balancers. */
public interface UpstreamConnections {
    void answer(ConnectionId connection, long tag, Response answer);

    /** Ask that no new request be sent on this connection. */
    void sayNoMore(ConnectionId connection);

    /** Pass over what else comes on this connection. */
    void readNoMore(ConnectionId connection);

    void close(ConnectionId connection, Completion why);
}
