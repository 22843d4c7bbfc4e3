package lupinwood.pools;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import lupinwood.node.Moment;
import lupinwood.node.Span;
import org.junit.jupiter.api.Test;

/** Choices among servers that do well, fail, slow down and come back. */
final class PoolTest {
    private static final Span FAST = Span.ofSeconds(0.02);

    private final Pool pool = new Pool(List.of("a", "b", "c"), Rules.USUAL, 5);
    private Moment now = new Moment(1_000_000_000_000L);

    private void pass(double seconds) {
        now = now.plus(Span.ofSeconds(seconds));
    }

    /** One ticket after the other, each ending at once; how many each server got. */
    private int[] serve(int tickets, Pool.End endOfA, Span tookA) {
        int[] got = new int[pool.size()];
        for (int i = 0; i < tickets; i++) {
            int server = pool.send(now, List.of());
            if (server < 0) {
                break;
            }
            got[server]++;
            pass(0.001);
            pool.ended(
                    server,
                    server == 0 ? endOfA : Pool.End.WELL,
                    server == 0 ? tookA : FAST,
                    false,
                    now);
        }
        return got;
    }

    @Test
    void oneThatRestsGetsNothingNewIsEmptyOnceItsOwnHasEndedAndIsEasedIn() {
        serve(60, Pool.End.WELL, FAST);
        int under = pool.send(now, List.of());
        pool.rest(List.of(pool.name(under)));
        assertThat(pool.emptied()).as("a run is out there").isEmpty();
        pool.ended(under, Pool.End.WELL, FAST, false, now);
        assertThat(pool.emptied()).containsExactly(pool.name(under));
        assertThat(serve(300, Pool.End.WELL, FAST)[under]).isZero();
        pool.rest(List.of());
        assertThat(pool.emptied()).isEmpty();
        assertThat(pool.limit(under)).as("one at a time, until it does well").isEqualTo(1);
        assertThat(serve(300, Pool.End.WELL, FAST)[under]).isGreaterThan(60);
    }

    @Test
    void equalServersShareTheWork() {
        int[] got = serve(300, Pool.End.WELL, FAST);
        assertThat(got[0]).isBetween(90, 110);
        assertThat(got[1]).isBetween(90, 110);
    }

    @Test
    void oneThatFailsFastIsLeftOutAndTriedWithOneTicketAfterATimeThatDoubles() {
        serve(60, Pool.End.WELL, FAST);
        int[] got = serve(400, Pool.End.FAILED, Span.ofSeconds(0.0001));
        assertThat(got[0]).isLessThanOrEqualTo(5);
        int tries = 0;
        for (int second = 0; second < 64; second++) {
            tries += serve(1000, Pool.End.FAILED, Span.ofSeconds(0.0001))[0];
        }
        assertThat(tries).as("of 64,000 tickets in 64 s").isBetween(2, 15);
        pass(40);
        assertThat(serve(1, Pool.End.WELL, FAST)[0]).as("tried again at once").isEqualTo(1);
        assertThat(serve(300, Pool.End.WELL, FAST)[0]).isGreaterThan(60);
    }

    @Test
    void aSlowOneGetsLessByAsMuchAndItsLimitFallsInFlight() {
        serve(60, Pool.End.WELL, FAST);
        int[] got = new int[3];
        for (int i = 0; i < 600; i++) {
            int server = pool.send(now, List.of());
            got[server]++;
            boolean slow = server == 0;
            if (slow) {
                pool.slow(server);
            }
            pass(0.001);
            pool.ended(server, Pool.End.WELL, slow ? FAST.times(10) : FAST, slow, now);
        }
        assertThat(got[0]).isLessThan(60);
        assertThat(pool.limit(0)).isLessThan(4);
        assertThat(pool.target()).isBetween(Span.ofSeconds(0.03), Span.ofSeconds(0.12));
    }

    @Test
    void oneThatWasSlowOnceIsSeenToBeFastAgainUnderALightLoad() {
        serve(60, Pool.End.WELL, FAST);
        for (int i = 0; i < 20; i++) {
            serve(3, Pool.End.WELL, FAST.times(50));
        }
        assertThat(serve(30, Pool.End.WELL, FAST)[0]).isZero();
        int got = 0;
        for (int second = 0; second < 60; second++) {
            got += serve(10, Pool.End.WELL, FAST)[0];
            pass(1);
        }
        assertThat(got).isGreaterThan(100);
    }

    @Test
    void whenAllFailOnlyTriesOfTheirReturnGoOut() {
        for (int i = 0; i < 200; i++) {
            int server = pool.send(now, List.of());
            if (server >= 0) {
                pool.ended(server, Pool.End.FAILED, Span.ZERO, false, now);
            }
        }
        assertThat(pool.send(now, List.of())).isNegative();
        assertThat(pool.nextBack(now)).isLessThan(now.plus(Span.ofSeconds(1)));
        int out = 0;
        for (int i = 0; i < 600; i++) {
            pass(0.1);
            int server = pool.send(now, List.of());
            if (server >= 0) {
                out++;
                pool.ended(server, Pool.End.FAILED, Span.ZERO, false, now);
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
        pool.ended(1, Pool.End.UNKNOWN, Span.ZERO, false, now);
        pool.ended(2, Pool.End.UNKNOWN, Span.ZERO, false, now);
        assertThat(pool.send(now, List.of(1))).isEqualTo(2);
        assertThat(pool.send(now, List.of(1))).as("only the one tried is free").isEqualTo(1);
    }

    @Test
    void repeatsStayASmallShareAtAnySize() {
        Budget budget = new Budget(0.1, 10);
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
