package lupinwood.net;

import java.io.IOException;
import java.lang.reflect.Method;
import java.nio.channels.SocketChannel;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * Ends one direction of a connection, which MINA has no word for. A socket closed over bytes that
 * nobody read is reset, and the reset may overtake answers on their way; so output ends first, and
 * what still comes is read.
 */
final class HalfClose {
    private static final Method CHANNEL = channel();

    private HalfClose() {}

    private static Method channel() {
        try {
            Method found = NioSession.class.getDeclaredMethod("getChannel");
            found.setAccessible(true);
            return found;
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this MINA shows no channel", e);
        }
    }

    static void output(IoSession session) {
        try {
            ((SocketChannel) CHANNEL.invoke(session)).shutdownOutput();
        } catch (IOException e) {
            session.closeNow(); // it has ended meanwhile
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this MINA shows no channel", e);
        }
    }
}
