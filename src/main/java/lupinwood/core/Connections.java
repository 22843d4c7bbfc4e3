package lupinwood.core;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Stream;
import lupinwood.node.Moment;
import lupinwood.node.Span;
import lupinwood.node.TicketId;

/**
 * The dispatchers' connections: what is open on each, which were idle for too long, and which are
 * no dispatcher's. A connection has a standing once the executor carried out a ticket of it.
 * Without one it goes for its first unsound ticket, and is asked to close where one after the other
 * is turned away; who sends on all the same errs.
 */
final class Connections {
    /** The protocol's bound on open tickets of one connection. */
    static final int MOST_OPEN = 32;

    /** A dispatcher that was asked to close an idle connection and doesn't is cut off then. */
    private static final Span TIME_TO_CLOSE = Span.ofSeconds(5);

    /**
     * Who connects speaks within so many of these; dispatchers connect to send at once. Each begins
     * when the one before was seen to be over: after a pause, what was said meanwhile has still to
     * be read here, so a pause counts once.
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

    /**
     * What stands without an open ticket; each kind is kept in the order in which it came to be so.
     */
    private enum Rest {
        /** Its last answers and the end behind them have gone out. */
        ENDED,
        /** It never spoke. */
        SILENT,
        ASKED_TO_CLOSE,
        RESTING,
        /** Its last answers are on their way. */
        OWED
    }

    private static final class Connection {
        ConnectionId id;
        final Map<Long, TicketId> open = new HashMap<>();
        Deadlines.Deadline idle;
        Moment idleSince;

        /** Null while a ticket is open on it. */
        Rest rest;

        boolean spoke;

        /** So many times it was seen to have said nothing. */
        int silences;

        boolean standing;
        int strikes;
        int unwanted;
        Moment openedAt;

        /** Since when a message on it is known to be unfinished; null where none is. */
        Moment unfinishedSince;

        /** When it was asked to close, or null. */
        Moment finishedAt;

        boolean closing;
        boolean written;
        Ending why;

        Rest restsAs() {
            return !open.isEmpty()
                    ? null
                    : closing
                            ? written ? Rest.ENDED : Rest.OWED
                            : !spoke
                                    ? Rest.SILENT
                                    : finishedAt != null ? Rest.ASKED_TO_CLOSE : Rest.RESTING;
        }
    }

    private final Slots<Connection> table;
    private final Map<Rest, Set<Connection>> resting = new EnumMap<>(Rest.class);

    /** Past so many that spoke and were not asked to close, those that rest are asked to. */
    private final int many;

    private final Dispatchers dispatchers;
    private final Deadlines deadlines;
    private final Supplier<Moment> clock;
    private final Span timeToRead;
    private Span longestIdle;
    private boolean leaving;
    private int open;

    Connections(
            int most,
            Span longestIdle,
            Span timeToRead,
            Dispatchers dispatchers,
            Deadlines deadlines,
            Supplier<Moment> clock) {
        this.longestIdle = longestIdle;
        this.timeToRead = timeToRead;
        table = new Slots<>(most);
        many = most - most / 8;
        for (Rest rest : Rest.values()) {
            resting.put(rest, new LinkedHashSet<>());
        }
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
        askInTime();
        return connection.id;
    }

    /**
     * Guards against the silent and the forgotten: a full table must not shut out who has something
     * to say. Who came just now goes after those that have rested for as long as it takes to speak,
     * and before those in use.
     */
    private boolean makeRoom() {
        List<Connection> going =
                first(
                        Stream.of(
                                of(Rest.ENDED),
                                of(Rest.SILENT).takeWhile(c -> c.silences > 0),
                                of(Rest.ASKED_TO_CLOSE),
                                of(Rest.RESTING)
                                        .takeWhile(
                                                c ->
                                                        c.idleSince
                                                                .plus(SILENCE)
                                                                .isBefore(clock.get())),
                                of(Rest.SILENT),
                                of(Rest.RESTING),
                                of(Rest.OWED)));
        for (Connection connection : going) {
            remove(connection.id);
            boolean unused = isLeftUnused(connection);
            if (connection.rest == Rest.RESTING) {
                dispatchers.sayNoMore(connection.id);
            }
            dispatchers.close(connection.id, unused ? Ending.LEFT_UNUSED : Ending.MADE_ROOM);
        }
        return !going.isEmpty();
    }

    /**
     * A pause of this machine, after which something has still to be read, is over by the second
     * silence.
     */
    private boolean isLeftUnused(Connection connection) {
        return connection.rest == Rest.ENDED
                || connection.silences > 1
                || (connection.rest == Rest.ASKED_TO_CLOSE && isStubborn(connection));
    }

    private Stream<Connection> of(Rest rest) {
        return resting.get(rest).stream();
    }

    /** A few at once, as more will come. */
    private List<Connection> first(Stream<Stream<Connection>> inOrder) {
        return inOrder.flatMap(one -> one).distinct().limit(1 + table.size() / 32).toList();
    }

    /**
     * Guards against a table that fills with those that rest: asked in time they close by
     * themselves, and no ticket crosses a close from here.
     */
    private void askInTime() {
        if (table.size() - resting.get(Rest.SILENT).size() - resting.get(Rest.ASKED_TO_CLOSE).size()
                > many) {
            first(Stream.of(of(Rest.RESTING))).forEach(this::finish);
        }
    }

    /** It may stand elsewhere in the order now, and there behind all others. */
    private void sort(Connection connection) {
        if (connection.rest != null) {
            resting.get(connection.rest).remove(connection);
        }
        connection.rest = connection.restsAs();
        if (connection.rest != null) {
            resting.get(connection.rest).add(connection);
        }
    }

    /** A check came on it. */
    void touch(ConnectionId id) {
        Connection connection = table.get(id.number());
        if (connection != null) {
            connection.spoke = true;
            connection.unfinishedSince = null;
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
        if (connection.rest != null) {
            resting.get(connection.rest).remove(connection);
        }
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
        return isStubborn(table.get(id.number()));
    }

    private boolean isStubborn(Connection connection) {
        Moment asked = connection.finishedAt;
        return asked != null && asked.plus(CROSSING).isBefore(clock.get());
    }

    TicketId open(ConnectionId id, long tag) {
        Connection connection = table.get(id.number());
        return connection == null ? null : connection.open.get(tag);
    }

    void begin(ConnectionId id, long tag, TicketId ticket) {
        Connection connection = table.get(id.number());
        connection.spoke = true;
        connection.unfinishedSince = null;
        connection.open.put(tag, ticket);
        open++;
        sort(connection);
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
     * What came on it was unsound. Whoever has no standing goes for it, once all that is open is
     * answered.
     */
    void fault(ConnectionId id) {
        Connection connection = table.get(id.number());
        if (connection != null && !connection.standing) {
            end(connection, Ending.UNSOUND);
        } else {
            strike(id);
        }
    }

    /**
     * A ticket of it was unsound in a figure of its own; only many in a row tell of who errs in
     * all.
     */
    void strike(ConnectionId id) {
        Connection connection = table.get(id.number());
        if (connection != null && !connection.closing && ++connection.strikes >= MOST_STRIKES) {
            end(connection, Ending.UNSOUND);
        }
    }

    /** A ticket of it was turned away or withdrawn, which alone is nothing bad. */
    void unwanted(ConnectionId id) {
        Connection connection = table.get(id.number());
        if (connection != null
                && !connection.standing
                && ++connection.unwanted >= MOST_UNWANTED
                && connection.openedAt.plus(NEW).isBefore(clock.get())) {
            finish(connection);
        }
    }

    /** Nothing more counts that comes on it; it is closed once what is open is answered. */
    void end(ConnectionId id, Ending why) {
        Connection connection = table.get(id.number());
        if (connection != null && (why != Ending.SAID_NOTHING || !maySayIt(connection))) {
            end(connection, why);
        }
    }

    /**
     * A dispatcher may be slow to write, and somebody waits for what it began until the longest
     * abandon time is over.
     */
    private boolean maySayIt(Connection connection) {
        if (connection.unfinishedSince == null) {
            connection.unfinishedSince = clock.get();
        }
        return connection.standing
                && clock.get().isBefore(connection.unfinishedSince.plus(timeToRead));
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

    /**
     * Its last answers go out first; nobody waits for them longer than the longest abandon time.
     */
    private void close(Connection connection) {
        sort(connection);
        cutOffIn(connection, timeToRead);
        dispatchers.close(connection.id, connection.why);
    }

    /** All that was written to it has gone out. */
    void written(ConnectionId id) {
        Connection connection = table.get(id.number());
        if (connection != null && connection.closing) {
            connection.written = true;
            sort(connection);
            cutOffIn(connection, TIME_TO_END);
        }
    }

    private void cutOffIn(Connection connection, Span wait) {
        deadlines.callOff(connection.idle);
        connection.idle =
                deadlines.at(
                        clock.get().plus(wait),
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
        sort(connection);
        watch(connection);
    }

    private void watch(Connection connection) {
        if (connection.open.isEmpty() && !connection.closing) {
            if (!connection.spoke) {
                if (connection.idle == null) {
                    awaitWord(connection);
                }
                return;
            }
            deadlines.callOff(connection.idle);
            Moment since = connection.idleSince;
            connection.idle =
                    connection.finishedAt != null
                            ? deadlines.at(
                                    since.plus(TIME_TO_CLOSE),
                                    () -> end(connection, Ending.CLOSED_HERE))
                            : deadlines.at(since.plus(longestIdle), () -> finish(connection));
        }
    }

    private void awaitWord(Connection connection) {
        connection.idle =
                deadlines.at(
                        clock.get().plus(SILENCE),
                        () -> {
                            if (++connection.silences < MOST_SILENCES) {
                                awaitWord(connection);
                            } else {
                                end(connection, Ending.SAID_NOTHING);
                            }
                        });
    }

    /**
     * Closing at once could cross a ticket that is on its way; so the dispatcher is asked to close.
     */
    private void finish(Connection connection) {
        if (connection.finishedAt == null) {
            connection.finishedAt = clock.get();
            dispatchers.sayNoMore(connection.id);
            rest(connection);
        }
    }
}
