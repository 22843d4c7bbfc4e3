package lupinwood.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A node that decides nothing: what a request asks for in memory, in whole KB, says what is done
 * with it. So all that leaves at the edges is known beforehand.
 */
public final class ScriptedPolicy implements AdmissionPolicy {
    /** Rejected, with nothing more said. */
    public static final int REJECT = 1;

    /** Rejected for a little over 250 ms. */
    public static final int REJECT_FOR_A_TIME = 2;

    /** Rejected for 1500 ms, and no other node is to be asked. */
    public static final int REJECT_FOR_GOOD = 3;

    public static final int FAIL = 5;

    /** Advises one of {@link #ADVICES}, the first by this number, and is run. */
    public static final int REPORT_CAPACITY = 40;

    /** Run, and stopped at once. */
    public static final int STOP = 15;

    /** Its call is left out. */
    public static final int SKIP_CALL = 16;

    /** Neither run nor answered. */
    public static final int BLOCK = 17;

    /** A call that did not go well is left out. */
    public static final int SKIP_FAILED_CALL = 18;

    /** Run, with a wake-up asked for now. */
    public static final int WAKE = 19;

    /** Rejected, and health checks hear that all is well, by real work from now on. */
    public static final int HEALTH_BY_WORK = 30;

    /** Rejected, and health checks hear that nothing is well. */
    public static final int HEALTH_BAD = 31;

    /** Rejected, and health checks hear that all is well. */
    public static final int HEALTH_GOOD = 32;

    /** Rejected, and connections that were idle for a second are to be closed. */
    public static final int CLOSE_IDLE = 33;

    /** Rejected, with a word in the log. */
    public static final int LOG = 34;

    /** Run, remembered, and forgotten at once. */
    public static final int FORGET = 35;

    /** Something unforeseen. */
    public static final int THROW = 36;

    /** What is advised, from {@link #REPORT_CAPACITY} on. */
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

    private static final NanoDuration CALL_CAP = NanoDuration.ofSeconds(1.5);
    private static final NanoDuration WINDOW = NanoDuration.ofSeconds(9);
    private static final NanoDuration LITTLE = new NanoDuration(250_000_001);
    private static final NanoDuration LONG = NanoDuration.ofSeconds(1.5);

    private final ServerActions server;
    private final Consumer<String> heard;
    private final Map<Request, Doing> open = new HashMap<>();
    private boolean leaving;

    /**
     * One that tells what it hears.
     *
     * @param heard takes one line for each piece of news
     */
    public ScriptedPolicy(ServerActions server, Consumer<String> heard) {
        this.server = server;
        this.heard = heard;
        server.reportHealth(true, true);
        server.reportAvailableCapacity(ADVICES.get(0));
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
    public RequestListener admit(Request request) {
        hear(
                String.format(
                        Locale.ROOT,
                        "ticket track %d customer %d subject %x caller %d patience %d work %d memory"
                                + " %s rank %s repeat %b waited %d, %s",
                        request.classId().number(),
                        request.tenantId().number(),
                        request.subject().number(),
                        request.upstreamId().number(),
                        request.clientTimeout().nanos(),
                        request.work().nanos(),
                        request.memoryKb(),
                        request.rank(),
                        request.repeat(),
                        request.waited().nanos(),
                        request.original() == null ? "first" : "again"));
        Doing doing = new Doing(request);
        open.put(request, doing);
        if (request.original() != null) {
            server.answerFromOriginal(request.id());
        } else if (leaving) {
            reject(doing, false, LONG);
        } else {
            begin(doing);
        }
        return doing;
    }

    private void begin(Doing doing) {
        switch (doing.script) {
            case REJECT -> reject(doing, false, NanoDuration.ZERO);
            case REJECT_FOR_A_TIME -> reject(doing, false, LITTLE);
            case REJECT_FOR_GOOD -> reject(doing, true, LONG);
            case FAIL -> {
                server.fail(doing.request.id());
                doing.over();
            }
            case BLOCK -> {}
            case HEALTH_BY_WORK -> healthThenReject(doing, true, false);
            case HEALTH_BAD -> healthThenReject(doing, false, true);
            case HEALTH_GOOD -> healthThenReject(doing, true, true);
            case CLOSE_IDLE -> {
                server.closeIdleConnections(NanoDuration.ofSeconds(1));
                reject(doing, false, NanoDuration.ZERO);
            }
            case LOG -> {
                server.log("said by the node: ä€");
                reject(doing, false, NanoDuration.ZERO);
            }
            case THROW -> throw new IllegalStateException("unforeseen");
            default -> {
                int availableCapacity = doing.script - REPORT_CAPACITY;
                if (availableCapacity >= 0 && availableCapacity < ADVICES.size()) {
                    server.reportAvailableCapacity(ADVICES.get(availableCapacity));
                }
                run(doing);
            }
        }
    }

    private void healthThenReject(Doing doing, boolean good, boolean fromStore) {
        server.reportHealth(good, fromStore);
        reject(doing, false, NanoDuration.ZERO);
    }

    private void reject(Doing doing, boolean doNotRetryElsewhere, NanoDuration retryAfter) {
        server.reject(doing.request.id(), doNotRetryElsewhere, retryAfter);
        doing.over();
    }

    private void run(Doing doing) {
        server.remember(doing.request.id(), WINDOW);
        server.run(doing.request.id());
        if (doing.script == STOP) {
            server.stop(doing.request.id());
        }
        if (doing.script == WAKE) {
            server.wakeAt(server.now());
        }
        if (doing.script == FORGET) {
            server.forget(doing.request.id());
        }
    }

    @Override
    public void updateSettings(Map<String, String> settings) {
        hear("retuned\n" + GoldenFile.lines(settings).strip());
    }

    @Override
    public void drain(NanoDuration until) {
        leaving = true;
        server.reportHealth(false, true);
        hear("leave " + until.nanos());
    }

    @Override
    public void wake(ResourceUsage resourceUsage) {
        hear(
                String.format(
                        Locale.ROOT,
                        "wake %s %s %s %s",
                        resourceUsage.coreUse(),
                        resourceUsage.wantingCore(),
                        resourceUsage.memoryShare(),
                        resourceUsage.connections()));
    }

    @Override
    public void decide() {
        // Each piece of news is answered at once.
    }

    /** A request in hand. */
    private final class Doing implements RequestListener {
        private final Request request;
        private final int script;
        private boolean over;

        Doing(Request request) {
            this.request = request;
            script = (int) request.memoryKb();
        }

        private void over() {
            if (!over) {
                over = true;
                open.remove(request);
                server.release(request.id());
            }
        }

        @Override
        public void onCompleted(Outcome outcome, NanoDuration took) {
            hear("ended " + said(outcome) + " " + took.nanos());
            if (outcome.provesNeverRan()) {
                server.forget(request.id());
            }
            over();
        }

        @Override
        public void onCallNeeded() {
            hear("needs a call");
            if (script == SKIP_CALL) {
                server.skipCall(request.id());
            } else {
                server.call(request.id(), CALL_CAP);
            }
        }

        @Override
        public void onCallCompleted(Outcome outcome, NanoDuration took) {
            hear("call ended " + said(outcome) + " " + took.nanos());
            if (outcome != Outcome.OK) {
                if (script == SKIP_FAILED_CALL) {
                    server.skipCall(request.id());
                } else {
                    server.fail(request.id());
                }
            }
        }

        @Override
        public boolean isFinished() {
            return over;
        }

        @Override
        public void onClientGone() {
            hear("left");
        }
    }
}
