package lupinwood.processing;

/**
 * What the request processor does on the connections of upstream load balancers, from the event
 * loop thread.
 */
public interface UpstreamConnections {
    /** Writes the response to the request or health check with this tag. */
    void answer(ConnectionId connection, long tag, Response response);

    /** Asks the upstream to send no new request on this connection. */
    void sayNoMore(ConnectionId connection);

    /** Ignores everything that arrives on this connection from now on. */
    void readNoMore(ConnectionId connection);

    /** Closes the connection once everything written to it has been sent. */
    void close(ConnectionId connection, Completion completion);
}
