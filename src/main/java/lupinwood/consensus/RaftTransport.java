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
 * The transport between nodes: JSON messages in MINA's length-prefixed strings, on its own threads.
 * A message may be lost, for example when a connection breaks or a peer doesn't read; the transport
 * doesn't send it again. Sending doesn't wait for the recipient. A peer that doesn't read delays no
 * other peer.
 */
final class RaftTransport {
    /** The bound on one message. */
    static final int MAX_MESSAGE_BYTES = 512 * 1024;

    private static final int MAX_UNSENT_BYTES = 1024 * 1024;
    private static final int MAX_SESSIONS = 2048;
    private static final int IDLE_TIMEOUT_SECONDS = 30;
    private static final long CONNECT_TIMEOUT_MILLIS = 2000;
    private static final int MAX_BACKLOG_CONNECTIONS = 256;

    /** The connection on which a message arrived. */
    record Peer(IoSession session) {
        void send(JsonObject message) {
            write(session, message);
        }
    }

    private final Log log;
    private final IoProcessor<NioSession> processor =
            new SimpleIoProcessorPool<>(NioProcessor.class, 1);
    private final NioSocketConnector connector = new NioSocketConnector(processor);
    private final BiConsumer<Peer, JsonObject> onMessage;
    private NioSocketAcceptor acceptor;
    private final Map<InetSocketAddress, ConnectFuture> connections = new HashMap<>();
    private final java.util.concurrent.atomic.AtomicLong transferredChars =
            new java.util.concurrent.atomic.AtomicLong();

    /**
     * @param onMessage called on one of the transport's threads
     */
    RaftTransport(BiConsumer<Peer, JsonObject> onMessage, Log log) {
        this.onMessage = onMessage;
        this.log = log;
        connector.setConnectTimeoutMillis(CONNECT_TIMEOUT_MILLIS);
        configure(connector.getSessionConfig());
        connector.getFilterChain().addLast("frames", frames());
        connector.setHandler(new Handler());
    }

    private static ProtocolCodecFilter frames() {
        PrefixedStringCodecFactory frames = new PrefixedStringCodecFactory(StandardCharsets.UTF_8);
        frames.setDecoderMaxDataLength(MAX_MESSAGE_BYTES);
        frames.setEncoderMaxDataLength(MAX_MESSAGE_BYTES);
        return new ProtocolCodecFilter(frames);
    }

    private static void configure(SocketSessionConfig config) {
        config.setTcpNoDelay(true);
        config.setIdleTime(IdleStatus.READER_IDLE, IDLE_TIMEOUT_SECONDS);
    }

    void listen(InetSocketAddress address) throws IOException {
        acceptor = new NioSocketAcceptor(processor);
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(MAX_BACKLOG_CONNECTIONS);
        configure(acceptor.getSessionConfig());
        acceptor.getFilterChain().addLast("frames", frames());
        acceptor.setHandler(new Handler());
        acceptor.bind(address);
    }

    /**
     * Sends a message over the existing connection to the address, or over a new one. The message
     * is lost if the connection fails.
     */
    synchronized void send(InetSocketAddress address, JsonObject message) {
        ConnectFuture connection = connections.get(address);
        boolean closed =
                connection != null
                        && connection.isDone()
                        && (!connection.isConnected() || !connection.getSession().isConnected());
        if (connection == null || closed) {
            connection = connector.connect(address);
            connections.put(address, connection);
        }
        if (connection.isConnected()) {
            write(connection.getSession(), message);
        } else {
            ConnectFuture pending = connection;
            pending.addListener(
                    done -> {
                        if (pending.isConnected()) {
                            write(pending.getSession(), message);
                        }
                    });
        }
    }

    /**
     * Closes the established connections to all addresses other than these, and forgets those that
     * aren't established yet; they still open, and send the messages that wait for them.
     */
    synchronized void retainOnly(Collection<InetSocketAddress> addresses) {
        connections
                .entrySet()
                .removeIf(
                        connection -> {
                            boolean obsolete = !addresses.contains(connection.getKey());
                            if (obsolete && connection.getValue().isConnected()) {
                                connection.getValue().getSession().closeNow();
                            }
                            return obsolete;
                        });
    }

    private static void write(IoSession session, JsonObject message) {
        if (session.isConnected() && session.getScheduledWriteBytes() < MAX_UNSENT_BYTES) {
            session.write(message.toString());
        }
    }

    /** The characters sent and received so far, without the length prefixes. */
    long transferredChars() {
        return transferredChars.get();
    }

    void close() {
        if (acceptor != null) {
            acceptor.dispose(false);
        }
        connector.dispose(false);
        processor.dispose();
    }

    private final class Handler extends IoHandlerAdapter {
        @Override
        public void sessionOpened(IoSession session) {
            if (acceptor != null && acceptor.getManagedSessionCount() > MAX_SESSIONS) {
                log.line("fleet: peer connection rejected reason=session-limit");
                session.closeNow();
            }
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            transferredChars.addAndGet(((String) message).length());
            JsonObject json;
            try {
                json = JsonParser.parseString((String) message).getAsJsonObject();
                onMessage.accept(new Peer(session), json);
            } catch (RuntimeException e) {
                log.line(
                        "fleet: closing connection remote="
                                + session.getRemoteAddress()
                                + " reason=\"message cannot be read\" error="
                                + e.getClass().getSimpleName());
                session.closeNow();
            }
        }

        @Override
        public void messageSent(IoSession session, Object message) {
            transferredChars.addAndGet(((String) message).length());
        }

        @Override
        public void sessionIdle(IoSession session, IdleStatus status) {
            session.closeNow();
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            if (!(cause instanceof IOException)) {
                log.line(
                        "fleet: closing connection remote="
                                + session.getRemoteAddress()
                                + " error="
                                + cause);
            }
            session.closeNow();
        }
    }
}
