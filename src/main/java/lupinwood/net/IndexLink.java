package lupinwood.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.ArrayList;
import lupinwood.core.Deadlines;
import lupinwood.core.Ending;
import lupinwood.core.Host;
import lupinwood.core.Index;
import lupinwood.core.TryId;
import lupinwood.log.Log;
import lupinwood.node.Span;
import org.apache.mina.core.session.IoSession;

/** Calls to the shared index, many on one connection, which is opened when there is one to make. */
final class IndexLink implements Index {
    /** Half the time after which the index closes idle connections: a call must never meet that. */
    private static final Span IDLE = Span.ofSeconds(5);
    private static final int MOST_GIVEN_UP = 256;
    private static final long MOST_WAITING = 4 * 1024 * 1024;

    private final InetSocketAddress address;
    private final Sockets sockets;
    private final Decider decider;
    private final Deadlines deadlines;
    private final Log log;
    private final Map<TryId, Line> lines = new HashMap<>();
    private final Set<Line> toFlush = new LinkedHashSet<>();
    private Host host;
    /** The line that takes new calls, or null. */
    private Line current;

    IndexLink(InetSocketAddress address, Sockets sockets, Decider decider, Deadlines deadlines, Log log) {
        this.address = address;
        this.sockets = sockets;
        this.decider = decider;
        this.deadlines = deadlines;
        this.log = log;
        decider.addWriter(this::flush);
    }

    void serve(Host served) {
        host = served;
    }

    @Override
    public void call(TryId id, Span cap, byte[] body) {
        // A reply names only the try: a late one to a call given up must not pass for this call's.
        if (current == null || current.givenUp.contains(id) || current.givenUp.size() > MOST_GIVEN_UP) {
            Line before = current;
            current = new Line();
            current.connect();
            if (before != null) {
                before.closeIfDone();
            }
        }
        lines.put(id, current);
        long millis = Math.max(1, cap.nanos() / 1_000_000);
        current.send(id, "GET " + id.digits() + " " + millis + " " + body.length + "\r\n", body);
    }

    @Override
    public void giveUp(TryId id) {
        Line line = lines.remove(id);
        if (line != null) {
            line.giveUp(id);
        }
    }

    private void flush() {
        for (Line line : toFlush) {
            if (line.outbox != null) {
                line.outbox.flush();
                if (line.outbox.waiting() > MOST_WAITING) {
                    log.line("the index doesn't read: " + Ending.SLOW_READER);
                    line.outbox.closeNow();
                }
            }
        }
        toFlush.clear();
    }

    private final class Line implements Peer {
        private final LineParser parser =
                new LineParser(words -> words.length == 3 && words[1].equals("HIT"));
        private final Set<TryId> out = new HashSet<>();
        private final Set<TryId> givenUp = new HashSet<>();
        private final Map<TryId, Runnable> unsent = new HashMap<>();
        private Outbox outbox;
        private Deadlines.Deadline idle;
        private boolean over;

        void connect() {
            sockets.connect(address, this, ending -> decider.tell(() -> end(ending)));
        }

        void send(TryId id, String line, byte[] body) {
            out.add(id);
            if (outbox == null) {
                unsent.put(id, () -> write(line, body));
            } else {
                write(line, body);
            }
        }

        private void write(String line, byte[] body) {
            outbox.add(line).add(body).add("\r\n");
            stirred();
        }

        void giveUp(TryId id) {
            out.remove(id);
            if (unsent.remove(id) == null && outbox != null) {
                givenUp.add(id);
                outbox.add("STOP " + id.digits() + "\r\n");
                stirred();
                closeIfDone();
            }
        }

        private void stirred() {
            toFlush.add(this);
            deadlines.callOff(idle);
            idle = deadlines.at(host.now().plus(IDLE), this::closeIdle);
        }

        private void closeIdle() {
            if (out.isEmpty()) {
                retire();
                outbox.closeOnFlush();
            }
        }

        /** A line that takes no new calls goes with its last one. */
        void closeIfDone() {
            if (current != this && out.isEmpty() && outbox != null) {
                outbox.closeOnFlush();
            }
        }

        private void retire() {
            if (current == this) {
                current = null;
            }
        }

        @Override
        public void opened(IoSession session) {
            decider.tell(() -> {
                outbox = new Outbox(session);
                unsent.values().forEach(Runnable::run);
                unsent.clear();
                stirred();
                closeIfDone();
            });
        }

        @Override
        public void received(ByteBuffer bytes) throws Malformed {
            for (LineParser.Message message; (message = parser.next(bytes)) != null; ) {
                String[] words = message.words();
                if (words.length < 2 || !TryId.isValid(words[0])) {
                    throw new Malformed("no reply of the index");
                }
                TryId id = new TryId(words[0]);
                Ending ending = ending(words[1]);
                byte[] body = message.body();
                decider.tell(() -> reply(id, ending, body));
            }
        }

        private void reply(TryId id, Ending ending, byte[] body) {
            if (out.remove(id)) {
                lines.remove(id, this);
                stirred();
                host.callEnded(id, ending, body);
                closeIfDone();
            } else {
                givenUp.remove(id);
            }
        }

        @Override
        public void inputClosed(IoSession session) {
            session.closeNow();
        }

        @Override
        public void closed(boolean malformed) {
            decider.tell(() -> end(malformed ? Ending.MALFORMED : Ending.CLOSED_BY_PEER));
        }

        private void end(Ending ending) {
            if (over) {
                return;
            }
            over = true;
            retire();
            deadlines.callOff(idle);
            if (!out.isEmpty()) {
                log.line("the connection to the index ended with " + out.size() + " calls out: " + ending);
            }
            for (TryId id : new ArrayList<>(out)) {
                if (lines.remove(id, this)) {
                    host.callEnded(id, ending, null);
                }
            }
            out.clear();
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
