package lupinwood.net;

import lupinwood.core.Answer;
import lupinwood.core.ConnectionId;
import lupinwood.core.Dispatchers;
import lupinwood.core.Ending;

/**
 * Several fronts as one: each connection is one front's, and the others pass over what is said to
 * it.
 */
record Fronts(Dispatchers one, Dispatchers other) implements Dispatchers {
    @Override
    public void answer(ConnectionId connection, long tag, Answer answer) {
        one.answer(connection, tag, answer);
        other.answer(connection, tag, answer);
    }

    @Override
    public void sayNoMore(ConnectionId connection) {
        one.sayNoMore(connection);
        other.sayNoMore(connection);
    }

    @Override
    public void readNoMore(ConnectionId connection) {
        one.readNoMore(connection);
        other.readNoMore(connection);
    }

    @Override
    public void close(ConnectionId connection, Ending why) {
        one.close(connection, why);
        other.close(connection, why);
    }
}
