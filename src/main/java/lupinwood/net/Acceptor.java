package lupinwood.net;

import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * A listening socket that leaves nobody behind when it closes. The system completes connections
 * before the program accepts them; closing the socket resets those that still wait, with the
 * requests already written to them. It takes no more of them than there are descriptors for.
 */
class Acceptor extends NioSocketAcceptor {
    /** Without a place for so long, it looks whether it was told to close meanwhile. */
    private static final long WAIT_MS = 50;

    private final IoProcessor<NioSession> processor;
    private final AcceptLimit limit;
    private final AtomicLong accepted = new AtomicLong();

    Acceptor(IoProcessor<NioSession> processor, AcceptLimit limit) {
        super(processor);
        this.processor = processor;
        this.limit = limit;
    }

    long accepted() {
        return accepted.get();
    }

    @Override
    protected NioSession accept(IoProcessor<NioSession> by, ServerSocketChannel from)
            throws Exception {
        if (!limit.enter(WAIT_MS)) {
            return null; // it still waits in the system's queue, and is found there again
        }
        NioSession session = null;
        try {
            session = super.accept(by, from);
        } finally {
            if (session == null) {
                limit.leave(1);
            }
        }
        if (session != null) {
            accepted.incrementAndGet();
        }
        return session;
    }

    /** Called on the accepting thread, which closes the socket in the same step. */
    @Override
    protected void close(ServerSocketChannel closing) throws Exception {
        while (selector.selectNow() > 0) {
            selector.selectedKeys().clear();
            NioSession session = accept(processor, closing);
            if (session == null) {
                break;
            }
            initSession(session, null, null);
            session.getProcessor().add(session);
        }
        super.close(closing);
    }
}
