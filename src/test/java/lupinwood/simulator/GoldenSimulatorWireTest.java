package lupinwood.simulator;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.IntStream;
import lupinwood.admission.AdmissionController;
import lupinwood.admission.GoldenFile;
import lupinwood.admission.ScriptedPolicy;
import org.junit.jupiter.api.Test;

/** Whole plays on the simulator's wire, in hexadecimal: each batch that came, and each reply. */
final class GoldenSimulatorWireTest {
    private static final int START = 16;
    private static final int REQUEST = 17;
    private static final int ENDED = 18;
    private static final int NEEDS_CALL = 19;
    private static final int CALL_ENDED = 20;
    private static final int LEAVE = 21;
    private static final int LEFT = 22;
    private static final int WAKE = 23;
    private static final int KILLED = 24;
    private static final int FIRST_CODE = 80;
    private static final int SKIP = 80;
    private static final int TIMER = 81;
    private static final int REUSE = 82;
    private static final int STOP = 84;
    private static final int RUN = 86;
    private static final int CALL = 87;
    private static final int LOG = 89;
    private static final int DIE = 91;
    private static final int REMEMBER = 93;
    private static final int LAST_CODE = 94;
    private static final long MS = 1_000_000;
    private static final int[] OUTCOMES = {0, 11, 104, 110, 111, 114, 125, 5};

    private final StringBuilder transcript = new StringBuilder();
    private final StringBuilder texts = new StringBuilder();
    private final TreeSet<Integer> codes = new TreeSet<>();

    /** One record that comes from a node. */
    private record Said(int code, int instance, ByteBuffer fields) {}

    // ---- batches ----

    private static ByteBuffer fields(int instance) {
        return ByteBuffer.allocate(4096).putShort((short) instance);
    }

    private static byte[] event(int code, ByteBuffer fields) {
        ByteBuffer all = ByteBuffer.allocate(5 + fields.position());
        all.put((byte) code).putInt(fields.position()).put(fields.flip());
        return all.array();
    }

    private static byte[] start(int instance, long seed, String settings) {
        byte[] text = settings.getBytes(UTF_8);
        return event(START, fields(instance).putLong(seed).putInt(text.length).put(text));
    }

    private static byte[] about(int code, int instance, long requestId) {
        return event(code, fields(instance).putInt((int) requestId));
    }

    private static byte[] ended(int instance, long requestId, int outcome, long took) {
        return event(
                ENDED,
                fields(instance).putInt((int) requestId).putShort((short) outcome).putLong(took));
    }

    private static byte[] callEnded(int instance, long requestId, int outcome, long took) {
        return event(
                CALL_ENDED,
                fields(instance).putInt((int) requestId).putLong(took).putShort((short) outcome));
    }

    private static byte[] wake(int instance, float... resourceUsage) {
        ByteBuffer fields = fields(instance).putInt(7).put((byte) resourceUsage.length);
        for (float value : resourceUsage) {
            fields.putFloat(value);
        }
        return event(WAKE, fields);
    }

    private static byte[] request(
            int instance,
            long id,
            int classIndex,
            int marks,
            float memory,
            float rank,
            long original) {
        return event(
                REQUEST,
                fields(instance)
                        .putInt((int) id)
                        .put((byte) classIndex)
                        .putInt((int) id % 2)
                        .putLong(id * 31)
                        .putLong(id % 3 * 900 * MS)
                        .putLong(20 * MS)
                        .putFloat(memory)
                        .putFloat(rank)
                        .putShort((short) marks)
                        .putShort((short) (id % 5))
                        .putLong(id % 4 * MS)
                        .putInt((int) original));
    }

    /** Notes a batch and the reply to it, and returns what was said. */
    private List<Said> batch(SimulatorAdapter simulator, long clock, List<byte[]> events)
            throws IOException {
        int length = 8 + events.stream().mapToInt(each -> each.length).sum();
        ByteBuffer frame = ByteBuffer.allocate(4 + length).putInt(length).putLong(clock);
        transcript.append(HexFormat.of().formatHex(frame.array(), 0, frame.position()));
        transcript.append('\n');
        for (byte[] event : events) {
            frame.put(event);
            transcript.append(" > ").append(HexFormat.of().formatHex(event)).append('\n');
        }
        ByteArrayOutputStream reply = new ByteArrayOutputStream();
        // A drill keeps its nodes from one input to the next, so the replies come one by one.
        simulator.play(new ByteArrayInputStream(frame.array()), reply);
        return note(ByteBuffer.wrap(reply.toByteArray()));
    }

    private List<Said> note(ByteBuffer reply) {
        int length = reply.getInt();
        int records = reply.getInt();
        List<Said> said = new ArrayList<>();
        StringBuilder lines = new StringBuilder();
        boolean hasText = false;
        for (int i = 0; i < records; i++) {
            int code = reply.get() & 0xff;
            int size = reply.getInt();
            int instance = reply.getShort() & 0xffff;
            byte[] body = new byte[size - 2];
            reply.get(body);
            codes.add(code);
            said.add(new Said(code, instance, ByteBuffer.wrap(body)));
            if (code == DIE || code == LOG) {
                hasText = true;
                texts.append(text(code, body)).append('\n');
                lines.append(String.format(" < %02x (text) %04x\n", code, instance));
            } else {
                lines.append(String.format(" < %02x %08x %04x ", code, size, instance))
                        .append(HexFormat.of().formatHex(body))
                        .append('\n');
            }
        }
        assertThat(reply.hasRemaining()).isFalse();
        transcript.append(hasText ? "(text)" : String.format("%08x", length));
        transcript.append(String.format(" %08x\n", records)).append(lines);
        return said;
    }

    /** A record's own text; where in the code a node failed may change. */
    private static String text(int code, byte[] body) {
        ByteBuffer bytes = ByteBuffer.wrap(body);
        assertThat(bytes.getShort() & 0xffff).isEqualTo(bytes.remaining());
        String text = UTF_8.decode(bytes).toString();
        return code == DIE ? text.substring(0, text.indexOf(" at ") + 4) + "..." : text;
    }

    // ---- every event and every code ----

    @Test
    void everyEventAndEveryCodeHaveTheSameBytes() throws IOException {
        List<String> heard = new ArrayList<>();
        SimulatorAdapter simulator =
                new SimulatorAdapter(
                        (server, seed, settings) -> new ScriptedPolicy(server, heard::add));
        batch(
                simulator,
                100 * MS,
                List.of(
                        start(3, -1, "domain.gauges=links,core_use,heap_share,on_cores,more"),
                        start(0xfffe, 2, "")));
        int[] scripts = {
            20, 1, 2, 3, 5, 15, 16, 17, 18, 19, 30, 31, 32, 33, 34, 35, 36, 40, 41, 42, 43, 44, 45
        };
        long id = 100;
        for (int script : scripts) {
            id++;
            long clock = (100 + id) * MS;
            batch(simulator, clock, List.of(request(3, id, 1, 3, script, 0.25f, 0)));
            batch(simulator, clock, List.of(about(NEEDS_CALL, 3, id)));
            for (int outcome : OUTCOMES) {
                batch(simulator, clock, List.of(callEnded(3, id, outcome, 5)));
            }
            batch(simulator, clock, List.of(about(LEFT, 3, id)));
            int outcome = OUTCOMES[(int) (id % OUTCOMES.length)];
            batch(simulator, clock, List.of(ended(3, id, outcome, 7)));
        }
        long again = 0xffff_fff0L;
        batch(
                simulator,
                500 * MS,
                List.of(
                        request(0xfffe, again, 2, 0, 20, 0.5f, 0),
                        request(0xfffe, again + 1, 2, 2, 20, 0.5f, again),
                        wake(3, 1.5f, 0.25f, Float.NaN),
                        wake(3, 1, 2, 3, 4, 5),
                        event(REQUEST, fields(3).putInt(900).put((byte) 1).putInt(1)),
                        event(63, fields(3)),
                        event(25, ByteBuffer.allocate(0)),
                        about(LEFT, 3, 12345),
                        event(LEAVE, fields(3).putLong(2000 * MS)),
                        request(3, 901, 1, 1, 20, 0.5f, 0),
                        event(KILLED, fields(0xfffe)),
                        wake(0xfffe),
                        wake(77)));
        batch(simulator, 501 * MS, List.of());
        heard.forEach(line -> transcript.append("node: ").append(line).append('\n'));
        assertThat(codes)
                .containsAll(IntStream.rangeClosed(FIRST_CODE, LAST_CODE).boxed().toList());
        GoldenFile.holds("simulator/scripted.txt", transcript.toString());
        GoldenFile.holds("simulator/scripted-texts.txt", texts.toString());
    }

    // ---- the decisions ----

    /** What one instance's machine does, as far as its node says. */
    private static final class Life {
        private final int instance;
        private final TreeSet<Long> running = new TreeSet<>();
        private final TreeSet<Long> calling = new TreeSet<>();
        private final TreeSet<Long> called = new TreeSet<>();
        private final TreeSet<Long> reusing = new TreeSet<>();
        private final List<Long> remembered = new ArrayList<>();
        private long wakeAt = Long.MAX_VALUE;

        Life(int instance) {
            this.instance = instance;
        }

        void take(Said said) {
            ByteBuffer fields = said.fields();
            switch (said.code()) {
                case TIMER -> wakeAt = fields.getLong();
                case RUN, SKIP -> running.add((long) fields.getInt());
                case STOP -> running.remove((long) fields.getInt());
                case CALL -> calling.add((long) fields.getInt());
                case REUSE -> reusing.add((long) fields.getInt());
                case REMEMBER -> remembered.add((long) fields.getInt());
                default -> {}
            }
        }

        /** What happens on it in one step. */
        List<byte[]> step(Random chance, long clock) {
            List<byte[]> events = new ArrayList<>();
            for (long id : List.copyOf(running)) {
                double dice = chance.nextDouble();
                if (dice < 0.12) {
                    int outcome = dice < 0.1 ? 0 : OUTCOMES[chance.nextInt(OUTCOMES.length)];
                    running.remove(id);
                    events.add(ended(instance, id, outcome, 30 * MS));
                } else if (dice < 0.35 && called.add(id)) {
                    running.remove(id);
                    events.add(about(NEEDS_CALL, instance, id));
                }
            }
            for (long id : List.copyOf(calling)) {
                if (chance.nextDouble() < 0.25) {
                    int outcome =
                            chance.nextInt(3) > 0 ? 0 : OUTCOMES[chance.nextInt(OUTCOMES.length)];
                    calling.remove(id);
                    events.add(callEnded(instance, id, outcome, 40 * MS));
                    if (outcome == 0) {
                        running.add(id);
                    }
                }
            }
            for (long id : reusing) {
                events.add(ended(instance, id, chance.nextInt(4) > 0 ? 0 : 5, MS));
            }
            reusing.clear();
            if (wakeAt <= clock) {
                wakeAt = Long.MAX_VALUE;
                float links = 5 + chance.nextInt(60);
                events.add(wake(instance, chance.nextFloat(), running.size(), 0.3f, links));
            }
            return events;
        }

        byte[] arrive(Random chance, long id) {
            int classIndex = chance.nextInt(3);
            long original = 0;
            if (classIndex == 1 && !remembered.isEmpty() && chance.nextInt(3) == 0) {
                original = remembered.get(chance.nextInt(remembered.size()));
            }
            float memory = 10 + chance.nextInt(200);
            return request(
                    instance,
                    id,
                    classIndex,
                    chance.nextInt(4),
                    memory,
                    chance.nextFloat(),
                    original);
        }
    }

    @Test
    void theDecisionsOfALongPlayHaveTheSameBytes() throws IOException {
        Random chance = new Random(20260101);
        SimulatorAdapter simulator = new SimulatorAdapter(AdmissionController::new);
        Map<Integer, Life> lives = new LinkedHashMap<>();
        String settings = GoldenFile.text("simulator/decisions-settings.in");
        Map<Integer, String> reported = new TreeMap<>();
        reported.put(3, settings + "domain.stop_mode=freeze\ndomain.advert=allowance\n");
        reported.put(4, settings + "domain.stop_mode=discard\ndomain.advert=floor\n");
        reported.put(5, settings + "domain.stop_mode=off\ndomain.advert=weight\n");
        long clock = 1000 * MS;
        long id = 0;
        for (int step = 0; step < 260; step++) {
            clock += (1 + chance.nextInt(25)) * MS;
            List<byte[]> events = new ArrayList<>();
            for (int instance : reported.keySet()) {
                if (step == 0 || (step == 190 && instance == 4)) {
                    events.add(start(instance, 1000L + step, reported.get(instance)));
                    lives.put(instance, new Life(instance));
                } else if (step == 180 && instance == 4) {
                    events.add(event(KILLED, fields(instance)));
                } else if (step == 220 && instance == 3) {
                    events.add(event(LEAVE, fields(instance).putLong(1500 * MS)));
                }
            }
            for (Life life : lives.values()) {
                events.addAll(life.step(chance, clock));
                for (int i = chance.nextInt(step > 60 && step < 160 ? 7 : 2); i > 0; i--) {
                    events.add(life.arrive(chance, ++id));
                }
                if (id > 0 && chance.nextInt(12) == 0) {
                    events.add(about(LEFT, life.instance, 1 + chance.nextInt((int) id)));
                }
            }
            for (Said said : batch(simulator, clock, events)) {
                lives.get(said.instance()).take(said);
            }
        }
        transcript.append("codes: ").append(codes).append('\n');
        GoldenFile.holds("simulator/decisions.txt", transcript.toString());
        GoldenFile.holds("simulator/decisions-texts.txt", texts.toString());
    }
}
