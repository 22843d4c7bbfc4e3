package lupinwood.net;

import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import lupinwood.core.Deadlines;
import lupinwood.core.Ending;
import lupinwood.core.Host;
import lupinwood.node.Span;

/** Tells the name service again and again that this node serves, so that it stays listed. */
final class NamingReporter {
    /** A third of the time after which a silent node is taken off the list. */
    private static final Span EVERY = Span.ofSeconds(1);

    /**
     * A report that isn't answered by then no longer keeps the node listed; its connection is given
     * up.
     */
    private static final Span PATIENCE = Span.ofSeconds(3);

    /**
     * As many as can be out within the patience: a service that answers none must not silence the
     * reports.
     */
    static final int MOST_AT_ONCE = 4;

    private static final int NO_CONTENT = 204;

    private InetSocketAddress address;
    private final String path;
    private final Means means;
    private final Deque<Line> free = new ArrayDeque<>();

    /** Those with a report under way, the oldest first. */
    private final Set<Line> under = new LinkedHashSet<>();

    private boolean failing;
    private boolean leaving;

    /** The service took the last report, and no other was under way beside it. */
    private boolean lastTaken;

    private Host host;

    NamingReporter(InetSocketAddress address, String name, Means means) {
        this.address = address;
        path = "/ns/hosts/" + URLEncoder.encode(name, StandardCharsets.UTF_8).replace("+", "%20");
        this.means = means;
    }

    void serve(Host served) {
        host = served;
        beat();
    }

    /** The next reports go there; those under way may still be answered. */
    void moveTo(InetSocketAddress next) {
        if (!next.equals(address)) {
            address = next;
            List<Line> before = List.copyOf(free);
            free.clear();
            before.forEach(line -> line.outbox().closeNow());
            report();
        }
    }

    /**
     * One last report, so that the list needn't wait for silence. Guards against an earlier one
     * that is still under way and overtakes it, and against a service that is away: the last is
     * said again once the others have ended, until the service has taken one with no other under
     * way.
     */
    void leave() {
        leaving = true;
        if (under.size() >= MOST_AT_ONCE) {
            under.iterator().next().giveUp();
        }
        report();
    }

    private void beat() {
        if (!leaving) {
            means.deadlines().at(host.now().plus(EVERY), this::beat);
            report();
        }
    }

    private void lastAgain() {
        if (leaving && !lastTaken && under.isEmpty()) {
            report();
        }
    }

    private void report() {
        if (under.size() >= MOST_AT_ONCE) {
            return;
        }
        boolean fresh = free.isEmpty();
        Line line = fresh ? new Line() : free.poll();
        under.add(line);
        line.deadline = means.deadlines().at(host.now().plus(PATIENCE), line::giveUp);
        if (fresh) {
            line.connect(means.sockets(), address);
        } else {
            line.say();
        }
    }

    private void heard(String trouble) {
        if (failing != (trouble != null)) {
            failing = trouble != null;
            means.log()
                    .line(
                            failing
                                    ? "the name service takes no reports: " + trouble
                                    : "the name service takes reports again");
        }
    }

    private final class Line extends Outbound<HttpReplyParser.Reply> {
        private final InetSocketAddress to = address;
        private Deadlines.Deadline deadline;
        private boolean asked = true;

        /** What it says last is that the node leaves, and no report was under way beside it. */
        private boolean isLast;

        private boolean over;

        Line() {
            super(means.decider(), new HttpReplyParser());
        }

        void say() {
            asked = true;
            isLast = leaving && under.size() == 1;
            String body = "{\"serving\":\"" + (leaving ? "no" : "yes") + "\"}";
            outbox().add(
                            "PUT "
                                    + path
                                    + " HTTP/1.1\r\nHost: naming\r\n"
                                    + "Content-Type: application/json\r\n"
                                    + "Content-Length: "
                                    + body.length()
                                    + "\r\n\r\n"
                                    + body)
                    .flush();
        }

        @Override
        void stands() {
            if (over) {
                outbox().closeNow();
            } else {
                say();
            }
        }

        @Override
        Runnable read(HttpReplyParser.Reply reply) {
            return () -> replied(reply);
        }

        private void replied(HttpReplyParser.Reply reply) {
            if (over || !asked || reply.status() < 200) {
                return;
            }
            boolean taken = reply.status() == NO_CONTENT;
            lastTaken |= taken && isLast;
            heard(taken ? null : "it answered " + reply.status());
            rest();
            if (reply.keepsOpen() && to.equals(address)) {
                free.add(this);
            } else {
                ended(Ending.CLOSED_HERE);
                outbox().closeNow();
            }
            if (!taken) {
                means.deadlines().at(host.now().plus(EVERY), NamingReporter.this::lastAgain);
            } else {
                lastAgain();
            }
        }

        private void rest() {
            if (asked) {
                asked = false;
                under.remove(this);
                means.deadlines().callOff(deadline);
            }
        }

        private void giveUp() {
            ended(Ending.GIVEN_UP);
            hangUp();
        }

        @Override
        void ended(Ending ending) {
            if (!over) {
                over = true;
                if (asked) {
                    heard(ending.toString());
                    means.deadlines().at(host.now().plus(EVERY), NamingReporter.this::lastAgain);
                }
                rest();
                free.remove(this);
            }
        }
    }
}
