package lupinwood.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A node driven by a test: its clock, its settings, and a trace of the actions that its {@link
 * AdmissionController} requested, except releases and wake-ups.
 */
public final class RecordingServer implements ServerActions {
    static final int SAFE = 0;
    static final int IDEMPOTENT = 1;
    static final int UNSAFE = 2;
    static final int LOCAL = 3;

    public final Map<String, String> settings = new TreeMap<>();
    final List<String> trace = new ArrayList<>();
    final Map<Long, RequestListener> listeners = new HashMap<>();

    /** Receives each action and each release, for checks that a test makes itself. */
    Consumer<String> actionListener = line -> {};

    final TreeMap<Long, Integer> wakeUps = new TreeMap<>();
    private long nanos = 1_000_000_000L;
    private long nextId = 1;
    ResourceUsage resourceUsage = ResourceUsage.UNKNOWN;
    NanoDuration clientTimeout = NanoDuration.ZERO;

    /** The timeout of the latest call of each request. */
    final Map<Long, NanoDuration> callTimeouts = new HashMap<>();

    AdmissionController policy;

    /**
     * A node with two cores and four request classes: a safe, an idempotent and an unsafe one that
     * call downstream, and one that never calls.
     */
    public RecordingServer() {
        set(
                "domain.cpus=2 domain.memory_kb=100000 domain.run_mem_factor=4 domain.entry_kb=1"
                        + " domain.below=one_for_all domain.calls_out=2"
                        + " domain.class_calls=true,true,true,false domain.linger_ns=200000000"
                        + " domain.stop_mode=off domain.advert=off step_ns=1000000 rules.fall_multiple=5"
                        + " rules.fall_ns=2000000000 rules.drain_grace_ns=1000000000 services.count=4"
                        + " bounds.max_retry_after_ns=1000000000");
        String[] effects = {"pure", "token", "side_effect", "pure"};
        for (int i = 0; i < effects.length; i++) {
            String prefix = " services." + i + ".";
            set(
                    (prefix
                                    + "effect="
                                    + effects[i]
                                    + prefix
                                    + "aim_ns=2000000000"
                                    + prefix
                                    + "give_up_ns=5000000000"
                                    + prefix
                                    + "window_ns=8000000000"
                                    + prefix
                                    + "worth=1")
                            .strip());
        }
    }

    public RecordingServer set(String settingsText) {
        for (String pair : settingsText.split(" ", 0)) {
            settings.put(
                    pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
        }
        return this;
    }

    RecordingServer start() {
        policy = new AdmissionController(this, 7, settings);
        policy.decide();
        trace.clear();
        return this;
    }

    long admit(int classIndex) {
        return admit(classIndex, 0, 10, 0);
    }

    /** Lets a request arrive without a decision after it; returns its listener. */
    RequestListener admitUndecided(int classIndex) {
        return listeners.get(receive(classIndex, 0, 10, 0));
    }

    long admit(int classIndex, long originalId, double memoryKb, int tenant) {
        long id = receive(classIndex, originalId, memoryKb, tenant);
        policy.decide();
        return id;
    }

    private long receive(int classIndex, long originalId, double memoryKb, int tenant) {
        long id = nextId++;
        RequestId originalRequestId = originalId == 0 ? null : new RequestId(originalId);
        listeners.put(
                id,
                policy.admit(
                        new Request(
                                new RequestId(id),
                                new RequestClassId(classIndex),
                                new TenantId(tenant),
                                new SubjectId(0),
                                new UpstreamId(1),
                                clientTimeout,
                                NanoDuration.ZERO,
                                memoryKb,
                                0.5,
                                false,
                                NanoDuration.ZERO,
                                originalRequestId)));
        return id;
    }

    void deliver(long id, Consumer<RequestListener> event) {
        event.accept(listeners.get(id));
        policy.decide();
    }

    void complete(long id) {
        deliver(id, listener -> listener.onCompleted(Outcome.OK, NanoDuration.ZERO));
    }

    /** Lets a request make a call that ends with this outcome after this time. */
    void call(long id, int millis, Outcome outcome) {
        deliver(id, RequestListener::onCallNeeded);
        advanceMillis(millis);
        deliver(
                id,
                listener ->
                        listener.onCallCompleted(outcome, NanoDuration.ofSeconds(millis / 1e3)));
    }

    /** Completes eight safe requests with calls of this duration, then clears the trace. */
    void learnBaseline(int callMillis) {
        for (int i = 0; i < 8; i++) {
            long id = admit(SAFE);
            call(id, callMillis, Outcome.OK);
            complete(id);
        }
        trace.clear();
    }

    void advanceMillis(int millis) {
        long end = nanos + millis * 1_000_000L;
        while (!wakeUps.isEmpty() && wakeUps.firstKey() <= end) {
            nanos = Math.max(nanos, wakeUps.pollFirstEntry().getKey());
            policy.wake(resourceUsage);
            policy.decide();
        }
        nanos = end;
    }

    String traceText() {
        return String.join("\n", trace) + "\n";
    }

    private void record(String line) {
        actionListener.accept(line);
        trace.add(String.format(Locale.ROOT, "%d %s", (nanos - 1_000_000_000L) / 1_000_000, line));
    }

    @Override
    public MonotonicTime now() {
        return new MonotonicTime(nanos);
    }

    @Override
    public void run(RequestId requestId) {
        record("run " + requestId.number());
    }

    @Override
    public void stop(RequestId requestId) {
        record("stop " + requestId.number());
    }

    @Override
    public void reject(RequestId requestId, boolean doNotRetryElsewhere, NanoDuration retryAfter) {
        record(
                "reject "
                        + requestId.number()
                        + (retryAfter.isPositive() ? ", retry later" : "")
                        + (doNotRetryElsewhere ? ", do not retry elsewhere" : ""));
    }

    @Override
    public void fail(RequestId requestId) {
        record("fail " + requestId.number());
    }

    @Override
    public void call(RequestId requestId, NanoDuration timeout) {
        callTimeouts.put(requestId.number(), timeout);
        record("call " + requestId.number());
    }

    @Override
    public void skipCall(RequestId requestId) {
        record("skip call " + requestId.number());
    }

    @Override
    public void answerFromOriginal(RequestId requestId) {
        record("answer from original " + requestId.number());
    }

    @Override
    public void remember(RequestId requestId, NanoDuration duration) {
        record("remember " + requestId.number());
    }

    @Override
    public void forget(RequestId requestId) {
        record("forget " + requestId.number());
    }

    @Override
    public void reportHealth(boolean healthy, boolean answeredAtOnce) {
        record("health " + (healthy ? "healthy" : "unhealthy"));
    }

    @Override
    public void reportAvailableCapacity(double value) {
        record(String.format(Locale.ROOT, "report capacity %.2f", value));
    }

    @Override
    public void closeIdleConnections(NanoDuration idle) {
        record(String.format(Locale.ROOT, "close idle connections after %.2f", idle.seconds()));
    }

    @Override
    public void wakeAt(MonotonicTime time) {
        if (time.nanos() <= nanos) {
            throw new IllegalArgumentException("wake-up time is not in the future");
        }
        wakeUps.merge(time.nanos(), 1, Integer::sum);
    }

    @Override
    public void release(RequestId requestId) {
        actionListener.accept("release " + requestId.number());
    }

    @Override
    public void log(String line) {
        record("log " + line);
    }
}
