package lupinwood.net;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import lupinwood.core.Deadlines;
import lupinwood.core.Ending;
import lupinwood.core.Host;
import lupinwood.core.Index;
import lupinwood.core.TryId;
import lupinwood.node.Span;

/** Calls to the shared index, many on one connection, which is opened when there is one to make. */
final class IndexLink implements Index {
    /** Half the time after which the index closes idle connections: a call must never meet that. */
    private static final Span IDLE = Span.ofSeconds(5);
    private static final int MOST_GIVEN_UP = 256;
    private static final long MOST_WAITING = 4 * 1024 * 1024;

    private final InetSocketAddress address;
    private final Means means;
    private final Map<TryId, Line> lines = new HashMap<>();
    private final Set<Line> toFlush = new LinkedHashSet<>();
    private Host host;
    /** The line that takes new calls, or null. */
    private Line current;

    IndexLink(InetSocketAddress address, Means means) {
        this.address = address;
        this.means = means;
        means.decider().addWriter(this::flush);
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
            current.connect(means.sockets(), address);
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
            if (line.outbox() != null) {
                line.outbox().flush();
                if (line.outbox().waiting() > MOST_WAITING) {
                    means.log().line("the index doesn't read: " + Ending.SLOW_READER);
                    line.outbox().closeNow();
                }
            }
        }
        toFlush.clear();
    }

    private final class Line extends Outbound<LineParser.Message> {
        private final Set<TryId> out = new HashSet<>();
        private final Set<TryId> givenUp = new HashSet<>();
        private final Map<TryId, Runnable> unsent = new HashMap<>();
        private Deadlines.Deadline idle;

        Line() {
            super(means.decider(), new LineParser(words -> words.length == 3 && words[1].equals("HIT")));
        }

        void send(TryId id, String line, byte[] body) {
            out.add(id);
            if (outbox() == null) {
                unsent.put(id, () -> write(line, body));
            } else {
                write(line, body);
            }
        }

        private void write(String line, byte[] body) {
            outbox().add(line).add(body).add("\r\n");
            stirred();
        }

        void giveUp(TryId id) {
            out.remove(id);
            if (unsent.remove(id) == null && outbox() != null) {
                givenUp.add(id);
                outbox().add("STOP " + id.digits() + "\r\n");
                stirred();
                closeIfDone();
            }
        }

        private void stirred() {
            toFlush.add(this);
            means.deadlines().callOff(idle);
            idle = means.deadlines().at(host.now().plus(IDLE), this::closeIdle);
        }

        private void closeIdle() {
            if (out.isEmpty()) {
                retire();
                outbox().closeOnFlush();
            }
        }

        /** A line that takes no new calls goes with its last one. */
        void closeIfDone() {
            if (current != this && out.isEmpty() && outbox() != null) {
                outbox().closeOnFlush();
            }
        }

        private void retire() {
            if (current == this) {
                current = null;
            }
        }

        @Override
        void stands() {
            unsent.values().forEach(Runnable::run);
            unsent.clear();
            stirred();
            closeIfDone();
        }

        @Override
        Runnable read(LineParser.Message message) throws Malformed {
            String[] words = message.words();
            if (words.length < 2 || !TryId.isValid(words[0])) {
                throw new Malformed("no reply of the index");
            }
            TryId id = new TryId(words[0]);
            Ending ending = ending(words[1]);
            return () -> reply(id, ending, message.body());
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
        void ended(Ending ending) {
            retire();
            means.deadlines().callOff(idle);
            if (!out.isEmpty()) {
                means.log().line(
                        "the connection to the index ended with " + out.size() + " calls out: " + ending);
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
