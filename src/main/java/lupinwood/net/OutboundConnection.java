package lupinwood.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import lupinwood.processing.Completion;
import org.apache.mina.core.session.IoSession;

/** A connection that this node makes. All but {@link #read} happens on the event loop thread. */
abstract class OutboundConnection<T> implements Peer {
    private final EventLoop eventLoop;
    private final Parser<T> parser;

    /** Null until it stands. */
    private WriteBuffer outbox;

    private Runnable calledOff = () -> {};

    OutboundConnection(EventLoop eventLoop, Parser<T> parser) {
        this.eventLoop = eventLoop;
        this.parser = parser;
    }

    /** What a message tells. */
    abstract Runnable read(T message) throws ProtocolException;

    /** It stands and can be written to. */
    abstract void stands();

    /** It ended, or never came about. */
    abstract void ended(Completion ending);

    final void connect(Sockets sockets, InetSocketAddress address) {
        calledOff = sockets.connect(address, this, ending -> eventLoop.tell(() -> ended(ending)));
    }

    /**
     * Ends it now. One that does not stand yet is called off, and holds no descriptor until the
     * other side answers.
     */
    final void hangUp() {
        if (outbox == null) {
            calledOff.run();
        } else {
            outbox.closeNow();
        }
    }

    final WriteBuffer outbox() {
        return outbox;
    }

    @Override
    public final void opened(IoSession session) {
        eventLoop.tell(
                () -> {
                    outbox = new WriteBuffer(session);
                    stands();
                });
    }

    @Override
    public final void received(ByteBuffer bytes) throws ProtocolException {
        int length = bytes.remaining();
        List<Runnable> news = new ArrayList<>();
        try {
            for (T message = parser.next(bytes); message != null; message = parser.next(bytes)) {
                news.add(read(message));
            }
        } finally {
            eventLoop.tell(news, length);
        }
    }

    @Override
    public final void inputClosed(IoSession session) {
        session.closeNow();
    }

    @Override
    public final void malformed(IoSession session) {
        session.closeNow();
    }

    @Override
    public final void closed(boolean malformed) {
        eventLoop.tell(() -> ended(malformed ? Completion.MALFORMED : Completion.CLOSED_BY_PEER));
    }
}
