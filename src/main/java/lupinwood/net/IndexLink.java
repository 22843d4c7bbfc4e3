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
import lupinwood.core.Deadlines;
import lupinwood.core.Ending;
import lupinwood.core.Host;
import lupinwood.core.Index;
import lupinwood.core.TryId;
import lupinwood.node.Moment;
import lupinwood.node.Span;

/**
 * Calls to the shared index: a small pool of connections with one call at a time on each, so that
 * whatever comes in place of a reply costs that call alone. The one used last is used first; the
 * others soon go.
 */
final class IndexLink implements Index {
    /**
     * An idle connection is used again within this. The other side may forget idle ones without a
     * word, and a reset then looks like that of a call that ran; one that carried a reply just now
     * is no such risk.
     */
    private static final Span JUST_USED = Span.ofSeconds(0.5);

    /**
     * A connection carries as many calls: their ids are remembered, so that none comes twice on it.
     */
    private static final int MOST_CALLS = 64;

    @SuppressWarnings("ArrayRecordComponent") // never compared
    private record Call(TryId id, Span cap, byte[] body) {}

    private final Means means;

    /** Connections at once; calls past that wait for one, within their caps. */
    private final int most;

    /** Null where there is nothing below to call. */
    private InetSocketAddress address;

    private final Map<TryId, Line> lines = new HashMap<>();

    /**
     * All that may hold a descriptor: those that connect, stand, or were closed and have not ended
     * yet.
     */
    private int open;

    /** Those without a call, the one used last first. */
    private final Deque<Line> idle = new ArrayDeque<>();

    private final Deque<Call> waiting = new ArrayDeque<>();
    private final Set<Line> toFlush = new HashSet<>();
    private Host host;

    IndexLink(InetSocketAddress address, int most, Means means) {
        this.most = most;
        this.address = address;
        this.means = means;
        means.decider().addWriter(this::flush);
    }

    void serve(Host served) {
        host = served;
    }

    /** New calls go there; those under way may still come back where they are. */
    void moveTo(InetSocketAddress next) {
        if (!Objects.equals(next, address)) {
            address = next;
            List.copyOf(idle).forEach(Line::close);
        }
    }

    @Override
    public void call(TryId id, Span cap, byte[] body) {
        if (address == null) {
            means.decider().tell(() -> host.callEnded(id, Ending.NEVER_CONNECTED, null));
            return;
        }
        // A reply names only the try: a late copy of an earlier one must not pass for this call's.
        Line line =
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
            line = new Line();
            open++;
            line.connect(means.sockets(), address);
        }
        lines.put(id, line);
        line.begin(new Call(id, cap, body));
    }

    @Override
    public void giveUp(TryId id) {
        Line line = lines.remove(id);
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

    private final class Line extends Outbound<LineParser.Message> {
        private final InetSocketAddress to = address;
        private final Set<TryId> carried = new HashSet<>();

        /** The call that is out, or null. */
        private Call call;

        private Deadlines.Deadline tooOld;
        private Moment idleSince;

        /** How long it was idle before the call that is out; null if it is its first. */
        private Span idleFor;

        /** It takes no new call. */
        private boolean closing;

        private boolean over;

        Line() {
            super(
                    means.decider(),
                    new LineParser(words -> words.length == 3 && words[1].equals("HIT")));
        }

        void begin(Call begun) {
            idle.remove(this);
            means.deadlines().callOff(tooOld);
            idleFor = idleSince == null ? null : host.now().since(idleSince);
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
            means.deadlines().callOff(tooOld);
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
        Runnable read(LineParser.Message message) throws Malformed {
            String[] words = message.words();
            if (words.length < 2 || !TryId.isValid(words[0])) {
                throw new Malformed("no reply of the index");
            }
            TryId id = new TryId(words[0]);
            Ending ending = ending(words[1]);
            // Guards against a good reply cut short before its length: it must not pass for an
            // empty one.
            if (words.length != (ending == Ending.WELL ? 3 : 2)) {
                throw new Malformed("a reply of the index with " + words.length + " words");
            }
            return () -> reply(id, ending, message.body());
        }

        /** What is not for the call that is out is passed over: a second copy, or another's. */
        private void reply(TryId id, Ending ending, byte[] body) {
            if (closing || call == null || !call.id().equals(id)) {
                return;
            }
            release();
            if (carried.size() >= MOST_CALLS || !to.equals(address)) {
                close();
            } else {
                idle.addFirst(this);
                idleSince = host.now();
                tooOld = means.deadlines().at(host.now().plus(JUST_USED), this::close);
            }
            host.callEnded(id, ending, body);
            IndexLink.this.next();
        }

        private void release() {
            lines.remove(call.id(), this);
            call = null;
        }

        @Override
        void ended(Ending ending) {
            if (over) {
                return; // called off in the moment in which it came about
            }
            over = true;
            TryId id = call == null ? null : call.id();
            closing = true;
            idle.remove(this);
            means.deadlines().callOff(tooOld);
            toFlush.remove(this);
            open--;
            if (id != null) {
                release();
                means.log()
                        .line(
                                "a connection to the index ended with a call out: "
                                        + ending
                                        + (idleFor == null
                                                ? ", fresh"
                                                : ", idle before for ms: "
                                                        + idleFor.nanos() / 1_000_000));
                host.callEnded(id, ending, null);
            }
            IndexLink.this.next();
        }
    }

    private static Ending ending(String word) throws Malformed {
        return switch (word) {
            case "HIT" -> Ending.WELL;
            case "SHED" -> Ending.SHED;
            case "BROKEN" -> Ending.FAILED_BELOW;
            case "SLOW" -> Ending.SLOW_BELOW;
            case "NOBODY" -> Ending.NOBODY_WAITS;
            default -> throw new Malformed("no such end of a call");
        };
    }
}
