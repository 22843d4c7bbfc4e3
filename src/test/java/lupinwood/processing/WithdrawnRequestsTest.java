package lupinwood.processing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests that requests which end before they ran leave nothing behind. */
final class WithdrawnRequestsTest extends RequestProcessorFixture {
    private static final int WITHDRAWN_REQUESTS = 500;

    /**
     * Guards against a heap full of records that no bound counts: the timer for the expiry of a
     * withdrawn request's record stayed until the end of its window and held the body.
     */
    @Test
    void withdrawnIdempotentRequestsLeaveNoTimers() {
        start();
        int timersBefore = timers.size();
        for (int i = 0; i < WITHDRAWN_REQUESTS; i++) {
            tag++;
            processor.arrived(currentConnection, tag, arrival(tag, "token", "key " + tag, "body"));
            processor.aborted(currentConnection, tag);
        }
        processor.settle();
        assertThat(timers.size()).isEqualTo(timersBefore);
        assertThat(processor.stateLogLine()).contains(" requests=0 idempotencyRecords=0 ");
    }
}
