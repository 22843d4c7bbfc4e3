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
 * The dispatchers' connections: what is open on each, which were idle for too long, and which are no
 * dispatcher's. A connection has a standing once the executor carried out a ticket of it. Without one it goes
 * for its first unsound ticket, and is asked to close where one after the other is turned away; who sends on
 * all the same errs.
 */
final class Connections {
    /** The protocol's bound on open tickets of one connection. */
    static final int MOST_OPEN = 32;
    /** A dispatcher that was asked to close an idle connection and doesn't is cut off then. */
    private static final Span TIME_TO_CLOSE = Span.ofSeconds(5);
    /**
     * Who connects speaks within so many of these; dispatchers connect to send at once. Each begins when the one before
     * was seen to be over: after a pause, what was said meanwhile has still to be read here, so a pause counts once.
     */
    private static final Span SILENCE = Span.ofSeconds(0.25);
    private static final int MOST_SILENCES = 6;
    /** Who has taken its last answers, and the end behind them, closes its side by then. */
    private static final Span TIME_TO_END = Span.ofSeconds(0.5);
    /** So many unsound tickets in a row are forgiven to one with a standing. */
    private static final int MOST_STRIKES = 16;
    /** One without a standing for so long, and turned away as often, is asked to close. */
    private static final Span NEW = Span.ofSeconds(1);
    private static final int MOST_UNWANTED = 32;
    /** A ticket may cross the wish to close for as long, by a pause of either machine. */
    private static final Span CROSSING = Span.ofSeconds(2);

    private static final class Connection {
        ConnectionId id;
        final Map<Long, TicketId> open = new HashMap<>();
        Deadlines.Deadline idle;
        Moment idleSince;
        boolean spoke;
        boolean standing;
        int strikes;
        int unwanted;
        Moment openedAt;
        /** When it was asked to close, or null. */
        Moment finishedAt;
        boolean closing;
        Ending why;
    }

    private final Slots<Connection> table;
    private final Dispatchers dispatchers;
    private final Deadlines deadlines;
    private final Supplier<Moment> clock;
    private final Span timeToRead;
    private Span longestIdle;
    private boolean leaving;
    private int open;

    Connections(int most, Span longestIdle, Span timeToRead, Dispatchers dispatchers, Deadlines deadlines,
            Supplier<Moment> clock) {
        this.longestIdle = longestIdle;
        this.timeToRead = timeToRead;
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
        connection.openedAt = clock.get();
        rest(connection);
        return connection.id;
    }

    /**
     * Guards against the silent and the forgotten: a full table must not shut out who has something to say.
     */
    private boolean makeRoom() {
        List<Connection> unused = new ArrayList<>();
        table.forEach(connection -> {
            if (connection.open.isEmpty()) {
                unused.add(connection);
            }
        });
        unused.sort(Comparator.<Connection, Boolean>comparing(c -> c.spoke && !c.closing)
                .thenComparing(c -> c.idleSince));
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

    /** It was asked to close long ago, and still sends. */
    boolean isStubborn(ConnectionId id) {
        Moment asked = table.get(id.number()).finishedAt;
        return asked != null && asked.plus(CROSSING).isBefore(clock.get());
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
                    close(connection);
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

    /**
     * What came on it was unsound. Whoever has no standing goes for it, once all that is open is answered.
     */
    void fault(ConnectionId id) {
        Connection connection = table.get(id.number());
        if (connection != null && !connection.standing) {
            end(connection, Ending.UNSOUND);
        } else {
            strike(id);
        }
    }

    /** A ticket of it was unsound in a figure of its own; only many in a row tell of who errs in all. */
    void strike(ConnectionId id) {
        Connection connection = table.get(id.number());
        if (connection != null && !connection.closing && ++connection.strikes >= MOST_STRIKES) {
            end(connection, Ending.UNSOUND);
        }
    }

    /** A ticket of it was turned away or withdrawn, which alone is nothing bad. */
    void unwanted(ConnectionId id) {
        Connection connection = table.get(id.number());
        if (connection != null && !connection.standing && ++connection.unwanted >= MOST_UNWANTED
                && connection.openedAt.plus(NEW).isBefore(clock.get())) {
            finish(connection);
        }
    }

    /** Nothing more counts that comes on it; it is closed once what is open is answered. */
    void end(ConnectionId id, Ending why) {
        Connection connection = table.get(id.number());
        if (connection != null) {
            end(connection, why);
        }
    }

    /** Nothing more is read from it, and it is closed once what is open is answered. */
    private void end(Connection connection, Ending why) {
        if (connection.closing) {
            return;
        }
        connection.closing = true;
        connection.why = why;
        dispatchers.readNoMore(connection.id);
        if (connection.open.isEmpty()) {
            close(connection);
        }
    }

    /** Its last answers go out first; nobody waits for them longer than the longest abandon time. */
    private void close(Connection connection) {
        cutOffIn(connection, timeToRead);
        dispatchers.close(connection.id, connection.why);
    }

    /** All that was written to it has gone out. */
    void written(ConnectionId id) {
        Connection connection = table.get(id.number());
        if (connection != null && connection.closing) {
            cutOffIn(connection, TIME_TO_END);
        }
    }

    private void cutOffIn(Connection connection, Span wait) {
        deadlines.callOff(connection.idle);
        connection.idle = deadlines.at(clock.get().plus(wait),
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

    /** Some rest until this side ends them. */
    void end() {
        table.forEach(connection -> end(connection, Ending.CLOSED_HERE));
    }

    /** It carries nothing from now on. */
    private void rest(Connection connection) {
        connection.idleSince = clock.get();
        watch(connection);
    }

    private void watch(Connection connection) {
        if (connection.open.isEmpty() && !connection.closing) {
            if (!connection.spoke) {
                if (connection.idle == null) {
                    awaitWord(connection, MOST_SILENCES);
                }
                return;
            }
            deadlines.callOff(connection.idle);
            Moment since = connection.idleSince;
            connection.idle = connection.finishedAt != null
                    ? deadlines.at(since.plus(TIME_TO_CLOSE),
                            () -> end(connection, Ending.CLOSED_HERE))
                    : deadlines.at(since.plus(longestIdle), () -> finish(connection));
        }
    }

    private void awaitWord(Connection connection, int left) {
        connection.idle = deadlines.at(clock.get().plus(SILENCE), () -> {
            if (left > 1) {
                awaitWord(connection, left - 1);
            } else {
                end(connection, Ending.SAID_NOTHING);
            }
        });
    }

    /** Closing at once could cross a ticket that is on its way; so the dispatcher is asked to close. */
    private void finish(Connection connection) {
        if (connection.finishedAt == null) {
            connection.finishedAt = clock.get();
            dispatchers.sayNoMore(connection.id);
            rest(connection);
        }
    }
}
