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
 * Settings by chance, with entries left out by chance, under a light load in made-up time: each
 * request gets one final answer within its caller's time, a mark runs once within its window, and
 * where all below is well each is served, whatever the settings leave out.
 */
final class RandomSettingsTest implements UpstreamConnections, Executor, Dependency {
    private static final byte[] BODY = {'b'};

    /** One request as sent. */
    private record SentRequest(MonotonicTime due, boolean pressed) {}

    private Random chance;
    private Map<String, String> settings;
    private final TimerService deadlines = new TimerService();
    private final Map<Long, SentRequest> unanswered = new HashMap<>();
    private final Map<Long, String> keys = new HashMap<>();
    private final Map<String, MonotonicTime> ranFrom = new HashMap<>();
    private final Map<String, MonotonicTime> reachedOf = new HashMap<>();
    private final Set<AttemptId> running = new HashSet<>();
    private final Set<AttemptId> over = new HashSet<>();
    private MonotonicTime now = new MonotonicTime(1_000_000_000_000L);
    private RequestProcessor processor;
    private boolean troubles;
    private boolean refuses;
    private NanoDuration work;
    private long tag;
    private int served;
    private final List<String> log = new ArrayList<>();

    private boolean maybe() {
        return chance.nextBoolean();
    }

    private double between(double least, double most) {
        return least * Math.pow(most / least, chance.nextDouble());
    }

    private void put(String name, Object value) {
        settings.put(name, value.toString());
    }

    private void maybePut(String name, Object value) {
        if (maybe()) {
            put(name, value);
        }
    }

    @SafeVarargs
    private <T> T oneOf(T... all) {
        return all[chance.nextInt(all.length)];
    }

    private static long nanos(double seconds) {
        return Math.round(seconds * 1e9);
    }

    private void draw() {
        settings = new TreeMap<>();
        int requestClasses = 1 + chance.nextInt(8);
        double shortest = 60;
        StringBuilder calls = new StringBuilder();
        StringBuilder skips = new StringBuilder();
        for (int i = 0; i < requestClasses; i++) {
            String at = "services." + i + ".";
            double giveUp = between(0.3, 60);
            shortest = Math.min(shortest, giveUp);
            put(at + "name", oneOf("EXEC", "a-b", "1", "track.", "x:y") + i);
            put(at + "give_up_ns", nanos(giveUp));
            put(at + "aim_ns", nanos(giveUp * oneOf(1.0, 0.5)));
            String effect = oneOf("pure", "token", "side_effect");
            put(at + "effect", effect);
            if (effect.equals("token") || maybe()) {
                put(at + "window_ns", nanos(between(0.2, 600)));
            }
            maybePut(at + "worth", oneOf(0.0, 1.0, 5.0));
            maybePut(at + "late_value", oneOf(0.0, 0.2));
            calls.append(i > 0 ? "," : "").append(maybe());
            skips.append(i > 0 ? "," : "").append(oneOf(0.0, 0.6));
        }
        put("services.count", requestClasses);
        if (maybe()) {
            int tenants = chance.nextInt(4);
            put("customers.count", tenants);
            for (int i = 0; i < tenants; i++) {
                put("customers." + i + ".name", oneOf("n", "n.1", "ü") + i);
                maybePut("customers." + i + ".quota_rps", oneOf(0.0, 0.5, 1e6));
                maybePut("customers." + i + ".share", 1.0 / tenants);
            }
        }
        String downstream = oneOf("off", "one_for_all", "tier", "");
        if (!downstream.isEmpty()) {
            put("domain.below", downstream);
        }
        maybePut("domain.class_calls", calls);
        maybePut("domain.class_skip_worth", skips);
        if (downstream.equals("one_for_all")) {
            maybePut("domain.calls_out", between(1, 20));
            maybePut("domain.calls_over_ns", nanos(5));
            maybePut("domain.linger_ns", nanos(0.2));
        }
        maybePut("domain.cpus", 1 + chance.nextInt(64));
        maybePut("domain.memory_kb", 400_000);
        maybePut("domain.entry_kb", 10);
        maybePut("domain.run_mem_factor", oneOf(1, 8));
        maybePut("domain.upstreams", chance.nextInt(3000));
        maybePut("domain.advert", oneOf("off", "floor", "allowance", "weight"));
        maybePut("domain.stop_mode", oneOf("off", "discard", "freeze"));
        maybePut("domain.keepalive_max_ns", nanos(30));
        maybePut("domain.gauges", "core_use,on_cores,heap_share,links");
        maybePut("domain.registry_follows", maybe());
        maybePut("domain.real_checks", maybe());
        maybePut("group_size", 1 + chance.nextInt(300));
        maybePut("over_share_worth", 0.05);
        maybePut("goal.worst_class", 0.3);
        maybePut("rules.fall_multiple", oneOf(2, 8));
        maybePut("rules.fall_ns", nanos(2));
        maybePut("rules.drain_grace_ns", nanos(2));
        maybePut("rules.ramp_time_ns", nanos(18));
        maybePut("rules.cold_share", 0.2);
        maybePut("bounds.max_retry_after_ns", nanos(1));
        put("step_ns", oneOf(1_000_000, 4_000_000));
        work = NanoDuration.ofSeconds(Math.min(between(0.002, 5), shortest / 50));
        troubles = maybe();
        refuses = maybe();
    }

    private int count(String list) {
        return Integer.parseInt(settings.getOrDefault(list + ".count", "0"));
    }

    private void play(int seed) {
        chance = new Random(seed);
        draw();
        processor =
                new RequestProcessor(
                        settings,
                        seed,
                        AdmissionController::new,
                        new RequestProcessor.Ports(this, this, this, log::add),
                        deadlines,
                        new RequestProcessor.TableLimits(64, 1024, 1024, 1 << 20),
                        now);
        processor.welcomed(false, NanoDuration.ZERO);
        processor.settle();
        ConnectionId line = processor.connected();
        int sent = 0;
        for (int i = 0; i < 60; i++) {
            line = i % 20 == 0 ? processor.connected() : line;
            send(line);
            sent++;
            pass(work.times(troubles ? oneOf(0.1, 0.5, 3.0) : oneOf(2.0, 3.0, 6.0)));
        }
        pass(NanoDuration.ofSeconds(70));
        assertThat(unanswered).as("seed %d left unanswered", seed).isEmpty();
        assertThat(processor.isAnswered()).isTrue();
        if (!troubles) {
            assertThat(served)
                    .as("seed %d satisfied; the log: %s; settings %s", seed, log, settings)
                    .isEqualTo(sent);
        }
    }

    private void send(ConnectionId line) {
        int classIndex = chance.nextInt(count("services"));
        String at = "services." + classIndex + ".";
        int tenants = count("customers");
        String tenant =
                tenants > 0
                        ? settings.get("customers." + chance.nextInt(tenants) + ".name")
                        : oneOf("", "anyone");
        double giveUp = Double.parseDouble(settings.get(at + "give_up_ns")) / 1e9;
        NanoDuration clientTimeout =
                maybe() ? NanoDuration.ZERO : NanoDuration.ofSeconds(giveUp * oneOf(0.7, 0.9, 1.2));
        NanoDuration hint = maybe() ? NanoDuration.ZERO : work.times(oneOf(0.5, 1.0, 2.0));
        boolean keyed = settings.get(at + "effect").equals("token");
        // The mark names its request class, as an upstream load balancer's would: no two requests
        // of different request classes
        // are one.
        String key = keyed ? classIndex + "f" + chance.nextInt(6) : null;
        MonotonicTime reached = now.minus(work.times(oneOf(0.0, 0.5)));
        NanoDuration waits =
                clientTimeout.isPositive()
                        ? clientTimeout.min(NanoDuration.ofSeconds(giveUp))
                        : NanoDuration.ofSeconds(giveUp);
        tag++;
        AttemptId id = new AttemptId(String.format("%016x", tag));
        unanswered.put(tag, new SentRequest(reached.plus(waits), troubles));
        keys.put(tag, key == null ? "" : key);
        reachedOf.put(id.digits(), reached);
        processor.arrived(
                line,
                tag,
                new IncomingRequest(
                        id,
                        settings.get(at + "name"),
                        tenant,
                        new SubjectId(0),
                        new UpstreamId(1),
                        clientTimeout,
                        hint,
                        maybe(),
                        reached,
                        10,
                        0.5,
                        key == null ? null : new IdempotencyKey(key),
                        BODY));
        processor.settle();
    }

    private void pass(NanoDuration duration) {
        MonotonicTime until = now.plus(duration);
        while (!until.isBefore(deadlines.earliest())) {
            now = now.isBefore(deadlines.earliest()) ? deadlines.earliest() : now;
            processor.advance(now);
            deadlines.runDue(now);
            processor.settle();
        }
        now = until;
        processor.advance(now);
    }

    @Override
    public void answer(ConnectionId connection, long to, Response answer) {
        SentRequest sent = unanswered.remove(to);
        assertThat(sent).as("a second answer to %d", to).isNotNull();
        assertThat(now.isBefore(sent.due))
                .as(
                        "%d answered %s in time, due %s s before; the log: %s; settings %s",
                        to, answer.word(), now.since(sent.due).seconds(), log, settings)
                .isTrue();
        served += answer.word() == Response.Kind.SERVED ? 1 : 0;
        if (answer.word() != Response.Kind.SERVED) {
            log.add(
                    to
                            + " "
                            + answer.word()
                            + " "
                            + sent.due().since(now).seconds()
                            + " s before it was due");
        }
    }

    @Override
    public void sayNoMore(ConnectionId connection) {
        // Each connection is used for a while only.
    }

    @Override
    public void readNoMore(ConnectionId connection) {
        // Nothing more comes on it.
    }

    @Override
    public void close(ConnectionId connection, Completion why) {
        processor.disconnected(connection);
    }

    // ---- the executor: half of the work, a call where the request class makes any, the other half
    // ----

    private void later(NanoDuration wait, Runnable job) {
        deadlines.schedule(now.plus(wait), job);
    }

    @Override
    public boolean run(AttemptId id, String className, byte[] body) {
        long number = Long.parseLong(id.digits(), 16);
        String key = keys.get(number);
        if (!key.isEmpty()) {
            int at = Integer.parseInt(className.replaceAll(".*(\\d)$", "$1"));
            MonotonicTime reached = reachedOf.get(id.digits());
            NanoDuration window =
                    new NanoDuration(Long.parseLong(settings.get("services." + at + ".window_ns")));
            MonotonicTime before = ranFrom.put(key, reached);
            assertThat(before == null || !reached.isBefore(before.plus(window)))
                    .as("%s runs twice", key)
                    .isTrue();
        }
        assertThat(running.add(id)).isTrue();
        int place = Integer.parseInt(className.replaceAll(".*(\\d)$", "$1"));
        boolean downstream =
                settings.getOrDefault("domain.below", "off").matches("one_for_all|tier");
        String[] calls = settings.getOrDefault("domain.class_calls", "").split(",", 0);
        boolean called =
                downstream && place < calls.length && calls[place].equals("true") && maybe();
        later(
                work.times(0.5),
                () -> {
                    if (called) {
                        processor.calledOut(id, BODY);
                    } else {
                        rest(id);
                    }
                });
        return true;
    }

    private void rest(AttemptId id) {
        later(
                work.times(0.5),
                () ->
                        exit(
                                id,
                                troubles && chance.nextInt(8) == 0
                                        ? Completion.FAILED
                                        : Completion.WELL));
    }

    private void exit(AttemptId id, Completion ending) {
        if (running.contains(id) && over.add(id)) {
            processor.exited(id, ending, work, BODY);
        }
    }

    @Override
    public boolean giveReply(AttemptId id, byte[] reply) {
        rest(id);
        return true;
    }

    @Override
    public boolean stop(AttemptId id) {
        assertThat(settings.getOrDefault("domain.stop_mode", "off"))
                .as("a way to stop is named")
                .isNotEqualTo("off");
        later(
                NanoDuration.ofSeconds(0.001),
                refuses
                        ? () -> processor.notCarriedOut("KILL", id)
                        : () -> exit(id, Completion.STOPPED));
        return true;
    }

    @Override
    public boolean skipCall(AttemptId id) {
        if (refuses) {
            later(NanoDuration.ofSeconds(0.001), () -> processor.notCarriedOut("BYPASS", id));
        } else {
            rest(id);
        }
        return true;
    }

    @Override
    public void askResourceUsage(long requested) {
        if (settings.containsKey("domain.gauges")) {
            later(
                    NanoDuration.ofSeconds(0.0005),
                    () ->
                            processor.resourceUsageRead(
                                    requested, new double[] {0.5, running.size(), 0.1, 1}));
        }
    }

    @Override
    public void checkDeep(long requested) {
        // Nobody checks.
    }

    @Override
    public void call(AttemptId id, NanoDuration cap, byte[] body) {
        Completion ending =
                troubles
                        ? oneOf(
                                Completion.WELL,
                                Completion.SHED,
                                Completion.TIMED_OUT_DOWNSTREAM,
                                Completion.FAILED_DOWNSTREAM,
                                Completion.CONNECTION_REFUSED)
                        : Completion.WELL;
        later(
                work.times(0.2),
                () -> processor.callEnded(id, ending, ending == Completion.WELL ? BODY : null));
    }

    @Override
    public void giveUp(AttemptId id) {
        // What comes late is passed over by the request processor.
    }

    @Test
    void eachRequestGetsOneAnswerInItsTimeAndNoneIsLostToWhatTheSettingsLeaveOut() {
        for (int seed = 1; seed <= 400; seed++) {
            new RandomSettingsTest().play(seed);
        }
    }
}
