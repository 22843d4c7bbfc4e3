package lupinwood.net;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lupinwood.core.ConnectionId;
import lupinwood.core.Deadlines;
import lupinwood.core.Dispatchers;
import lupinwood.core.Ending;
import lupinwood.core.Host;
import lupinwood.log.Log;
import lupinwood.node.Span;
import org.apache.mina.core.session.IoSession;

/**
 * What all fronts have in common: connections that tell the host what comes on them, answers that
 * go out once a round, and the bounds on what may wait for who doesn't read. A connection that
 * isn't of this front is passed over.
 */
abstract class Front<T> implements Dispatchers {
    /** What may wait for one caller to read: a whole set of the longest answers. */
    private static final long MOST_WAITING = 160 * 1024;

    /**
     * What may wait for all together; past it whoever has more than a few answers waiting is cut
     * off.
     */
    private static final long MOST_WAITING_ALL = Tables.share(0.3);

    private static final long FEW = 16 * 1024;

    /**
     * A message that was begun is whole within so many of these. Each begins when the one before
     * was seen to be over: after a pause, the rest of it has still to be read here, so a pause
     * counts once.
     */
    private static final Span SILENCE = Span.ofSeconds(0.25);

    private static final int MOST_SILENCES = 6;

    /**
     * A ticket may cross the wish to close for so long; one that crosses a close for less is sent
     * again.
     */
    private static final Span CROSSING = Span.ofSeconds(0.05);

    private final Decider decider;
    private final Deadlines deadlines;
    private final Log log;
    private final Map<ConnectionId, Caller> callers = new HashMap<>();
    private final Set<Caller> toFlush = new LinkedHashSet<>();
    private Host host;

    Front(Decider decider, Deadlines deadlines, Log log) {
        this.decider = decider;
        this.deadlines = deadlines;
        this.log = log;
        decider.addWriter(this::flush);
    }

    final void serve(Host served) {
        host = served;
    }

    final Host host() {
        return host;
    }

    final Log log() {
        return log;
    }

    abstract Peer newPeer();

    // ---- out ----

    /** The connection's place here, or null where it is another front's or gone. */
    final Caller caller(ConnectionId connection) {
        return callers.get(connection);
    }

    final void flushSoon(Caller caller) {
        toFlush.add(caller);
    }

    @Override
    public final void readNoMore(ConnectionId connection) {
        Caller caller = callers.get(connection);
        if (caller != null) {
            caller.over = true;
            caller.outbox.readNoMore();
        }
    }

    @Override
    public final void close(ConnectionId connection, Ending why) {
        Caller caller = callers.get(connection);
        if (caller != null) {
            // Of what can't be read the log has told, with the cause.
            if (why != Ending.CLOSED_BY_PEER && why != Ending.MALFORMED) {
                log.line("closing a dispatcher's connection: " + why);
            }
            switch (why) {
                case SLOW_READER, LEFT_UNUSED -> caller.outbox.closeNow();
                case MADE_ROOM -> caller.closeSoon();
                default -> {
                    caller.ends = true;
                    flushSoon(caller);
                }
            }
        }
    }

    private void flush() {
        long waitingForAll = -1;
        for (Caller caller : toFlush) {
            caller.outbox.flush();
            long waiting = caller.outbox.waiting();
            // Guards against a round whose work grows with the square of those that don't read.
            waitingForAll = waiting > FEW && waitingForAll < 0 ? waitingForAll() : waitingForAll;
            // Guards against callers that don't read: their answers must not fill the memory.
            if (waiting > MOST_WAITING || (waiting > FEW && waitingForAll > MOST_WAITING_ALL)) {
                waitingForAll -= waiting;
                close(caller.id, Ending.SLOW_READER);
            } else if (caller.ends && !caller.ended) {
                caller.end();
            }
        }
        toFlush.clear();
    }

    private long waitingForAll() {
        return callers.values().stream().mapToLong(caller -> caller.outbox.waiting()).sum();
    }

    // ---- in ----

    /**
     * One connection. What is read of it is made whole by the socket thread and told to the
     * deciding one.
     */
    abstract class Caller implements Peer {
        private Outbox outbox;
        private ConnectionId id;

        /** Nothing more is read from it; set by the deciding thread. */
        private volatile boolean over;

        /** How many messages came, and whether one is begun, as told by the socket thread. */
        private volatile long messages;

        /** The same for the socket thread, which alone writes it. */
        private long messagesRead;

        private volatile boolean midway;
        private boolean watched;

        /**
         * Its output ends with this round, so that all read with what ended it still gets its
         * answer.
         */
        private boolean ends;

        /** Nothing more is written to it; and that has gone out. */
        private boolean ended;

        private boolean outputOver;
        private boolean inputOver;

        /** The next whole message, or null where more bytes are needed. */
        abstract T next(ByteBuffer bytes) throws Malformed;

        abstract boolean isMidway();

        /** What a message tells. */
        abstract Runnable read(T message) throws Malformed;

        final ConnectionId id() {
            return id;
        }

        final Outbox outbox() {
            return outbox;
        }

        final boolean isEnded() {
            return ended;
        }

        /**
         * Guards against answers that a reset takes with it: the end goes out behind the last of
         * them, then what still comes is read and passed over until the other side ends too. The
         * host bounds the time for it.
         */
        private void end() {
            ended = true;
            over = true;
            outbox.onceWritten(
                    () ->
                            decider.tell(
                                    () -> {
                                        outputOver = true;
                                        if (inputOver) {
                                            outbox.closeNow();
                                        } else {
                                            outbox.endOutput();
                                            host.written(id);
                                        }
                                    }));
        }

        /**
         * It was asked to close, and the host turns away what crosses that; if nothing does it
         * goes.
         */
        private void closeSoon() {
            long before = messages;
            deadlines.at(
                    host.now().plus(CROSSING),
                    () -> {
                        if (messages == before) {
                            outbox.closeNow();
                        } else {
                            ends = true;
                            flushSoon(this);
                            deadlines.at(host.now().plus(CROSSING), outbox::closeNow);
                        }
                    });
        }

        @Override
        public void opened(IoSession session) {
            decider.tell(
                    () -> {
                        outbox = new Outbox(session);
                        id = host.connected();
                        if (id == null) {
                            log.line("no room for one more dispatcher's connection");
                            outbox.closeNow();
                        } else {
                            callers.put(id, this);
                            // It may have been told to send no more before it could be found.
                            host.greet(id);
                        }
                    });
        }

        @Override
        public void received(ByteBuffer bytes) throws Malformed {
            int length = bytes.remaining();
            if (over) {
                return;
            }
            List<Runnable> news = new ArrayList<>();
            try {
                for (T message = next(bytes); message != null; message = next(bytes)) {
                    Runnable read = read(message);
                    messagesRead++;
                    messages = messagesRead;
                    news.add(
                            () -> {
                                if (id != null) {
                                    read.run();
                                }
                            });
                }
                boolean was = midway;
                midway = isMidway();
                if (midway && !was) {
                    news.add(this::watch);
                }
            } finally {
                decider.tell(news, length);
            }
        }

        /** Guards against a message that never ends, however little or much comes of it. */
        private void watch() {
            if (!watched && id != null && midway) {
                watched = true;
                awaitEnd(messages, MOST_SILENCES);
            }
        }

        private void awaitEnd(long before, int left) {
            deadlines.at(
                    host.now().plus(SILENCE),
                    () -> {
                        if (!midway || messages != before || id == null) {
                            watched = false;
                            watch();
                        } else if (left > 1) {
                            awaitEnd(before, left - 1);
                        } else {
                            watched = false;
                            host.leftOff(id);
                            if (!over) {
                                watch(); // it may be slow
                            }
                        }
                    });
        }

        @Override
        public void inputClosed(IoSession session) {
            session.suspendRead();
            decider.tell(
                    () -> {
                        inputOver = true;
                        if (outputOver) {
                            outbox.closeNow();
                        } else if (id != null) {
                            host.halfClosed(id);
                        }
                    });
        }

        @Override
        public void malformed(IoSession session) {
            decider.tell(
                    () -> {
                        if (id != null) {
                            host.malformed(id);
                        }
                    });
        }

        @Override
        public void closed(boolean malformed) {
            decider.tell(
                    () -> {
                        if (id != null) {
                            callers.remove(id);
                            host.disconnected(id);
                        }
                    });
        }
    }
}
