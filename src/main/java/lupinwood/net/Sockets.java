package lupinwood.net;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import java.util.function.Supplier;
import lupinwood.log.Log;
import lupinwood.processing.Completion;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.apache.mina.transport.socket.nio.NioSocketConnector;

/** MINA, with one thread that reads and writes, one that accepts and one that connects. */
final class Sockets {
    private static final int READ_BUFFER = 2048;
    private static final int MOST_READ_BUFFER = 16 * 1024;
    private static final int BACKLOG = 512;
    private static final long CONNECT_MS = 2000;
    private static final String PEER = "peer";
    private static final String MALFORMED = "malformed";

    private final Log log;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final AcceptLimit limit = new AcceptLimit();
    private final IoProcessor<NioSession> processor;
    private final Acceptor acceptor;
    private final List<Acceptor> others = new ArrayList<>();
    private final NioSocketConnector connector;

    Sockets(Log log) {
        this(log, CONNECT_MS);
    }

    /**
     * With another time, in milliseconds, after which a connection that the other side neither
     * takes nor refuses is given up.
     */
    Sockets(Log log, long connectMs) {
        this.log = log;
        processor = new SelectorProcessor(threads, limit);
        acceptor = new Acceptor(processor, limit);
        connector = new NioSocketConnector(processor);
        prepare(acceptor);
        configure(connector.getSessionConfig());
        connector.setHandler(new Handler(null));
        connector.setConnectTimeoutMillis(connectMs);
    }

    private static void prepare(NioSocketAcceptor listens) {
        configure(listens.getSessionConfig());
        listens.setReuseAddress(true);
        listens.setBacklog(BACKLOG);
        // What is open when listening ends still gets its answers.
        listens.setCloseOnDeactivation(false);
    }

    private static void configure(SocketSessionConfig config) {
        config.setTcpNoDelay(true);
        config.setReadBufferSize(READ_BUFFER);
        config.setMaxReadBufferSize(MOST_READ_BUFFER);
    }

    /**
     * So many accepted connections may hold descriptors at once, through all doors; none before
     * this is told.
     */
    void allow(int accepted) {
        limit.allow(accepted);
    }

    void listen(InetSocketAddress address, Supplier<Peer> peers) throws IOException {
        acceptor.setHandler(new Handler(peers));
        acceptor.bind(address);
    }

    /** Listens at a second address, for another protocol. */
    void listenAlso(InetSocketAddress address, Supplier<Peer> peers) throws IOException {
        Acceptor more = new Acceptor(processor, limit);
        prepare(more);
        more.setHandler(new Handler(peers));
        others.add(more);
        more.bind(address);
    }

    /** Returns once no connection waits to be accepted any more. */
    void stopListening() {
        acceptor.unbind();
        others.forEach(Acceptor::unbind);
    }

    /** How many connections came through all doors so far. */
    long accepted() {
        return acceptor.accepted() + others.stream().mapToLong(Acceptor::accepted).sum();
    }

    void dispose() {
        others.forEach(Acceptor::dispose);
        acceptor.dispose();
        connector.dispose();
        processor.dispose();
        threads.shutdown();
    }

    /**
     * Exactly one of the peer's opened and this failure is told. What is returned calls it off,
     * where that still can be.
     */
    Runnable connect(InetSocketAddress address, Peer peer, Consumer<Completion> failure) {
        ConnectFuture future =
                connector.connect(
                        address, (session, connecting) -> session.setAttribute(PEER, peer));
        future.addListener(
                done -> {
                    if (!future.isConnected()) {
                        failure.accept(
                                future.getException() instanceof ConnectException
                                        ? Completion.CONNECTION_REFUSED
                                        : Completion.NEVER_CONNECTED);
                    }
                });
        return future::cancel;
    }

    private final class Handler extends IoHandlerAdapter {
        private final Supplier<Peer> peers;

        Handler(Supplier<Peer> peers) {
            this.peers = peers;
        }

        @Override
        public void sessionCreated(IoSession session) {
            if (peers != null) {
                session.setAttribute(PEER, peers.get());
            }
        }

        @Override
        public void sessionOpened(IoSession session) {
            peer(session).opened(session);
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            if (session.containsAttribute(MALFORMED)) {
                return;
            }
            try {
                peer(session).received(((IoBuffer) message).buf());
            } catch (ProtocolException e) {
                log.line(
                        "closing the connection with "
                                + session.getRemoteAddress()
                                + ": "
                                + e.getMessage());
                session.setAttribute(MALFORMED);
                peer(session).malformed(session);
            }
        }

        @Override
        public void inputClosed(IoSession session) {
            peer(session).inputClosed(session);
        }

        @Override
        public void sessionClosed(IoSession session) {
            peer(session).closed(session.containsAttribute(MALFORMED));
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            if (!(cause instanceof IOException)) {
                log.problem("a connection failed", cause);
            }
            session.closeNow();
        }

        private Peer peer(IoSession session) {
            return (Peer) session.getAttribute(PEER);
        }
    }
}
