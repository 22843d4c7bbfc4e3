package lupinwood.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class AdmissionControllerTest {
    private RecordingServer server = new RecordingServer();

    @Test
    void answersEveryRequestBeforeItsTimeout() {
        server.set("domain.calls_out=1").start();
        server.admit(RecordingServer.UNSAFE);
        long calling = server.admit(RecordingServer.UNSAFE);
        server.deliver(calling, RequestListener::onCallNeeded);
        long waitingToCall = server.admit(RecordingServer.IDEMPOTENT);
        server.deliver(waitingToCall, RequestListener::onCallNeeded);
        server.advanceMillis(6000);
        assertThat(server.traceText())
                .isEqualTo(
                        """
                0 run 1
                0 run 2
                0 call 2
                0 remember 3
                0 run 3
                2000 fail 3
                4998 fail 1
                4998 fail 2
                """);
    }

    @Test
    void retryGetsOriginalsResultOrFailureAndNeverRuns() {
        server.start();
        long first = server.admit(RecordingServer.IDEMPOTENT);
        long retryMeanwhile = server.admit(RecordingServer.IDEMPOTENT, first, 10, 0);
        server.complete(first);
        server.deliver(
                retryMeanwhile, listener -> listener.onCompleted(Outcome.OK, NanoDuration.ZERO));
        server.advanceMillis(7000);
        server.admit(RecordingServer.IDEMPOTENT, first, 10, 0);
        long failedOriginal = server.admit(RecordingServer.IDEMPOTENT);
        server.deliver(
                failedOriginal, listener -> listener.onCompleted(Outcome.ERROR, NanoDuration.ZERO));
        server.admit(RecordingServer.IDEMPOTENT, failedOriginal, 10, 0);
        assertThat(server.traceText())
                .isEqualTo(
                        """
                0 remember 1
                0 run 1
                0 answer from original 2
                7000 answer from original 3
                7000 remember 4
                7000 run 4
                7000 fail 5
                """);
    }

    /**
     * During a drain, an original whose client is gone is never answered. A retry that arrives
     * after the drain's last answers fails at once instead of waiting for the original's result.
     */
    @Test
    void retryAfterLastDrainAnswersDoesNotWaitForOriginal() {
        RecordingServer drainingServer = new RecordingServer().start();
        long original = drainingServer.admit(RecordingServer.IDEMPOTENT);
        drainingServer.deliver(original, RequestListener::onClientGone);
        drainingServer.policy.drain(NanoDuration.ofSeconds(3));
        drainingServer.advanceMillis(2900);
        drainingServer.trace.clear();
        drainingServer.admit(RecordingServer.IDEMPOTENT, original, 10, 0);
        drainingServer.advanceMillis(20);
        assertThat(drainingServer.traceText())
                .isEqualTo(
                        """
                2900 answer from original 2
                2900 fail 2
                """);
    }

    @Test
    void drainRejectsLateArrivalsAndAnswersAllBeforeStop() {
        server.start();
        server.admit(RecordingServer.LOCAL);
        server.policy.drain(NanoDuration.ofSeconds(3));
        server.advanceMillis(400);
        server.admit(RecordingServer.LOCAL);
        server.advanceMillis(800);
        server.admit(RecordingServer.LOCAL);
        server.advanceMillis(2000);
        assertThat(server.traceText())
                .isEqualTo(
                        """
                0 run 1
                0 health unhealthy
                400 run 2
                1200 log request rejected id=3 reason=draining
                1200 reject 3, retry later
                2850 fail 1
                2850 fail 2
                """);
    }

    @Test
    void nearlyFullMemoryRejectsRequestsAndDelaysRuns() {
        server.set("domain.memory_kb=100").start();
        server.admit(RecordingServer.LOCAL, 0, 20, 0);
        server.admit(RecordingServer.LOCAL, 0, 4, 0);
        server.admit(RecordingServer.IDEMPOTENT, 0, 3, 0);
        assertThat(server.traceText())
                .isEqualTo(
                        """
                0 run 1
                0 log request rejected id=3 reason=memory_full
                0 reject 3, retry later
                """);
    }

    @Test
    void coldNodeRunsFewerRequestsButUsesAFreeCore() {
        for (String cold :
                new String[] {"0.2 rules.fall_multiple=1.1", "0.01 rules.fall_multiple=9"}) {
            RecordingServer coldServer =
                    new RecordingServer()
                            .set("domain.cold=true rules.ramp_time_ns=10000000000")
                            .set("rules.cold_share=" + cold)
                            .start();
            for (int i = 0; i < 3; i++) {
                coldServer.admit(RecordingServer.LOCAL);
            }
            assertThat(coldServer.traceText())
                    .isEqualTo(
                            """
                    0 run 1
                    0 log request rejected id=3 reason=cannot_finish_in_time
                    0 reject 3, retry later
                    """);
        }
    }

    @Test
    void inFlightLimitRejectsOnlyClassesThatCall() {
        withLongObjective().set("domain.cpus=8").start();
        for (int i = 0; i < 20; i++) {
            server.admit(RecordingServer.SAFE, 0, 1, 0);
        }
        server.trace.clear();
        server.admit(RecordingServer.UNSAFE);
        server.admit(RecordingServer.LOCAL);
        assertThat(server.traceText())
                .isEqualTo(
                        """
                0 log request rejected id=21 reason=in_flight_limit
                0 reject 21, retry later
                """);
    }

    @Test
    void requestIsCountedInFlightUntilItsLikelyLastCall() {
        withLongObjective().set("domain.cpus=8 domain.calls_out=40").start();
        server.learnBaseline(100);
        long calledBefore = server.admit(RecordingServer.SAFE);
        server.call(calledBefore, 100, Outcome.OK);
        for (int i = 0; i < 19; i++) {
            server.admit(RecordingServer.SAFE, 0, 1, 0);
        }
        server.trace.clear();
        server.deliver(calledBefore, RequestListener::onCallNeeded);
        server.admit(RecordingServer.SAFE);
        server.deliver(
                calledBefore,
                listener -> listener.onCallCompleted(Outcome.OK, NanoDuration.ofSeconds(0.1)));
        server.admit(RecordingServer.SAFE);
        assertThat(server.traceText())
                .isEqualTo(
                        """
                900 run 17
                900 call 9
                900 log request rejected id=29 reason=in_flight_limit
                900 reject 29, retry later
                """);
    }

    @Test
    void limitIsNotReducedBeforeBaselineIsKnown() {
        withLongObjective().start();
        long slow = server.admit(RecordingServer.SAFE);
        server.call(slow, 15000, Outcome.OK);
        assertThat(server.traceText())
                .isEqualTo(
                        """
                0 run 1
                0 call 1
                """);
    }

    @Test
    void slowCallReducesLimitOnceWhileInFlight() {
        withLongObjective().start();
        server.learnBaseline(100);
        long slow = server.admit(RecordingServer.SAFE);
        server.call(slow, 12000, Outcome.BROKEN);
        assertThat(server.traceText())
                .isEqualTo(
                        """
                800 run 9
                800 call 9
                10800 log in-flight limit reduced limit=18.0
                """);
    }

    @Test
    void overtakenCallIsRetriedIfSafeAndFailsOtherwise() {
        server.set("domain.calls_out=9 domain.cpus=8").start();
        for (int i = 0; i < 8; i++) {
            long idempotent = server.admit(RecordingServer.IDEMPOTENT);
            server.call(idempotent, 100, Outcome.OK);
            server.complete(idempotent);
        }
        server.learnBaseline(100);
        for (int classIndex : new int[] {RecordingServer.SAFE, RecordingServer.IDEMPOTENT}) {
            server.deliver(server.admit(classIndex), RequestListener::onCallNeeded);
        }
        server.learnBaseline(50);
        server.advanceMillis(700);
        assertThat(server.traceText())
                .as("too few later calls returned")
                .isEqualTo(
                        """
                2600 log in-flight limit reduced limit=18.0
                2600 log in-flight limit reduced limit=16.2
                """);
        server.learnBaseline(30);
        server.learnBaseline(30);
        server.advanceMillis(1200);
        server.deliver(
                17, listener -> listener.onCallCompleted(Outcome.OK, NanoDuration.ofSeconds(0.5)));
        server.complete(17);
        assertThat(server.traceText())
                .isEqualTo(
                        """
                3600 call 17
                3600 fail 18
                """);
    }

    @Test
    void targetIsThreeBaselineMediansIfThatIsLonger() {
        withLongObjective().start();
        server.learnBaseline(5000);
        long callWithinTarget = server.admit(RecordingServer.SAFE);
        server.call(callWithinTarget, 12000, Outcome.OK);
        long callPastTarget = server.admit(RecordingServer.SAFE);
        server.call(callPastTarget, 18000, Outcome.OK);
        assertThat(server.traceText())
                .isEqualTo(
                        """
                40000 run 9
                40000 call 9
                52000 run 10
                52000 call 10
                68532 log in-flight limit reduced limit=18.0
                """);
    }

    @Test
    void timedOutCallFailsRequestAndStaysInFlightForLingerTime() {
        server.set("domain.calls_out=1").start();
        long first = server.admit(RecordingServer.UNSAFE);
        long second = server.admit(RecordingServer.UNSAFE);
        server.deliver(first, RequestListener::onCallNeeded);
        server.deliver(second, RequestListener::onCallNeeded);
        server.deliver(
                first,
                listener -> listener.onCallCompleted(Outcome.TIMED_OUT, NanoDuration.ofSeconds(1)));
        server.advanceMillis(250);
        assertThat(server.traceText())
                .isEqualTo(
                        """
                0 run 1
                0 run 2
                0 call 1
                0 fail 1
                200 call 2
                """);
    }

    @Test
    void quotaBelowOneCallIsKeptByPauses() {
        server.set("domain.calls_out=0.25").start();
        long first = server.admit(RecordingServer.SAFE);
        long second = server.admit(RecordingServer.SAFE);
        server.deliver(second, RequestListener::onCallNeeded);
        server.call(first, 100, Outcome.OK);
        server.deliver(
                second,
                listener -> listener.onCallCompleted(Outcome.OK, NanoDuration.ofSeconds(0.1)));
        server.advanceMillis(1000);
        assertThat(server.traceText())
                .isEqualTo(
                        """
                0 run 1
                0 run 2
                0 call 2
                400 call 1
                """);
    }

    @Test
    void callTimeoutIsPositiveEvenIfLingerExceedsSmallQuota() {
        server.set(
                        "domain.calls_out=0.05 domain.calls_over_ns=5000000000 domain.linger_ns=200000000")
                .start();
        server.deliver(server.admit(RecordingServer.SAFE), RequestListener::onCallNeeded);
        assertThat(server.callTimeouts.get(1L)).isEqualTo(NanoDuration.ofSeconds(0.0625));
        server = new RecordingServer().set("domain.calls_out=0.05").start();
        server.deliver(server.admit(RecordingServer.SAFE), RequestListener::onCallNeeded);
        assertThat(server.callTimeouts.get(1L))
                .as("without a quota window")
                .isEqualTo(NanoDuration.ofSeconds(2));
    }

    @Test
    void callsArePausedWhileLessThanOneIsAllowed() {
        withLongObjective().set("domain.calls_out=1").start();
        server.learnBaseline(100);
        server.call(server.admit(RecordingServer.SAFE), 2000, Outcome.OK);
        server.call(server.admit(RecordingServer.SAFE), 2000, Outcome.OK);
        assertThat(server.traceText())
                .isEqualTo(
                        """
                800 run 9
                800 call 9
                2800 run 10
                3036 call 10
                """);
    }

    @Test
    void timedOutCallIsSkippedIfSkippingHasValue() {
        server.set("domain.class_skip_worth=0.3,0,0,0").start();
        long requestId = server.admit(RecordingServer.SAFE);
        server.call(requestId, 1000, Outcome.TIMED_OUT);
        server.complete(requestId);
        assertThat(server.traceText())
                .isEqualTo(
                        """
                0 run 1
                0 call 1
                1000 skip call 1
                """);
    }

    @Test
    void unsafeCallIsRetriedOnlyIfProvenNeverRun() {
        server.start();
        long requestId = server.admit(RecordingServer.UNSAFE);
        server.call(requestId, 10, Outcome.UNREACHABLE);
        server.advanceMillis(500);
        server.deliver(
                requestId,
                listener -> listener.onCallCompleted(Outcome.BROKEN, NanoDuration.ofSeconds(0.5)));
        assertThat(server.traceText())
                .isEqualTo(
                        """
                0 run 1
                0 call 1
                210 call 1
                510 fail 1
                """);
    }

    @Test
    void burstingTenantIsRejectedRatherThanOthers() {
        server.set("customers.count=2 customers.0.quota_rps=1 customers.1.quota_rps=10")
                .set("over_share_worth=0.05")
                .start();
        for (int i = 0; i < 22; i++) {
            server.admit(RecordingServer.SAFE, 0, 1, 0);
        }
        server.trace.clear();
        server.admit(RecordingServer.SAFE, 0, 1, 1);
        assertThat(server.traceText())
                .isEqualTo(
                        """
                0 log request rejected id=15 reason=cannot_finish_in_time
                0 reject 15, do not retry elsewhere
                """);
    }

    /**
     * Guards against a fault in which a client that sent 200 copies of a request and withdrew them
     * put its tenant over its quota. The test sends 30 copies.
     */
    @Test
    void withdrawnRequestsUseNoTenantQuota() {
        server.set("customers.count=2 customers.0.quota_rps=1 customers.1.quota_rps=10")
                .set("over_share_worth=0.05 domain.cpus=1")
                .start();
        server.admit(RecordingServer.SAFE, 0, 1, 0);
        for (int i = 0; i < 30; i++) {
            server.deliver(
                    server.admit(RecordingServer.LOCAL, 0, 1, 0), RequestListener::onClientGone);
        }
        for (int i = 0; i < 4; i++) {
            server.admit(RecordingServer.LOCAL, 0, 1, 0);
        }
        server.trace.clear();
        for (int i = 0; i < 20; i++) {
            server.admit(RecordingServer.LOCAL, 0, 1, 1);
        }
        assertThat(server.traceText())
                .contains("cannot_finish_in_time")
                .doesNotContain("do not retry elsewhere");
    }

    @Test
    void slowNodeDoesNotDiscourageOtherNodes() {
        withLongObjective()
                .set("rules.cold_share=0.5 rules.ramp_time_ns=100000000000 rules.fall_multiple=20");
        for (String cold : new String[] {"false", "true"}) {
            server.set("domain.cpus=8 domain.cold=" + cold).start();
            for (int i = 0; i < 20; i++) {
                server.admit(RecordingServer.SAFE, 0, 1, 0);
            }
            server.advanceMillis(3000);
            server.admit(RecordingServer.SAFE);
            assertThat(server.trace.get(server.trace.size() - 1))
                    .isEqualTo(
                            cold.equals("true")
                                    ? "6000 reject 42, retry later"
                                    : "3000 reject 21, retry later, do not retry elsewhere");
        }
    }

    @Test
    void earlyWakeUpIsRequestedAgain() {
        TimerQueue timers = new TimerQueue(server);
        timers.scheduleAfter(new NanoDuration(1_000), () -> server.log("timer fired"));
        timers.requestWakeUp();
        timers.runDue();
        timers.requestWakeUp();
        assertThat(server.wakeUps).containsExactly(Map.entry(1_000_001_000L, 2));
    }

    @Test
    void expiringRequestRequestsNoWakeUpInThePast() {
        server.start();
        server.clientTimeout = NanoDuration.ofSeconds(0.001);
        server.admit(RecordingServer.LOCAL);
        assertThat(server.traceText())
                .isEqualTo(
                        """
                0 log request rejected id=1 reason=cannot_finish_in_time
                0 reject 1, retry later, do not retry elsewhere
                """);
    }

    @Test
    void manyOpenConnectionsShortenTheIdleTimeout() {
        server.set("domain.keepalive_max_ns=10000000000").start();
        server.resourceUsage = new ResourceUsage(0, 0, 0, 500);
        server.advanceMillis(300);
        assertThat(server.traceText())
                .isEqualTo(
                        """
                100 close idle connections after 9.00
                200 close idle connections after 8.10
                300 close idle connections after 7.29
                """);
    }

    @Test
    void smallAllowancePerUpstreamIsNotRoundedToZero() {
        server.set("domain.advert=allowance domain.upstreams=100").start();
        for (int i = 0; i < 6; i++) {
            server.complete(server.admit(RecordingServer.LOCAL));
        }
        server.advanceMillis(100);
        assertThat(server.traceText().lines()).contains("100 report capacity 0.30");
    }

    /**
     * Gives the first request class so long an objective that only the in-flight limit rejects its
     * requests.
     */
    private RecordingServer withLongObjective() {
        return server.set("services.0.aim_ns=20000000000 services.0.give_up_ns=40000000000");
    }

    @Test
    void coldNodeMakesOneCallAtATimeUntilBaselineIsKnown() {
        server.set("domain.calls_out=10 domain.cpus=8 domain.cold=true rules.cold_share=0.9")
                .start();
        assertThat(callsMadeForFourRequests()).as("a cold node without a baseline").isEqualTo(1);
        for (long requestId = 1; requestId <= 4; requestId++) {
            server.trace.clear();
            server.deliver(
                    requestId,
                    listener -> listener.onCallCompleted(Outcome.OK, NanoDuration.ofSeconds(0.5)));
            assertThat(server.traceText().strip())
                    .isEqualTo(requestId < 4 ? "0 call " + (requestId + 1) : "");
        }
        server.learnBaseline(100);
        assertThat(callsMadeForFourRequests())
                .as("the baseline is known and calls are fast")
                .isEqualTo(4);
        server = new RecordingServer().set("domain.calls_out=10 domain.cpus=8").start();
        assertThat(callsMadeForFourRequests()).as("a node that starts warm").isEqualTo(4);
    }

    /**
     * Guards against a fault in which requests that waited to call filled the in-flight count, so
     * that no call was a baseline call during the whole incarnation of a node.
     */
    @Test
    void coldNodeLearnsBaselineWhileManyRequestsWaitToCall() {
        withLongObjective()
                .set("domain.calls_out=10 domain.cpus=16 domain.cold=true rules.cold_share=0.9")
                .start();
        for (int i = 0; i < 15; i++) {
            server.deliver(server.admit(RecordingServer.SAFE), RequestListener::onCallNeeded);
        }
        long calls = 0;
        for (int i = 0; i < 7; i++) {
            assertThat(server.callTimeouts).as("calls made so far, one at a time").hasSize(i + 1);
            long calling =
                    server.callTimeouts.keySet().stream()
                            .filter(id -> !server.listeners.get(id).isFinished())
                            .findAny()
                            .orElseThrow();
            server.deliver(
                    calling,
                    listener -> listener.onCallCompleted(Outcome.OK, NanoDuration.ofSeconds(0.1)));
            server.complete(calling);
            server.deliver(server.admit(RecordingServer.SAFE), RequestListener::onCallNeeded);
            calls = server.callTimeouts.size() - (long) i - 1;
        }
        assertThat(calls).as("calls in flight once six baseline calls were seen").isGreaterThan(1);
    }

    /**
     * Guards against a fault in which calls returned together, so that more requests ran than the
     * four that a node with two cores survives.
     */
    @Test
    void callingRequestsStayWithinWhatTheCoresSurvive() {
        withLongObjective().set("domain.calls_out=20 rules.fall_multiple=2").start();
        for (int i = 0; i < 12; i++) {
            server.admit(RecordingServer.SAFE);
            server.listeners.forEach(
                    (id, ignored) -> {
                        if (server.traceText().contains("run " + id + "\n")
                                && !server.callTimeouts.containsKey(id)) {
                            server.deliver(id, RequestListener::onCallNeeded);
                        }
                    });
        }
        assertThat(server.callTimeouts)
                .as("calls in flight of a node that survives four running requests")
                .hasSizeLessThanOrEqualTo(4);
        List.copyOf(server.callTimeouts.keySet())
                .forEach(
                        id ->
                                server.deliver(
                                        id,
                                        listener ->
                                                listener.onCallCompleted(
                                                        Outcome.OK, NanoDuration.ofSeconds(1))));
        long running =
                server.traceText().lines().filter(line -> line.matches("\\d+ run \\d+")).count();
        assertThat(running).as("requests started, none of which has ended").isBetween(3L, 4L);
    }

    @Test
    void coldNodeAboveATierIsBoundByInFlightLimitAlone() {
        server.set(
                        "domain.below=tier domain.calls_out=0 domain.cpus=8 domain.cold=true rules.cold_share=0.9")
                .start();
        assertThat(callsMadeForFourRequests()).isEqualTo(4);
    }

    private long callsMadeForFourRequests() {
        server.trace.clear();
        for (int i = 0; i < 4; i++) {
            server.deliver(server.admit(RecordingServer.SAFE), RequestListener::onCallNeeded);
        }
        return server.traceText().lines().filter(line -> line.matches("\\d+ call \\d+")).count();
    }
}
