package lupinwood.processing;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import lupinwood.admission.AdmissionController;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.RecordingServer;
import lupinwood.admission.SubjectId;
import lupinwood.admission.UpstreamId;

/**
 * A request processor with a real AdmissionController, a clock that the test sets, and ports that
 * record what they are asked to do.
 */
abstract class RequestProcessorFixture implements UpstreamConnections, Executor, Dependency {
    static final byte[] EMPTY_BODY = {};

    final RecordingServer settingsSource = new RecordingServer();
    final StringBuilder trace = new StringBuilder();
    final TimerService timers = new TimerService();

    /** The connections that are not read any more. */
    final Set<ConnectionId> notRead = new HashSet<>();

    MonotonicTime now = new MonotonicTime(1_000_000_000_000L);
    boolean isExecutorConnected = true;
    boolean readsResponses = true;
    boolean repliesWithResourceUsage = true;

    /**
     * How many requests use or wait for a core, as the executor reports it. The default is more
     * than the runs of any test that restores the executor connection, so it never proves that a
     * command in doubt was not read.
     */
    int wantingCore = 9;

    RequestProcessor processor;
    ConnectionId currentConnection;
    long tag;

    RequestProcessorFixture() {
        settingsSource.set(
                "customers.count=1 customers.0.name=acme"
                        + " domain.gauges=core_use,on_cores,heap_share,links domain.keepalive_max_ns=3000000000"
                        + " services.0.name=pure services.1.name=token"
                        + " services.2.name=side_effect");
    }

    void start() {
        createProcessor(8192);
        processor.onExecutorConnected(false, NanoDuration.ZERO);
        processor.settle();
        gainTrust();
    }

    /** Completes a run of the connection, so that the connection is trusted. */
    void gainTrust() {
        handle(() -> processor.arrived(currentConnection, 99, arrival(99, "pure", null, "first")));
        completeRun(99, Completion.WELL, "x");
        trace.setLength(0);
    }

    void createProcessor(long idempotencyBytes) {
        createProcessor(4, idempotencyBytes);
    }

    void createProcessor(int connections, long idempotencyBytes) {
        processor =
                new RequestProcessor(
                        settingsSource.settings,
                        7,
                        AdmissionController::new,
                        new RequestProcessor.Ports(this, this, this, this::log),
                        timers,
                        new TableLimits(connections, 40, 64, idempotencyBytes),
                        now);
        currentConnection = processor.addConnection();
    }

    static AttemptId id(long tag) {
        return new AttemptId(String.format("%016x", tag));
    }

    /** Makes a request arrive, with the next number as its tag and its attempt id. */
    long arrive(String className, String idempotencyKey, String body) {
        handle(
                () ->
                        processor.arrived(
                                currentConnection,
                                ++tag,
                                arrival(tag, className, idempotencyKey, body)));
        return tag;
    }

    IncomingRequest arrival(long number, String className, String idempotencyKey, String body) {
        return arrivalAt(number, className, idempotencyKey, body, now);
    }

    /** Creates a request with this arrival time in its time stamp. */
    IncomingRequest arrivalAt(
            long number,
            String className,
            String idempotencyKey,
            String body,
            MonotonicTime reached) {
        return new IncomingRequest(
                id(number),
                className,
                "acme",
                new SubjectId(0),
                new UpstreamId(1),
                reached,
                10,
                0.5,
                idempotencyKey == null ? null : new IdempotencyKey(idempotencyKey),
                body.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Creates a request with values that may be invalid; its attempt id is one above the current
     * tag.
     */
    IncomingRequest arrivalWithBoundedValues(
            String tenant, MonotonicTime reached, double memoryKb, double rank) {
        return new IncomingRequest(
                id(tag + 1),
                "pure",
                tenant,
                new SubjectId(0),
                new UpstreamId(1),
                reached,
                memoryKb,
                rank,
                null,
                EMPTY_BODY);
    }

    /** Creates a request with the values that only some deployments' requests carry. */
    IncomingRequest arrivalWithHints(
            String tenant, NanoDuration clientTimeout, NanoDuration costHint, boolean repeat) {
        return new IncomingRequest(
                id(tag),
                "pure",
                tenant,
                new SubjectId(0),
                new UpstreamId(1),
                clientTimeout,
                costHint,
                repeat,
                now,
                10,
                0.5,
                null,
                EMPTY_BODY);
    }

    void handle(Runnable event) {
        event.run();
        processor.settle();
    }

    void completeRun(long number, Completion completion, String result) {
        handle(
                () ->
                        processor.onRunCompleted(
                                id(number),
                                completion,
                                NanoDuration.ZERO,
                                result.getBytes(StandardCharsets.UTF_8)));
    }

    void needCall(long number) {
        handle(() -> processor.onCallNeeded(id(number), "q".getBytes(StandardCharsets.UTF_8)));
    }

    void advanceMillis(int millis) {
        MonotonicTime end = now.plus(NanoDuration.ofSeconds(millis / 1e3));
        while (!end.isBefore(timers.earliest())) {
            now = now.isBefore(timers.earliest()) ? timers.earliest() : now;
            processor.advance(now);
            timers.runDue(now);
            processor.settle();
        }
        now = end;
        processor.advance(now);
    }

    void record(String text) {
        trace.append((now.nanos() - 1_000_000_000_000L) / 1_000_000)
                .append(' ')
                .append(text)
                .append('\n');
    }

    String recorded() {
        return trace.toString();
    }

    @Override
    public void answer(ConnectionId connection, long responseTag, Response response) {
        record(
                responseTag
                        + " "
                        + response.word()
                        + (response.result().length > 0 ? " " + text(response.result()) : ""));
    }

    @Override
    public void requestClose(ConnectionId connection) {
        record("ask to close");
    }

    @Override
    public void stopReading(ConnectionId connection) {
        notRead.add(connection);
    }

    @Override
    public void close(ConnectionId connection, Completion reason) {
        record("close " + (connection.number() & 0xff) + " " + reason);
        if (readsResponses && reason != Completion.SLOW_READER && reason != Completion.MADE_ROOM) {
            processor.onFlushed(connection);
        }
    }

    @Override
    public boolean run(AttemptId id, String className, byte[] body) {
        record(
                "run "
                        + number(id)
                        + " "
                        + text(body)
                        + (isExecutorConnected ? "" : "; not connected"));
        return isExecutorConnected;
    }

    @Override
    public boolean giveReply(AttemptId id, byte[] reply) {
        record(
                "reply for "
                        + number(id)
                        + " "
                        + text(reply)
                        + (isExecutorConnected ? "" : "; not connected"));
        return isExecutorConnected;
    }

    @Override
    public boolean stop(AttemptId id) {
        record("stop " + number(id));
        return isExecutorConnected;
    }

    @Override
    public boolean skipCall(AttemptId id) {
        record("skip call for " + number(id) + (isExecutorConnected ? "" : "; not connected"));
        return isExecutorConnected;
    }

    @Override
    public void askResourceUsage(long queryTag) {
        if (!repliesWithResourceUsage) {
            return;
        }
        processor.resourceUsageRead(queryTag, new double[] {0.5, wantingCore, 0.1, 1});
    }

    @Override
    public void checkDeep(long queryTag) {
        record("deep check");
    }

    @Override
    public void call(AttemptId id, NanoDuration timeout, byte[] body) {
        record("call for " + number(id) + " " + text(body));
    }

    @Override
    public void cancelCall(AttemptId id) {
        record("cancel call for " + number(id));
    }

    void log(String text) {
        if (!text.startsWith("request rejected id=")) {
            record("log " + text);
        }
    }

    static long number(AttemptId id) {
        return Long.parseLong(id.digits(), 16);
    }

    static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
