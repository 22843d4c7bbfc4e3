package lupinwood.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import lupinwood.core.Ending;
import org.apache.mina.core.session.IoSession;

/** A connection that this node makes. All but {@link #read} happens on the deciding thread. */
abstract class Outbound<T> implements Peer {
    private final Decider decider;
    private final Parser<T> parser;

    /** Null until it stands. */
    private Outbox outbox;

    private Runnable calledOff = () -> {};

    Outbound(Decider decider, Parser<T> parser) {
        this.decider = decider;
        this.parser = parser;
    }

    /** What a message tells. */
    abstract Runnable read(T message) throws Malformed;

    /** It stands and can be written to. */
    abstract void stands();

    /** It ended, or never came about. */
    abstract void ended(Ending ending);

    final void connect(Sockets sockets, InetSocketAddress address) {
        calledOff = sockets.connect(address, this, ending -> decider.tell(() -> ended(ending)));
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

    final Outbox outbox() {
        return outbox;
    }

    @Override
    public final void opened(IoSession session) {
        decider.tell(
                () -> {
                    outbox = new Outbox(session);
                    stands();
                });
    }

    @Override
    public final void received(ByteBuffer bytes) throws Malformed {
        int length = bytes.remaining();
        List<Runnable> news = new ArrayList<>();
        try {
            for (T message = parser.next(bytes); message != null; message = parser.next(bytes)) {
                news.add(read(message));
            }
        } finally {
            decider.tell(news, length);
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
        decider.tell(() -> ended(malformed ? Ending.MALFORMED : Ending.CLOSED_BY_PEER));
    }
}
