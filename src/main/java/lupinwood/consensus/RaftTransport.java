package lupinwood.consensus;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import lupinwood.log.Log;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.IdleStatus;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.filter.codec.ProtocolCodecFilter;
import org.apache.mina.filter.codec.prefixedstring.PrefixedStringCodecFactory;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.apache.mina.transport.socket.nio.NioSocketConnector;

/**
 * How nodes talk: JSON in MINA's length-prefixed strings, on threads of its own. A message may be
 * lost, as when a link breaks or a peer doesn't read; nothing waits for one. Whoever doesn't read
 * costs itself only.
 */
final class RaftTransport {
    /** A message is no longer, in bytes. */
    static final int MOST_BYTES = 512 * 1024;

    private static final int MOST_UNREAD = 1024 * 1024;
    private static final int MOST_SESSIONS = 2048;
    private static final int IDLE_SECONDS = 30;
    private static final long CONNECT_MS = 2000;
    private static final int BACKLOG = 256;

    /** One peer's connection, as the one who listens sees it. */
    record Peer(IoSession session) {
        void say(JsonObject message) {
            write(session, message);
        }
    }

    private final Log log;
    private final IoProcessor<NioSession> processor =
            new SimpleIoProcessorPool<>(NioProcessor.class, 1);
    private final NioSocketConnector connector = new NioSocketConnector(processor);
    private final BiConsumer<Peer, JsonObject> heard;
    private NioSocketAcceptor acceptor;
    private final Map<InetSocketAddress, ConnectFuture> links = new HashMap<>();
    private final java.util.concurrent.atomic.AtomicLong bytes =
            new java.util.concurrent.atomic.AtomicLong();

    /**
     * @param heard on a thread of the carriage's own
     */
    RaftTransport(BiConsumer<Peer, JsonObject> heard, Log log) {
        this.heard = heard;
        this.log = log;
        connector.setConnectTimeoutMillis(CONNECT_MS);
        prepare(connector.getSessionConfig());
        connector.getFilterChain().addLast("frames", frames());
        connector.setHandler(new Handler());
    }

    private static ProtocolCodecFilter frames() {
        PrefixedStringCodecFactory frames = new PrefixedStringCodecFactory(StandardCharsets.UTF_8);
        frames.setDecoderMaxDataLength(MOST_BYTES);
        frames.setEncoderMaxDataLength(MOST_BYTES);
        return new ProtocolCodecFilter(frames);
    }

    private static void prepare(SocketSessionConfig config) {
        config.setTcpNoDelay(true);
        config.setIdleTime(IdleStatus.READER_IDLE, IDLE_SECONDS);
    }

    void listen(InetSocketAddress at) throws IOException {
        acceptor = new NioSocketAcceptor(processor);
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(BACKLOG);
        prepare(acceptor.getSessionConfig());
        acceptor.getFilterChain().addLast("frames", frames());
        acceptor.setHandler(new Handler());
        acceptor.bind(at);
    }

    /**
     * Says it over the standing link to there, or one that is made now; lost where there is none.
     */
    synchronized void say(InetSocketAddress to, JsonObject message) {
        ConnectFuture link = links.get(to);
        boolean gone =
                link != null
                        && link.isDone()
                        && (!link.isConnected() || !link.getSession().isConnected());
        if (link == null || gone) {
            link = connector.connect(to);
            links.put(to, link);
        }
        if (link.isConnected()) {
            write(link.getSession(), message);
        } else {
            ConnectFuture made = link;
            made.addListener(
                    done -> {
                        if (made.isConnected()) {
                            write(made.getSession(), message);
                        }
                    });
        }
    }

    /** The links to addresses that nobody asks for any more are closed. */
    synchronized void keepOnly(Collection<InetSocketAddress> requested) {
        links.entrySet()
                .removeIf(
                        link -> {
                            boolean close = !requested.contains(link.getKey());
                            if (close && link.getValue().isConnected()) {
                                link.getValue().getSession().closeNow();
                            }
                            return close;
                        });
    }

    private static void write(IoSession session, JsonObject message) {
        if (session.isConnected() && session.getScheduledWriteBytes() < MOST_UNREAD) {
            session.write(message.toString());
        }
    }

    /** What went out and came in so far. */
    long bytes() {
        return bytes.get();
    }

    void end() {
        if (acceptor != null) {
            acceptor.dispose(false);
        }
        connector.dispose(false);
        processor.dispose();
    }

    private final class Handler extends IoHandlerAdapter {
        @Override
        public void sessionOpened(IoSession session) {
            if (acceptor != null && acceptor.getManagedSessionCount() > MOST_SESSIONS) {
                log.line("fleet: no room for one more connection");
                session.closeNow();
            }
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            bytes.addAndGet(((String) message).length());
            JsonObject read;
            try {
                read = JsonParser.parseString((String) message).getAsJsonObject();
                heard.accept(new Peer(session), read);
            } catch (RuntimeException e) {
                log.line(
                        "fleet: closing the connection with "
                                + session.getRemoteAddress()
                                + ", which says what can't be read: "
                                + e.getClass().getSimpleName());
                session.closeNow();
            }
        }

        @Override
        public void messageSent(IoSession session, Object message) {
            bytes.addAndGet(((String) message).length());
        }

        @Override
        public void sessionIdle(IoSession session, IdleStatus status) {
            session.closeNow();
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            if (!(cause instanceof IOException)) {
                log.line(
                        "fleet: closing the connection with "
                                + session.getRemoteAddress()
                                + ": "
                                + cause);
            }
            session.closeNow();
        }
    }
}
