package lupinwood.net;

import lupinwood.processing.Completion;
import lupinwood.processing.ConnectionId;
import lupinwood.processing.Response;
import lupinwood.processing.UpstreamConnections;

/**
 * Several fronts as one: each connection is one front's, and the others pass over what is said to
 * it.
 */
record UpstreamListeners(UpstreamConnections one, UpstreamConnections other)
        implements UpstreamConnections {
    @Override
    public void answer(ConnectionId connection, long tag, Response answer) {
        one.answer(connection, tag, answer);
        other.answer(connection, tag, answer);
    }

    @Override
    public void requestClose(ConnectionId connection) {
        one.requestClose(connection);
        other.requestClose(connection);
    }

    @Override
    public void stopReading(ConnectionId connection) {
        one.stopReading(connection);
        other.stopReading(connection);
    }

    @Override
    public void close(ConnectionId connection, Completion why) {
        one.close(connection, why);
        other.close(connection, why);
    }
}
