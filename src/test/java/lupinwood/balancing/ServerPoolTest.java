package lupinwood.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import org.junit.jupiter.api.Test;

/** Choices among servers that do well, fail, slow down and come back. */
final class ServerPoolTest {
    private static final NanoDuration FAST = NanoDuration.ofSeconds(0.02);

    private final ServerPool pool = new ServerPool(List.of("a", "b", "c"), OutlierLimits.USUAL, 5);
    private MonotonicTime now = new MonotonicTime(1_000_000_000_000L);

    private void pass(double seconds) {
        now = now.plus(NanoDuration.ofSeconds(seconds));
    }

    /** One request after the other, each ending at once; how many each server got. */
    private int[] serve(int requests, ServerPool.AttemptEnd endOfA, NanoDuration tookA) {
        int[] got = new int[pool.size()];
        for (int i = 0; i < requests; i++) {
            int server = pool.send(now, List.of());
            if (server < 0) {
                break;
            }
            got[server]++;
            pass(0.001);
            pool.ended(
                    server,
                    server == 0 ? endOfA : ServerPool.AttemptEnd.WELL,
                    server == 0 ? tookA : FAST,
                    false,
                    now);
        }
        return got;
    }

    @Test
    void oneThatRestsGetsNothingNewIsEmptyOnceItsOwnHasEndedAndIsEasedIn() {
        serve(60, ServerPool.AttemptEnd.WELL, FAST);
        int under = pool.send(now, List.of());
        pool.rest(List.of(pool.name(under)));
        assertThat(pool.drained()).as("a run is out there").isEmpty();
        pool.ended(under, ServerPool.AttemptEnd.WELL, FAST, false, now);
        assertThat(pool.drained()).containsExactly(pool.name(under));
        assertThat(serve(300, ServerPool.AttemptEnd.WELL, FAST)[under]).isZero();
        pool.rest(List.of());
        assertThat(pool.drained()).isEmpty();
        assertThat(pool.limit(under)).as("one at a time, until it does well").isEqualTo(1);
        assertThat(serve(300, ServerPool.AttemptEnd.WELL, FAST)[under]).isGreaterThan(60);
    }

    @Test
    void equalServersShareTheWork() {
        int[] got = serve(300, ServerPool.AttemptEnd.WELL, FAST);
        assertThat(got[0]).isBetween(90, 110);
        assertThat(got[1]).isBetween(90, 110);
    }

    @Test
    void oneThatFailsFastIsLeftOutAndTriedWithOneRequestAfterATimeThatDoubles() {
        serve(60, ServerPool.AttemptEnd.WELL, FAST);
        int[] got = serve(400, ServerPool.AttemptEnd.FAILED, NanoDuration.ofSeconds(0.0001));
        assertThat(got[0]).isLessThanOrEqualTo(5);
        int tries = 0;
        for (int second = 0; second < 64; second++) {
            tries += serve(1000, ServerPool.AttemptEnd.FAILED, NanoDuration.ofSeconds(0.0001))[0];
        }
        assertThat(tries).as("of 64,000 tickets in 64 s").isBetween(2, 15);
        pass(40);
        assertThat(serve(1, ServerPool.AttemptEnd.WELL, FAST)[0])
                .as("tried again at once")
                .isEqualTo(1);
        assertThat(serve(300, ServerPool.AttemptEnd.WELL, FAST)[0]).isGreaterThan(60);
    }

    @Test
    void aSlowOneGetsLessByAsMuchAndItsLimitFallsInFlight() {
        serve(60, ServerPool.AttemptEnd.WELL, FAST);
        int[] got = new int[3];
        for (int i = 0; i < 600; i++) {
            int server = pool.send(now, List.of());
            got[server]++;
            boolean slow = server == 0;
            if (slow) {
                pool.slow(server);
            }
            pass(0.001);
            pool.ended(server, ServerPool.AttemptEnd.WELL, slow ? FAST.times(10) : FAST, slow, now);
        }
        assertThat(got[0]).isLessThan(60);
        assertThat(pool.limit(0)).isLessThan(4);
        assertThat(pool.target())
                .isBetween(NanoDuration.ofSeconds(0.03), NanoDuration.ofSeconds(0.12));
    }

    @Test
    void oneThatWasSlowOnceIsObservedToBeFastAgainUnderALightLoad() {
        serve(60, ServerPool.AttemptEnd.WELL, FAST);
        for (int i = 0; i < 20; i++) {
            serve(3, ServerPool.AttemptEnd.WELL, FAST.times(50));
        }
        assertThat(serve(30, ServerPool.AttemptEnd.WELL, FAST)[0]).isZero();
        int got = 0;
        for (int second = 0; second < 60; second++) {
            got += serve(10, ServerPool.AttemptEnd.WELL, FAST)[0];
            pass(1);
        }
        assertThat(got).isGreaterThan(100);
    }

    @Test
    void whenAllFailOnlyTriesOfTheirReturnGoOut() {
        for (int i = 0; i < 200; i++) {
            int server = pool.send(now, List.of());
            if (server >= 0) {
                pool.ended(server, ServerPool.AttemptEnd.FAILED, NanoDuration.ZERO, false, now);
            }
        }
        assertThat(pool.send(now, List.of())).isNegative();
        assertThat(pool.nextBack(now)).isLessThan(now.plus(NanoDuration.ofSeconds(1)));
        int out = 0;
        for (int i = 0; i < 600; i++) {
            pass(0.1);
            int server = pool.send(now, List.of());
            if (server >= 0) {
                out++;
                pool.ended(server, ServerPool.AttemptEnd.FAILED, NanoDuration.ZERO, false, now);
            }
        }
        assertThat(out).as("of 600 tickets in a minute").isLessThan(30);
    }

    @Test
    void noServerGetsMoreThanItsLimitAndTriedOnesComeLast() {
        int sent = 0;
        while (pool.send(now, List.of()) >= 0) {
            sent++;
        }
        assertThat(sent).isEqualTo(12);
        pool.ended(1, ServerPool.AttemptEnd.UNKNOWN, NanoDuration.ZERO, false, now);
        pool.ended(2, ServerPool.AttemptEnd.UNKNOWN, NanoDuration.ZERO, false, now);
        assertThat(pool.send(now, List.of(1))).isEqualTo(2);
        assertThat(pool.send(now, List.of(1))).as("only the one tried is free").isEqualTo(1);
    }

    @Test
    void repeatsStayASmallShareAtAnySize() {
        RetryBudget budget = new RetryBudget(0.1, 10);
        int again = 0;
        for (int i = 0; i < 100_000; i++) {
            budget.first();
            again += budget.again() ? 1 : 0;
            again += budget.again() ? 1 : 0;
        }
        assertThat(again).isBetween(10_000, 10_011);
        assertThat(budget.repeats()).isEqualTo(again);
    }
}
