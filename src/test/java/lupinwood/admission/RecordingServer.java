package lupinwood.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A machine played by hand: its clock, its settings, and the trace of what its AdmissionController
 * decided.
 */
public final class RecordingServer implements ServerActions {
    static final int SAFE = 0;
    static final int IDEMPOTENT = 1;
    static final int UNSAFE = 2;
    static final int LOCAL = 3;

    public final Map<String, String> settings = new TreeMap<>();
    final List<String> trace = new ArrayList<>();
    final Map<Long, RequestListener> handles = new HashMap<>();

    /** Who listens to each decision, to check it by another reckoning. */
    Consumer<String> listener = line -> {};

    final TreeMap<Long, Integer> wakes = new TreeMap<>();
    private long nanos = 1_000_000_000L;
    private long nextId = 1;
    ResourceUsage resourceUsage = ResourceUsage.UNKNOWN;
    NanoDuration clientTimeout = NanoDuration.ZERO;

    /** How long each request's latest call may take. */
    final Map<Long, NanoDuration> caps = new HashMap<>();

    AdmissionController policy;

    /**
     * Two cores, four request classes (pure, idempotent and unsafe that call, and one that never
     * does).
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
            String at = " services." + i + ".";
            set(
                    (at
                                    + "effect="
                                    + effects[i]
                                    + at
                                    + "aim_ns=2000000000"
                                    + at
                                    + "give_up_ns=5000000000"
                                    + at
                                    + "window_ns=8000000000"
                                    + at
                                    + "worth=1")
                            .strip());
        }
    }

    public RecordingServer set(String pairs) {
        for (String pair : pairs.split(" ", 0)) {
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

    long arrive(int classIndex) {
        return arrive(classIndex, 0, 10, 0);
    }

    long arrive(int classIndex, long original, double memoryKb, int tenant) {
        long id = nextId++;
        RequestId repeats = original == 0 ? null : new RequestId(original);
        handles.put(
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
                                repeats)));
        policy.decide();
        return id;
    }

    void tell(long id, Consumer<RequestListener> news) {
        news.accept(handles.get(id));
        policy.decide();
    }

    void end(long id) {
        tell(id, handle -> handle.onCompleted(Outcome.OK, NanoDuration.ZERO));
    }

    /** A request comes to its call, and the call ends so after so long. */
    void call(long id, int millis, Outcome outcome) {
        tell(id, RequestListener::onCallNeeded);
        pass(millis);
        tell(id, handle -> handle.onCallCompleted(outcome, NanoDuration.ofSeconds(millis / 1e3)));
    }

    void baseline(int millis) {
        for (int i = 0; i < 8; i++) {
            long id = arrive(SAFE);
            call(id, millis, Outcome.OK);
            end(id);
        }
        trace.clear();
    }

    void pass(int millis) {
        long until = nanos + millis * 1_000_000L;
        while (!wakes.isEmpty() && wakes.firstKey() <= until) {
            nanos = Math.max(nanos, wakes.pollFirstEntry().getKey());
            policy.wake(resourceUsage);
            policy.decide();
        }
        nanos = until;
    }

    String printed() {
        return String.join("\n", trace) + "\n";
    }

    private void say(String line) {
        listener.accept(line);
        trace.add(String.format(Locale.ROOT, "%d %s", (nanos - 1_000_000_000L) / 1_000_000, line));
    }

    @Override
    public MonotonicTime now() {
        return new MonotonicTime(nanos);
    }

    @Override
    public void run(RequestId requestId) {
        say("run " + requestId.number());
    }

    @Override
    public void stop(RequestId requestId) {
        say("stop " + requestId.number());
    }

    @Override
    public void reject(RequestId requestId, boolean doNotRetryElsewhere, NanoDuration retryAfter) {
        say(
                "bounce "
                        + requestId.number()
                        + (retryAfter.isPositive() ? ", come back later" : "")
                        + (doNotRetryElsewhere ? ", ask no other" : ""));
    }

    @Override
    public void fail(RequestId requestId) {
        say("fail " + requestId.number());
    }

    @Override
    public void call(RequestId requestId, NanoDuration cap) {
        caps.put(requestId.number(), cap);
        say("call " + requestId.number());
    }

    @Override
    public void skipCall(RequestId requestId) {
        say("skip the call of " + requestId.number());
    }

    @Override
    public void answerFromOriginal(RequestId requestId) {
        say("reuse for " + requestId.number());
    }

    @Override
    public void remember(RequestId requestId, NanoDuration duration) {
        say("remember " + requestId.number());
    }

    @Override
    public void forget(RequestId requestId) {
        say("forget " + requestId.number());
    }

    @Override
    public void reportHealth(boolean good, boolean fromStore) {
        say("health " + (good ? "good" : "bad"));
    }

    @Override
    public void reportAvailableCapacity(double value) {
        say(String.format(Locale.ROOT, "advise %.2f", value));
    }

    @Override
    public void closeIdleConnections(NanoDuration idle) {
        say(String.format(Locale.ROOT, "close idle after %.2f", idle.seconds()));
    }

    @Override
    public void wakeAt(MonotonicTime time) {
        if (time.nanos() <= nanos) {
            throw new IllegalArgumentException("a wake-up in the past is never heard");
        }
        wakes.merge(time.nanos(), 1, Integer::sum);
    }

    @Override
    public void release(RequestId requestId) {
        listener.accept("over " + requestId.number());
    }

    @Override
    public void log(String line) {
        say("log " + line);
    }
}
