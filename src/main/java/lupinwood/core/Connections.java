package lupinwood.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import lupinwood.node.Moment;
import lupinwood.node.Span;
import lupinwood.node.TicketId;

/** The dispatchers' connections: what is open on each, and which were idle for too long. */
final class Connections {
    /** The protocol's bound on open tickets of one connection. */
    static final int MOST_OPEN = 32;
    /** A dispatcher that was asked to close an idle connection and doesn't is cut off then. */
    private static final Span TIME_TO_CLOSE = Span.ofSeconds(5);

    private static final class Connection {
        ConnectionId id;
        final Map<Long, TicketId> open = new HashMap<>();
        Deadlines.Deadline idle;
        Moment idleSince;
        boolean finished;
        boolean closing;
    }

    private final Slots<Connection> table;
    private final Dispatchers dispatchers;
    private final Deadlines deadlines;
    private final Supplier<Moment> clock;
    private Span longestIdle;
    private boolean leaving;

    Connections(int most, Span longestIdle, Dispatchers dispatchers, Deadlines deadlines,
            Supplier<Moment> clock) {
        this.longestIdle = longestIdle;
        table = new Slots<>(most);
        this.dispatchers = dispatchers;
        this.deadlines = deadlines;
        this.clock = clock;
    }

    int size() {
        return table.size();
    }

    int openTickets() {
        int[] sum = {0};
        table.forEach(connection -> sum[0] += connection.open.size());
        return sum[0];
    }

    /** A place for a new connection, or null where the table is full. */
    ConnectionId add() {
        if (table.isFull()) {
            return null;
        }
        Connection connection = new Connection();
        connection.id = new ConnectionId(table.put(connection));
        rest(connection);
        return connection.id;
    }

    /** Something else than a ticket came on it. */
    void touch(ConnectionId id) {
        Connection connection = table.get(id.number());
        if (connection != null) {
            rest(connection);
        }
    }

    /** A connection that came about while leaving hears so at once. */
    void greet(ConnectionId id) {
        if (leaving) {
            finish(table.get(id.number()));
        }
    }

    /** The tickets that were still open on it. */
    List<TicketId> remove(ConnectionId id) {
        Connection connection = table.remove(id.number());
        if (connection == null) {
            return List.of();
        }
        deadlines.callOff(connection.idle);
        return new ArrayList<>(connection.open.values());
    }

    boolean isFull(ConnectionId id) {
        Connection connection = table.get(id.number());
        return connection == null || connection.open.size() >= MOST_OPEN;
    }

    TicketId open(ConnectionId id, long tag) {
        Connection connection = table.get(id.number());
        return connection == null ? null : connection.open.get(tag);
    }

    void begin(ConnectionId id, long tag, TicketId ticket) {
        Connection connection = table.get(id.number());
        connection.open.put(tag, ticket);
        deadlines.callOff(connection.idle);
        connection.idle = null;
    }

    void end(ConnectionId id, long tag) {
        Connection connection = table.get(id.number());
        if (connection != null && connection.open.remove(tag) != null && connection.open.isEmpty()) {
            if (connection.closing) {
                dispatchers.close(id, Ending.CLOSED_BY_PEER);
            } else {
                rest(connection);
            }
        }
    }

    /** The dispatcher will send no more on it, but may still read: it is closed once all is answered. */
    void halfClosed(ConnectionId id) {
        Connection connection = table.get(id.number());
        if (connection != null) {
            connection.closing = true;
            if (connection.open.isEmpty()) {
                dispatchers.close(id, Ending.CLOSED_BY_PEER);
            }
        }
    }

    void closeIdle(Span idle) {
        longestIdle = idle;
        table.forEach(this::watch);
    }

    void leave() {
        leaving = true;
        table.forEach(this::finish);
    }

    /** It carries nothing from now on. */
    private void rest(Connection connection) {
        connection.idleSince = clock.get();
        watch(connection);
    }

    private void watch(Connection connection) {
        deadlines.callOff(connection.idle);
        if (connection.open.isEmpty()) {
            connection.idle = connection.finished
                    ? deadlines.at(connection.idleSince.plus(TIME_TO_CLOSE),
                            () -> dispatchers.close(connection.id, Ending.CLOSED_HERE))
                    : deadlines.at(connection.idleSince.plus(longestIdle), () -> finish(connection));
        }
    }

    /** Closing at once could cross a ticket that is on its way; so the dispatcher is asked to close. */
    private void finish(Connection connection) {
        if (!connection.finished) {
            connection.finished = true;
            dispatchers.sayNoMore(connection.id);
            rest(connection);
        }
    }
}
