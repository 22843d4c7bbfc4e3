package lupinwood.processing;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Stream;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.RequestId;
import lupinwood.processing.Connection.IdleState;

/**
 * The connections of upstream load balancers: the open requests of each, which connections have
 * been idle for too long, and which don't come from an upstream load balancer. A connection is
 * trusted once the executor has run a request of it. An untrusted connection is closed at its first
 * request that violates the protocol. Unless it is new, it is asked to close after many rejected,
 * aborted or late requests; a peer that keeps sending after that violates the protocol.
 *
 * <p>Owned by the event loop thread.
 */
final class ConnectionTable {
    /** The protocol's limit of open requests on one connection. */
    static final int MAX_OPEN_REQUESTS = 32;

    /** An upstream that doesn't close an idle connection on request is cut off after this long. */
    private static final NanoDuration CLOSE_REQUEST_TIMEOUT = NanoDuration.ofSeconds(5);

    /**
     * A new connection must send its first message within {@link #MAX_SILENT_INTERVALS} of these
     * intervals; upstream load balancers connect to send at once. Each interval begins when the end
     * of the previous one is observed: after a pause of this process, messages that arrived
     * meanwhile have still to be read, so a pause counts as one interval only.
     */
    private static final NanoDuration SILENCE_INTERVAL = NanoDuration.ofSeconds(0.25);

    private static final int MAX_SILENT_INTERVALS = 6;

    /** How long an upstream may take to close its side once its last responses were sent. */
    private static final NanoDuration PEER_CLOSE_TIMEOUT = NanoDuration.ofSeconds(0.5);

    /** At this many invalid requests without a run in between any connection is closed. */
    private static final int MAX_INVALID_REQUESTS_BEFORE_RUN = 16;

    /** An untrusted connection must be older to be asked to close for unserved requests. */
    private static final NanoDuration MIN_CLOSE_REQUEST_AGE = NanoDuration.ofSeconds(1);

    private static final int MAX_UNSERVED_REQUESTS = 32;

    /** How long after a close request earlier requests may arrive, because a host may pause. */
    private static final NanoDuration MAX_CROSSING_TIME = NanoDuration.ofSeconds(2);

    private final SlotTable<Connection> table;
    private final Map<IdleState, Set<Connection>> idleConnections = new EnumMap<>(IdleState.class);

    // With more connections than this, not counting silent ones and idle ones already asked to
    // close, idle connections are asked to close.
    private final int closeRequestThreshold;

    private final UpstreamConnections upstreams;
    private final TimerService timers;
    private final Supplier<MonotonicTime> clock;
    private final NanoDuration longestTimeout; // as of construction; a reload does not change it
    private NanoDuration idleTimeout;
    private boolean draining;
    private int openRequests;
    private long totalCount;

    ConnectionTable(
            int maxConnections,
            NanoDuration idleTimeout,
            NanoDuration longestTimeout,
            UpstreamConnections upstreams,
            TimerService timers,
            Supplier<MonotonicTime> clock) {
        this.idleTimeout = idleTimeout;
        this.longestTimeout = longestTimeout;
        table = new SlotTable<>(maxConnections);
        closeRequestThreshold = maxConnections - maxConnections / 8;
        for (IdleState state : IdleState.values()) {
            idleConnections.put(state, new LinkedHashSet<>());
        }
        this.upstreams = upstreams;
        this.timers = timers;
        this.clock = clock;
    }

    int size() {
        return table.size();
    }

    /** The number of connections so far, including those that found the table full. */
    long totalCount() {
        return totalCount;
    }

    int openRequests() {
        return openRequests;
    }

    /** Adds a connection; null if the table is full of connections with open requests. */
    ConnectionId add() {
        totalCount++;
        if (table.isFull() && !evictIdle()) {
            return null;
        }
        Connection connection = new Connection();
        connection.id = new ConnectionId(table.put(connection));
        connection.openedAt = clock.get();
        markIdle(connection);
        requestCloseNearCapacity();
        return connection.id;
    }

    /**
     * Evicts a few connections without open requests, so that silent or forgotten connections which
     * fill the table don't shut out upstreams with requests to send. Connections that have just
     * been opened are evicted after those that have been idle for a silence interval, and before
     * those that were in use more recently.
     */
    private boolean evictIdle() {
        List<Connection> evicted =
                firstFew(
                        Stream.of(
                                inState(IdleState.FLUSHED),
                                inState(IdleState.SILENT).takeWhile(c -> c.silentIntervals > 0),
                                inState(IdleState.CLOSE_REQUESTED),
                                inState(IdleState.IDLE)
                                        .takeWhile(
                                                c ->
                                                        c.idleSince
                                                                .plus(SILENCE_INTERVAL)
                                                                .isBefore(clock.get())),
                                inState(IdleState.SILENT),
                                inState(IdleState.IDLE),
                                inState(IdleState.FLUSHING)));
        for (Connection connection : evicted) {
            remove(connection.id);
            boolean unused = isLeftUnused(connection);
            if (connection.idleState == IdleState.IDLE) {
                upstreams.requestClose(connection.id);
            }
            upstreams.close(connection.id, unused ? Completion.LEFT_UNUSED : Completion.MADE_ROOM);
        }
        return !evicted.isEmpty();
    }

    /**
     * Whether no request can cross the close of a connection: a flushed one is not read any more,
     * one that was asked to close has had enough time, and one that sent nothing for two silence
     * intervals after it opened counts as unused. One interval may have passed only because this
     * process paused, with messages still unread, but not two.
     */
    private boolean isLeftUnused(Connection connection) {
        return connection.idleState == IdleState.FLUSHED
                || connection.silentIntervals > 1
                || (connection.idleState == IdleState.CLOSE_REQUESTED
                        && ignoresCloseRequest(connection));
    }

    private Stream<Connection> inState(IdleState state) {
        return idleConnections.get(state).stream();
    }

    /** Takes more than one connection, because more new ones are likely to follow. */
    private List<Connection> firstFew(Stream<Stream<Connection>> inOrder) {
        return inOrder.flatMap(sorted -> sorted).distinct().limit(1 + table.size() / 32).toList();
    }

    /**
     * Guards against a table full of idle connections: upstreams that are asked in time close them,
     * so that no request crosses a close by this node.
     */
    private void requestCloseNearCapacity() {
        if (table.size()
                        - idleConnections.get(IdleState.SILENT).size()
                        - idleConnections.get(IdleState.CLOSE_REQUESTED).size()
                > closeRequestThreshold) {
            firstFew(Stream.of(inState(IdleState.IDLE))).forEach(this::requestClose);
        }
    }

    /** Updates the idle state of a connection, and moves it to the end of that state's order. */
    private void updateIdleState(Connection connection) {
        if (connection.idleState != null) {
            idleConnections.get(connection.idleState).remove(connection);
        }
        connection.idleState = connection.currentIdleState();
        if (connection.idleState != null) {
            idleConnections.get(connection.idleState).add(connection);
        }
    }

    /** Handles a health check that arrived on the connection. */
    void onHealthCheck(ConnectionId id) {
        Connection connection = table.get(id.number());
        if (connection != null) {
            connection.hasSentMessage = true;
            connection.incompleteSince = null;
            markIdle(connection);
        }
    }

    /** Handles a connection that can now be written to; while draining it is asked to close. */
    void onWritable(ConnectionId id) {
        if (draining) {
            requestClose(table.get(id.number()));
        }
    }

    /** Removes a connection and returns the requests that were still open on it. */
    List<RequestId> remove(ConnectionId id) {
        Connection connection = table.remove(id.number());
        if (connection == null) {
            return List.of();
        }
        timers.cancel(connection.idleTimer);
        if (connection.idleState != null) {
            idleConnections.get(connection.idleState).remove(connection);
        }
        openRequests -= connection.openByTag.size();
        return new ArrayList<>(connection.openByTag.values());
    }

    boolean isAtRequestLimit(ConnectionId id) {
        return table.get(id.number()).openByTag.size() >= MAX_OPEN_REQUESTS;
    }

    /** Whether the connection is closing or gone, so that no request on it may run. */
    boolean isClosing(ConnectionId id) {
        Connection connection = table.get(id.number());
        return connection == null || connection.closing;
    }

    /** Whether it was asked to close so long ago that no request can have crossed that. */
    boolean ignoresCloseRequest(ConnectionId id) {
        return ignoresCloseRequest(table.get(id.number()));
    }

    private boolean ignoresCloseRequest(Connection connection) {
        MonotonicTime closeRequestedAt = connection.closeRequestedAt;
        return closeRequestedAt != null
                && closeRequestedAt.plus(MAX_CROSSING_TIME).isBefore(clock.get());
    }

    RequestId findRequest(ConnectionId id, long tag) {
        Connection connection = table.get(id.number());
        return connection == null ? null : connection.openByTag.get(tag);
    }

    void addRequest(ConnectionId id, long tag, RequestId requestId) {
        Connection connection = table.get(id.number());
        connection.hasSentMessage = true;
        connection.incompleteSince = null;
        connection.openByTag.put(tag, requestId);
        openRequests++;
        updateIdleState(connection);
        timers.cancel(connection.idleTimer);
        connection.idleTimer = null;
    }

    void removeRequest(ConnectionId id, long tag) {
        Connection connection = table.get(id.number());
        if (connection != null && connection.openByTag.remove(tag) != null) {
            openRequests--;
            if (connection.openByTag.isEmpty()) {
                if (connection.closing) {
                    closeAfterFlush(connection);
                } else {
                    markIdle(connection);
                }
            }
        }
    }

    /** Marks the connection as trusted after the executor ran a request of it. */
    void markTrusted(ConnectionId id) {
        Connection connection = table.get(id.number());
        if (connection != null) {
            connection.trusted = true;
            connection.invalidSinceRun = 0;
        }
    }

    /** Handles a protocol violation: an untrusted connection closes once no request is open. */
    void onInvalidRequest(ConnectionId id) {
        Connection connection = table.get(id.number());
        if (connection != null && !connection.trusted) {
            beginClose(connection, Completion.UNSOUND);
        } else {
            countInvalidRequest(id);
        }
    }

    /** Counts an invalid request; only many of them without a run between show a violation. */
    void countInvalidRequest(ConnectionId id) {
        Connection connection = table.get(id.number());
        if (connection != null
                && !connection.closing
                && ++connection.invalidSinceRun >= MAX_INVALID_REQUESTS_BEFORE_RUN) {
            beginClose(connection, Completion.UNSOUND);
        }
    }

    /**
     * Counts a request that was rejected or aborted, or arrived late, which is no fault by itself:
     * only an untrusted connection with many of them is asked to close.
     */
    void countUnservedRequest(ConnectionId id) {
        Connection connection = table.get(id.number());
        if (connection != null
                && !connection.trusted
                && ++connection.unservedRequests >= MAX_UNSERVED_REQUESTS
                && connection.openedAt.plus(MIN_CLOSE_REQUEST_AGE).isBefore(clock.get())) {
            requestClose(connection);
        }
    }

    /** Begins to close; for SAID_NOTHING not while an incomplete message may still be finished. */
    void beginClose(ConnectionId id, Completion closeReason) {
        Connection connection = table.get(id.number());
        if (connection != null
                && (closeReason != Completion.SAID_NOTHING || !mayStillFinish(connection))) {
            beginClose(connection, closeReason);
        }
    }

    /**
     * Returns whether an incomplete message may still be finished; the first call for a message
     * records since when it is incomplete. An upstream load balancer may write slowly, and its
     * client may wait for the response until the longest timeout has passed. So may one whose first
     * request is still open, although nothing has made its connection trusted yet: to stop reading
     * then would leave the whole requests behind the slow one without a response.
     */
    private boolean mayStillFinish(Connection connection) {
        if (connection.incompleteSince == null) {
            connection.incompleteSince = clock.get();
        }
        boolean mayBeSlow = connection.trusted || !connection.openByTag.isEmpty();
        return mayBeSlow && clock.get().isBefore(connection.incompleteSince.plus(longestTimeout));
    }

    /**
     * Closes the connection once its open requests are answered. Until then an upstream that still
     * speaks the protocol is asked to send no more requests, and is read: requests that cross the
     * close request must be answered too, and clients must be able to abort. Otherwise reading
     * stops at once.
     */
    private void beginClose(Connection connection, Completion closeReason) {
        boolean stillSends =
                closeReason != Completion.CLOSED_BY_PEER && closeReason != Completion.MALFORMED;
        boolean isReadOn = stillSends && !connection.openByTag.isEmpty();
        if (!isReadOn) {
            upstreams.stopReading(connection.id);
        }
        if (connection.closing) {
            return;
        }
        if (isReadOn) {
            requestClose(connection);
        }
        connection.closing = true;
        connection.closeReason = closeReason;
        if (connection.openByTag.isEmpty()) {
            closeAfterFlush(connection);
        }
    }

    /**
     * Handles a request that was read after the connection began to close. Once none can have
     * crossed the close request any more the connection is not read further, so that an upstream
     * that ignores the close request costs little.
     */
    void onRequestWhileClosing(ConnectionId id) {
        Connection connection = table.get(id.number());
        if (connection != null && ignoresCloseRequest(connection)) {
            upstreams.stopReading(id);
        }
    }

    /** Closes after the last responses; no client waits for them beyond the longest timeout. */
    private void closeAfterFlush(Connection connection) {
        updateIdleState(connection);
        scheduleForcedClose(connection, longestTimeout);
        upstreams.close(connection.id, connection.closeReason);
    }

    /** Handles that everything written to the connection has been sent. */
    void onFlushed(ConnectionId id) {
        Connection connection = table.get(id.number());
        if (connection != null && connection.closing) {
            connection.flushed = true;
            updateIdleState(connection);
            scheduleForcedClose(connection, PEER_CLOSE_TIMEOUT);
        }
    }

    private void scheduleForcedClose(Connection connection, NanoDuration delay) {
        timers.cancel(connection.idleTimer);
        connection.idleTimer =
                timers.schedule(
                        clock.get().plus(delay),
                        () -> upstreams.close(connection.id, Completion.SLOW_READER));
    }

    void setIdleTimeout(NanoDuration newIdleTimeout) {
        idleTimeout = newIdleTimeout;
        table.forEach(this::scheduleIdleTimer);
    }

    void requestCloseOfAll() {
        draining = true;
        table.forEach(this::requestClose);
    }

    /** Begins to close all connections, because some stay idle until this node closes them. */
    void beginCloseOfAll() {
        table.forEach(connection -> beginClose(connection, Completion.CLOSED_HERE));
    }

    /** Marks the connection as idle from now on. */
    private void markIdle(Connection connection) {
        connection.idleSince = clock.get();
        updateIdleState(connection);
        scheduleIdleTimer(connection);
    }

    private void scheduleIdleTimer(Connection connection) {
        if (connection.openByTag.isEmpty() && !connection.closing) {
            if (!connection.hasSentMessage) {
                if (connection.idleTimer == null) {
                    awaitFirstMessage(connection);
                }
                return;
            }
            timers.cancel(connection.idleTimer);
            MonotonicTime idleSince = connection.idleSince;
            connection.idleTimer =
                    connection.closeRequestedAt != null
                            ? timers.schedule(
                                    idleSince.plus(CLOSE_REQUEST_TIMEOUT),
                                    () -> beginClose(connection, Completion.CLOSED_HERE))
                            : timers.schedule(
                                    idleSince.plus(idleTimeout), () -> requestClose(connection));
        }
    }

    private void awaitFirstMessage(Connection connection) {
        connection.idleTimer =
                timers.schedule(
                        clock.get().plus(SILENCE_INTERVAL),
                        () -> {
                            if (++connection.silentIntervals < MAX_SILENT_INTERVALS) {
                                awaitFirstMessage(connection);
                            } else {
                                beginClose(connection, Completion.SAID_NOTHING);
                            }
                        });
    }

    /** Asks the upstream to close, because a close by this node could cross a request. */
    private void requestClose(Connection connection) {
        if (connection.closeRequestedAt == null) {
            connection.closeRequestedAt = clock.get();
            upstreams.requestClose(connection.id);
            markIdle(connection);
        }
    }
}
