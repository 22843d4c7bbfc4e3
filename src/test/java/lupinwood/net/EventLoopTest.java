package lupinwood.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests how much the event loop deals with before it writes. */
final class EventLoopTest extends SocketTest {
    private static final int MESSAGES_PER_READ = 1000;
    private static final int READS = 8;
    private static final int BYTES_PER_READ = 16 * 1024;

    /** The bound of a round, and the rest of the read in which it is reached. */
    private static final int MAX_MESSAGES_PER_ROUND = 1024 + MESSAGES_PER_READ;

    /**
     * Guards against a heap full of answers and against others that wait: a round took in as many
     * small messages as came, 256 reads of them, before it wrote an answer to any.
     */
    @Test
    void roundWritesBeforeItTakesInFurtherReadsOfManyMessages() throws Exception {
        start();
        EventLoop eventLoop = serving.eventLoop();
        AtomicInteger total = new AtomicInteger();
        List<Integer> totalAtWrite = Collections.synchronizedList(new ArrayList<>(List.of(0)));
        eventLoop.tell(() -> eventLoop.addWriter(() -> totalAtWrite.add(total.get())));
        CountDownLatch go = block();
        List<Runnable> read = Collections.nCopies(MESSAGES_PER_READ, total::incrementAndGet);
        for (int i = 0; i < READS; i++) {
            eventLoop.tell(read, BYTES_PER_READ);
        }
        go.countDown();
        until(() -> totalAtWrite.get(totalAtWrite.size() - 1) == READS * MESSAGES_PER_READ);
        List<Integer> totals = List.copyOf(totalAtWrite);
        for (int i = 1; i < totals.size(); i++) {
            assertThat(totals.get(i) - totals.get(i - 1))
                    .isLessThanOrEqualTo(MAX_MESSAGES_PER_ROUND);
        }
    }
}
