package lupinwood.processing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a sound upstream that loses its connection through another one's fault: whoever
 * came second with a key or an attempt id was taken for the one that violates the protocol.
 */
final class ConflictingRequestsTest extends RequestProcessorFixture {
    /** The number of invalid requests in a row that close a connection. */
    private static final int MAX_INVALID_REQUESTS = 16;

    @BeforeEach
    void useKeyAndOpenNewConnection() {
        start();
        completeRun(arrive("token", "k", "a"), Completion.WELL, "x");
        currentConnection = processor.addConnection();
        trace.setLength(0);
    }

    @Test
    void keyThatAnotherUpstreamUsedFailsItsRequestAlone() {
        arrive("token", "k", "another body");
        arrive("pure", null, "b");
        assertThat(recorded())
                .isEqualTo(
                        """
                0 log request failed reason=idempotency_key_reused
                0 2 FAILED
                0 run 3 b
                """);
    }

    @Test
    void attemptIdOfAnotherOpenRequestFailsItsRequestAlone() {
        long open = arrive("pure", null, "a");
        currentConnection = processor.addConnection();
        handle(() -> processor.arrived(currentConnection, 77, arrival(open, "pure", null, "b")));
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 2 a
                0 log request failed reason=attempt_id_in_use
                0 77 FAILED
                """);
    }

    @Test
    void manyConflictsInARowCloseTheConnection() {
        for (int i = 0; i < MAX_INVALID_REQUESTS; i++) {
            assertThat(recorded()).doesNotContain("close");
            arrive("token", "k", "another body");
        }
        assertThat(recorded()).endsWith("0 close 1 UNSOUND\n");
    }
}
