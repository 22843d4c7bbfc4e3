package lupinwood.processing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lupinwood.admission.AdmissionController;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.RecordingServer;
import lupinwood.admission.Request;
import lupinwood.admission.RuleCheckingPolicy;
import lupinwood.admission.SubjectId;
import lupinwood.admission.UpstreamId;
import org.junit.jupiter.api.Test;

/**
 * The request processor round a real AdmissionController, with ports that print what is asked of
 * them.
 */
final class RequestProcessorTest implements UpstreamConnections, Executor, Dependency {
    private static final byte[] NOTHING = {};

    private final RecordingServer machine = new RecordingServer();
    private final StringBuilder trace = new StringBuilder();
    private final TimerService deadlines = new TimerService();
    private MonotonicTime now = new MonotonicTime(1_000_000_000_000L);
    private boolean linked = true;
    private boolean takesAnswers = true;
    private boolean resourceUsageCome = true;
    private int onCores = 9;
    private RequestProcessor processor;
    private ConnectionId line;
    private long tag;

    RequestProcessorTest() {
        machine.set(
                "customers.count=1 customers.0.name=acme"
                        + " domain.gauges=core_use,on_cores,heap_share,links domain.keepalive_max_ns=3000000000"
                        + " services.0.name=pure services.1.name=token"
                        + " services.2.name=side_effect");
    }

    private void start() {
        make(8192);
        processor.welcomed(false, NanoDuration.ZERO);
        processor.settle();
        gainStanding();
    }

    /**
     * A request of the connection is carried out, so that it is known to be an upstream load
     * balancer's.
     */
    private void gainStanding() {
        tell(() -> processor.arrived(line, 99, arrival(99, "pure", null, "first")));
        exit(99, Completion.WELL, "x");
        trace.setLength(0);
    }

    private void make(long idempotencyBytes) {
        make(4, idempotencyBytes);
    }

    private void make(int connections, long idempotencyBytes) {
        processor =
                new RequestProcessor(
                        machine.settings,
                        7,
                        AdmissionController::new,
                        new RequestProcessor.Ports(this, this, this, this::log),
                        deadlines,
                        new RequestProcessor.TableLimits(connections, 40, 64, idempotencyBytes),
                        now);
        line = processor.connected();
    }

    private static AttemptId id(long tag) {
        return new AttemptId(String.format("%016x", tag));
    }

    /** A request comes; its tag and its id are the next number. */
    private long arrive(String className, String idempotencyKey, String body) {
        tell(() -> processor.arrived(line, ++tag, arrival(tag, className, idempotencyKey, body)));
        return tag;
    }

    private IncomingRequest arrival(
            long number, String className, String idempotencyKey, String body) {
        return new IncomingRequest(
                id(number),
                className,
                "acme",
                new SubjectId(0),
                new UpstreamId(1),
                now,
                10,
                0.5,
                idempotencyKey == null ? null : new IdempotencyKey(idempotencyKey),
                body.getBytes(StandardCharsets.UTF_8));
    }

    private IncomingRequest arrival(
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
                NOTHING);
    }

    /** One with what only some deployments' requests carry. */
    private IncomingRequest arrival(
            String tenant, NanoDuration clientTimeout, NanoDuration work, boolean repeat) {
        return new IncomingRequest(
                id(tag),
                "pure",
                tenant,
                new SubjectId(0),
                new UpstreamId(1),
                clientTimeout,
                work,
                repeat,
                now,
                10,
                0.5,
                null,
                NOTHING);
    }

    private void tell(Runnable news) {
        news.run();
        processor.settle();
    }

    private void exit(long number, Completion ending, String result) {
        tell(
                () ->
                        processor.exited(
                                id(number),
                                ending,
                                NanoDuration.ZERO,
                                result.getBytes(StandardCharsets.UTF_8)));
    }

    private void callOut(long number) {
        tell(() -> processor.calledOut(id(number), "q".getBytes(StandardCharsets.UTF_8)));
    }

    private void pass(int millis) {
        MonotonicTime until = now.plus(NanoDuration.ofSeconds(millis / 1e3));
        while (!until.isBefore(deadlines.earliest())) {
            now = now.isBefore(deadlines.earliest()) ? deadlines.earliest() : now;
            processor.advance(now);
            deadlines.runDue(now);
            processor.settle();
        }
        now = until;
        processor.advance(now);
    }

    private void say(String text) {
        trace.append((now.nanos() - 1_000_000_000_000L) / 1_000_000)
                .append(' ')
                .append(text)
                .append('\n');
    }

    private String printed() {
        return trace.toString();
    }

    @Override
    public void answer(ConnectionId connection, long to, Response answer) {
        say(
                to
                        + " "
                        + answer.word()
                        + (answer.result().length > 0 ? " " + text(answer.result()) : ""));
    }

    @Override
    public void sayNoMore(ConnectionId connection) {
        say("no more");
    }

    @Override
    public void readNoMore(ConnectionId connection) {
        // Told by what the request processor then passes over.
    }

    @Override
    public void close(ConnectionId connection, Completion why) {
        say("close " + (connection.number() & 0xff) + " " + why);
        if (takesAnswers && why != Completion.SLOW_READER && why != Completion.MADE_ROOM) {
            processor.written(connection);
        }
    }

    @Override
    public boolean run(AttemptId id, String className, byte[] body) {
        say("run " + number(id) + " " + text(body) + (linked ? "" : ", no link"));
        return linked;
    }

    @Override
    public boolean giveReply(AttemptId id, byte[] reply) {
        say("reply for " + number(id) + " " + text(reply) + (linked ? "" : ", no link"));
        return linked;
    }

    @Override
    public boolean stop(AttemptId id) {
        say("stop " + number(id));
        return linked;
    }

    @Override
    public boolean skipCall(AttemptId id) {
        say("no call for " + number(id) + (linked ? "" : ", no link"));
        return linked;
    }

    @Override
    public void askResourceUsage(long requested) {
        if (!resourceUsageCome) {
            return;
        }
        processor.resourceUsageRead(requested, new double[] {0.5, onCores, 0.1, 1});
    }

    @Override
    public void checkDeep(long requested) {
        say("deep check");
    }

    @Override
    public void call(AttemptId id, NanoDuration cap, byte[] body) {
        say("call for " + number(id) + " " + text(body));
    }

    @Override
    public void giveUp(AttemptId id) {
        say("give up the call for " + number(id));
    }

    private void log(String text) {
        if (!text.startsWith("request rejected ")) {
            say("log " + text);
        }
    }

    private static long number(AttemptId id) {
        return Long.parseLong(id.digits(), 16);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    @Test
    void aRequestRunsCallsAndGetsItsResultUnchanged() {
        start();
        long one = arrive("pure", null, "a");
        callOut(one);
        pass(30);
        tell(
                () ->
                        processor.callEnded(
                                id(one), Completion.WELL, "r".getBytes(StandardCharsets.UTF_8)));
        exit(one, Completion.WELL, "result");
        exit(one, Completion.WELL, "late news");
        assertThat(printed())
                .isEqualTo(
                        """
                0 run 1 a
                0 call for 1 q
                30 reply for 1 r
                30 1 SERVED result
                """);
    }

    @Test
    void anAbortBeforeDuringAndAfterTheAnswerLeavesNothingBehind() {
        start();
        long running = arrive("pure", null, "a");
        long called = arrive("pure", null, "b");
        long leased = arrive("pure", null, "c");
        callOut(called);
        for (long aborted : new long[] {running, called, leased, 99}) {
            tell(() -> processor.aborted(line, aborted));
        }
        exit(called, Completion.STOPPED, "");
        exit(running, Completion.WELL, "unwanted");
        exit(leased, Completion.WELL, "unwanted");
        tell(() -> processor.aborted(line, running));
        pass(100);
        assertThat(processor.isAnswered()).isTrue();
        assertThat(processor.figures()).startsWith("connections 1, open 0, tickets 0, receipts 0");
        assertThat(printed())
                .isEqualTo(
                        """
                0 run 1 a
                0 run 2 b
                0 run 3 c
                0 call for 2 q
                0 give up the call for 2
                """);
    }

    @Test
    void repeatsOfAnIdempotentRequestShareItsOneRunWhileItLastsAndAfterIt() {
        start();
        long first = arrive("token", "k", "a");
        arrive("token", "k", "a");
        arrive("token", "k", "another body");
        exit(first, Completion.WELL, "result");
        pass(7000);
        line = processor.connected();
        arrive("token", "k", "a");
        pass(2000);
        arrive("token", "k", "a");
        assertThat(printed())
                .isEqualTo(
                        """
                0 run 1 a
                0 log abandoned a ticket with the mark of another
                0 3 FAILED
                0 1 SERVED result
                0 2 SERVED result
                3000 no more
                7000 4 SERVED result
                8000 close 0 CLOSED_HERE
                8500 close 0 SLOW_READER
                9000 run 5 a
                """);
    }

    @Test
    void repeatsFailWithAnOriginalThatFailedAndOneThatNeverRanIsForgotten() {
        start();
        long first = arrive("token", "k", "a");
        arrive("token", "k", "a");
        exit(first, Completion.FAILED, "");
        long full = arrive("pure", null, "b");
        arrive("pure", null, "c");
        long leased = arrive("token", "l", "d");
        arrive("token", "l", "d");
        tell(() -> processor.aborted(line, leased));
        exit(full, Completion.WELL, "x");
        arrive("token", "l", "d");
        assertThat(printed())
                .isEqualTo(
                        """
                0 run 1 a
                0 1 FAILED
                0 2 FAILED
                0 run 3 b
                0 run 4 c
                0 6 FAILED
                0 3 SERVED x
                0 run 7 d
                """);
    }

    @Test
    void anIdempotencyRecordKeepsItsWindowWhenThatShrinksAndOutlivesATimeoutThatGrew() {
        machine.set(
                "services.1.window_ns=8000000000 services.1.give_up_ns=5000000000"
                        + " domain.keepalive_max_ns=60000000000");
        start();
        long first = arrive("token", "k", "a");
        exit(first, Completion.WELL, "paid");
        Map<String, String> next = new HashMap<>(machine.settings);
        next.put("services.1.window_ns", "1000000000");
        next.put("services.1.give_up_ns", "9000000000");
        assertThat(processor.retune(new RequestProcessor.ReloadableSettings(next))).isTrue();
        processor.settle();
        pass(7000);
        arrive("token", "k", "a");
        MonotonicTime inWindow = now;
        pass(7500); // the old timeout after the window's end has passed; the new one has not
        tell(
                () ->
                        processor.arrived(
                                line,
                                ++tag,
                                new IncomingRequest(
                                        id(tag),
                                        "token",
                                        "acme",
                                        new SubjectId(0),
                                        new UpstreamId(1),
                                        inWindow,
                                        10,
                                        0.5,
                                        new IdempotencyKey("k"),
                                        "a".getBytes(StandardCharsets.UTF_8))));
        // Past the old bounds the decisions know nothing of it any more; it has the result all the
        // same, and never runs.
        assertThat(printed())
                .isEqualTo(
                        """
                0 run 1 a
                0 1 SERVED paid
                7000 2 SERVED paid
                14500 3 SERVED paid
                """);
        assertThat(processor.figures()).contains("receipts 1");
        pass(4000);
        assertThat(processor.figures()).contains("receipts 0");
    }

    @Test
    void requestsInHandAreAnsweredByTheTimeTheyCameUnderAndALeavingNodeTakesNothingOver() {
        start();
        arrive("pure", null, "a");
        Map<String, String> next = new HashMap<>(machine.settings);
        next.put("services.0.give_up_ns", "20000000000");
        processor.retune(new RequestProcessor.ReloadableSettings(next));
        arrive("pure", null, "b");
        pass(30_000);
        assertThat(printed())
                .containsPattern("(?m)^49\\d\\d 1 FAILED$")
                .containsPattern("(?m)^199\\d\\d 2 FAILED$");
        processor.leave(NanoDuration.ofSeconds(3));
        assertThat(processor.retune(new RequestProcessor.ReloadableSettings(machine.settings)))
                .isFalse();
    }

    @Test
    void resultsBeyondTheirBoundAreDroppedButTheirIdempotencyRecordsStay() {
        make(10);
        processor.welcomed(false, NanoDuration.ZERO);
        trace.setLength(0);
        exit(arrive("token", "k", "a"), Completion.WELL, "12345678");
        exit(arrive("token", "l", "b"), Completion.WELL, "12345678");
        arrive("token", "k", "a");
        arrive("token", "l", "b");
        assertThat(printed())
                .isEqualTo(
                        """
                0 run 1 a
                0 1 SERVED 12345678
                0 run 2 b
                0 2 SERVED 12345678
                0 3 FAILED
                0 4 SERVED 12345678
                """);
    }

    @Test
    void aTryReadAfterItsOwnWindowIsRememberedForTheTriesInItThatAreReadLater() {
        machine.set("services.1.window_ns=800000000");
        start();
        MonotonicTime stamped = now;
        pass(1500);
        for (int i = 0; i < 2; i++) {
            MonotonicTime reached = stamped.plus(NanoDuration.ofSeconds(i * 0.5));
            tell(
                    () ->
                            processor.arrived(
                                    line,
                                    ++tag,
                                    new IncomingRequest(
                                            id(tag),
                                            "token",
                                            "acme",
                                            new SubjectId(0),
                                            new UpstreamId(1),
                                            reached,
                                            10,
                                            0.5,
                                            new IdempotencyKey("k"),
                                            NOTHING)));
            pass(100);
        }
        exit(1, Completion.WELL, "x");
        assertThat(printed())
                .isEqualTo(
                        """
                1500 run 1\s
                1700 1 SERVED x
                1700 2 SERVED x
                """);
    }

    @Test
    void repeatsThatWaitForATryAreServedByItAlsoWhenItsWindowEndedAndAnotherRuns() {
        machine.set("services.1.window_ns=800000000");
        start();
        long first = arrive("token", "k", "a");
        pass(500);
        arrive("token", "k", "a");
        pass(500);
        long next = arrive("token", "k", "a");
        exit(first, Completion.WELL, "one");
        exit(next, Completion.WELL, "two");
        arrive("token", "k", "a");
        assertThat(printed())
                .isEqualTo(
                        """
                0 run 1 a
                1000 run 3 a
                1000 1 SERVED one
                1000 2 SERVED one
                1000 3 SERVED two
                1000 4 SERVED two
                """);
    }

    @Test
    void whatIsDroppedForRoomIsTheOldestResultAndNeverThatOfWhatRuns() {
        make(20);
        processor.welcomed(false, NanoDuration.ZERO);
        long runs = arrive("token", "a", "body");
        for (String mark : List.of("b", "c", "d")) {
            exit(arrive("token", mark, ""), Completion.WELL, "12345678");
        }
        trace.setLength(0);
        for (String mark : List.of("b", "c", "d")) {
            arrive("token", mark, "");
        }
        exit(runs, Completion.WELL, "1234");
        arrive("token", "c", "");
        arrive("token", "a", "body");
        assertThat(printed())
                .isEqualTo(
                        """
                0 5 FAILED
                0 6 SERVED 12345678
                0 7 SERVED 12345678
                0 1 SERVED 1234
                0 8 FAILED
                0 9 SERVED 1234
                """);
    }

    @Test
    void aMarkThatThereIsNoRoomToRememberIsRejectedAndRepeatsOfOthersAreServed() {
        start();
        for (int mark = 0; mark < 64; mark++) {
            exit(arrive("token", "m" + mark, ""), Completion.WELL, "r");
        }
        trace.setLength(0);
        arrive("token", "one more", "");
        arrive("token", "m0", "");
        arrive("pure", null, "p");
        assertThat(printed())
                .isEqualTo(
                        """
                0 log bounced a ticket whose mark there is no room to remember
                0 65 REJECTED
                0 66 SERVED r
                0 run 67 p
                """);
        pass(30_000);
        line = processor.connected();
        arrive("token", "one more", "");
        assertThat(printed()).endsWith("run 68 \n");
    }

    @Test
    void aReplacedLinkRunsAgainOnlyWhatCannotRunTwice() {
        start();
        arrive("pure", null, "a");
        long idempotent = arrive("token", "k", "b");
        tell(() -> processor.welcomed(false, NanoDuration.ZERO));
        tell(() -> processor.aborted(line, idempotent));
        exit(idempotent, Completion.NOTHING_STARTED, "");
        linked = false;
        arrive("token", "l", "c");
        linked = true;
        tell(() -> processor.welcomed(false, NanoDuration.ZERO));
        assertThat(printed())
                .isEqualTo(
                        """
                0 run 1 a
                0 run 2 b
                0 run 1 a
                0 run 2 b
                0 run 3 c, no link
                0 run 1 a
                0 run 3 c
                """);
    }

    @Test
    void aCommandInDoubtIsGivenAgainOnlyOnceTheResourceUsageShowsThatItWasNotRead() {
        start();
        onCores = 1;
        long idempotent = arrive("token", "k", "a");
        tell(() -> processor.welcomed(false, NanoDuration.ZERO));
        pass(20);
        onCores = 0;
        pass(20);
        callOut(idempotent);
        tell(
                () ->
                        processor.callEnded(
                                id(idempotent),
                                Completion.WELL,
                                "r".getBytes(StandardCharsets.UTF_8)));
        onCores = 1;
        tell(() -> processor.welcomed(false, NanoDuration.ZERO));
        pass(20);
        onCores = 0;
        pass(20);
        onCores = 1;
        pass(20);
        tell(() -> processor.welcomed(false, NanoDuration.ZERO));
        exit(idempotent, Completion.WELL, "result");
        assertThat(printed())
                .isEqualTo(
                        """
                0 run 1 a
                24 log commands lost with a link, given again: 1
                24 run 1 a
                40 call for 1 q
                40 reply for 1 r
                64 log commands lost with a link, given again: 1
                64 reply for 1 r
                100 1 SERVED result
                """);
    }

    @Test
    void whoHasNoStandingIsClosedForOneUnsoundRequestAndForManyThatAreTurnedAway() {
        start();
        line = processor.connected();
        arrive("no such track", null, "a");
        arrive("pure", null, "a");
        line = processor.connected();
        long unknown = arrive("pure", null, "b");
        tell(() -> processor.notCarriedOut("EXEC", id(unknown)));
        line = processor.connected();
        pass(1100);
        for (int i = 0; i < 34; i++) {
            pass(i == 33 ? 2100 : 0);
            long withdrawn = arrive("pure", null, "c");
            tell(() -> processor.aborted(line, withdrawn));
            exit(withdrawn, Completion.NOTHING_STARTED, "");
        }
        assertThat(printed().replaceAll("[0-9]+ run [0-9]+ c\n", ""))
                .isEqualTo(
                        """
                0 log abandoned a ticket of no known track
                0 1 FAILED
                0 close 1 UNSOUND
                0 2 REJECTED
                0 run 3 b
                0 log the executor did not carry out EXEC 0000000000000003
                0 3 FAILED
                0 close 2 UNSOUND
                500 close 1 SLOW_READER
                500 close 2 SLOW_READER
                1100 no more
                3000 no more
                3200 log abandoned a ticket on a connection asked to close
                3200 37 FAILED
                3200 close 3 UNSOUND
                """);
    }

    @Test
    void aMarkWhoseRequestTheExecutorWouldNotRunIsFreeAgain() {
        start();
        long unknown = arrive("token", "k", "a");
        tell(() -> processor.notCarriedOut("EXEC", id(unknown)));
        arrive("token", "k", "b");
        assertThat(printed())
                .isEqualTo(
                        """
                0 run 1 a
                0 log the executor did not carry out EXEC 0000000000000001
                0 1 FAILED
                0 run 2 b
                """);
    }

    @Test
    void theSilentAndThoseIdleForLongestMakeRoomAndTheSilentSoonGo() {
        start();
        ConnectionId checked = processor.connected();
        pass(100);
        processor.connected();
        tell(() -> processor.checked(checked, 1, false));
        ConnectionId last = processor.connected();
        arrive("pure", null, "a");
        for (int i = 0; i < 3; i++) {
            pass(10);
            ConnectionId next = processor.connected();
            say("one more");
            tell(() -> processor.checked(next, 1, false));
        }
        processor.disconnected(last);
        processor.connected();
        pass(1600);
        assertThat(printed())
                .isEqualTo(
                        """
                100 1 HEALTHY
                100 run 1 a
                110 close 2 MADE_ROOM
                110 one more
                110 1 HEALTHY
                120 close 3 MADE_ROOM
                120 one more
                120 1 HEALTHY
                130 no more
                130 close 1 MADE_ROOM
                130 one more
                130 1 HEALTHY
                130 no more
                130 close 2 MADE_ROOM
                1630 close 2 SAID_NOTHING
                """);
    }

    /**
     * Of sixteen places fourteen are many. Who came just now is no sooner closed than who rests.
     */
    @Test
    void beforeTheTableIsFullThoseThatRestAreRequestedToCloseAndWhoHasAnOpenRequestNever() {
        make(16, 8192);
        processor.welcomed(false, NanoDuration.ZERO);
        gainStanding();
        arrive("pure", null, "a");
        for (int i = 0; i < 16; i++) {
            pass(10);
            ConnectionId next = processor.connected();
            say("so many: " + processor.connectionCount());
            tell(() -> processor.checked(next, 1, false));
        }
        for (int i = 0; i < 4; i++) {
            pass(i == 0 ? 600 : 0);
            processor.connected();
            say("so many: " + processor.connectionCount());
        }
        pass(600);
        processor.connected();
        assertThat(
                        printed()
                                .replaceAll("(?m)^.*HEALTHY\n", "")
                                .replaceAll("(?s).*150 no more", "150 no more"))
                .isEqualTo(
                        """
                150 no more
                150 so many: 16
                160 close 1 MADE_ROOM
                160 no more
                160 so many: 16
                760 close 2 MADE_ROOM
                760 no more
                760 so many: 16
                760 close 3 MADE_ROOM
                760 so many: 16
                760 no more
                760 close 4 MADE_ROOM
                760 so many: 16
                760 no more
                760 close 5 MADE_ROOM
                760 so many: 16
                1360 close 2 LEFT_UNUSED
                """);
    }

    @Test
    void anUpstreamMayBeSlowToWriteForTheLongestTimeoutAndOthersMayNot() {
        start();
        processor.closeIdleConnections(NanoDuration.ofSeconds(100));
        ConnectionId other = processor.connected();
        tell(() -> processor.checked(other, 1, false));
        processor.leftOff(other);
        processor.leftOff(line);
        pass(1500);
        processor.leftOff(line);
        tell(() -> processor.checked(line, 2, false));
        pass(1500);
        processor.leftOff(line);
        pass(4999);
        processor.leftOff(line);
        pass(1);
        processor.leftOff(line);
        assertThat(printed())
                .isEqualTo(
                        """
                0 1 HEALTHY
                0 close 1 SAID_NOTHING
                500 close 1 SLOW_READER
                1500 2 HEALTHY
                8000 close 0 SAID_NOTHING
                """);
    }

    @Test
    void callsThatEndBadlyAreRepeatedOnlyAfterProofThatNoneRan() {
        start();
        long refused = arrive("side_effect", null, "a");
        callOut(refused);
        tell(() -> processor.callEnded(id(refused), Completion.CONNECTION_REFUSED, null));
        pass(500);
        tell(() -> processor.callEnded(id(refused), Completion.CLOSED_BY_PEER, null));
        tell(() -> processor.callEnded(id(refused), Completion.WELL, NOTHING));
        exit(refused, Completion.STOPPED, "");
        long slow = arrive("pure", null, "b");
        callOut(slow);
        pass(2500);
        tell(() -> processor.callEnded(id(slow), Completion.WELL, NOTHING));
        assertThat(printed())
                .isEqualTo(
                        """
                0 run 1 a
                0 call for 1 q
                200 call for 1 q
                500 1 FAILED
                500 run 2 b
                500 call for 2 q
                2500 give up the call for 2
                2500 2 FAILED
                """);
    }

    @Test
    void whatTheExecutorWillNotCarryOutIsFailed() {
        start();
        long one = arrive("pure", null, "a");
        tell(() -> processor.notCarriedOut("EXEC", id(one)));
        tell(() -> processor.notCarriedOut("RETURN", id(one)));
        assertThat(printed())
                .isEqualTo(
                        """
                0 run 1 a
                0 log the executor did not carry out EXEC 0000000000000001
                0 1 FAILED
                0 log the executor did not carry out RETURN 0000000000000001
                """);
    }

    @Test
    void requestsThatCannotBeTakenAreAnsweredAtOnceAndARepeatedTagIsNot() {
        make(8192);
        arrive("pure", null, "early");
        processor.welcomed(false, NanoDuration.ZERO);
        gainStanding();
        arrive("no such track", null, "a");
        tell(() -> processor.arrived(line, ++tag, null));
        arrive("pure", null, "x".repeat(2049));
        long taken = arrive("pure", null, "a");
        assertThat(processor.arrived(line, taken, arrival(50, "pure", null, "a"))).isFalse();
        tell(() -> processor.arrived(line, ++tag, arrival(taken, "pure", null, "a")));
        arrive("token", null, "a");
        arrive("pure", "k", "a");
        tell(() -> processor.arrived(line, ++tag, arrival("nobody", now, 10, 0.5)));
        tell(
                () ->
                        processor.arrived(
                                line,
                                ++tag,
                                arrival("acme", now.plus(NanoDuration.ofSeconds(9)), 10, 0.5)));
        tell(() -> processor.arrived(line, ++tag, arrival("acme", new MonotonicTime(0), 10, 0.5)));
        assertThat(printed())
                .isEqualTo(
                        """
                0 log abandoned a ticket of no known track
                0 2 FAILED
                0 log abandoned a ticket that can't be read
                0 3 FAILED
                0 log abandoned a ticket out of bounds
                0 4 FAILED
                0 run 5 a
                0 log abandoned a ticket named like another
                0 6 FAILED
                0 log abandoned a ticket with a mark on the wrong track, or without one
                0 7 FAILED
                0 log abandoned a ticket with a mark on the wrong track, or without one
                0 8 FAILED
                0 log abandoned a ticket of no known customer
                0 9 FAILED
                0 log abandoned a ticket from the future
                0 10 FAILED
                0 log abandoned a ticket past its abandon time
                0 11 FAILED
                """);
        for (double[] figures :
                new double[][] {
                    {0, 0.5}, {2000, 0.5}, {Double.NaN, 0.5}, {10, 1}, {10, Double.NaN}
                }) {
            gainStanding();
            tell(
                    () ->
                            processor.arrived(
                                    line, ++tag, arrival("acme", now, figures[0], figures[1])));
            assertThat(printed())
                    .isEqualTo("0 log abandoned a ticket out of bounds\n0 " + tag + " FAILED\n");
        }
    }

    @Test
    void whereTheSettingsNameNoTenantsRequestsNeedNone() {
        machine.set("customers.count=0");
        make(8192);
        processor.welcomed(false, NanoDuration.ZERO);
        for (String tenant : List.of("", "anyone")) {
            tell(
                    () ->
                            processor.arrived(
                                    line,
                                    ++tag,
                                    arrival(tenant, NanoDuration.ZERO, NanoDuration.ZERO, false)));
            exit(tag, Completion.WELL, "x");
        }
        assertThat(printed()).endsWith("0 run 1 \n0 1 SERVED x\n0 run 2 \n0 2 SERVED x\n");
    }

    @Test
    void theCallersOwnTimeBoundsTheAnswerAndAHintOrAMarkReachesTheDecisions() {
        start();
        List<Request> reported = new ArrayList<>();
        processor =
                new RequestProcessor(
                        machine.settings,
                        7,
                        (server, seed, map) ->
                                new RuleCheckingPolicy(
                                        new AdmissionController(server, seed, map),
                                        reported::add,
                                        () -> {}),
                        new RequestProcessor.Ports(this, this, this, this::log),
                        deadlines,
                        new RequestProcessor.TableLimits(4, 40, 64, 8192),
                        now);
        line = processor.connected();
        processor.welcomed(false, NanoDuration.ZERO);
        trace.setLength(0);
        NanoDuration clientTimeout = NanoDuration.ofSeconds(1.5);
        tell(
                () ->
                        processor.arrived(
                                line,
                                ++tag,
                                arrival("acme", clientTimeout, NanoDuration.ofSeconds(0.2), true)));
        now = now.plus(NanoDuration.ofSeconds(0.5));
        processor.advance(now);
        tell(
                () ->
                        processor.arrived(
                                line,
                                ++tag,
                                arrival("acme", clientTimeout, NanoDuration.ZERO, false)
                                        .reachedAt(now.minus(NanoDuration.ofSeconds(0.4)))));
        tell(
                () ->
                        processor.arrived(
                                line,
                                ++tag,
                                arrival("acme", clientTimeout, NanoDuration.ZERO, false)
                                        .reachedAt(now.minus(NanoDuration.ofSeconds(1.6)))));
        pass(2000);
        assertThat(reported)
                .extracting(Request::clientTimeout, Request::work, Request::repeat)
                .containsExactly(
                        tuple(clientTimeout, NanoDuration.ofSeconds(0.2), true),
                        tuple(NanoDuration.ofSeconds(1.1), NanoDuration.ZERO, false));
        assertThat(printed())
                .isEqualTo(
                        """
                0 run 1\s
                500 run 2\s
                500 log abandoned a ticket past its abandon time
                500 3 FAILED
                1498 1 FAILED
                1598 2 FAILED
                """);
    }

    @Test
    void aTimeThatIsNoneCostsItsRequestAloneAndManyOfThemTheConnection() {
        start();
        long other = arrive("pure", null, "a");
        line = processor.connected();
        long before = tag;
        for (int i = 0; i < 16; i++) {
            NanoDuration none = i % 2 == 0 ? IncomingRequest.NO_TIME : NanoDuration.ZERO;
            NanoDuration hint = i % 2 == 0 ? NanoDuration.ZERO : IncomingRequest.NO_TIME;
            assertThat(printed()).doesNotContain("close");
            tell(() -> processor.arrived(line, ++tag, arrival("acme", none, hint, false)));
            assertThat(printed()).contains(" " + tag + " FAILED\n");
        }
        assertThat(tag - before).isEqualTo(16);
        assertThat(printed())
                .endsWith("close 1 UNSOUND\n")
                .doesNotContain("0 " + other + " FAILED");
    }

    @Test
    void aRunIsStoppedWhereTheSettingsSaySoUntilTheExecutorWillNot() {
        machine.set("domain.stop_mode=freeze");
        start();
        long gone = arrive("pure", null, "a");
        tell(() -> processor.aborted(line, gone));
        exit(gone, Completion.STOPPED, "");
        long late = arrive("pure", null, "b");
        pass(5000);
        tell(() -> processor.notCarriedOut("KILL", id(late)));
        exit(late, Completion.WELL, "unwanted");
        long third = arrive("pure", null, "c");
        tell(() -> processor.aborted(line, third));
        exit(third, Completion.WELL, "unwanted");
        assertThat(printed())
                .isEqualTo(
                        """
                0 run 1 a
                0 stop 1
                0 run 2 b
                4998 2 FAILED
                4998 stop 2
                5000 log the executor did not carry out KILL 0000000000000002
                5000 run 3 c
                """);
        assertThat(processor.figures()).contains("tickets 0");
    }

    @Test
    void aCallMayBeLeftOutWhereThatIsPaidForUntilTheExecutorWillNot() {
        machine.set("domain.class_skip_worth=0.5,0.5,0.5,0");
        start();
        long one = arrive("pure", null, "a");
        callOut(one);
        tell(() -> processor.callEnded(id(one), Completion.TIMED_OUT_DOWNSTREAM, null));
        linked = false;
        tell(() -> processor.welcomed(false, NanoDuration.ZERO));
        exit(one, Completion.WELL, "poorer");
        linked = true;
        long two = arrive("pure", null, "b");
        callOut(two);
        tell(() -> processor.callEnded(id(two), Completion.TIMED_OUT_DOWNSTREAM, null));
        tell(() -> processor.notCarriedOut("BYPASS", id(two)));
        pass(300);
        tell(() -> processor.callEnded(id(two), Completion.TIMED_OUT_DOWNSTREAM, null));
        pass(300); // for as long as a call given up may stay in the dependency's hands
        long three = arrive("pure", null, "c");
        callOut(three);
        tell(() -> processor.callEnded(id(three), Completion.TIMED_OUT_DOWNSTREAM, null));
        assertThat(printed())
                .isEqualTo(
                        """
                0 run 1 a
                0 call for 1 q
                0 no call for 1
                0 1 SERVED poorer
                0 run 2 b
                0 call for 2 q
                0 no call for 2
                0 log the executor did not carry out BYPASS 0000000000000002
                200 call for 2 q
                300 2 FAILED
                600 run 3 c
                600 call for 3 q
                600 3 FAILED
                """);
    }

    /**
     * Seen on prairie-scans and sicilia-est: "BAD - -" to each call to be left out; its run stood
     * there for good.
     */
    @Test
    void aCallThatCannotBeLeftOutIsMadeThoughTheRefusalNamesNeitherCommandNorRequest() {
        machine.set("domain.class_skip_worth=0.5,0.5,0.5,0 domain.calls_out=8");
        start();
        long one = arrive("pure", null, "a");
        callOut(one);
        tell(() -> processor.callEnded(id(one), Completion.TIMED_OUT_DOWNSTREAM, null));
        long two = arrive("side_effect", null, "b");
        callOut(two);
        tell(() -> processor.callEnded(id(two), Completion.TIMED_OUT_DOWNSTREAM, null));
        tell(() -> processor.notCarriedOut("-", new AttemptId("-")));
        tell(
                () ->
                        processor.callEnded(
                                id(one), Completion.WELL, "r".getBytes(StandardCharsets.UTF_8)));
        tell(() -> processor.notCarriedOut("-", new AttemptId("-")));
        exit(one, Completion.WELL, "whole");
        assertThat(printed())
                .isEqualTo(
                        """
                0 run 1 a
                0 call for 1 q
                0 no call for 1
                0 run 2 b
                0 call for 2 q
                0 no call for 2
                0 log the executor did not carry out - -
                0 2 FAILED
                0 call for 1 q
                0 reply for 1 r
                0 log the executor did not carry out - -
                0 1 SERVED whole
                """);
    }

    @Test
    void ofMoreThan32OpenOnOneConnectionTheRestIsRejected() {
        machine.set("domain.cpus=40");
        start();
        for (int open = 1; open <= 33; open++) {
            arrive("pure", null, "a");
        }
        exit(7, Completion.WELL, "x");
        arrive("pure", null, "a");
        assertThat(printed())
                .endsWith(
                        """
                0 run 32 a
                0 log bounced a ticket that came beyond what may be open
                0 33 REJECTED
                0 7 SERVED x
                0 run 34 a
                """);
    }

    @Test
    void allIsAnsweredBeforeTheTimeoutReckonedFromWhenItCame() {
        start();
        IncomingRequest late =
                new IncomingRequest(
                        id(1),
                        "pure",
                        "acme",
                        new SubjectId(0),
                        new UpstreamId(1),
                        now.minus(NanoDuration.ofSeconds(1)),
                        10,
                        0.5,
                        null,
                        "late".getBytes(StandardCharsets.UTF_8));
        tell(() -> processor.arrived(line, ++tag, late));
        arrive("side_effect", null, "a");
        pass(6000);
        assertThat(printed())
                .isEqualTo(
                        """
                0 run 1 late
                0 run 2 a
                3998 1 FAILED
                4998 2 FAILED
                """);
    }

    @Test
    void afterAPauseOfTheProcessAllThatIsDueIsAnsweredAtOnce() {
        start();
        arrive("pure", null, "a");
        arrive("token", "k", "b");
        now = now.plus(NanoDuration.ofSeconds(20));
        tell(() -> processor.advance(now));
        pass(0);
        assertThat(printed())
                .isEqualTo(
                        """
                0 run 1 a
                0 run 2 b
                20000 1 FAILED
                20000 2 FAILED
                """);
    }

    @Test
    void runsOfAnExecutorThatStartedAnewAreFailedAndTheirCoresAreFree() {
        start();
        arrive("pure", null, "a");
        arrive("token", "k", "b");
        arrive("pure", null, "c");
        tell(processor::executorStartedAnew);
        arrive("token", "k", "b");
        arrive("pure", null, "d");
        assertThat(printed())
                .isEqualTo(
                        """
                0 run 1 a
                0 run 2 b
                0 log the executor was started anew, its runs are lost
                0 1 FAILED
                0 2 FAILED
                0 run 3 c
                0 4 FAILED
                0 run 5 d
                """);
    }

    @Test
    void idleAndHalfClosedConnectionsGoOnceNothingIsOpenOnThem() {
        start();
        long one = arrive("pure", null, "a");
        tell(() -> processor.halfClosed(line));
        pass(4000);
        exit(one, Completion.WELL, "result");
        ConnectionId idle = processor.connected();
        tell(() -> processor.checked(idle, 5, false));
        pass(9000);
        assertThat(printed())
                .isEqualTo(
                        """
                0 run 1 a
                4000 1 SERVED result
                4000 close 0 CLOSED_BY_PEER
                4000 5 HEALTHY
                4500 close 0 SLOW_READER
                7000 no more
                12000 close 1 CLOSED_HERE
                12500 close 1 SLOW_READER
                """);
    }

    @Test
    void whoReadsItsLastAnswersSlowlyHasAsLongForItAsAnyoneWaits() {
        start();
        takesAnswers = false;
        arrive("no such track", null, "");
        line = processor.connected();
        arrive("no such track", null, "");
        pass(1000);
        processor.written(line);
        pass(60_000);
        assertThat(printed())
                .isEqualTo(
                        """
                0 log abandoned a ticket of no known track
                0 1 FAILED
                0 log abandoned a ticket of no known track
                0 2 FAILED
                0 close 1 UNSOUND
                1500 close 1 SLOW_READER
                3000 no more
                8000 close 0 CLOSED_HERE
                13000 close 0 SLOW_READER
                """);
    }

    @Test
    void leavingAsksForNoMoreRunsNothingNewAndAnswersAll() {
        start();
        arrive("pure", null, "a");
        tell(() -> processor.leave(NanoDuration.ofSeconds(3)));
        pass(700);
        arrive("pure", null, "b");
        assertThat(processor.sinceLastRequest()).isEqualTo(NanoDuration.ZERO);
        assertThat(processor.isAnswered()).isFalse();
        pass(2200);
        assertThat(processor.isAnswered()).isTrue();
        tell(() -> processor.checked(line, 9, true));
        processor.closeConnections();
        assertThat(printed())
                .isEqualTo(
                        """
                0 run 1 a
                700 2 REJECTED
                2850 1 FAILED
                2900 9 UNHEALTHY
                2900 no more
                """);
    }

    @Test
    void theLastAnswersOfANodeThatLeavesWaitForNoResourceUsageAndGoOutBeforeWhatIsDueAfterThem() {
        start();
        arrive("pure", null, "a");
        resourceUsageCome = false;
        tell(() -> processor.leave(NanoDuration.ofSeconds(1)));
        deadlines.schedule(
                now.plus(NanoDuration.ofSeconds(0.96)), () -> processor.closeConnections());
        now = now.plus(NanoDuration.ofSeconds(1)); // a stall, past both
        tell(
                () -> {
                    processor.advance(now);
                    deadlines.runDue(now);
                });
        assertThat(printed())
                .isEqualTo(
                        """
                0 run 1 a
                1000 1 FAILED
                1000 no more
                """);
    }

    @Test
    void aNodeThatLeavesBeforeItsExecutorIsUpBeginsNothing() {
        make(8192);
        tell(() -> processor.leave(NanoDuration.ofSeconds(3)));
        tell(() -> processor.welcomed(false, NanoDuration.ZERO));
        arrive("pure", null, "a");
        assertThat(printed())
                .isEqualTo(
                        """
                0 log bounced a ticket that came before the executor was up
                0 1 REJECTED
                """);
    }

    @Test
    void lateNewsNeverHitsASlotThatIsUsedAgain() {
        SlotTable<String> slots = new SlotTable<>(2);
        long first = slots.put("a");
        slots.put("b");
        assertThat(slots.isFull()).isTrue();
        slots.remove(first);
        long again = slots.put("c");
        assertThat(again & 1).as("the same slot").isEqualTo(first & 1);
        assertThat(slots.get(first)).isNull();
        assertThat(slots.remove(first)).isNull();
        assertThat(slots.get(again)).isEqualTo("c");
    }

    @Test
    void deadlinesRingInOrderAndWhatTheyAddWaits() {
        deadlines.schedule(new MonotonicTime(2), () -> say("second"));
        deadlines.schedule(
                new MonotonicTime(1),
                () -> {
                    say("first");
                    deadlines.schedule(new MonotonicTime(1), () -> say("added"));
                });
        TimerService.Timer off = deadlines.schedule(new MonotonicTime(1), () -> say("called off"));
        deadlines.cancel(off);
        deadlines.runDue(new MonotonicTime(3));
        say("--");
        deadlines.runDue(new MonotonicTime(3));
        assertThat(printed()).isEqualTo("0 first\n0 second\n0 --\n0 added\n");
    }

    @Test
    void onlyWhatWasNeverSentOrObservedProvesThatNothingRan() {
        assertThat(
                        Arrays.stream(Completion.values())
                                .filter(ending -> ending.outcome().provesNeverRan()))
                .containsExactly(
                        Completion.NOT_CARRIED_OUT,
                        Completion.NOTHING_STARTED,
                        Completion.SHED,
                        Completion.NOBODY_WAITS,
                        Completion.CONNECTION_REFUSED,
                        Completion.NEVER_CONNECTED,
                        Completion.NOT_WRITTEN,
                        Completion.NO_PONG);
    }
}
