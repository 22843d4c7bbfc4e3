package lupinwood.net;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;

/** What gathers for one connection in a round of deciding; it goes out in one write. */
final class Outbox {
    private final IoSession session;
    private final ByteArrayOutputStream gathered = new ByteArrayOutputStream(256);

    Outbox(IoSession session) {
        this.session = session;
    }

    Outbox add(byte[] bytes) {
        gathered.write(bytes, 0, bytes.length);
        return this;
    }

    Outbox add(String text) {
        return add(text.getBytes(StandardCharsets.UTF_8));
    }

    void flush() {
        if (gathered.size() > 0) {
            session.write(IoBuffer.wrap(gathered.toByteArray()));
            gathered.reset();
        }
    }

    /** What was given to it and has not gone out. */
    long waiting() {
        return gathered.size() + session.getScheduledWriteBytes();
    }

    void readNoMore() {
        session.suspendRead();
    }

    void closeNow() {
        session.closeNow();
    }

    void closeOnFlush() {
        flush();
        session.closeOnFlush();
    }
}
