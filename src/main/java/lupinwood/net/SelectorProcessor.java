package lupinwood.net;

import java.util.concurrent.Executor;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * Reads and writes all connections, and tells when the descriptor of an accepted one is free. A
 * channel that is closed keeps it until the selector has let go of the channel, with its next
 * selection.
 */
final class SelectorProcessor extends NioProcessor {
    private static final String FREED = "freed";

    private final AcceptLimit limit;

    /** Closed, and not let go of yet; of the thread that reads and writes. */
    private int closed;

    SelectorProcessor(Executor executor, AcceptLimit limit) {
        super(executor);
        this.limit = limit;
    }

    /**
     * Lets the thread that reads and writes a connection see at once that reading was resumed. A
     * change made by another thread counts from the next selection, which may wait for a second.
     */
    static void wake(IoSession session) {
        if (session instanceof NioSession nioSession
                && nioSession.getProcessor() instanceof SelectorProcessor selecting) {
            selecting.wakeup();
        }
    }

    @Override
    protected void destroy(NioSession session) throws Exception {
        try {
            super.destroy(session);
        } finally {
            if (session.getService() instanceof Acceptor && session.setAttribute(FREED) == null) {
                closed++;
            }
        }
    }

    @Override
    protected int select(long timeout) throws Exception {
        if (closed > 0) {
            int ready = select();
            limit.leave(closed);
            closed = 0;
            if (ready > 0) {
                return ready;
            }
            // Guards against a wake-up that the selection without waiting has used up.
            if (wakeupCalled.get()) {
                selector.wakeup();
            }
        }
        return super.select(timeout);
    }
}
