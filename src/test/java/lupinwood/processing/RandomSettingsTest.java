package lupinwood.processing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import lupinwood.admission.AdmissionController;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.SubjectId;
import lupinwood.admission.UpstreamId;
import org.junit.jupiter.api.Test;

/**
 * Runs the request processor with random settings, of which random entries are missing, under a
 * light load in simulated time. Each request must get one final response before its client's
 * deadline, at most one request with the same idempotency key may run within the window, and
 * without injected failures every request must be served, whichever entries are missing.
 */
final class RandomSettingsTest implements UpstreamConnections, Executor, Dependency {
    private static final byte[] BODY = {'b'};

    /** A request that has been sent. */
    private record SentRequest(MonotonicTime deadline, boolean injectsFailures) {}

    private Random random;
    private Map<String, String> settings;
    private final TimerService timers = new TimerService();
    private final Map<Long, SentRequest> unanswered = new HashMap<>();
    private final Map<Long, String> keys = new HashMap<>();
    private final Map<String, MonotonicTime> lastRunArrivals = new HashMap<>();
    private final Map<String, MonotonicTime> arrivalTimes = new HashMap<>();
    private final Set<AttemptId> running = new HashSet<>();
    private final Set<AttemptId> completed = new HashSet<>();
    private MonotonicTime now = new MonotonicTime(1_000_000_000_000L);
    private RequestProcessor processor;
    private boolean injectsFailures;
    private boolean executorRefuses;
    private NanoDuration work;
    private long tag;
    private int served;
    private final List<String> log = new ArrayList<>();

    private boolean randomBoolean() {
        return random.nextBoolean();
    }

    private double randomLogUniform(double min, double max) {
        return min * Math.pow(max / min, random.nextDouble());
    }

    private void put(String name, Object value) {
        settings.put(name, value.toString());
    }

    private void putSometimes(String name, Object value) {
        if (randomBoolean()) {
            put(name, value);
        }
    }

    @SafeVarargs
    private <T> T choose(T... values) {
        return values[random.nextInt(values.length)];
    }

    private static long nanos(double seconds) {
        return Math.round(seconds * 1e9);
    }

    private void drawSettings() {
        settings = new TreeMap<>();
        int requestClasses = 1 + random.nextInt(8);
        double shortestTimeoutSeconds = 60;
        StringBuilder calls = new StringBuilder();
        StringBuilder skips = new StringBuilder();
        for (int i = 0; i < requestClasses; i++) {
            String prefix = "services." + i + ".";
            double timeoutSeconds = randomLogUniform(0.3, 60);
            shortestTimeoutSeconds = Math.min(shortestTimeoutSeconds, timeoutSeconds);
            put(prefix + "name", choose("EXEC", "a-b", "1", "track.", "x:y") + i);
            put(prefix + "give_up_ns", nanos(timeoutSeconds));
            put(prefix + "aim_ns", nanos(timeoutSeconds * choose(1.0, 0.5)));
            String effect = choose("pure", "token", "side_effect");
            put(prefix + "effect", effect);
            if (effect.equals("token") || randomBoolean()) {
                put(prefix + "window_ns", nanos(randomLogUniform(0.2, 600)));
            }
            putSometimes(prefix + "worth", choose(0.0, 1.0, 5.0));
            putSometimes(prefix + "late_value", choose(0.0, 0.2));
            calls.append(i > 0 ? "," : "").append(randomBoolean());
            skips.append(i > 0 ? "," : "").append(choose(0.0, 0.6));
        }
        put("services.count", requestClasses);
        if (randomBoolean()) {
            int tenants = random.nextInt(4);
            put("customers.count", tenants);
            for (int i = 0; i < tenants; i++) {
                put("customers." + i + ".name", choose("n", "n.1", "ü") + i);
                putSometimes("customers." + i + ".quota_rps", choose(0.0, 0.5, 1e6));
                putSometimes("customers." + i + ".share", 1.0 / tenants);
            }
        }
        String downstream = choose("off", "one_for_all", "tier", "");
        if (!downstream.isEmpty()) {
            put("domain.below", downstream);
        }
        putSometimes("domain.class_calls", calls);
        putSometimes("domain.class_skip_worth", skips);
        if (downstream.equals("one_for_all")) {
            putSometimes("domain.calls_out", randomLogUniform(1, 20));
            putSometimes("domain.calls_over_ns", nanos(5));
            putSometimes("domain.linger_ns", nanos(0.2));
        }
        putSometimes("domain.cpus", 1 + random.nextInt(64));
        putSometimes("domain.memory_kb", 400_000);
        putSometimes("domain.entry_kb", 10);
        putSometimes("domain.run_mem_factor", choose(1, 8));
        putSometimes("domain.upstreams", random.nextInt(3000));
        putSometimes("domain.advert", choose("off", "floor", "allowance", "weight"));
        putSometimes("domain.stop_mode", choose("off", "discard", "freeze"));
        putSometimes("domain.keepalive_max_ns", nanos(30));
        putSometimes("domain.gauges", "core_use,on_cores,heap_share,links");
        putSometimes("domain.registry_follows", randomBoolean());
        putSometimes("domain.real_checks", randomBoolean());
        putSometimes("group_size", 1 + random.nextInt(300));
        putSometimes("over_share_worth", 0.05);
        putSometimes("goal.worst_class", 0.3);
        putSometimes("rules.fall_multiple", choose(2, 8));
        putSometimes("rules.fall_ns", nanos(2));
        putSometimes("rules.drain_grace_ns", nanos(2));
        putSometimes("rules.ramp_time_ns", nanos(18));
        putSometimes("rules.cold_share", 0.2);
        putSometimes("bounds.max_retry_after_ns", nanos(1));
        put("step_ns", choose(1_000_000, 4_000_000));
        work =
                NanoDuration.ofSeconds(
                        Math.min(randomLogUniform(0.002, 5), shortestTimeoutSeconds / 50));
        injectsFailures = randomBoolean();
        executorRefuses = randomBoolean();
    }

    private int count(String list) {
        return Integer.parseInt(settings.getOrDefault(list + ".count", "0"));
    }

    private void runSeed(int seed) {
        random = new Random(seed);
        drawSettings();
        processor =
                new RequestProcessor(
                        settings,
                        seed,
                        AdmissionController::new,
                        new RequestProcessor.Ports(this, this, this, log::add),
                        timers,
                        new TableLimits(64, 1024, 1024, 1 << 20),
                        now);
        processor.onExecutorConnected(false, NanoDuration.ZERO);
        processor.settle();
        ConnectionId connection = processor.addConnection();
        int sentCount = 0;
        for (int i = 0; i < 60; i++) {
            connection = i % 20 == 0 ? processor.addConnection() : connection;
            send(connection);
            sentCount++;
            advance(work.times(injectsFailures ? choose(0.1, 0.5, 3.0) : choose(2.0, 3.0, 6.0)));
        }
        advance(NanoDuration.ofSeconds(70));
        assertThat(unanswered).as("unanswered requests with seed %d", seed).isEmpty();
        assertThat(processor.isAnswered()).isTrue();
        if (!injectsFailures) {
            assertThat(served)
                    .as("requests served with seed %d; log: %s; settings: %s", seed, log, settings)
                    .isEqualTo(sentCount);
        }
    }

    private void send(ConnectionId connection) {
        int requestClassIndex = random.nextInt(count("services"));
        String prefix = "services." + requestClassIndex + ".";
        int tenants = count("customers");
        String tenant =
                tenants > 0
                        ? settings.get("customers." + random.nextInt(tenants) + ".name")
                        : choose("", "anyone");
        double timeoutSeconds = Double.parseDouble(settings.get(prefix + "give_up_ns")) / 1e9;
        NanoDuration clientTimeout =
                randomBoolean()
                        ? NanoDuration.ZERO
                        : NanoDuration.ofSeconds(timeoutSeconds * choose(0.7, 0.9, 1.2));
        NanoDuration costHint =
                randomBoolean() ? NanoDuration.ZERO : work.times(choose(0.5, 1.0, 2.0));
        boolean isIdempotent = settings.get(prefix + "effect").equals("token");
        // The key contains the request class, as an upstream load balancer's would, so that
        // requests of different request classes never share a key.
        String key = isIdempotent ? requestClassIndex + "f" + random.nextInt(6) : null;
        MonotonicTime reached = now.minus(work.times(choose(0.0, 0.5)));
        NanoDuration timeout =
                clientTimeout.isPositive()
                        ? clientTimeout.min(NanoDuration.ofSeconds(timeoutSeconds))
                        : NanoDuration.ofSeconds(timeoutSeconds);
        tag++;
        AttemptId id = new AttemptId(String.format("%016x", tag));
        unanswered.put(tag, new SentRequest(reached.plus(timeout), injectsFailures));
        keys.put(tag, key == null ? "" : key);
        arrivalTimes.put(id.digits(), reached);
        processor.arrived(
                connection,
                tag,
                new IncomingRequest(
                        id,
                        settings.get(prefix + "name"),
                        tenant,
                        new SubjectId(0),
                        new UpstreamId(1),
                        clientTimeout,
                        costHint,
                        randomBoolean(),
                        reached,
                        10,
                        0.5,
                        key == null ? null : new IdempotencyKey(key),
                        BODY));
        processor.settle();
    }

    private void advance(NanoDuration duration) {
        MonotonicTime end = now.plus(duration);
        while (!end.isBefore(timers.earliest())) {
            now = now.isBefore(timers.earliest()) ? timers.earliest() : now;
            processor.advance(now);
            timers.runDue(now);
            processor.settle();
        }
        now = end;
        processor.advance(now);
    }

    @Override
    public void answer(ConnectionId connection, long responseTag, Response response) {
        SentRequest sentRequest = unanswered.remove(responseTag);
        assertThat(sentRequest).as("first response to request %d", responseTag).isNotNull();
        assertThat(now.isBefore(sentRequest.deadline))
                .as(
                        "request %d must get its response before its deadline; it got %s %s s after"
                                + " the deadline; log: %s; settings: %s",
                        responseTag,
                        response.word(),
                        now.since(sentRequest.deadline).seconds(),
                        log,
                        settings)
                .isTrue();
        served += response.word() == Response.Kind.SERVED ? 1 : 0;
        if (response.word() != Response.Kind.SERVED) {
            log.add(
                    responseTag
                            + " "
                            + response.word()
                            + " "
                            + sentRequest.deadline().since(now).seconds()
                            + " s before its deadline");
        }
    }

    @Override
    public void requestClose(ConnectionId connection) {
        // Each connection is replaced after 20 requests.
    }

    @Override
    public void stopReading(ConnectionId connection) {
        // Nothing more arrives on it.
    }

    @Override
    public void close(ConnectionId connection, Completion reason) {
        processor.disconnected(connection);
    }

    // ---- the executor: does half of the work, makes a call if the request class may, then does
    // the other half ----

    private void runLater(NanoDuration delay, Runnable action) {
        timers.schedule(now.plus(delay), action);
    }

    @Override
    public boolean run(AttemptId id, String className, byte[] body) {
        long number = Long.parseLong(id.digits(), 16);
        String key = keys.get(number);
        if (!key.isEmpty()) {
            int requestClassIndex = Integer.parseInt(className.replaceAll(".*(\\d)$", "$1"));
            MonotonicTime reached = arrivalTimes.get(id.digits());
            NanoDuration window =
                    new NanoDuration(
                            Long.parseLong(
                                    settings.get("services." + requestClassIndex + ".window_ns")));
            MonotonicTime previousArrival = lastRunArrivals.put(key, reached);
            assertThat(previousArrival == null || !reached.isBefore(previousArrival.plus(window)))
                    .as("at most one request with key %s runs within the window", key)
                    .isTrue();
        }
        assertThat(running.add(id)).isTrue();
        int requestClassIndex = Integer.parseInt(className.replaceAll(".*(\\d)$", "$1"));
        boolean downstream =
                settings.getOrDefault("domain.below", "off").matches("one_for_all|tier");
        String[] calls = settings.getOrDefault("domain.class_calls", "").split(",", 0);
        boolean called =
                downstream
                        && requestClassIndex < calls.length
                        && calls[requestClassIndex].equals("true")
                        && randomBoolean();
        runLater(
                work.times(0.5),
                () -> {
                    if (called) {
                        processor.onCallNeeded(id, BODY);
                    } else {
                        finishRun(id);
                    }
                });
        return true;
    }

    private void finishRun(AttemptId id) {
        runLater(
                work.times(0.5),
                () ->
                        completeRun(
                                id,
                                injectsFailures && random.nextInt(8) == 0
                                        ? Completion.FAILED
                                        : Completion.WELL));
    }

    private void completeRun(AttemptId id, Completion completion) {
        if (running.contains(id) && completed.add(id)) {
            processor.onRunCompleted(id, completion, work, BODY);
        }
    }

    @Override
    public boolean giveReply(AttemptId id, byte[] reply) {
        finishRun(id);
        return true;
    }

    @Override
    public boolean stop(AttemptId id) {
        assertThat(settings.getOrDefault("domain.stop_mode", "off"))
                .as("configured stop mode")
                .isNotEqualTo("off");
        runLater(
                NanoDuration.ofSeconds(0.001),
                executorRefuses
                        ? () -> processor.onCommandRefused("KILL", id)
                        : () -> completeRun(id, Completion.STOPPED));
        return true;
    }

    @Override
    public boolean skipCall(AttemptId id) {
        if (executorRefuses) {
            runLater(NanoDuration.ofSeconds(0.001), () -> processor.onCommandRefused("BYPASS", id));
        } else {
            finishRun(id);
        }
        return true;
    }

    @Override
    public void askResourceUsage(long queryTag) {
        if (settings.containsKey("domain.gauges")) {
            runLater(
                    NanoDuration.ofSeconds(0.0005),
                    () ->
                            processor.resourceUsageRead(
                                    queryTag, new double[] {0.5, running.size(), 0.1, 1}));
        }
    }

    @Override
    public void checkDeep(long queryTag) {
        // No deep health check is requested.
    }

    @Override
    public void call(AttemptId id, NanoDuration timeout, byte[] body) {
        Completion completion =
                injectsFailures
                        ? choose(
                                Completion.WELL,
                                Completion.SHED,
                                Completion.TIMED_OUT_DOWNSTREAM,
                                Completion.FAILED_DOWNSTREAM,
                                Completion.CONNECTION_REFUSED)
                        : Completion.WELL;
        runLater(
                work.times(0.2),
                () ->
                        processor.callEnded(
                                id, completion, completion == Completion.WELL ? BODY : null));
    }

    @Override
    public void cancelCall(AttemptId id) {
        // The request processor ignores a late completion.
    }

    @Test
    void eachRequestGetsOneResponseInTimeWhicheverSettingsAreMissing() {
        for (int seed = 1; seed <= 400; seed++) {
            new RandomSettingsTest().runSeed(seed);
        }
    }
}
