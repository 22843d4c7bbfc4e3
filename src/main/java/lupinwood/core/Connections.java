package lupinwood.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import lupinwood.node.Moment;
import lupinwood.node.Span;
import lupinwood.node.TicketId;

/**
 * The dispatchers' connections: what is open on each, which were idle for too long, and which are no dispatcher's.
 * A connection has a standing once the executor carried out a ticket of it. Until then it may err or be turned away
 * a few times only: whoever can't do better is refused at the door and not for each message.
 */
final class Connections {
    /** The protocol's bound on open tickets of one connection. */
    static final int MOST_OPEN = 32;
    /** A dispatcher that was asked to close an idle connection and doesn't is cut off then. */
    private static final Span TIME_TO_CLOSE = Span.ofSeconds(5);
    /** Who connects speaks by then; dispatchers connect to send at once. */
    private static final Span TIME_TO_SPEAK = Span.ofSeconds(1.5);
    /** What was written last to a connection that is to be closed has this long to go out. */
    private static final Span TIME_TO_READ = Span.ofSeconds(0.5);
    /** So many, and it is asked to close; twice as many, and it is closed. */
    private static final int MOST_STRIKES = 8;

    private static final class Connection {
        ConnectionId id;
        final Map<Long, TicketId> open = new HashMap<>();
        Deadlines.Deadline idle;
        Moment idleSince;
        boolean spoke;
        boolean standing;
        int strikes;
        boolean finished;
        boolean closing;
    }

    private final Slots<Connection> table;
    private final Dispatchers dispatchers;
    private final Deadlines deadlines;
    private final Supplier<Moment> clock;
    private Span longestIdle;
    private boolean leaving;
    private int open;

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
        return open;
    }

    /** A place for a new connection, or null where the table is full of such with open tickets. */
    ConnectionId add() {
        if (table.isFull() && !makeRoom()) {
            return null;
        }
        Connection connection = new Connection();
        connection.id = new ConnectionId(table.put(connection));
        rest(connection);
        return connection.id;
    }

    /** Guards against the silent and the forgotten: a full table must not shut out who has something to say. */
    private boolean makeRoom() {
        List<Connection> unused = new ArrayList<>();
        table.forEach(connection -> {
            if (connection.open.isEmpty()) {
                unused.add(connection);
            }
        });
        unused.sort(Comparator.<Connection, Boolean>comparing(c -> c.spoke).thenComparing(c -> c.idleSince));
        // A few at once, as more will come.
        for (Connection connection : unused.subList(0, Math.min(unused.size(), 1 + table.size() / 32))) {
            remove(connection.id);
            dispatchers.close(connection.id, Ending.MADE_ROOM);
        }
        return !unused.isEmpty();
    }

    /** A check came on it. */
    void touch(ConnectionId id) {
        Connection connection = table.get(id.number());
        if (connection != null) {
            connection.spoke = true;
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
        open -= connection.open.size();
        return new ArrayList<>(connection.open.values());
    }

    boolean isFull(ConnectionId id) {
        return table.get(id.number()).open.size() >= MOST_OPEN;
    }

    /** Nothing that comes on it counts any more. */
    boolean isClosing(ConnectionId id) {
        Connection connection = table.get(id.number());
        return connection == null || connection.closing;
    }

    TicketId open(ConnectionId id, long tag) {
        Connection connection = table.get(id.number());
        return connection == null ? null : connection.open.get(tag);
    }

    void begin(ConnectionId id, long tag, TicketId ticket) {
        Connection connection = table.get(id.number());
        connection.spoke = true;
        connection.open.put(tag, ticket);
        open++;
        deadlines.callOff(connection.idle);
        connection.idle = null;
    }

    void end(ConnectionId id, long tag) {
        Connection connection = table.get(id.number());
        if (connection != null && connection.open.remove(tag) != null) {
            open--;
            if (connection.open.isEmpty()) {
                if (connection.closing) {
                    close(connection, Ending.CLOSED_BY_PEER);
                } else {
                    rest(connection);
                }
            }
        }
    }

    /** The executor carried out a ticket of it. */
    void trust(ConnectionId id) {
        Connection connection = table.get(id.number());
        if (connection != null) {
            connection.standing = true;
            connection.strikes = 0;
        }
    }

    /** What came on it was unsound. Whoever has no standing goes at once, after the answer. */
    void fault(ConnectionId id) {
        strike(id, 1, 2 * MOST_STRIKES);
    }

    /** A ticket of it was turned away or withdrawn, which alone is nothing bad. */
    void unwanted(ConnectionId id) {
        strike(id, 0, 1);
    }

    private void strike(ConnectionId id, int withStanding, int without) {
        Connection connection = table.get(id.number());
        if (connection != null && !connection.closing) {
            connection.strikes += connection.standing ? withStanding : without;
            if (connection.strikes >= 2 * MOST_STRIKES) {
                connection.closing = true;
                // What is open on one that may be a dispatcher's still gets its answers.
                if (connection.open.isEmpty() || !connection.standing && without > 1) {
                    close(connection, Ending.UNSOUND);
                }
            } else if (connection.strikes >= MOST_STRIKES) {
                finish(connection);
            }
        }
    }

    /** It left off within a message. */
    void leftOff(ConnectionId id) {
        Connection connection = table.get(id.number());
        if (connection != null) {
            connection.closing = true;
            if (connection.open.isEmpty()) {
                dispatchers.close(id, Ending.SAID_NOTHING);
            }
        }
    }

    /** The dispatcher will send no more on it, but may still read: it is closed once all is answered. */
    void halfClosed(ConnectionId id) {
        Connection connection = table.get(id.number());
        if (connection != null) {
            connection.closing = true;
            if (connection.open.isEmpty()) {
                close(connection, Ending.CLOSED_BY_PEER);
            }
        }
    }

    /** Its last answers go out first; who doesn't take them is cut off. */
    private void close(Connection connection, Ending why) {
        dispatchers.close(connection.id, why);
        deadlines.callOff(connection.idle);
        connection.idle = deadlines.at(clock.get().plus(TIME_TO_READ),
                () -> dispatchers.close(connection.id, Ending.SLOW_READER));
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
        if (connection.open.isEmpty() && !connection.closing) {
            deadlines.callOff(connection.idle);
            Moment since = connection.idleSince;
            connection.idle = !connection.spoke
                    ? deadlines.at(since.plus(TIME_TO_SPEAK),
                            () -> dispatchers.close(connection.id, Ending.SAID_NOTHING))
                    : connection.finished
                    ? deadlines.at(since.plus(TIME_TO_CLOSE),
                            () -> dispatchers.close(connection.id, Ending.CLOSED_HERE))
                    : deadlines.at(since.plus(longestIdle), () -> finish(connection));
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
