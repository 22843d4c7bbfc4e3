package lupinwood.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import org.junit.jupiter.api.Test;

/** Server selection, in-flight limits, ejection, readmission and the retry budget. */
final class ServerPoolTest {
    private static final NanoDuration FAST = NanoDuration.ofSeconds(0.02);

    private final ServerPool pool =
            new ServerPool(List.of("a", "b", "c"), OutlierLimits.DEFAULTS, 5);
    private MonotonicTime now = new MonotonicTime(1_000_000_000_000L);

    private void advance(double seconds) {
        now = now.plus(NanoDuration.ofSeconds(seconds));
    }

    /**
     * Sends requests one by one, each of which ends 1 ms later, before the next is sent; returns
     * how many requests each server got.
     */
    private int[] sendSequentially(
            int requests, ServerPool.AttemptCompletion endAtA, NanoDuration latencyAtA) {
        int[] sent = new int[pool.size()];
        for (int i = 0; i < requests; i++) {
            int server = pool.acquireServer(now, List.of());
            if (server < 0) {
                break;
            }
            sent[server]++;
            advance(0.001);
            pool.onAttemptEnded(
                    server,
                    server == 0 ? endAtA : ServerPool.AttemptCompletion.WELL,
                    server == 0 ? latencyAtA : FAST,
                    false,
                    now);
        }
        return sent;
    }

    @Test
    void cordonedServerDrainsAndReturnsOnProbation() {
        sendSequentially(60, ServerPool.AttemptCompletion.WELL, FAST);
        int cordoned = pool.acquireServer(now, List.of());
        pool.setCordonedServers(List.of(pool.serverName(cordoned)));
        assertThat(pool.drainedServers()).as("an attempt is in flight there").isEmpty();
        pool.onAttemptEnded(cordoned, ServerPool.AttemptCompletion.WELL, FAST, false, now);
        assertThat(pool.drainedServers()).containsExactly(pool.serverName(cordoned));
        assertThat(sendSequentially(300, ServerPool.AttemptCompletion.WELL, FAST)[cordoned])
                .isZero();
        pool.setCordonedServers(List.of());
        assertThat(pool.drainedServers()).isEmpty();
        assertThat(pool.inFlightLimit(cordoned))
                .as("one at a time until one succeeds")
                .isEqualTo(1);
        assertThat(sendSequentially(300, ServerPool.AttemptCompletion.WELL, FAST)[cordoned])
                .isGreaterThan(60);
    }

    @Test
    void equalServersShareRequestsEvenly() {
        int[] sent = sendSequentially(300, ServerPool.AttemptCompletion.WELL, FAST);
        assertThat(sent[0]).isBetween(90, 110);
        assertThat(sent[1]).isBetween(90, 110);
    }

    @Test
    void fastFailingServerIsEjectedAndProbedAfterDoublingTimes() {
        sendSequentially(60, ServerPool.AttemptCompletion.WELL, FAST);
        int[] sent =
                sendSequentially(
                        400, ServerPool.AttemptCompletion.FAILED, NanoDuration.ofSeconds(0.0001));
        assertThat(sent[0]).isLessThanOrEqualTo(5);
        int probes = 0;
        for (int second = 0; second < 64; second++) {
            probes +=
                    sendSequentially(
                            1000,
                            ServerPool.AttemptCompletion.FAILED,
                            NanoDuration.ofSeconds(0.0001))[0];
        }
        assertThat(probes).as("of 64,000 requests in 64 s").isBetween(2, 15);
        advance(40);
        assertThat(sendSequentially(1, ServerPool.AttemptCompletion.WELL, FAST)[0])
                .as("probed at once")
                .isEqualTo(1);
        assertThat(sendSequentially(300, ServerPool.AttemptCompletion.WELL, FAST)[0])
                .isGreaterThan(60);
    }

    @Test
    void slowServerGetsFewerRequestsAndALowerLimit() {
        sendSequentially(60, ServerPool.AttemptCompletion.WELL, FAST);
        int[] sent = new int[3];
        for (int i = 0; i < 600; i++) {
            int server = pool.acquireServer(now, List.of());
            sent[server]++;
            boolean slow = server == 0;
            if (slow) {
                pool.onAttemptSlow(server);
            }
            advance(0.001);
            pool.onAttemptEnded(
                    server,
                    ServerPool.AttemptCompletion.WELL,
                    slow ? FAST.times(10) : FAST,
                    slow,
                    now);
        }
        assertThat(sent[0]).isLessThan(60);
        assertThat(pool.inFlightLimit(0)).isLessThan(4);
        assertThat(pool.slowAttemptThreshold())
                .isBetween(NanoDuration.ofSeconds(0.03), NanoDuration.ofSeconds(0.12));
    }

    @Test
    void recoveredServerIsSeenAsFastAgainUnderLightLoad() {
        sendSequentially(60, ServerPool.AttemptCompletion.WELL, FAST);
        for (int i = 0; i < 20; i++) {
            sendSequentially(3, ServerPool.AttemptCompletion.WELL, FAST.times(50));
        }
        assertThat(sendSequentially(30, ServerPool.AttemptCompletion.WELL, FAST)[0]).isZero();
        int sent = 0;
        for (int second = 0; second < 60; second++) {
            sent += sendSequentially(10, ServerPool.AttemptCompletion.WELL, FAST)[0];
            advance(1);
        }
        assertThat(sent).isGreaterThan(100);
    }

    @Test
    void onlyProbesAreSentWhileAllServersFail() {
        for (int i = 0; i < 200; i++) {
            int server = pool.acquireServer(now, List.of());
            if (server >= 0) {
                pool.onAttemptEnded(
                        server, ServerPool.AttemptCompletion.FAILED, NanoDuration.ZERO, false, now);
            }
        }
        assertThat(pool.acquireServer(now, List.of())).isNegative();
        assertThat(pool.nextProbeAt(now)).isLessThan(now.plus(NanoDuration.ofSeconds(1)));
        int probes = 0;
        for (int i = 0; i < 600; i++) {
            advance(0.1);
            int server = pool.acquireServer(now, List.of());
            if (server >= 0) {
                probes++;
                pool.onAttemptEnded(
                        server, ServerPool.AttemptCompletion.FAILED, NanoDuration.ZERO, false, now);
            }
        }
        assertThat(probes).as("of 600 requests in a minute").isLessThan(30);
    }

    /**
     * Guards against an event loop that never rests: a server may be probed, but none of the
     * requests that wait may go there, so the time at which to look again must not have passed
     * already.
     */
    @Test
    void probeThatNothingMayMakeIsLookedForAgainLater() {
        for (int i = 0; i < 200; i++) {
            int server = pool.acquireServer(now, List.of());
            if (server >= 0) {
                pool.onAttemptEnded(
                        server, ServerPool.AttemptCompletion.FAILED, NanoDuration.ZERO, false, now);
            }
        }
        advance(60);
        assertThat(pool.acquireServer(now, List.of(), server -> false)).isNegative();
        assertThat(pool.nextProbeAt(now)).isGreaterThan(now);
    }

    @Test
    void limitsHoldAndTriedServersAreChosenLast() {
        int sent = 0;
        while (pool.acquireServer(now, List.of()) >= 0) {
            sent++;
        }
        assertThat(sent).isEqualTo(12);
        pool.onAttemptEnded(1, ServerPool.AttemptCompletion.UNKNOWN, NanoDuration.ZERO, false, now);
        pool.onAttemptEnded(2, ServerPool.AttemptCompletion.UNKNOWN, NanoDuration.ZERO, false, now);
        assertThat(pool.acquireServer(now, List.of(1))).isEqualTo(2);
        assertThat(pool.acquireServer(now, List.of(1)))
                .as("only the server tried before has capacity")
                .isEqualTo(1);
    }

    @Test
    void retriesStayASmallShareAtAnyLoad() {
        RetryBudget budget = new RetryBudget(0.1, 10);
        int retries = 0;
        for (int i = 0; i < 100_000; i++) {
            budget.recordFirstAttempt();
            retries += budget.tryAcquireRetry() ? 1 : 0;
            retries += budget.tryAcquireRetry() ? 1 : 0;
        }
        assertThat(retries).isBetween(10_000, 10_011);
        assertThat(budget.retries()).isEqualTo(retries);
    }
}
