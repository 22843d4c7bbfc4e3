package lupinwood.processing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests that requests which end before they ran leave nothing behind. */
final class WithdrawnRequestsTest extends RequestProcessorFixture {
    private static final int WITHDRAWN_REQUESTS = 500;

    /** Reads requests that are each withdrawn before the policy decides. */
    private void readAndWithdraw(String className) {
        for (int i = 0; i < WITHDRAWN_REQUESTS; i++) {
            tag++;
            String idempotencyKey = className.equals("token") ? "key " + tag : null;
            processor.arrived(
                    currentConnection, tag, arrival(tag, className, idempotencyKey, "body"));
            processor.aborted(currentConnection, tag);
        }
        processor.settle();
    }

    /**
     * Guards against a heap full of records that no bound counts: the timer for the expiry of a
     * withdrawn request's record stayed until the end of its window and held the body.
     */
    @Test
    void withdrawnIdempotentRequestsLeaveNoTimers() {
        start();
        int timersBefore = timers.size();
        readAndWithdraw("token");
        assertThat(timers.size()).isEqualTo(timersBefore);
        assertThat(processor.stateLogLine()).contains(" requests=0 idempotencyRecords=0 ");
    }
}
