package lupinwood;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import lupinwood.node.Gauges;
import lupinwood.node.Handle;
import lupinwood.node.Node;
import lupinwood.node.Outcome;
import lupinwood.node.Server;
import lupinwood.node.Span;
import lupinwood.node.Ticket;

/**
 * A node that decides nothing: what a ticket asks for in memory, in whole KB, says what is done
 * with it. So all that leaves at the edges is known beforehand.
 */
public final class ScriptedNode implements Node {
    /** Bounced, with nothing more said. */
    public static final int BOUNCE = 1;

    /** Bounced for a little over 250 ms. */
    public static final int BOUNCE_FOR_A_TIME = 2;

    /** Bounced for 1500 ms, and no other node is to be asked. */
    public static final int BOUNCE_FOR_GOOD = 3;

    public static final int FAIL = 5;

    /** Advises one of {@link #ADVICES}, the first by this number, and is run. */
    public static final int ADVISE = 40;

    /** Run, and stopped at once. */
    public static final int STOP = 15;

    /** Its call is left out. */
    public static final int SKIP_CALL = 16;

    /** Neither run nor answered. */
    public static final int HOLD = 17;

    /** A call that did not go well is left out. */
    public static final int SKIP_FAILED_CALL = 18;

    /** Run, with a wake-up asked for now. */
    public static final int WAKE = 19;

    /** Bounced, and health checks hear that all is well, by real work from now on. */
    public static final int HEALTH_BY_WORK = 30;

    /** Bounced, and health checks hear that nothing is well. */
    public static final int HEALTH_BAD = 31;

    /** Bounced, and health checks hear that all is well. */
    public static final int HEALTH_GOOD = 32;

    /** Bounced, and connections that were idle for a second are to be closed. */
    public static final int CLOSE_IDLE = 33;

    /** Bounced, with a word in the log. */
    public static final int LOG = 34;

    /** Run, remembered, and forgotten at once. */
    public static final int FORGET = 35;

    /** Something unforeseen. */
    public static final int THROW = 36;

    /** What is advised, from {@link #ADVISE} on. */
    public static final List<Double> ADVICES =
            List.of(
                    0.75,
                    0.123456,
                    0.0,
                    -1.0,
                    12_345_678.000_04,
                    0.000_01,
                    0.99999,
                    1.0,
                    1e20,
                    Double.MAX_VALUE);

    private static final Span CALL_CAP = Span.ofSeconds(1.5);
    private static final Span WINDOW = Span.ofSeconds(9);
    private static final Span LITTLE = new Span(250_000_001);
    private static final Span LONG = Span.ofSeconds(1.5);

    private final Server server;
    private final Consumer<String> heard;
    private final Map<Ticket, Doing> open = new HashMap<>();
    private boolean leaving;

    /**
     * One that tells what it hears.
     *
     * @param heard takes one line for each piece of news
     */
    public ScriptedNode(Server server, Consumer<String> heard) {
        this.server = server;
        this.heard = heard;
        server.health(true, true);
        server.advise(ADVICES.get(0));
    }

    private void hear(String line) {
        heard.accept(line);
    }

    /** A word of the test's own, so that the constants may have any name. */
    private static String said(Outcome outcome) {
        return switch (outcome) {
            case OK -> "ok";
            case ERROR -> "error";
            case REFUSED -> "refused";
            case TIMED_OUT -> "timed-out";
            case UNREACHABLE -> "unreachable";
            case BROKEN -> "broken";
            case CANCELLED -> "cancelled";
            case MOOT -> "moot";
        };
    }

    @Override
    public Handle take(Ticket ticket) {
        hear(
                String.format(
                        Locale.ROOT,
                        "ticket track %d customer %d subject %x caller %d patience %d work %d memory"
                                + " %s rank %s repeat %b waited %d, %s",
                        ticket.track().number(),
                        ticket.customer().number(),
                        ticket.subject().number(),
                        ticket.caller().number(),
                        ticket.patience().nanos(),
                        ticket.work().nanos(),
                        ticket.memoryKb(),
                        ticket.rank(),
                        ticket.repeat(),
                        ticket.waited().nanos(),
                        ticket.original() == null ? "first" : "again"));
        Doing doing = new Doing(ticket);
        open.put(ticket, doing);
        if (ticket.original() != null) {
            server.reuse(ticket.id());
        } else if (leaving) {
            bounce(doing, false, LONG);
        } else {
            begin(doing);
        }
        return doing;
    }

    private void begin(Doing doing) {
        switch (doing.script) {
            case BOUNCE -> bounce(doing, false, Span.ZERO);
            case BOUNCE_FOR_A_TIME -> bounce(doing, false, LITTLE);
            case BOUNCE_FOR_GOOD -> bounce(doing, true, LONG);
            case FAIL -> {
                server.fail(doing.ticket.id());
                doing.over();
            }
            case HOLD -> {}
            case HEALTH_BY_WORK -> healthThenBounce(doing, true, false);
            case HEALTH_BAD -> healthThenBounce(doing, false, true);
            case HEALTH_GOOD -> healthThenBounce(doing, true, true);
            case CLOSE_IDLE -> {
                server.closeIdle(Span.ofSeconds(1));
                bounce(doing, false, Span.ZERO);
            }
            case LOG -> {
                server.log("said by the node: ä€");
                bounce(doing, false, Span.ZERO);
            }
            case THROW -> throw new IllegalStateException("unforeseen");
            default -> {
                int advice = doing.script - ADVISE;
                if (advice >= 0 && advice < ADVICES.size()) {
                    server.advise(ADVICES.get(advice));
                }
                run(doing);
            }
        }
    }

    private void healthThenBounce(Doing doing, boolean good, boolean fromStore) {
        server.health(good, fromStore);
        bounce(doing, false, Span.ZERO);
    }

    private void bounce(Doing doing, boolean askNoOther, Span comeBackAfter) {
        server.bounce(doing.ticket.id(), askNoOther, comeBackAfter);
        doing.over();
    }

    private void run(Doing doing) {
        server.remember(doing.ticket.id(), WINDOW);
        server.run(doing.ticket.id());
        if (doing.script == STOP) {
            server.stop(doing.ticket.id());
        }
        if (doing.script == WAKE) {
            server.wakeAt(server.now());
        }
        if (doing.script == FORGET) {
            server.forget(doing.ticket.id());
        }
    }

    @Override
    public void retune(Map<String, String> settings) {
        hear("retuned\n" + GoldenFile.lines(settings).strip());
    }

    @Override
    public void leave(Span until) {
        leaving = true;
        server.health(false, true);
        hear("leave " + until.nanos());
    }

    @Override
    public void wake(Gauges gauges) {
        hear(
                String.format(
                        Locale.ROOT,
                        "wake %s %s %s %s",
                        gauges.coreUse(),
                        gauges.wantingCore(),
                        gauges.memoryShare(),
                        gauges.connections()));
    }

    @Override
    public void settle() {
        // Each piece of news is answered at once.
    }

    /** A ticket in hand. */
    private final class Doing implements Handle {
        private final Ticket ticket;
        private final int script;
        private boolean over;

        Doing(Ticket ticket) {
            this.ticket = ticket;
            script = (int) ticket.memoryKb();
        }

        private void over() {
            if (!over) {
                over = true;
                open.remove(ticket);
                server.over(ticket.id());
            }
        }

        @Override
        public void ended(Outcome outcome, Span took) {
            hear("ended " + said(outcome) + " " + took.nanos());
            if (outcome.provesNeverRan()) {
                server.forget(ticket.id());
            }
            over();
        }

        @Override
        public void needsCall() {
            hear("needs a call");
            if (script == SKIP_CALL) {
                server.skipCall(ticket.id());
            } else {
                server.call(ticket.id(), CALL_CAP);
            }
        }

        @Override
        public void callEnded(Outcome outcome, Span took) {
            hear("call ended " + said(outcome) + " " + took.nanos());
            if (outcome != Outcome.OK) {
                if (script == SKIP_FAILED_CALL) {
                    server.skipCall(ticket.id());
                } else {
                    server.fail(ticket.id());
                }
            }
        }

        @Override
        public boolean isOver() {
            return over;
        }

        @Override
        public void left() {
            hear("left");
        }
    }
}
