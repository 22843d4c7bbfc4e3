package lupinwood.processing;

/** What the request processor writes to upstream load balancers, from the event loop thread. */
public interface UpstreamConnections {
    /** Answer the request or health check with this tag. */
    void answer(ConnectionId connection, long tag, Response answer);

    /** Ask that no new request be sent on this connection. */
    void sayNoMore(ConnectionId connection);

    /** Pass over what else comes on this connection. */
    void readNoMore(ConnectionId connection);

    /** Close the connection once all that was written to it has gone out. */
    void close(ConnectionId connection, Completion why);
}
