package lupinwood.processing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a second run of an unsafe request: its id was forgotten when its run ended, so
 * that the same attempt ran again when it came again after its client had left.
 */
final class EndedUnsafeAttemptsTest extends RequestProcessorFixture {
    private long unsafe;

    @BeforeEach
    void runWhoseClientLeaves() {
        start();
        unsafe = arrive("side_effect", null, "a");
        handle(() -> processor.disconnected(currentConnection));
        completeRun(unsafe, Completion.WELL, "x");
        currentConnection = processor.addConnection();
    }

    private void arriveAgain(long attempt, String className) {
        handle(
                () ->
                        processor.arrived(
                                currentConnection, 77, arrival(attempt, className, null, "a")));
    }

    @Test
    void attemptThatComesAgainAfterItsClientLeftDoesNotRunTwice() {
        arriveAgain(unsafe, "side_effect");
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1 a
                0 log request failed reason=attempt_id_in_use
                0 77 FAILED
                """);
    }

    @Test
    void idCanBeUsedAgainOnceItsClientNoLongerWaits() {
        advanceMillis(6000);
        currentConnection = processor.addConnection();
        arriveAgain(unsafe, "side_effect");
        assertThat(recorded()).endsWith("6000 run 1 a\n");
    }

    @Test
    void safeAttemptMayRunAgain() {
        long safe = arrive("pure", null, "a");
        completeRun(safe, Completion.WELL, "x");
        arriveAgain(safe, "pure");
        assertThat(recorded()).endsWith("0 run 2 a\n");
    }
}
