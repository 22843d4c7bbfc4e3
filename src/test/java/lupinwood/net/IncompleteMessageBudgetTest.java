package lupinwood.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import lupinwood.ajp.FrontReader;
import lupinwood.ajp.Requests;
import lupinwood.log.Log;
import lupinwood.processing.TimerService;
import org.apache.mina.core.session.DummySession;
import org.junit.jupiter.api.Test;

/**
 * Guards against a heap full of messages that are never complete: hundreds of clients that each
 * stopped in the middle of a large message were bounded one by one, but not together.
 */
final class IncompleteMessageBudgetTest {
    private static final int BUDGET_BYTES = 10_000;
    private static final int CONNECTIONS = 10;

    private final IncompleteMessageBudget budget = new IncompleteMessageBudget(BUDGET_BYTES);
    private final Log log =
            new Log(new PrintStream(new ByteArrayOutputStream(), true), Instant::now);
    private final TimerService timers = new TimerService();
    private final RespListener listener =
            new RespListener(new EventLoop(timers, System::nanoTime, log), timers, budget, log);

    IncompleteMessageBudgetTest() {
        budget.divideAmong(CONNECTIONS);
    }

    private Peer newPeer() {
        Peer peer = listener.newPeer();
        peer.opened(new DummySession());
        return peer;
    }

    /** A message that stops in the middle of its last string. */
    private static ByteBuffer incomplete(int strings, int length) {
        String string = "$" + length + "\r\n" + "x".repeat(length) + "\r\n";
        String message = "*8\r\n" + string.repeat(strings);
        return ByteBuffer.wrap(message.substring(0, message.length() - 4).getBytes(ISO_8859_1));
    }

    @Test
    void largeIncompleteMessagesEndTheirConnectionsOnceTheBudgetIsUsed() throws Exception {
        Peer first = newPeer();
        first.received(incomplete(2, 4000));
        Peer second = newPeer();
        assertThatThrownBy(() -> second.received(incomplete(2, 4000)))
                .isInstanceOf(ProtocolException.class)
                .hasMessageContaining("incomplete messages");
        second.malformed(null);
        assertThat(budget.usedBytes()).isBetween(8000L, 8200L);
        first.closed(false);
        assertThat(budget.usedBytes()).isZero();
    }

    @Test
    void messageWithinItsShareGoesOnAlthoughTheBudgetIsUsed() throws Exception {
        newPeer().received(incomplete(2, 4000));
        newPeer().received(incomplete(1, 1900));
        Peer small = newPeer();
        small.received(incomplete(1, 900));
        assertThat(budget.usedBytes()).isGreaterThan(BUDGET_BYTES);
    }

    @Test
    void completeMessageTakesNothing() throws Exception {
        String health = "*2\r\n$6\r\nHEALTH\r\n$1\r\n1\r\n";
        newPeer().received(ByteBuffer.wrap(health.getBytes(ISO_8859_1)));
        assertThat(budget.usedBytes()).isZero();
    }

    @Test
    void headersOfAnAjpRequestWithoutItsBodyCountWithWhatTheyTakeInMemory() throws Exception {
        FrontReader reader = new FrontReader(8192, 2048);
        Map<String, String> shortHeaders = new TreeMap<>();
        for (int i = 0; i < 90; i++) {
            shortHeaders.put("h" + i, "");
        }
        byte[] head = Requests.forward("POST", "/", shortHeaders, 100, null);
        assertThat(reader.next(ByteBuffer.wrap(head))).isNull();
        assertThat(reader.heldBytes()).isGreaterThan(head.length + 90 * 100);
    }
}
