package lupinwood.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Many random but legal days, and the four rules reckoned apart from AdmissionController. */
final class RandomLoadTest {
    private static final int CORES = 2;
    private static final double MEMORY = 400;

    /** What the machine knows of a request. */
    private static final class Known {
        int classIndex;
        long original;
        long reached;
        double memory;
        int runs;
        boolean answered;
        boolean gone;
        boolean reuses;
        boolean stored;

        /** held, running, needs, calling, or over. */
        String place = "held";
    }

    private final List<String> broken = new ArrayList<>();
    private final Map<Long, Known> all = new TreeMap<>();
    private RecordingServer machine;
    private Random chance;
    private long leftAt;

    @Test
    void theFourRulesBlockOverManyRandomDays() {
        for (int day = 0; day < 60; day++) {
            play(day);
        }
        assertThat(broken).isEmpty();
    }

    private void play(int day) {
        chance = new Random(day);
        all.clear();
        leftAt = Long.MAX_VALUE / 2;
        machine =
                new RecordingServer()
                        .set("domain.memory_kb=" + (int) MEMORY + " domain.calls_out=3")
                        .set(
                                "domain.cold="
                                        + (day % 2 == 0)
                                        + " rules.cold_share=0.3 rules.ramp_time_ns=9000000000")
                        .set(
                                "domain.stop_mode="
                                        + (day % 3 == 0
                                                ? "freeze"
                                                : day % 3 == 1 ? "discard" : "off"))
                        .set(
                                "domain.class_skip_worth="
                                        + (day % 4 == 0 ? "0.3,0,0.2,0" : "0,0,0,0"))
                        .start();
        machine.listener = this::heard;
        boolean leaves = day % 5 == 0;
        long stop = Long.MAX_VALUE / 2;
        for (int step = 0; step < 1500 && machine.now().nanos() < stop - 210_000_000L; step++) {
            if (leaves && step == 1000) {
                leftAt = machine.now().nanos();
                stop = leftAt + 3_000_000_000L;
                machine.policy.drain(NanoDuration.ofSeconds(3));
                machine.policy.decide();
            }
            if (chance.nextInt(3) == 0) {
                arrive();
            }
            happen();
            machine.pass(chance.nextInt(step % 300 < 40 ? 200 : 12));
            check(day, step);
        }
        machine.pass(leaves ? (int) ((stop - machine.now().nanos()) / 1_000_000) : 6000);
        check(day, -1);
    }

    private void arrive() {
        Known known = new Known();
        known.classIndex = chance.nextInt(4);
        known.reached = machine.now().nanos();
        known.memory = 1 + chance.nextInt(12);
        List<Long> stored = all.keySet().stream().filter(id -> all.get(id).stored).toList();
        if (known.classIndex == RecordingServer.IDEMPOTENT
                && !stored.isEmpty()
                && chance.nextInt(3) == 0) {
            known.original = stored.get(chance.nextInt(stored.size()));
            if (machine.now().nanos() - all.get(known.original).reached > 8_000_000_000L) {
                known.original = 0;
            }
        }
        all.put(all.size() + 1L, known);
        machine.arrive(known.classIndex, known.original, known.memory, 0);
    }

    /** Something that the machine's state allows happens to some requests. */
    private void happen() {
        for (Map.Entry<Long, Known> entry : List.copyOf(all.entrySet())) {
            Known known = entry.getValue();
            if (known.place.equals("over") || chance.nextInt(12) != 0) {
                continue;
            }
            long id = entry.getKey();
            if (known.place.equals("running")) {
                if (known.classIndex != RecordingServer.LOCAL
                        && !known.answered
                        && !known.gone
                        && chance.nextBoolean()) {
                    known.place = "needs";
                    machine.tell(id, RequestListener::onCallNeeded);
                } else {
                    end(
                            id,
                            known,
                            known.answered || known.gone
                                    ? Outcome.CANCELLED
                                    : chance.nextInt(8) == 0 ? Outcome.ERROR : Outcome.OK);
                }
            } else if (known.place.equals("calling")) {
                Outcome outcome = List.of(Outcome.values()).get(chance.nextInt(6));
                known.place = outcome == Outcome.OK ? "running" : "needs";
                machine.tell(
                        id, handle -> handle.onCallCompleted(outcome, NanoDuration.ofSeconds(0.1)));
            } else if (known.reuses && chance.nextInt(3) == 0) {
                end(id, known, Outcome.OK);
            } else if (!known.answered && chance.nextInt(20) == 0) {
                known.gone = true;
                known.place = known.place.equals("held") ? "over" : known.place;
                machine.tell(id, RequestListener::onClientGone);
                if (known.place.equals("needs")) {
                    end(id, known, Outcome.CANCELLED);
                }
            }
        }
    }

    private void end(long id, Known known, Outcome outcome) {
        known.answered = true;
        known.place = "over";
        machine.tell(id, handle -> handle.onCompleted(outcome, NanoDuration.ZERO));
    }

    private void heard(String line) {
        String[] words = line.split("[ ,]+", 0);
        if (words[0].equals("log") || words[0].equals("health") || words[0].equals("over")) {
            return;
        }
        boolean idLast = words[words.length - 1].matches("\\d+");
        Known known = all.get(Long.parseLong(words[idLast ? words.length - 1 : 1]));
        switch (words[0]) {
            case "run" -> {
                known.runs++;
                known.place = "running";
                expect(known.runs == 1, line + " twice");
                expect(!known.answered && !known.gone, line + " after its answer");
                expect(
                        known.original == 0 || all.get(known.original).runs == 0,
                        line + " though a try ran");
                expect(known.reached - 1_000_000_000L <= leftAt, line + " past the grace");
            }
            case "bounce", "fail" -> {
                expect(!known.answered && !known.gone, line + " answered already");
                expect(!words[0].equals("bounce") || known.runs == 0, line + " after its run");
                known.answered = true;
                known.place = known.place.equals("running") ? "running" : "over";
            }
            case "call" -> known.place = "calling";
            case "skip" -> known.place = "running";
            case "reuse" -> known.reuses = true;
            case "remember" -> known.stored = true;
            case "forget" -> {
                known.stored = false;
                expect(known.runs == 0, line + " though it ran");
            }
            default -> {}
        }
    }

    private void check(int day, int step) {
        long now = machine.now().nanos();
        double memory = 0;
        int running = 0;
        int calls = 0;
        for (Map.Entry<Long, Known> entry : all.entrySet()) {
            Known known = entry.getValue();
            boolean due = now > known.reached + 5_000_000_000L || now >= leftAt + 3_000_000_000L;
            expect(!due || known.answered || known.gone, entry.getKey() + " unanswered");
            memory += known.place.equals("over") ? 0 : known.memory * (known.runs > 0 ? 4 : 1);
            memory += known.stored && now < known.reached + 8_000_000_000L ? 1 : 0;
            running += known.place.equals("running") ? 1 : 0;
            calls += known.place.equals("calling") ? 1 : 0;
        }
        expect(memory <= MEMORY, "memory " + memory);
        expect(running <= CORES * 5, "crowd " + running);
        expect(calls <= 3, "calls in hand " + calls);
        if (!broken.isEmpty()) {
            broken.add("day " + day + ", step " + step);
            throw new AssertionError(broken);
        }
    }

    private void expect(boolean holds, String what) {
        if (!holds) {
            broken.add(what);
        }
    }
}
