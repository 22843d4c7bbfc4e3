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
import lupinwood.admission.Request;
import lupinwood.admission.RuleCheckingPolicy;
import lupinwood.admission.SubjectId;
import lupinwood.admission.TimerSet;
import lupinwood.admission.UpstreamId;
import org.junit.jupiter.api.Test;

/** Tests the request processor as a whole. */
final class RequestProcessorTest extends RequestProcessorFixture {
    @Test
    void requestRunsWithCallAndReturnsResultUnchanged() {
        start();
        long request = arrive("pure", null, "a");
        needCall(request);
        advanceMillis(30);
        handle(
                () ->
                        processor.callEnded(
                                id(request),
                                Completion.WELL,
                                "r".getBytes(StandardCharsets.UTF_8)));
        completeRun(request, Completion.WELL, "result");
        completeRun(request, Completion.WELL, "late");
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1 a
                0 call for 1 q
                30 reply for 1 r
                30 1 SERVED result
                """);
    }

    @Test
    void abortedRequestsLeaveNoState() {
        start();
        long running = arrive("pure", null, "a");
        long called = arrive("pure", null, "b");
        long alsoRunning = arrive("pure", null, "c");
        needCall(called);
        for (long aborted : new long[] {running, called, alsoRunning, 99}) {
            handle(() -> processor.aborted(currentConnection, aborted));
        }
        completeRun(called, Completion.STOPPED, "");
        completeRun(running, Completion.WELL, "unused");
        completeRun(alsoRunning, Completion.WELL, "unused");
        handle(() -> processor.aborted(currentConnection, running));
        advanceMillis(100);
        assertThat(processor.isAnswered()).isTrue();
        assertThat(processor.stateLogLine())
                .startsWith(
                        "request processor state connections=1 openRequests=0 requests=0"
                                + " idempotencyRecords=0 ");
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1 a
                0 run 2 b
                0 run 3 c
                0 call for 2 q
                0 cancel call for 2
                """);
    }

    @Test
    void repeatsWithinWindowShareTheOriginalRun() {
        start();
        long first = arrive("token", "k", "a");
        arrive("token", "k", "a");
        arrive("token", "k", "another body");
        completeRun(first, Completion.WELL, "result");
        advanceMillis(7000);
        currentConnection = processor.addConnection();
        arrive("token", "k", "a");
        advanceMillis(2000);
        arrive("token", "k", "a");
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1 a
                0 log request failed reason=idempotency_key_reused
                0 3 FAILED
                0 1 SERVED result
                0 2 SERVED result
                3000 ask to close
                7000 4 SERVED result
                8000 close 0 CLOSED_HERE
                8500 close 0 SLOW_READER
                9000 run 5 a
                """);
    }

    @Test
    void repeatsFailWithOriginalAndKeyThatNeverRanIsForgotten() {
        start();
        long first = arrive("token", "k", "a");
        arrive("token", "k", "a");
        completeRun(first, Completion.FAILED, "");
        long full = arrive("pure", null, "b");
        arrive("pure", null, "c");
        long queued = arrive("token", "l", "d");
        arrive("token", "l", "d");
        handle(() -> processor.aborted(currentConnection, queued));
        completeRun(full, Completion.WELL, "x");
        arrive("token", "l", "d");
        assertThat(recorded())
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
    void idempotencyRecordKeepsOldWindowAndOutlivesLongerTimeout() {
        settingsSource.set(
                "services.1.window_ns=8000000000 services.1.give_up_ns=5000000000"
                        + " domain.keepalive_max_ns=60000000000");
        start();
        long first = arrive("token", "k", "a");
        completeRun(first, Completion.WELL, "paid");
        Map<String, String> next = new HashMap<>(settingsSource.settings);
        next.put("services.1.window_ns", "1000000000");
        next.put("services.1.give_up_ns", "9000000000");
        assertThat(processor.updateSettings(new RequestProcessor.ReloadableSettings(next)))
                .isTrue();
        processor.settle();
        advanceMillis(7000);
        arrive("token", "k", "a");
        MonotonicTime inWindow = now;
        // The window ended longer ago than the old timeout, but not longer ago than the new one.
        advanceMillis(7500);
        handle(
                () ->
                        processor.arrived(
                                currentConnection,
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
        // Past the old window the policy no longer knows the key; the repeat still gets the result,
        // and never runs.
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1 a
                0 1 SERVED paid
                7000 2 SERVED paid
                14500 3 SERVED paid
                """);
        assertThat(processor.stateLogLine()).contains(" idempotencyRecords=1 ");
        advanceMillis(4000);
        assertThat(processor.stateLogLine()).contains(" idempotencyRecords=0 ");
    }

    @Test
    void reloadedTimeoutAppliesToNewRequestsAndNeverWhileDraining() {
        start();
        arrive("pure", null, "a");
        Map<String, String> next = new HashMap<>(settingsSource.settings);
        next.put("services.0.give_up_ns", "20000000000");
        processor.updateSettings(new RequestProcessor.ReloadableSettings(next));
        arrive("pure", null, "b");
        advanceMillis(30_000);
        assertThat(recorded())
                .containsPattern("(?m)^49\\d\\d 1 FAILED$")
                .containsPattern("(?m)^199\\d\\d 2 FAILED$");
        processor.drain(NanoDuration.ofSeconds(3));
        assertThat(
                        processor.updateSettings(
                                new RequestProcessor.ReloadableSettings(settingsSource.settings)))
                .isFalse();
    }

    @Test
    void evictedResultsKeepTheirIdempotencyRecords() {
        createProcessor(10);
        processor.onExecutorConnected(false, NanoDuration.ZERO);
        trace.setLength(0);
        completeRun(arrive("token", "k", "a"), Completion.WELL, "12345678");
        completeRun(arrive("token", "l", "b"), Completion.WELL, "12345678");
        arrive("token", "k", "a");
        arrive("token", "l", "b");
        assertThat(recorded())
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
    void attemptReadAfterItsWindowIsRememberedForLaterRepeats() {
        settingsSource.set("services.1.window_ns=800000000");
        start();
        MonotonicTime stamped = now;
        advanceMillis(1500);
        for (int i = 0; i < 2; i++) {
            MonotonicTime reached = stamped.plus(NanoDuration.ofSeconds(i * 0.5));
            handle(
                    () ->
                            processor.arrived(
                                    currentConnection,
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
                                            EMPTY_BODY)));
            advanceMillis(100);
        }
        completeRun(1, Completion.WELL, "x");
        assertThat(recorded())
                .isEqualTo(
                        """
                1500 run 1\s
                1700 1 SERVED x
                1700 2 SERVED x
                """);
    }

    @Test
    void waitingRepeatsGetOriginalResultAfterItsWindowEnds() {
        settingsSource.set("services.1.window_ns=800000000");
        start();
        long first = arrive("token", "k", "a");
        advanceMillis(500);
        arrive("token", "k", "a");
        advanceMillis(500);
        long next = arrive("token", "k", "a");
        completeRun(first, Completion.WELL, "one");
        completeRun(next, Completion.WELL, "two");
        arrive("token", "k", "a");
        assertThat(recorded())
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
    void evictionDropsOldestResultsAndSparesRunningRequests() {
        createProcessor(20);
        processor.onExecutorConnected(false, NanoDuration.ZERO);
        long running = arrive("token", "a", "body");
        for (String key : List.of("b", "c", "d")) {
            completeRun(arrive("token", key, ""), Completion.WELL, "12345678");
        }
        trace.setLength(0);
        for (String key : List.of("b", "c", "d")) {
            arrive("token", key, "");
        }
        completeRun(running, Completion.WELL, "1234");
        arrive("token", "c", "");
        arrive("token", "a", "body");
        assertThat(recorded())
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
    void newKeyIsRejectedAndRepeatsServedWhileStoreIsFull() {
        start();
        for (int i = 0; i < 64; i++) {
            completeRun(arrive("token", "m" + i, ""), Completion.WELL, "r");
        }
        trace.setLength(0);
        arrive("token", "new key", "");
        arrive("token", "m0", "");
        arrive("pure", null, "p");
        assertThat(recorded())
                .isEqualTo(
                        """
                0 log request rejected reason=idempotency_store_full
                0 65 REJECTED
                0 66 SERVED r
                0 run 67 p
                """);
        advanceMillis(30_000);
        currentConnection = processor.addConnection();
        arrive("token", "new key", "");
        assertThat(recorded()).endsWith("run 68 \n");
    }

    /**
     * A new connection sends again the run commands of safe requests and those that were never
     * written. The command of an idempotent request is in doubt, and is sent again once its client
     * has left.
     */
    @Test
    void newConnectionResendsOnlyCommandsThatCannotRunTwice() {
        start();
        arrive("pure", null, "a");
        long idempotent = arrive("token", "k", "b");
        handle(() -> processor.onExecutorConnected(false, NanoDuration.ZERO));
        handle(() -> processor.aborted(currentConnection, idempotent));
        completeRun(idempotent, Completion.NOTHING_STARTED, "");
        isExecutorConnected = false;
        arrive("token", "l", "c");
        isExecutorConnected = true;
        handle(() -> processor.onExecutorConnected(false, NanoDuration.ZERO));
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1 a
                0 run 2 b
                0 log executor connection recovered connection=1 runsInDoubt=1 repliesInDoubt=0
                0 run 1 a
                0 run 2 b
                0 run 3 c; not connected
                0 run 1 a
                0 run 3 c
                """);
    }

    /**
     * Guards against a second run of a request with an effect. The resource usage counts no run,
     * but it does not count one that waits for a disk either, and the run may have ended since. The
     * request gets its one answer in time. Once its client no longer waits the executor starts no
     * run any more, so that the command can tell whether the first one was read.
     */
    @Test
    void runInDoubtIsSentAgainOnlyOnceItsClientNoLongerWaits() {
        start();
        wantingCore = 0;
        long idempotent = arrive("token", "k", "a");
        handle(() -> processor.onExecutorConnected(false, NanoDuration.ZERO));
        advanceMillis(6000);
        completeRun(idempotent, Completion.NOTHING_STARTED, "");
        assertThat(processor.stateLogLine()).contains(" requests=0 ");
        currentConnection = processor.addConnection();
        arrive("token", "k", "a");
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1 a
                0 log executor connection recovered connection=1 runsInDoubt=1 repliesInDoubt=0
                4998 1 FAILED
                5250 run 1 a
                6000 run 2 a
                """);
    }

    /**
     * Guards against a reply that a run takes for the reply to its next call: a reply in doubt is
     * never given again, whatever the resource usage says.
     */
    @Test
    void replyInDoubtIsNotSentAgain() {
        start();
        long unsafe = arrive("side_effect", null, "a");
        needCall(unsafe);
        handle(
                () ->
                        processor.callEnded(
                                id(unsafe), Completion.WELL, "r".getBytes(StandardCharsets.UTF_8)));
        wantingCore = 0;
        handle(() -> processor.onExecutorConnected(false, NanoDuration.ZERO));
        advanceMillis(100);
        handle(() -> processor.onExecutorConnected(false, NanoDuration.ZERO));
        completeRun(unsafe, Completion.WELL, "result");
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1 a
                0 call for 1 q
                0 reply for 1 r
                0 log executor connection recovered connection=1 runsInDoubt=0 repliesInDoubt=1
                100 log executor connection recovered connection=2 runsInDoubt=0 repliesInDoubt=1
                100 1 SERVED result
                """);
    }

    @Test
    void untrustedConnectionClosesForOneInvalidOrManyUnservedRequests() {
        start();
        currentConnection = processor.addConnection();
        arrive("no such class", null, "a");
        arrive("pure", null, "a");
        currentConnection = processor.addConnection();
        long refused = arrive("pure", null, "b");
        handle(() -> processor.onCommandRefused("EXEC", id(refused)));
        currentConnection = processor.addConnection();
        advanceMillis(1100);
        for (int i = 0; i < 34; i++) {
            advanceMillis(i == 33 ? 2100 : 0);
            long aborted = arrive("pure", null, "c");
            handle(() -> processor.aborted(currentConnection, aborted));
            completeRun(aborted, Completion.NOTHING_STARTED, "");
        }
        assertThat(recorded().replaceAll("[0-9]+ run [0-9]+ c\n", ""))
                .isEqualTo(
                        """
                0 log request failed reason=unknown_request_class
                0 1 FAILED
                0 close 1 UNSOUND
                0 2 REJECTED
                0 run 3 b
                0 log executor refused command=EXEC attempt=0000000000000003
                0 3 FAILED
                0 close 2 UNSOUND
                500 close 1 SLOW_READER
                500 close 2 SLOW_READER
                1100 ask to close
                3000 ask to close
                3200 log request failed reason=connection_close_requested
                3200 37 FAILED
                3200 close 3 UNSOUND
                """);
    }

    @Test
    void keyOfRefusedRunCanBeUsedAgain() {
        start();
        long refused = arrive("token", "k", "a");
        handle(() -> processor.onCommandRefused("EXEC", id(refused)));
        arrive("token", "k", "b");
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1 a
                0 log executor refused command=EXEC attempt=0000000000000001
                0 1 FAILED
                0 run 2 b
                """);
    }

    @Test
    void silentAndLongestIdleConnectionsAreEvictedAndSilentOnesClosed() {
        start();
        ConnectionId checked = processor.addConnection();
        advanceMillis(100);
        processor.addConnection();
        handle(() -> processor.onHealthCheck(checked, 1, false));
        ConnectionId last = processor.addConnection();
        arrive("pure", null, "a");
        for (int i = 0; i < 3; i++) {
            advanceMillis(10);
            ConnectionId next = processor.addConnection();
            record("connected");
            handle(() -> processor.onHealthCheck(next, 1, false));
        }
        processor.disconnected(last);
        processor.addConnection();
        advanceMillis(1600);
        assertThat(recorded())
                .isEqualTo(
                        """
                100 1 HEALTHY
                100 run 1 a
                110 close 2 MADE_ROOM
                110 connected
                110 1 HEALTHY
                120 close 3 MADE_ROOM
                120 connected
                120 1 HEALTHY
                130 ask to close
                130 close 1 MADE_ROOM
                130 connected
                130 1 HEALTHY
                130 ask to close
                130 close 2 MADE_ROOM
                1630 close 2 SAID_NOTHING
                """);
    }

    /**
     * With 16 slots, idle connections are asked to close beyond 14 connections. A new connection is
     * evicted after those that were asked to close or have been idle for a silence interval, and
     * before other idle ones.
     */
    @Test
    void onlyIdleConnectionsAreAskedToCloseNearCapacity() {
        createProcessor(16, 8192);
        processor.onExecutorConnected(false, NanoDuration.ZERO);
        gainTrust();
        arrive("pure", null, "a");
        for (int i = 0; i < 16; i++) {
            advanceMillis(10);
            ConnectionId next = processor.addConnection();
            record("connections: " + processor.connectionCount());
            handle(() -> processor.onHealthCheck(next, 1, false));
        }
        for (int i = 0; i < 4; i++) {
            advanceMillis(i == 0 ? 600 : 0);
            processor.addConnection();
            record("connections: " + processor.connectionCount());
        }
        advanceMillis(600);
        processor.addConnection();
        assertThat(
                        recorded()
                                .replaceAll("(?m)^.*HEALTHY\n", "")
                                .replaceAll("(?s).*150 ask to close", "150 ask to close"))
                .isEqualTo(
                        """
                150 ask to close
                150 connections: 16
                160 close 1 MADE_ROOM
                160 ask to close
                160 connections: 16
                760 close 2 MADE_ROOM
                760 ask to close
                760 connections: 16
                760 close 3 MADE_ROOM
                760 connections: 16
                760 ask to close
                760 close 4 MADE_ROOM
                760 connections: 16
                760 ask to close
                760 close 5 MADE_ROOM
                760 connections: 16
                1360 close 2 LEFT_UNUSED
                """);
    }

    @Test
    void onlyTrustedConnectionMayFinishMessageUntilLongestTimeout() {
        start();
        processor.closeIdleConnections(NanoDuration.ofSeconds(100));
        ConnectionId other = processor.addConnection();
        handle(() -> processor.onHealthCheck(other, 1, false));
        processor.onMessageIncomplete(other);
        processor.onMessageIncomplete(currentConnection);
        advanceMillis(1500);
        processor.onMessageIncomplete(currentConnection);
        handle(() -> processor.onHealthCheck(currentConnection, 2, false));
        advanceMillis(1500);
        processor.onMessageIncomplete(currentConnection);
        advanceMillis(4999);
        processor.onMessageIncomplete(currentConnection);
        advanceMillis(1);
        processor.onMessageIncomplete(currentConnection);
        assertThat(recorded())
                .isEqualTo(
                        """
                0 1 HEALTHY
                0 close 1 SAID_NOTHING
                500 close 1 SLOW_READER
                1500 2 HEALTHY
                8000 close 0 SAID_NOTHING
                """);
    }

    /**
     * Guards against whole requests without a response: an upstream writes a request slowly and
     * another one behind it, while its first request is open and its connection not trusted yet. A
     * connection that is not read any more would swallow both.
     */
    @Test
    void connectionWithOpenRequestMayFinishMessage() {
        start();
        processor.closeIdleConnections(NanoDuration.ofSeconds(100));
        currentConnection = processor.addConnection();
        long first = arrive("pure", null, "a");
        processor.onMessageIncomplete(currentConnection);
        advanceMillis(1500);
        processor.onMessageIncomplete(currentConnection);
        advanceMillis(500);
        long slow = arrive("pure", null, "b");
        long behind = arrive("pure", null, "c");
        completeRun(first, Completion.WELL, "r");
        completeRun(slow, Completion.WELL, "s");
        completeRun(behind, Completion.WELL, "t");
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1 a
                2000 run 2 b
                2000 1 SERVED r
                2000 run 3 c
                2000 2 SERVED s
                2000 3 SERVED t
                """);
    }

    /**
     * Guards against an upstream that goes on sending on a connection that is about to close: it is
     * told so while a request is still open there, and what it had sent before is answered.
     */
    @Test
    void upstreamIsAskedToCloseAConnectionThatBeginsToClose() {
        start();
        currentConnection = processor.addConnection();
        long open = arrive("pure", null, "a");
        arrive("no such class", null, "b");
        completeRun(open, Completion.WELL, "r");
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1 a
                0 log request failed reason=unknown_request_class
                0 2 FAILED
                0 ask to close
                0 1 SERVED r
                0 close 1 UNSOUND
                """);
    }

    @Test
    void failedCallsAreRetriedOnlyIfProvedNotToHaveRun() {
        start();
        long refused = arrive("side_effect", null, "a");
        needCall(refused);
        handle(() -> processor.callEnded(id(refused), Completion.CONNECTION_REFUSED, null));
        advanceMillis(500);
        handle(() -> processor.callEnded(id(refused), Completion.CLOSED_BY_PEER, null));
        handle(() -> processor.callEnded(id(refused), Completion.WELL, EMPTY_BODY));
        completeRun(refused, Completion.STOPPED, "");
        long slow = arrive("pure", null, "b");
        needCall(slow);
        advanceMillis(2500);
        handle(() -> processor.callEnded(id(slow), Completion.WELL, EMPTY_BODY));
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1 a
                0 call for 1 q
                200 call for 1 q
                500 1 FAILED
                500 run 2 b
                500 call for 2 q
                2500 cancel call for 2
                2500 2 FAILED
                """);
    }

    @Test
    void requestFailsIfExecutorRefusesItsRun() {
        start();
        long request = arrive("pure", null, "a");
        handle(() -> processor.onCommandRefused("EXEC", id(request)));
        handle(() -> processor.onCommandRefused("RETURN", id(request)));
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1 a
                0 log executor refused command=EXEC attempt=0000000000000001
                0 1 FAILED
                0 log executor refused command=RETURN attempt=0000000000000001
                """);
    }

    @Test
    void invalidRequestsAreAnsweredAtOnceButReusedTagsAreNot() {
        createProcessor(8192);
        arrive("pure", null, "early");
        processor.onExecutorConnected(false, NanoDuration.ZERO);
        gainTrust();
        arrive("no such class", null, "a");
        handle(() -> processor.arrived(currentConnection, ++tag, null));
        arrive("pure", null, "x".repeat(2049));
        long openTag = arrive("pure", null, "a");
        assertThat(processor.arrived(currentConnection, openTag, arrival(50, "pure", null, "a")))
                .isFalse();
        handle(
                () ->
                        processor.arrived(
                                currentConnection, ++tag, arrival(openTag, "pure", null, "a")));
        arrive("token", null, "a");
        arrive("pure", "k", "a");
        handle(
                () ->
                        processor.arrived(
                                currentConnection,
                                ++tag,
                                arrivalWithBoundedValues("nobody", now, 10, 0.5)));
        handle(
                () ->
                        processor.arrived(
                                currentConnection,
                                ++tag,
                                arrivalWithBoundedValues(
                                        "acme", now.plus(NanoDuration.ofSeconds(9)), 10, 0.5)));
        handle(
                () ->
                        processor.arrived(
                                currentConnection,
                                ++tag,
                                arrivalWithBoundedValues("acme", new MonotonicTime(0), 10, 0.5)));
        assertThat(recorded())
                .isEqualTo(
                        """
                0 log request failed reason=unknown_request_class
                0 2 FAILED
                0 log request failed reason=malformed_request
                0 3 FAILED
                0 log request failed reason=out_of_bounds
                0 4 FAILED
                0 run 5 a
                0 log request failed reason=attempt_id_in_use
                0 6 FAILED
                0 log request failed reason=idempotency_key_mismatch
                0 7 FAILED
                0 log request failed reason=idempotency_key_mismatch
                0 8 FAILED
                0 log request failed reason=unknown_tenant
                0 9 FAILED
                0 log request failed reason=arrival_time_in_future
                0 10 FAILED
                0 log request failed reason=deadline_passed
                0 11 FAILED
                """);
        for (double[] memoryAndRank :
                new double[][] {
                    {0, 0.5}, {2000, 0.5}, {Double.NaN, 0.5}, {10, 1}, {10, Double.NaN}
                }) {
            gainTrust();
            handle(
                    () ->
                            processor.arrived(
                                    currentConnection,
                                    ++tag,
                                    arrivalWithBoundedValues(
                                            "acme", now, memoryAndRank[0], memoryAndRank[1])));
            assertThat(recorded())
                    .isEqualTo("0 log request failed reason=out_of_bounds\n0 " + tag + " FAILED\n");
        }
    }

    @Test
    void requestsNeedNoTenantIfSettingsNameNone() {
        settingsSource.set("customers.count=0");
        createProcessor(8192);
        processor.onExecutorConnected(false, NanoDuration.ZERO);
        for (String tenant : List.of("", "anyone")) {
            handle(
                    () ->
                            processor.arrived(
                                    currentConnection,
                                    ++tag,
                                    arrivalWithHints(
                                            tenant, NanoDuration.ZERO, NanoDuration.ZERO, false)));
            completeRun(tag, Completion.WELL, "x");
        }
        assertThat(recorded()).endsWith("0 run 1 \n0 1 SERVED x\n0 run 2 \n0 2 SERVED x\n");
    }

    @Test
    void clientTimeoutBoundsResponseAndHintsReachPolicy() {
        start();
        List<Request> reported = new ArrayList<>();
        processor =
                new RequestProcessor(
                        settingsSource.settings,
                        7,
                        (actions, seed, map) ->
                                new RuleCheckingPolicy(
                                        new AdmissionController(actions, seed, map),
                                        reported::add,
                                        () -> {}),
                        new RequestProcessor.Ports(this, this, this, this::log),
                        timers,
                        new TableLimits(4, 40, 64, 8192),
                        now);
        currentConnection = processor.addConnection();
        processor.onExecutorConnected(false, NanoDuration.ZERO);
        trace.setLength(0);
        NanoDuration clientTimeout = NanoDuration.ofSeconds(1.5);
        handle(
                () ->
                        processor.arrived(
                                currentConnection,
                                ++tag,
                                arrivalWithHints(
                                        "acme", clientTimeout, NanoDuration.ofSeconds(0.2), true)));
        now = now.plus(NanoDuration.ofSeconds(0.5));
        processor.advance(now);
        handle(
                () ->
                        processor.arrived(
                                currentConnection,
                                ++tag,
                                arrivalWithHints("acme", clientTimeout, NanoDuration.ZERO, false)
                                        .reachedAt(now.minus(NanoDuration.ofSeconds(0.4)))));
        handle(
                () ->
                        processor.arrived(
                                currentConnection,
                                ++tag,
                                arrivalWithHints("acme", clientTimeout, NanoDuration.ZERO, false)
                                        .reachedAt(now.minus(NanoDuration.ofSeconds(1.6)))));
        advanceMillis(2000);
        assertThat(reported)
                .extracting(Request::clientTimeout, Request::work, Request::repeat)
                .containsExactly(
                        tuple(clientTimeout, NanoDuration.ofSeconds(0.2), true),
                        tuple(NanoDuration.ofSeconds(1.1), NanoDuration.ZERO, false));
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1\s
                500 run 2\s
                500 log request failed reason=deadline_passed
                500 3 FAILED
                1498 1 FAILED
                1598 2 FAILED
                """);
    }

    @Test
    void invalidDurationFailsItsRequestAndManyCloseTheConnection() {
        start();
        long other = arrive("pure", null, "a");
        currentConnection = processor.addConnection();
        long before = tag;
        for (int i = 0; i < 16; i++) {
            NanoDuration clientTimeout =
                    i % 2 == 0 ? IncomingRequest.INVALID_DURATION : NanoDuration.ZERO;
            NanoDuration costHint =
                    i % 2 == 0 ? NanoDuration.ZERO : IncomingRequest.INVALID_DURATION;
            assertThat(recorded()).doesNotContain("close");
            handle(
                    () ->
                            processor.arrived(
                                    currentConnection,
                                    ++tag,
                                    arrivalWithHints("acme", clientTimeout, costHint, false)));
            assertThat(recorded()).contains(" " + tag + " FAILED\n");
        }
        assertThat(tag - before).isEqualTo(16);
        assertThat(recorded())
                .endsWith("close 1 UNSOUND\n")
                .doesNotContain("0 " + other + " FAILED");
    }

    @Test
    void runsAreStoppedAsConfiguredUntilExecutorRefuses() {
        settingsSource.set("domain.stop_mode=freeze");
        start();
        long aborted = arrive("pure", null, "a");
        handle(() -> processor.aborted(currentConnection, aborted));
        completeRun(aborted, Completion.STOPPED, "");
        long late = arrive("pure", null, "b");
        advanceMillis(5000);
        handle(() -> processor.onCommandRefused("KILL", id(late)));
        completeRun(late, Completion.WELL, "unused");
        long third = arrive("pure", null, "c");
        handle(() -> processor.aborted(currentConnection, third));
        completeRun(third, Completion.WELL, "unused");
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1 a
                0 stop 1
                0 run 2 b
                4998 2 FAILED
                4998 stop 2
                5000 log executor refused command=KILL attempt=0000000000000002
                5000 run 3 c
                """);
        assertThat(processor.stateLogLine()).contains(" requests=0 ");
    }

    @Test
    void callsAreSkippedAsConfiguredUntilExecutorRefuses() {
        settingsSource.set("domain.class_skip_worth=0.5,0.5,0.5,0");
        start();
        long request = arrive("pure", null, "a");
        needCall(request);
        handle(() -> processor.callEnded(id(request), Completion.TIMED_OUT_DOWNSTREAM, null));
        isExecutorConnected = false;
        handle(() -> processor.onExecutorConnected(false, NanoDuration.ZERO));
        completeRun(request, Completion.WELL, "poorer");
        isExecutorConnected = true;
        long secondRequest = arrive("pure", null, "b");
        needCall(secondRequest);
        handle(() -> processor.callEnded(id(secondRequest), Completion.TIMED_OUT_DOWNSTREAM, null));
        handle(() -> processor.onCommandRefused("BYPASS", id(secondRequest)));
        advanceMillis(300);
        handle(() -> processor.callEnded(id(secondRequest), Completion.TIMED_OUT_DOWNSTREAM, null));
        advanceMillis(300); // until the call no longer counts as occupying the dependency
        long thirdRequest = arrive("pure", null, "c");
        needCall(thirdRequest);
        handle(() -> processor.callEnded(id(thirdRequest), Completion.TIMED_OUT_DOWNSTREAM, null));
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1 a
                0 call for 1 q
                0 skip call for 1
                0 log executor connection recovered connection=1 runsInDoubt=0 repliesInDoubt=1
                0 1 SERVED poorer
                0 run 2 b
                0 call for 2 q
                0 skip call for 2
                0 log executor refused command=BYPASS attempt=0000000000000002
                200 call for 2 q
                300 2 FAILED
                600 run 3 c
                600 call for 3 q
                600 3 FAILED
                """);
    }

    /**
     * An executor may refuse a command to skip a call with "BAD - -", which names neither the
     * command nor the attempt. Then the call must be made, or the run would wait forever.
     */
    @Test
    void callIsMadeAfterRefusalToSkipThatNamesNoCommand() {
        settingsSource.set("domain.class_skip_worth=0.5,0.5,0.5,0 domain.calls_out=8");
        start();
        long request = arrive("pure", null, "a");
        needCall(request);
        handle(() -> processor.callEnded(id(request), Completion.TIMED_OUT_DOWNSTREAM, null));
        long secondRequest = arrive("side_effect", null, "b");
        needCall(secondRequest);
        handle(() -> processor.callEnded(id(secondRequest), Completion.TIMED_OUT_DOWNSTREAM, null));
        handle(() -> processor.onCommandRefused("-", new AttemptId("-")));
        handle(
                () ->
                        processor.callEnded(
                                id(request),
                                Completion.WELL,
                                "r".getBytes(StandardCharsets.UTF_8)));
        handle(() -> processor.onCommandRefused("-", new AttemptId("-")));
        completeRun(request, Completion.WELL, "whole");
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1 a
                0 call for 1 q
                0 skip call for 1
                0 run 2 b
                0 call for 2 q
                0 skip call for 2
                0 log executor refused command=- attempt=-
                0 2 FAILED
                0 call for 1 q
                0 reply for 1 r
                0 log executor refused command=- attempt=-
                0 1 SERVED whole
                """);
    }

    @Test
    void requestsBeyond32OpenOnOneConnectionAreRejected() {
        settingsSource.set("domain.cpus=40");
        start();
        for (int open = 1; open <= 33; open++) {
            arrive("pure", null, "a");
        }
        completeRun(7, Completion.WELL, "x");
        arrive("pure", null, "a");
        assertThat(recorded())
                .endsWith(
                        """
                0 run 32 a
                0 log request rejected reason=too_many_open_requests
                0 33 REJECTED
                0 7 SERVED x
                0 run 34 a
                """);
    }

    @Test
    void timeoutCountsFromArrivalTime() {
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
        handle(() -> processor.arrived(currentConnection, ++tag, late));
        arrive("side_effect", null, "a");
        advanceMillis(6000);
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1 late
                0 run 2 a
                3998 1 FAILED
                4998 2 FAILED
                """);
    }

    @Test
    void overdueRequestsFailAtOnceAfterProcessPause() {
        start();
        arrive("pure", null, "a");
        arrive("token", "k", "b");
        now = now.plus(NanoDuration.ofSeconds(20));
        handle(() -> processor.advance(now));
        advanceMillis(0);
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1 a
                0 run 2 b
                20000 1 FAILED
                20000 2 FAILED
                """);
    }

    @Test
    void executorRestartFailsItsRunsAndFreesTheirCores() {
        start();
        arrive("pure", null, "a");
        arrive("token", "k", "b");
        arrive("pure", null, "c");
        handle(processor::onExecutorRestarted);
        arrive("token", "k", "b");
        arrive("pure", null, "d");
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1 a
                0 run 2 b
                0 log executor restarted, its runs are lost
                0 1 FAILED
                0 2 FAILED
                0 run 3 c
                0 4 FAILED
                0 run 5 d
                """);
    }

    @Test
    void idleAndHalfClosedConnectionsCloseOnceNoRequestIsOpen() {
        start();
        long request = arrive("pure", null, "a");
        handle(() -> processor.halfClosed(currentConnection));
        advanceMillis(4000);
        completeRun(request, Completion.WELL, "result");
        ConnectionId idle = processor.addConnection();
        handle(() -> processor.onHealthCheck(idle, 5, false));
        advanceMillis(9000);
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1 a
                4000 1 SERVED result
                4000 close 0 CLOSED_BY_PEER
                4000 5 HEALTHY
                4500 close 0 SLOW_READER
                7000 ask to close
                12000 close 1 CLOSED_HERE
                12500 close 1 SLOW_READER
                """);
    }

    @Test
    void slowReaderMayReadLastResponsesForLongestTimeout() {
        start();
        readsResponses = false;
        arrive("no such class", null, "");
        currentConnection = processor.addConnection();
        arrive("no such class", null, "");
        advanceMillis(1000);
        processor.onFlushed(currentConnection);
        advanceMillis(60_000);
        assertThat(recorded())
                .isEqualTo(
                        """
                0 log request failed reason=unknown_request_class
                0 1 FAILED
                0 log request failed reason=unknown_request_class
                0 2 FAILED
                0 close 1 UNSOUND
                1500 close 1 SLOW_READER
                3000 ask to close
                8000 close 0 CLOSED_HERE
                13000 close 0 SLOW_READER
                """);
    }

    @Test
    void drainingNodeRejectsNewRequestsAndAnswersOpenOnes() {
        start();
        arrive("pure", null, "a");
        handle(() -> processor.drain(NanoDuration.ofSeconds(3)));
        advanceMillis(700);
        arrive("pure", null, "b");
        assertThat(processor.sinceLastRequest()).isEqualTo(NanoDuration.ZERO);
        assertThat(processor.isAnswered()).isFalse();
        advanceMillis(2200);
        assertThat(processor.isAnswered()).isTrue();
        handle(() -> processor.onHealthCheck(currentConnection, 9, true));
        processor.requestCloseOfConnections();
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1 a
                700 2 REJECTED
                2850 1 FAILED
                2900 9 UNHEALTHY
                2900 ask to close
                """);
    }

    @Test
    void lastResponsesWhileDrainingPrecedeLaterTimersAfterStall() {
        start();
        arrive("pure", null, "a");
        repliesWithResourceUsage = false;
        handle(() -> processor.drain(NanoDuration.ofSeconds(1)));
        timers.schedule(
                now.plus(NanoDuration.ofSeconds(0.96)),
                () -> processor.requestCloseOfConnections());
        // The process stalls until both timers are overdue.
        now = now.plus(NanoDuration.ofSeconds(1));
        handle(
                () -> {
                    processor.advance(now);
                    timers.runDue(now);
                });
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1 a
                1000 1 FAILED
                1000 ask to close
                """);
    }

    @Test
    void nodeDrainingBeforeExecutorConnectsStartsNoPolicy() {
        createProcessor(8192);
        handle(() -> processor.drain(NanoDuration.ofSeconds(3)));
        handle(() -> processor.onExecutorConnected(false, NanoDuration.ZERO));
        arrive("pure", null, "a");
        assertThat(recorded())
                .isEqualTo(
                        """
                0 log request rejected reason=executor_not_connected
                0 1 REJECTED
                """);
    }

    @Test
    void staleIdNeverMatchesReusedSlot() {
        SlotTable<String> slots = new SlotTable<>(2);
        long first = slots.put("a");
        slots.put("b");
        assertThat(slots.isFull()).isTrue();
        slots.remove(first);
        long reused = slots.put("c");
        assertThat(reused & 1).as("the same slot").isEqualTo(first & 1);
        assertThat(slots.get(first)).isNull();
        assertThat(slots.remove(first)).isNull();
        assertThat(slots.get(reused)).isEqualTo("c");
    }

    @Test
    void timersFireInOrderAndThoseTheyAddWait() {
        timers.schedule(new MonotonicTime(2), () -> record("second"));
        timers.schedule(
                new MonotonicTime(1),
                () -> {
                    record("first");
                    timers.schedule(new MonotonicTime(1), () -> record("added"));
                });
        TimerSet.Timer cancelled = timers.schedule(new MonotonicTime(1), () -> record("cancelled"));
        timers.cancel(cancelled);
        timers.runDue(new MonotonicTime(3));
        record("--");
        timers.runDue(new MonotonicTime(3));
        assertThat(recorded()).isEqualTo("0 first\n0 second\n0 --\n0 added\n");
    }

    @Test
    void onlyUnsentOrUnstartedWorkProvesNothingRan() {
        assertThat(
                        Arrays.stream(Completion.values())
                                .filter(completion -> completion.outcome().provesNeverRan()))
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
