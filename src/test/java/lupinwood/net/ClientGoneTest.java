package lupinwood.net;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Tests requests whose client has left before they were dealt with. */
final class ClientGoneTest extends SocketTest {
    /** More hand-overs than a round of the event loop takes in. */
    private static final int MORE_THAN_A_ROUND = 300;

    /**
     * Guards against requests that are sent on after their client has left: what had been read of a
     * connection that was reset since still ran, where the end of the connection waited for a later
     * round of the event loop.
     */
    @Test
    void requestReadBeforeItsConnectionWasResetDoesNotRun() throws Exception {
        start();
        End leaving = upstream();
        End staying = upstream();
        EventLoop eventLoop = serving.eventLoop();
        CountDownLatch go = block();
        until(() -> eventLoop.waiting() == 0);
        leaving.say(request(101, "look", "nobody waits"));
        until(() -> eventLoop.waiting() == 1);
        for (int i = 0; i < MORE_THAN_A_ROUND; i++) {
            eventLoop.tell(() -> {});
        }
        leaving.socket.setSoLinger(true, 0);
        leaving.socket.close();
        until(() -> eventLoop.waiting() == MORE_THAN_A_ROUND + 2);
        staying.say(request(102, "look", "a"));
        go.countDown();
        expectRun(102, "look", "a");
    }
}
