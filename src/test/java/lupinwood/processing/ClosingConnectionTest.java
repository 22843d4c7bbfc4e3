package lupinwood.processing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are never answered: a connection that was to close because of one
 * request was no longer read while another one was open, so that what crossed the close request was
 * lost, and an abort with it.
 */
final class ClosingConnectionTest extends RequestProcessorFixture {
    private long open;

    @BeforeEach
    void beginToCloseWithOpenRequest() {
        start();
        currentConnection = processor.addConnection();
        open = arrive("pure", null, "a");
        arrive("no such class", null, "b");
    }

    @Test
    void requestsThatCrossTheCloseRequestAreRejected() {
        assertThat(notRead).isEmpty();
        arrive("pure", null, "crossing");
        completeRun(open, Completion.WELL, "r");
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1 a
                0 log request failed reason=unknown_request_class
                0 2 FAILED
                0 ask to close
                0 3 REJECTED
                0 1 SERVED r
                0 close 1 UNSOUND
                """);
    }

    @Test
    void abortThatCrossesTheCloseRequestEndsItsRequest() {
        handle(() -> processor.aborted(currentConnection, open));
        assertThat(recorded()).endsWith("0 close 1 UNSOUND\n");
    }

    @Test
    void upstreamThatIgnoresTheCloseRequestIsNoLongerRead() {
        advanceMillis(1900);
        arrive("pure", null, "after a pause");
        assertThat(notRead).isEmpty();
        advanceMillis(200);
        arrive("pure", null, "ignores the request to close");
        assertThat(notRead).containsExactly(currentConnection);
        assertThat(recorded()).endsWith("1900 3 REJECTED\n2100 4 REJECTED\n");
    }

    @Test
    void malformedDataAndTheEndOfInputStopReading() {
        processor.malformed(currentConnection);
        assertThat(notRead).containsExactly(currentConnection);
        completeRun(open, Completion.WELL, "r");
        assertThat(recorded()).endsWith("0 1 SERVED r\n0 close 1 UNSOUND\n");
    }
}
