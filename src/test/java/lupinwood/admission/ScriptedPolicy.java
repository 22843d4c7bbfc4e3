package lupinwood.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A policy whose actions are given by the requests: the memory of a request, in whole KB, selects
 * what is done with it, and the constants are such values in KB. A retry is always answered from
 * its original, and while draining any other request is rejected. So everything that leaves the
 * process is known in advance. The lines that it reports are part of golden files.
 */
public final class ScriptedPolicy implements AdmissionPolicy {
    /** Rejected without Retry-After. */
    public static final int REJECT = 1;

    /** Rejected with a Retry-After slightly above 250 ms. */
    public static final int REJECT_FOR_A_TIME = 2;

    /** Rejected with a Retry-After of 1500 ms, and other nodes are discouraged. */
    public static final int REJECT_FOR_GOOD = 3;

    public static final int FAIL = 5;

    /**
     * Run; {@code REPORT_CAPACITY + i} first reports element {@code i} of {@link #ADVICES} as
     * available capacity.
     */
    public static final int REPORT_CAPACITY = 40;

    /** Run and stopped at once. */
    public static final int STOP = 15;

    /** Its call is skipped. */
    public static final int SKIP_CALL = 16;

    /** Neither run nor answered. */
    public static final int BLOCK = 17;

    /** A call that fails is skipped. */
    public static final int SKIP_FAILED_CALL = 18;

    /** Run, and a wake-up is requested at the present time. */
    public static final int WAKE = 19;

    /** Rejected; health checks then report a healthy node after real work. */
    public static final int HEALTH_BY_WORK = 30;

    /** Rejected; health checks then report an unhealthy node. */
    public static final int HEALTH_BAD = 31;

    /** Rejected; health checks then report a healthy node. */
    public static final int HEALTH_GOOD = 32;

    /** Rejected; connections idle for one second are then closed. */
    public static final int CLOSE_IDLE = 33;

    /** Rejected, and a line is logged. */
    public static final int LOG = 34;

    /** Run, remembered and forgotten at once. */
    public static final int FORGET = 35;

    /** The policy throws an exception. */
    public static final int THROW = 36;

    /** The values reported as available capacity, from {@link #REPORT_CAPACITY} on. */
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

    private static final NanoDuration CALL_TIMEOUT = NanoDuration.ofSeconds(1.5);
    private static final NanoDuration IDEMPOTENCY_WINDOW = NanoDuration.ofSeconds(9);
    private static final NanoDuration SHORT_RETRY_AFTER = new NanoDuration(250_000_001);
    private static final NanoDuration LONG_RETRY_AFTER = NanoDuration.ofSeconds(1.5);

    private final ServerActions server;
    private final Consumer<String> events;
    private final Map<Request, ScriptedRequest> open = new HashMap<>();
    private boolean isDraining;

    /**
     * Starts a policy that reports the events it receives.
     *
     * @param events receives one line for each event
     */
    public ScriptedPolicy(ServerActions server, Consumer<String> events) {
        this.server = server;
        this.events = events;
        server.reportHealth(true, true);
        server.reportAvailableCapacity(ADVICES.get(0));
    }

    private void report(String line) {
        events.accept(line);
    }

    /** The name in golden files, independent of the names of the constants. */
    private static String goldenName(Outcome outcome) {
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
        report(
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
        ScriptedRequest scripted = new ScriptedRequest(request);
        open.put(request, scripted);
        if (request.original() != null) {
            server.answerFromOriginal(request.id());
        } else if (isDraining) {
            reject(scripted, false, LONG_RETRY_AFTER);
        } else {
            start(scripted);
        }
        return scripted;
    }

    private void start(ScriptedRequest scripted) {
        switch (scripted.script) {
            case REJECT -> reject(scripted, false, NanoDuration.ZERO);
            case REJECT_FOR_A_TIME -> reject(scripted, false, SHORT_RETRY_AFTER);
            case REJECT_FOR_GOOD -> reject(scripted, true, LONG_RETRY_AFTER);
            case FAIL -> {
                server.fail(scripted.request.id());
                scripted.finish();
            }
            case BLOCK -> {}
            case HEALTH_BY_WORK -> healthThenReject(scripted, true, false);
            case HEALTH_BAD -> healthThenReject(scripted, false, true);
            case HEALTH_GOOD -> healthThenReject(scripted, true, true);
            case CLOSE_IDLE -> {
                server.closeIdleConnections(NanoDuration.ofSeconds(1));
                reject(scripted, false, NanoDuration.ZERO);
            }
            case LOG -> {
                server.log("said by the node: ä€");
                reject(scripted, false, NanoDuration.ZERO);
            }
            case THROW -> throw new IllegalStateException("unforeseen");
            default -> {
                int valueIndex = scripted.script - REPORT_CAPACITY;
                if (valueIndex >= 0 && valueIndex < ADVICES.size()) {
                    server.reportAvailableCapacity(ADVICES.get(valueIndex));
                }
                run(scripted);
            }
        }
    }

    private void healthThenReject(
            ScriptedRequest scripted, boolean healthy, boolean answeredAtOnce) {
        server.reportHealth(healthy, answeredAtOnce);
        reject(scripted, false, NanoDuration.ZERO);
    }

    private void reject(
            ScriptedRequest scripted, boolean doNotRetryElsewhere, NanoDuration retryAfter) {
        server.reject(scripted.request.id(), doNotRetryElsewhere, retryAfter);
        scripted.finish();
    }

    private void run(ScriptedRequest scripted) {
        server.remember(scripted.request.id(), IDEMPOTENCY_WINDOW);
        server.run(scripted.request.id());
        if (scripted.script == STOP) {
            server.stop(scripted.request.id());
        }
        if (scripted.script == WAKE) {
            server.wakeAt(server.now());
        }
        if (scripted.script == FORGET) {
            server.forget(scripted.request.id());
        }
    }

    @Override
    public void updateSettings(Map<String, String> settings) {
        report("retuned\n" + GoldenFile.lines(settings).strip());
    }

    @Override
    public void drain(NanoDuration timeUntilStop) {
        isDraining = true;
        server.reportHealth(false, true);
        report("leave " + timeUntilStop.nanos());
    }

    @Override
    public void wake(ResourceUsage resourceUsage) {
        report(
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
        // Each event is handled at once.
    }

    /** An admitted request. */
    private final class ScriptedRequest implements RequestListener {
        private final Request request;
        private final int script;
        private boolean finished;

        ScriptedRequest(Request request) {
            this.request = request;
            script = (int) request.memoryKb();
        }

        private void finish() {
            if (!finished) {
                finished = true;
                open.remove(request);
                server.release(request.id());
            }
        }

        @Override
        public void onCompleted(Outcome outcome, NanoDuration duration) {
            report("ended " + goldenName(outcome) + " " + duration.nanos());
            if (outcome.provesNeverRan()) {
                server.forget(request.id());
            }
            finish();
        }

        @Override
        public void onCallNeeded() {
            report("needs a call");
            if (script == SKIP_CALL) {
                server.skipCall(request.id());
            } else {
                server.call(request.id(), CALL_TIMEOUT);
            }
        }

        @Override
        public void onCallCompleted(Outcome outcome, NanoDuration duration) {
            report("call ended " + goldenName(outcome) + " " + duration.nanos());
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
            return finished;
        }

        @Override
        public void onClientGone() {
            report("left");
        }
    }
}
