package lupinwood.net;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.TimerSet;
import lupinwood.log.Log;
import lupinwood.processing.Completion;
import lupinwood.processing.ConnectionId;
import lupinwood.processing.RequestProcessor;
import lupinwood.processing.TimerService;
import lupinwood.processing.UpstreamConnections;
import org.apache.mina.core.session.IoSession;

/**
 * What all fronts have in common: connections that tell the request processor what comes on them,
 * answers that go out once a round, and the bounds on what may wait for who doesn't read. A
 * connection that isn't of this front is passed over.
 */
abstract class UpstreamListener<T> implements UpstreamConnections {
    /** What may wait for one caller to read: a whole set of the longest answers. */
    private static final long MOST_WAITING = 160 * 1024;

    /**
     * What may wait for all together; past it whoever has more than a few answers waiting is cut
     * off.
     */
    private static final long MOST_WAITING_ALL = TableSizes.share(0.3);

    private static final long FEW = 16 * 1024;

    /**
     * A message that was begun is whole within so many of these. Each begins when the one before
     * was seen to be over: after a pause, the rest of it has still to be read here, so a pause
     * counts once.
     */
    private static final NanoDuration SILENCE = NanoDuration.ofSeconds(0.25);

    private static final int MOST_SILENCES = 6;

    /**
     * A request may cross the wish to close for so long; one that crosses a close for less is sent
     * again.
     */
    private static final NanoDuration CROSSING = NanoDuration.ofSeconds(0.05);

    private final EventLoop eventLoop;
    private final TimerService deadlines;
    private final IncompleteMessageBudget incompleteMessages;
    private final Log log;
    private final Map<ConnectionId, UpstreamConnection> callers = new HashMap<>();
    private final Set<UpstreamConnection> toFlush = new LinkedHashSet<>();
    private RequestProcessor processor;

    UpstreamListener(
            EventLoop eventLoop,
            TimerService deadlines,
            IncompleteMessageBudget incompleteMessages,
            Log log) {
        this.eventLoop = eventLoop;
        this.deadlines = deadlines;
        this.incompleteMessages = incompleteMessages;
        this.log = log;
        eventLoop.addWriter(this::flush);
    }

    final void serve(RequestProcessor served) {
        processor = served;
    }

    final RequestProcessor processor() {
        return processor;
    }

    final Log log() {
        return log;
    }

    abstract Peer newPeer();

    // ---- out ----

    /** The connection's place here, or null where it is another front's or gone. */
    final UpstreamConnection caller(ConnectionId connection) {
        return callers.get(connection);
    }

    final void flushSoon(UpstreamConnection caller) {
        toFlush.add(caller);
    }

    @Override
    public final void stopReading(ConnectionId connection) {
        UpstreamConnection caller = callers.get(connection);
        if (caller != null) {
            caller.over = true;
            caller.outbox.readNoMore();
        }
    }

    @Override
    public final void close(ConnectionId connection, Completion why) {
        UpstreamConnection caller = callers.get(connection);
        if (caller != null) {
            // Of what can't be read the log has told, with the cause.
            if (why != Completion.CLOSED_BY_PEER && why != Completion.MALFORMED) {
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
        for (UpstreamConnection caller : toFlush) {
            caller.outbox.flush();
            long waiting = caller.outbox.waiting();
            // Guards against a round whose work grows with the square of those that don't read.
            waitingForAll = waiting > FEW && waitingForAll < 0 ? waitingForAll() : waitingForAll;
            // Guards against callers that don't read: their answers must not fill the memory.
            if (waiting > MOST_WAITING || (waiting > FEW && waitingForAll > MOST_WAITING_ALL)) {
                waitingForAll -= waiting;
                close(caller.id, Completion.SLOW_READER);
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
    abstract class UpstreamConnection implements Peer {
        private WriteBuffer outbox;
        private ConnectionId id;

        /** Null until the connection is opened. */
        private ReadFlowControl flowControl;

        /** Nothing more can come; of the socket thread and the event loop. */
        private volatile boolean inputEnded;

        /**
         * The connection is closed. What was read of it and waits for the event loop is passed
         * over: nobody can be told of it, and a client that comes again must not find it running.
         */
        private volatile boolean gone;

        /** Nothing more is read from it; set by the event loop thread. */
        private volatile boolean over;

        /** How many messages came, and whether one is begun, as told by the socket thread. */
        private volatile long messages;

        /** The same for the socket thread, which alone writes it. */
        private long messagesRead;

        private volatile boolean midway;

        /** What the budget counts for the incomplete message; of the socket thread. */
        private int chargedBytes;

        /** Fires while a message stays incomplete; null while none is watched. */
        private TimerSet.Timer incompleteTimer;

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
        abstract T next(ByteBuffer bytes) throws ProtocolException;

        abstract boolean isMidway();

        /** The memory that the message takes that is not complete yet, in bytes. */
        abstract int heldBytes();

        /** Lets go of the message that is not complete yet; nothing is read after it. */
        abstract void discardMessage();

        /** What a message tells. */
        abstract Runnable read(T message) throws ProtocolException;

        final ConnectionId id() {
            return id;
        }

        final WriteBuffer outbox() {
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
                            eventLoop.tell(
                                    () -> {
                                        outputOver = true;
                                        if (inputOver) {
                                            outbox.closeNow();
                                        } else {
                                            outbox.endOutput();
                                            processor.onFlushed(id);
                                        }
                                    }));
        }

        /**
         * It was asked to close, and the request processor turns away what crosses that; if nothing
         * does it goes.
         */
        private void closeSoon() {
            long before = messages;
            deadlines.schedule(
                    processor.now().plus(CROSSING),
                    () -> {
                        if (messages == before) {
                            outbox.closeNow();
                        } else {
                            ends = true;
                            flushSoon(this);
                            deadlines.schedule(processor.now().plus(CROSSING), outbox::closeNow);
                        }
                    });
        }

        @Override
        public void opened(IoSession session) {
            flowControl = new ReadFlowControl(session);
            eventLoop.tell(
                    () -> {
                        outbox = new WriteBuffer(session);
                        id = processor.addConnection();
                        if (id == null) {
                            log.line("no room for one more dispatcher's connection");
                            outbox.closeNow();
                        } else {
                            callers.put(id, this);
                            // It may have been told to send no more before it could be found.
                            processor.onWritable(id);
                        }
                    });
        }

        @Override
        public void received(ByteBuffer bytes) throws ProtocolException {
            int length = bytes.remaining();
            if (over) {
                releaseMessage();
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
                                if (id != null && !gone) {
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
                handOver(news, length);
            }
            if (!chargeMessage()) {
                throw new ProtocolException("the incomplete messages take too much memory");
            }
        }

        /** Hands over what one read brought. */
        private void handOver(List<Runnable> news, int length) {
            if (!news.isEmpty()) {
                flowControl.onRead(length);
                news.add(() -> flowControl.onProcessed(length, !over && !inputEnded));
                eventLoop.tell(news, length);
            }
        }

        /** Charges the memory of the incomplete message; false if the connection may not go on. */
        private boolean chargeMessage() {
            int chargedBefore = chargedBytes;
            chargedBytes = heldBytes();
            return incompleteMessages.change(chargedBefore, chargedBytes);
        }

        private void releaseMessage() {
            discardMessage();
            chargeMessage();
        }

        /** Guards against a message that never ends, however little or much comes of it. */
        private void watch() {
            if (incompleteTimer == null && id != null && midway) {
                awaitEnd(messages, MOST_SILENCES);
            }
        }

        private void awaitEnd(long before, int left) {
            incompleteTimer =
                    deadlines.schedule(
                            processor.now().plus(SILENCE), () -> onSilence(before, left));
        }

        private void onSilence(long before, int left) {
            incompleteTimer = null;
            if (!midway || messages != before) {
                watch();
            } else if (left > 1) {
                awaitEnd(before, left - 1);
            } else {
                processor.onMessageIncomplete(id);
                if (!over) {
                    watch(); // it may be slow
                }
            }
        }

        @Override
        public void inputClosed(IoSession session) {
            inputEnded = true;
            session.suspendRead();
            eventLoop.tell(
                    () -> {
                        inputOver = true;
                        if (outputOver) {
                            outbox.closeNow();
                        } else if (id != null) {
                            processor.halfClosed(id);
                        }
                    });
        }

        @Override
        public void malformed(IoSession session) {
            releaseMessage();
            eventLoop.tell(
                    () -> {
                        if (id != null) {
                            processor.malformed(id);
                        }
                    });
        }

        /**
         * The timer of an incomplete message is cancelled: nothing else ends it, and it would hold
         * the closed connection with what was read of the message.
         */
        @Override
        public void closed(boolean malformed) {
            gone = true;
            releaseMessage();
            eventLoop.tell(
                    () -> {
                        deadlines.cancel(incompleteTimer);
                        if (id != null) {
                            callers.remove(id);
                            processor.disconnected(id);
                        }
                    });
        }
    }
}
