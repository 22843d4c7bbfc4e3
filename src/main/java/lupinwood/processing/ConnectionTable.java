package lupinwood.processing;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Stream;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.RequestId;

/**
 * The upstream load balancers' connections: what is open on each, which were idle for too long, and
 * which are no upstream load balancer's. A connection has a standing once the executor carried out
 * a request of it. Without one it goes for its first unsound request, and is asked to close where
 * one after the other is turned away; who sends on all the same errs. Owned by the event loop
 * thread.
 */
final class ConnectionTable {
    /** The protocol's bound on open requests of one connection. */
    static final int MOST_OPEN = 32;

    /**
     * An upstream load balancer that was asked to close an idle connection and doesn't is cut off
     * then.
     */
    private static final NanoDuration TIME_TO_CLOSE = NanoDuration.ofSeconds(5);

    /**
     * Who connects speaks within so many of these; upstream load balancers connect to send at once.
     * Each begins when the one before was seen to be over: after a pause, what was said meanwhile
     * has still to be read here, so a pause counts once.
     */
    private static final NanoDuration SILENCE = NanoDuration.ofSeconds(0.25);

    private static final int MOST_SILENCES = 6;

    /** Who has taken its last answers, and the end behind them, closes its side by then. */
    private static final NanoDuration TIME_TO_END = NanoDuration.ofSeconds(0.5);

    /** So many unsound requests in a row are forgiven to one with a standing. */
    private static final int MOST_STRIKES = 16;

    /** One without a standing for so long, and turned away as often, is asked to close. */
    private static final NanoDuration NEW = NanoDuration.ofSeconds(1);

    private static final int MOST_UNWANTED = 32;

    /** A request may cross the wish to close for as long, by a pause of either machine. */
    private static final NanoDuration CROSSING = NanoDuration.ofSeconds(2);

    /**
     * What stands without an open request; each kind is kept in the order in which it came to be
     * so.
     */
    private enum IdleState {
        /** Its last answers and the end behind them have gone out. */
        ENDED,
        /** It never spoke. */
        SILENT,
        CLOSE_REQUESTED,
        RESTING,
        /** Its last answers are on their way. */
        OWED
    }

    private static final class Connection {
        ConnectionId id;
        final Map<Long, RequestId> open = new HashMap<>();
        TimerService.Timer idle;
        MonotonicTime idleSince;

        /** Null while a request is open on it. */
        IdleState rest;

        boolean spoke;

        /** So many times it was seen to have said nothing. */
        int silences;

        boolean standing;
        int strikes;
        int unwanted;
        MonotonicTime openedAt;

        /** Since when a message on it is known to be unfinished; null where none is. */
        MonotonicTime unfinishedSince;

        /** When it was asked to close, or null. */
        MonotonicTime closeRequestedAt;

        boolean closing;
        boolean written;
        Completion why;

        IdleState restsAs() {
            return !open.isEmpty()
                    ? null
                    : closing
                            ? written ? IdleState.ENDED : IdleState.OWED
                            : !spoke
                                    ? IdleState.SILENT
                                    : closeRequestedAt != null
                                            ? IdleState.CLOSE_REQUESTED
                                            : IdleState.RESTING;
        }
    }

    private final SlotTable<Connection> table;
    private final Map<IdleState, Set<Connection>> resting = new EnumMap<>(IdleState.class);

    /** Past so many that spoke and were not asked to close, those that rest are asked to. */
    private final int many;

    private final UpstreamConnections upstreams;
    private final TimerService timers;
    private final Supplier<MonotonicTime> clock;
    private final NanoDuration timeToRead;
    private NanoDuration longestIdle;
    private boolean leaving;
    private int open;
    private long everAdded;

    ConnectionTable(
            int most,
            NanoDuration longestIdle,
            NanoDuration timeToRead,
            UpstreamConnections upstreams,
            TimerService timers,
            Supplier<MonotonicTime> clock) {
        this.longestIdle = longestIdle;
        this.timeToRead = timeToRead;
        table = new SlotTable<>(most);
        many = most - most / 8;
        for (IdleState rest : IdleState.values()) {
            resting.put(rest, new LinkedHashSet<>());
        }
        this.upstreams = upstreams;
        this.timers = timers;
        this.clock = clock;
    }

    int size() {
        return table.size();
    }

    /** How many came so far, those without a place among them. */
    long everAdded() {
        return everAdded;
    }

    int openRequests() {
        return open;
    }

    /** A place for a new connection, or null where the table is full of such with open requests. */
    ConnectionId add() {
        everAdded++;
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
                                of(IdleState.ENDED),
                                of(IdleState.SILENT).takeWhile(c -> c.silences > 0),
                                of(IdleState.CLOSE_REQUESTED),
                                of(IdleState.RESTING)
                                        .takeWhile(
                                                c ->
                                                        c.idleSince
                                                                .plus(SILENCE)
                                                                .isBefore(clock.get())),
                                of(IdleState.SILENT),
                                of(IdleState.RESTING),
                                of(IdleState.OWED)));
        for (Connection connection : going) {
            remove(connection.id);
            boolean unused = isLeftUnused(connection);
            if (connection.rest == IdleState.RESTING) {
                upstreams.sayNoMore(connection.id);
            }
            upstreams.close(connection.id, unused ? Completion.LEFT_UNUSED : Completion.MADE_ROOM);
        }
        return !going.isEmpty();
    }

    /**
     * A pause of this machine, after which something has still to be read, is over by the second
     * silence.
     */
    private boolean isLeftUnused(Connection connection) {
        return connection.rest == IdleState.ENDED
                || connection.silences > 1
                || (connection.rest == IdleState.CLOSE_REQUESTED && isStubborn(connection));
    }

    private Stream<Connection> of(IdleState rest) {
        return resting.get(rest).stream();
    }

    /** A few at once, as more will come. */
    private List<Connection> first(Stream<Stream<Connection>> inOrder) {
        return inOrder.flatMap(one -> one).distinct().limit(1 + table.size() / 32).toList();
    }

    /**
     * Guards against a table that fills with those that rest: asked in time they close by
     * themselves, and no request crosses a close from here.
     */
    private void askInTime() {
        if (table.size()
                        - resting.get(IdleState.SILENT).size()
                        - resting.get(IdleState.CLOSE_REQUESTED).size()
                > many) {
            first(Stream.of(of(IdleState.RESTING))).forEach(this::askToClose);
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
            askToClose(table.get(id.number()));
        }
    }

    /** The requests that were still open on it. */
    List<RequestId> remove(ConnectionId id) {
        Connection connection = table.remove(id.number());
        if (connection == null) {
            return List.of();
        }
        timers.cancel(connection.idle);
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
        MonotonicTime requested = connection.closeRequestedAt;
        return requested != null && requested.plus(CROSSING).isBefore(clock.get());
    }

    RequestId open(ConnectionId id, long tag) {
        Connection connection = table.get(id.number());
        return connection == null ? null : connection.open.get(tag);
    }

    void begin(ConnectionId id, long tag, RequestId requestId) {
        Connection connection = table.get(id.number());
        connection.spoke = true;
        connection.unfinishedSince = null;
        connection.open.put(tag, requestId);
        open++;
        sort(connection);
        timers.cancel(connection.idle);
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

    /** The executor carried out a request of it. */
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
            end(connection, Completion.UNSOUND);
        } else {
            strike(id);
        }
    }

    /**
     * A request of it was unsound in a figure of its own; only many in a row tell of who errs in
     * all.
     */
    void strike(ConnectionId id) {
        Connection connection = table.get(id.number());
        if (connection != null && !connection.closing && ++connection.strikes >= MOST_STRIKES) {
            end(connection, Completion.UNSOUND);
        }
    }

    /** A request of it was turned away or withdrawn, which alone is nothing bad. */
    void unwanted(ConnectionId id) {
        Connection connection = table.get(id.number());
        if (connection != null
                && !connection.standing
                && ++connection.unwanted >= MOST_UNWANTED
                && connection.openedAt.plus(NEW).isBefore(clock.get())) {
            askToClose(connection);
        }
    }

    /** Nothing more counts that comes on it; it is closed once what is open is answered. */
    void end(ConnectionId id, Completion why) {
        Connection connection = table.get(id.number());
        if (connection != null && (why != Completion.SAID_NOTHING || !mayStillFinish(connection))) {
            end(connection, why);
        }
    }

    /**
     * An upstream load balancer may be slow to write, and somebody waits for what it began until
     * the longest timeout is over.
     */
    private boolean mayStillFinish(Connection connection) {
        if (connection.unfinishedSince == null) {
            connection.unfinishedSince = clock.get();
        }
        return connection.standing
                && clock.get().isBefore(connection.unfinishedSince.plus(timeToRead));
    }

    /** Nothing more is read from it, and it is closed once what is open is answered. */
    private void end(Connection connection, Completion why) {
        if (connection.closing) {
            return;
        }
        connection.closing = true;
        connection.why = why;
        upstreams.readNoMore(connection.id);
        if (connection.open.isEmpty()) {
            close(connection);
        }
    }

    /** Its last answers go out first; nobody waits for them longer than the longest timeout. */
    private void close(Connection connection) {
        sort(connection);
        cutOffIn(connection, timeToRead);
        upstreams.close(connection.id, connection.why);
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

    private void cutOffIn(Connection connection, NanoDuration wait) {
        timers.cancel(connection.idle);
        connection.idle =
                timers.schedule(
                        clock.get().plus(wait),
                        () -> upstreams.close(connection.id, Completion.SLOW_READER));
    }

    void closeIdle(NanoDuration idle) {
        longestIdle = idle;
        table.forEach(this::watch);
    }

    void leave() {
        leaving = true;
        table.forEach(this::askToClose);
    }

    /** Some rest until this side ends them. */
    void end() {
        table.forEach(connection -> end(connection, Completion.CLOSED_HERE));
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
                    awaitFirstMessage(connection);
                }
                return;
            }
            timers.cancel(connection.idle);
            MonotonicTime since = connection.idleSince;
            connection.idle =
                    connection.closeRequestedAt != null
                            ? timers.schedule(
                                    since.plus(TIME_TO_CLOSE),
                                    () -> end(connection, Completion.CLOSED_HERE))
                            : timers.schedule(
                                    since.plus(longestIdle), () -> askToClose(connection));
        }
    }

    private void awaitFirstMessage(Connection connection) {
        connection.idle =
                timers.schedule(
                        clock.get().plus(SILENCE),
                        () -> {
                            if (++connection.silences < MOST_SILENCES) {
                                awaitFirstMessage(connection);
                            } else {
                                end(connection, Completion.SAID_NOTHING);
                            }
                        });
    }

    /**
     * Closing at once could cross a request that is on its way; so the upstream load balancer is
     * asked to close.
     */
    private void askToClose(Connection connection) {
        if (connection.closeRequestedAt == null) {
            connection.closeRequestedAt = clock.get();
            upstreams.sayNoMore(connection.id);
            rest(connection);
        }
    }
}
