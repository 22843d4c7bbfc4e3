package lupinwood.net;

import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.TimerSet;
import lupinwood.processing.Completion;
import lupinwood.processing.RequestProcessor;

/** Tells the service registry again and again that this node serves, so that it stays listed. */
final class RegistryClient {
    /** A third of the time after which a silent node is taken off the list. */
    private static final NanoDuration EVERY = NanoDuration.ofSeconds(1);

    /**
     * A report that isn't answered by then no longer keeps the node listed; its connection is given
     * up.
     */
    private static final NanoDuration RESPONSE_TIMEOUT = NanoDuration.ofSeconds(3);

    /**
     * As many as can be out within the client timeout: a service that answers none must not silence
     * the reports.
     */
    static final int MOST_AT_ONCE = 4;

    private static final int NO_CONTENT = 204;

    private InetSocketAddress address;
    private final String path;
    private final LinkContext context;
    private final Deque<RegistryConnection> free = new ArrayDeque<>();

    /** Those with a report under way, the oldest first. */
    private final Set<RegistryConnection> under = new LinkedHashSet<>();

    private boolean failing;
    private boolean leaving;

    /** The service took the last report, and no other was under way beside it. */
    private boolean lastTaken;

    private RequestProcessor processor;

    RegistryClient(InetSocketAddress address, String name, LinkContext context) {
        this.address = address;
        path = "/ns/hosts/" + URLEncoder.encode(name, StandardCharsets.UTF_8).replace("+", "%20");
        this.context = context;
    }

    void serve(RequestProcessor served) {
        processor = served;
        sendHeartbeat();
    }

    /** The next reports go there; those under way may still be answered. */
    void moveTo(InetSocketAddress next) {
        if (!next.equals(address)) {
            address = next;
            List<RegistryConnection> before = List.copyOf(free);
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

    private void sendHeartbeat() {
        if (!leaving) {
            context.deadlines().schedule(processor.now().plus(EVERY), this::sendHeartbeat);
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
        RegistryConnection line = fresh ? new RegistryConnection() : free.poll();
        under.add(line);
        line.deadline =
                context.deadlines().schedule(processor.now().plus(RESPONSE_TIMEOUT), line::giveUp);
        if (fresh) {
            line.connect(context.sockets(), address);
        } else {
            line.say();
        }
    }

    private void heard(String trouble) {
        if (failing != (trouble != null)) {
            failing = trouble != null;
            context.log()
                    .line(
                            failing
                                    ? "the name service takes no reports: " + trouble
                                    : "the name service takes reports again");
        }
    }

    private final class RegistryConnection
            extends OutboundConnection<HttpResponseParser.HttpResponse> {
        private final InetSocketAddress to = address;
        private TimerSet.Timer deadline;
        private boolean requested = true;

        /** What it says last is that the node leaves, and no report was under way beside it. */
        private boolean isLast;

        private boolean over;

        RegistryConnection() {
            super(context.eventLoop(), new HttpResponseParser());
        }

        void say() {
            requested = true;
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
        Runnable read(HttpResponseParser.HttpResponse reply) {
            return () -> replied(reply);
        }

        private void replied(HttpResponseParser.HttpResponse reply) {
            if (over || !requested || reply.status() < 200) {
                return;
            }
            boolean taken = reply.status() == NO_CONTENT;
            lastTaken |= taken && isLast;
            heard(taken ? null : "it answered " + reply.status());
            rest();
            if (reply.keepsOpen() && to.equals(address)) {
                free.add(this);
            } else {
                ended(Completion.CLOSED_HERE);
                outbox().closeNow();
            }
            if (!taken) {
                context.deadlines()
                        .schedule(processor.now().plus(EVERY), RegistryClient.this::lastAgain);
            } else {
                lastAgain();
            }
        }

        private void rest() {
            if (requested) {
                requested = false;
                under.remove(this);
                context.deadlines().cancel(deadline);
            }
        }

        private void giveUp() {
            ended(Completion.GIVEN_UP);
            hangUp();
        }

        @Override
        void ended(Completion ending) {
            if (!over) {
                over = true;
                if (requested) {
                    heard(ending.toString());
                    context.deadlines()
                            .schedule(processor.now().plus(EVERY), RegistryClient.this::lastAgain);
                }
                rest();
                free.remove(this);
            }
        }
    }
}
