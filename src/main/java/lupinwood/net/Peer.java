package lupinwood.net;

import java.nio.ByteBuffer;
import org.apache.mina.core.session.IoSession;

/** The other side of one connection, as a socket thread sees it. */
interface Peer {
    void opened(IoSession session);

    void received(ByteBuffer bytes) throws ProtocolException;

    /** The other side sends no more. */
    void inputClosed(IoSession session);

    /** What came can't be read, and nothing after it will be; told after all that could be. */
    void malformed(IoSession session);

    void closed(boolean malformed);
}
