package lupinwood.net;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.TimerSet;
import lupinwood.processing.AttemptId;
import lupinwood.processing.Completion;
import lupinwood.processing.Dependency;
import lupinwood.processing.RequestProcessor;

/**
 * Calls to the shared index: a small pool of connections with one call at a time on each, so that
 * whatever comes in place of a reply costs that call alone. The one used last is used first; the
 * others soon go.
 */
final class DependencyClient implements Dependency {
    /**
     * An idle connection is used again within this. The other side may forget idle ones without a
     * word, and a reset then looks like that of a call that ran; one that carried a reply just now
     * is no such risk.
     */
    private static final NanoDuration JUST_USED = NanoDuration.ofSeconds(0.5);

    /**
     * A connection carries as many calls: their ids are remembered, so that none comes twice on it.
     */
    private static final int MOST_CALLS = 64;

    @SuppressWarnings("ArrayRecordComponent") // never compared
    private record Call(AttemptId id, NanoDuration cap, byte[] body) {}

    private final LinkContext context;

    /** Connections at once; calls past that wait for one, within their caps. */
    private final int most;

    /** Null where there is nothing below to call. */
    private InetSocketAddress address;

    private final Map<AttemptId, DependencyConnection> lines = new HashMap<>();

    /**
     * All that may hold a descriptor: those that connect, stand, or were closed and have not ended
     * yet.
     */
    private int open;

    /** Those without a call, the one used last first. */
    private final Deque<DependencyConnection> idle = new ArrayDeque<>();

    private final Deque<Call> waiting = new ArrayDeque<>();
    private final Set<DependencyConnection> toFlush = new HashSet<>();
    private RequestProcessor processor;

    DependencyClient(InetSocketAddress address, int most, LinkContext context) {
        this.most = most;
        this.address = address;
        this.context = context;
        context.eventLoop().addWriter(this::flush);
    }

    void serve(RequestProcessor served) {
        processor = served;
    }

    /** New calls go there; those under way may still come back where they are. */
    void moveTo(InetSocketAddress next) {
        if (!Objects.equals(next, address)) {
            address = next;
            List.copyOf(idle).forEach(DependencyConnection::close);
        }
    }

    @Override
    public void call(AttemptId id, NanoDuration cap, byte[] body) {
        if (address == null) {
            context.eventLoop()
                    .tell(() -> processor.callEnded(id, Completion.NEVER_CONNECTED, null));
            return;
        }
        // A reply names only the try: a late copy of an earlier one must not pass for this call's.
        DependencyConnection line =
                idle.stream().filter(free -> !free.carried.contains(id)).findFirst().orElse(null);
        if (line == null && open >= most) {
            waiting.add(new Call(id, cap, body));
            if (!idle.isEmpty()) {
                idle.getLast()
                        .close(); // none of the idle ones can carry it; it gets the place of one
            }
            return;
        }
        if (line == null) {
            line = new DependencyConnection();
            open++;
            line.connect(context.sockets(), address);
        }
        lines.put(id, line);
        line.begin(new Call(id, cap, body));
    }

    @Override
    public void cancelCall(AttemptId id) {
        DependencyConnection line = lines.remove(id);
        if (line == null) {
            waiting.removeIf(call -> call.id().equals(id));
        } else {
            // Closing gives the call up, and a connection that left a call without a reply is of no
            // more use.
            line.call = null;
            line.close();
        }
    }

    /** A connection is free for a call that waits. */
    private void next() {
        if (!waiting.isEmpty() && (open < most || !idle.isEmpty())) {
            Call call = waiting.poll();
            call(call.id(), call.cap(), call.body());
        }
    }

    private void flush() {
        toFlush.forEach(line -> line.outbox().flush());
        toFlush.clear();
    }

    private final class DependencyConnection extends OutboundConnection<LineParser.Message> {
        private final InetSocketAddress to = address;
        private final Set<AttemptId> carried = new HashSet<>();

        /** The call that is out, or null. */
        private Call call;

        private TimerSet.Timer tooOld;
        private MonotonicTime idleSince;

        /** How long it was idle before the call that is out; null if it is its first. */
        private NanoDuration idleFor;

        /** It takes no new call. */
        private boolean closing;

        private boolean over;

        DependencyConnection() {
            super(
                    context.eventLoop(),
                    new LineParser(words -> words.length == 3 && words[1].equals("HIT")));
        }

        void begin(Call begun) {
            idle.remove(this);
            context.deadlines().cancel(tooOld);
            idleFor = idleSince == null ? null : processor.now().since(idleSince);
            call = begun;
            carried.add(call.id());
            if (outbox() != null) {
                write();
            }
        }

        private void write() {
            long millis = Math.max(1, call.cap().nanos() / 1_000_000);
            outbox().add(
                            "GET "
                                    + call.id().digits()
                                    + " "
                                    + millis
                                    + " "
                                    + call.body().length
                                    + "\r\n")
                    .add(call.body())
                    .add("\r\n");
            toFlush.add(this);
        }

        private void close() {
            closing = true;
            idle.remove(this);
            context.deadlines().cancel(tooOld);
            toFlush.remove(this);
            hangUp();
        }

        @Override
        void stands() {
            if (closing) {
                outbox().closeNow();
            } else if (call != null) {
                write();
            }
        }

        @Override
        Runnable read(LineParser.Message message) throws ProtocolException {
            String[] words = message.words();
            if (words.length < 2 || !AttemptId.isValid(words[0])) {
                throw new ProtocolException("no reply of the index");
            }
            AttemptId id = new AttemptId(words[0]);
            Completion ending = ending(words[1]);
            // Guards against a good reply cut short before its length: it must not pass for an
            // empty one.
            if (words.length != (ending == Completion.WELL ? 3 : 2)) {
                throw new ProtocolException("a reply of the index with " + words.length + " words");
            }
            return () -> reply(id, ending, message.body());
        }

        /** What is not for the call that is out is passed over: a second copy, or another's. */
        private void reply(AttemptId id, Completion ending, byte[] body) {
            if (closing || call == null || !call.id().equals(id)) {
                return;
            }
            release();
            if (carried.size() >= MOST_CALLS || !to.equals(address)) {
                close();
            } else {
                idle.addFirst(this);
                idleSince = processor.now();
                tooOld = context.deadlines().schedule(processor.now().plus(JUST_USED), this::close);
            }
            processor.callEnded(id, ending, body);
            DependencyClient.this.next();
        }

        private void release() {
            lines.remove(call.id(), this);
            call = null;
        }

        @Override
        void ended(Completion ending) {
            if (over) {
                return; // called off in the moment in which it came about
            }
            over = true;
            AttemptId id = call == null ? null : call.id();
            closing = true;
            idle.remove(this);
            context.deadlines().cancel(tooOld);
            toFlush.remove(this);
            open--;
            if (id != null) {
                release();
                context.log()
                        .line(
                                "a connection to the index ended with a call out: "
                                        + ending
                                        + (idleFor == null
                                                ? ", fresh"
                                                : ", idle before for ms: "
                                                        + idleFor.nanos() / 1_000_000));
                processor.callEnded(id, ending, null);
            }
            DependencyClient.this.next();
        }
    }

    private static Completion ending(String word) throws ProtocolException {
        return switch (word) {
            case "HIT" -> Completion.WELL;
            case "SHED" -> Completion.SHED;
            case "BROKEN" -> Completion.FAILED_DOWNSTREAM;
            case "SLOW" -> Completion.TIMED_OUT_DOWNSTREAM;
            case "NOBODY" -> Completion.NOBODY_WAITS;
            default -> throw new ProtocolException("no such end of a call");
        };
    }
}
