package lupinwood.processing;

/**
 * What the request processor does on the connections of upstream load balancers, from the event
 * loop thread.
 */
public interface UpstreamConnections {
    /** Writes the response to the request or health check with this tag. */
    void answer(ConnectionId connection, long tag, Response response);

    /** Asks the upstream to send no new request on this connection. */
    void requestClose(ConnectionId connection);

    /** Ignores everything that arrives on this connection from now on. */
    void stopReading(ConnectionId connection);

    /**
     * Closes the connection: at once for {@link Completion#SLOW_READER} and {@link
     * Completion#LEFT_UNUSED}; for {@link Completion#MADE_ROOM} after a delay, because a request
     * may cross the close; otherwise once everything written to it has been sent.
     */
    void close(ConnectionId connection, Completion completion);
}
