package lupinwood.net;

import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.session.IoSession;

/**
 * Pauses reading on a connection while much of what was read of it waits for the event loop. So one
 * client that sends at full speed fills its own socket instead of the event loop's inbox, and what
 * others send does not wait behind it.
 *
 * <p>{@link #onRead} is called by the socket thread before it hands over what it read, {@link
 * #onProcessed} by the event loop after it dealt with that.
 */
final class ReadFlowControl {
    /**
     * The bytes of one connection that may wait before reading pauses: two of the largest reads.
     */
    static final int MAX_WAITING_BYTES = 32 * 1024;

    private final IoSession session;
    private final AtomicInteger waitingBytes = new AtomicInteger();
    private volatile boolean paused;

    ReadFlowControl(IoSession session) {
        this.session = session;
    }

    /** Counts bytes that are about to be handed over, and pauses if too many wait. */
    void onRead(int bytes) {
        if (waitingBytes.addAndGet(bytes) >= MAX_WAITING_BYTES) {
            session.suspendRead();
            // Set only once reading is suspended, and before the hand-over: whoever sees it may
            // resume, and at the latest the event loop does so after that hand-over.
            paused = true;
        }
    }

    /**
     * Counts bytes that were dealt with.
     *
     * @param mayResume whether the connection is still read
     */
    void onProcessed(int bytes, boolean mayResume) {
        int left = waitingBytes.addAndGet(-bytes);
        if (paused && left < MAX_WAITING_BYTES) {
            paused = false;
            if (mayResume) {
                session.resumeRead();
                SelectorProcessor.wake(session);
            }
        }
    }
}
