package lupinwood.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Tests what messages cost that begin and are never complete. */
final class IncompleteMessageTest extends SocketTest {
    private static final int CONNECTIONS = 20;
    private static final Pattern TIMERS = Pattern.compile(" timers=([0-9]+)");

    private int timers() {
        Matcher matcher = TIMERS.matcher(serving.figures());
        assertThat(matcher.find()).isTrue();
        return Integer.parseInt(matcher.group(1));
    }

    private boolean hasConnections(int count) {
        return serving.figures().contains(" connections=" + count + " ");
    }

    /**
     * Guards against memory that grows without end: the timer that watches an incomplete message
     * went on for ever on a connection that was reset, and held what had been read of the message.
     */
    @Test
    void resetInTheMiddleOfAMessageLeavesNoTimer() throws Exception {
        standsStill = true;
        start();
        until(() -> hasConnections(0));
        int timersBefore = timers();
        assertThat(timersBefore).isLessThan(CONNECTIONS / 2);
        List<End> halfWritten = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            End end = upstream();
            end.say(request(101 + i, "look", "never complete").substring(0, 60));
            halfWritten.add(end);
        }
        // Each connection has the timer of its message and no other one since its health check.
        until(() -> timers() >= timersBefore + 2 * CONNECTIONS);
        for (End end : halfWritten) {
            end.socket.setSoLinger(true, 0);
            end.socket.close();
        }
        until(() -> hasConnections(0));
        until(() -> timers() < CONNECTIONS);
    }
}
