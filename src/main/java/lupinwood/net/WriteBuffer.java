package lupinwood.net;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.session.IoSession;

/** What gathers for one connection in a round of deciding; it goes out in one write. */
final class WriteBuffer {
    private final IoSession session;
    private final ByteArrayOutputStream gathered = new ByteArrayOutputStream(256);

    /** The latest that went to the socket thread; null before the first. */
    private WriteFuture latest;

    WriteBuffer(IoSession session) {
        this.session = session;
    }

    WriteBuffer add(byte[] bytes) {
        gathered.write(bytes, 0, bytes.length);
        return this;
    }

    WriteBuffer add(String text) {
        return add(text.getBytes(StandardCharsets.UTF_8));
    }

    void flush() {
        if (gathered.size() > 0) {
            latest = session.write(IoBuffer.wrap(gathered.toByteArray()));
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

    /**
     * Once all that was added has gone out, or can't any more; on the socket thread, or at once.
     */
    void onceWritten(Runnable job) {
        flush();
        if (latest == null) {
            job.run();
        } else {
            latest.addListener(written -> job.run());
        }
    }

    /** The other side sees the end of what comes from here, after all of it; reading goes on. */
    void endOutput() {
        HalfClose.output(session);
        session.resumeRead();
    }
}
