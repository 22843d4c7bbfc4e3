package lupinwood.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CountDownLatch;
import org.apache.mina.core.session.DummySession;
import org.junit.jupiter.api.Test;

/**
 * Guards against answers that come late: what one client sent at full speed filled the inbox of the
 * event loop, and what other clients, the executor and the dependency sent waited behind it.
 */
final class ReadFlowControlTest extends SocketTest {
    private static final int MAX_READ_BYTES = 16 * 1024;

    /** More than the inbox takes; aborts of no open request have no answer. */
    private static final int ABORTS = 80_000;

    private static final int ROUNDS_OF_THE_SELECTOR = 40;

    @Test
    void readingPausesWhileMuchWaitsAndResumesAfterwards() {
        DummySession session = new DummySession();
        ReadFlowControl flowControl = new ReadFlowControl(session);
        flowControl.onRead(MAX_READ_BYTES);
        assertThat(session.isReadSuspended()).isFalse();
        flowControl.onRead(MAX_READ_BYTES);
        assertThat(session.isReadSuspended()).isTrue();
        flowControl.onProcessed(MAX_READ_BYTES, true);
        assertThat(session.isReadSuspended()).isFalse();
    }

    @Test
    void connectionThatIsNoLongerReadIsNotResumed() {
        DummySession session = new DummySession();
        ReadFlowControl flowControl = new ReadFlowControl(session);
        flowControl.onRead(ReadFlowControl.MAX_WAITING_BYTES);
        flowControl.onProcessed(ReadFlowControl.MAX_WAITING_BYTES, false);
        assertThat(session.isReadSuspended()).isTrue();
    }

    @Test
    void oneClientDoesNotFillTheInboxOfTheEventLoop() throws Exception {
        start();
        End fast = upstream();
        End other = upstream();
        CountDownLatch go = block();
        EventLoop eventLoop = serving.eventLoop();
        Thread writer =
                new Thread(
                        () -> {
                            try {
                                fast.say(array("ABORT", "7").repeat(ABORTS));
                            } catch (IOException e) {
                                throw new UncheckedIOException(e);
                            }
                        });
        writer.start();
        until(() -> eventLoop.waitingBytes() >= ReadFlowControl.MAX_WAITING_BYTES);
        // Each hand-over of the other client shows that the selector has looked at both.
        for (int i = 0; i < ROUNDS_OF_THE_SELECTOR; i++) {
            int waiting = eventLoop.waiting();
            other.say(array("HEALTH", "8"));
            until(() -> eventLoop.waiting() > waiting);
        }
        int otherBytes = ROUNDS_OF_THE_SELECTOR * array("HEALTH", "8").length();
        assertThat(eventLoop.waitingBytes())
                .isLessThanOrEqualTo(
                        ReadFlowControl.MAX_WAITING_BYTES + MAX_READ_BYTES + otherBytes);
        go.countDown();
        // All of it is read in the end, and what comes behind it.
        writer.join();
        fast.say(array("HEALTH", "9"));
        assertThat(fast.answer()).isEqualTo("9 GREEN +");
    }
}
