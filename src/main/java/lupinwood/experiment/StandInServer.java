package lupinwood.experiment;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import lupinwood.ajp.BadPacket;
import lupinwood.ajp.FrontReader;
import lupinwood.ajp.Replies;

/** A server that speaks AJP and carries out requests, with faults by chance. */
final class StandInServer {
    private static final int PACKET = 8192;

    private final Audit audit;
    private final Random random;

    /** So many of a hundred requests meet a fault. */
    private final int faults;

    private final AtomicLong tries = new AtomicLong();

    /** Null for one that bears all at once and takes no time. */
    private ServerBehavior behavior;

    StandInServer(Audit audit, long seed, int faults) {
        this.audit = audit;
        random = new Random(seed);
        this.faults = faults;
    }

    /** How many requests came so far. */
    long tries() {
        return tries.get();
    }

    private synchronized int chance(int bound) {
        return random.nextInt(bound);
    }

    /** From now on it takes time, and breaks under too much. */
    StandInServer with(ServerBehavior by) {
        behavior = by;
        return this;
    }

    void talk(InputStream in, OutputStream out) throws IOException {
        FrontReader reader = new FrontReader(PACKET, 1 << 20);
        byte[] buffer = new byte[2048];
        try {
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                ByteBuffer bytes = ByteBuffer.wrap(buffer, 0, read);
                for (FrontReader.Event event = reader.next(bytes);
                        event != null;
                        event = reader.next(bytes)) {
                    if (!heard(event, out)) {
                        return;
                    }
                }
            }
        } catch (BadPacket e) {
            throw new IOException(e.getMessage());
        }
    }

    /** Whether the connection goes on. */
    private boolean heard(FrontReader.Event event, OutputStream out) throws IOException {
        if (event instanceof FrontReader.Ping) {
            if (chance(100) >= faults) {
                out.write(Replies.pong());
            }
            return true;
        }
        if (event instanceof FrontReader.More more) {
            out.write(Replies.askBody(more.most()));
            return true;
        }
        FrontReader.Whole whole = (FrontReader.Whole) event;
        String className = whole.request().uri().substring(1);
        int fault = chance(100) < faults ? chance(7) : -1;
        if (fault == 0) {
            return false; // cut before anything ran, which nobody can know
        }
        audit.ran(
                "server " + System.identityHashCode(this) + " " + tries.incrementAndGet(),
                className,
                new String(whole.body(), StandardCharsets.ISO_8859_1));
        if (behavior != null && !behavior.carriesOut()) {
            return false;
        }
        byte[] answer =
                Replies.answer(
                        fault == 1 ? 500 : 200,
                        "",
                        Map.of("Content-Type", "text/plain"),
                        StandInExecutor.result(whole.body()),
                        PACKET,
                        fault != 2);
        switch (fault) {
            case 2 -> out.write(answer); // said that it closes, and does
            case 3 -> {
                out.write(answer, 0, answer.length / 2);
                return false;
            }
            case 4 -> {
                return false; // ran, and no answer
            }
            case 5 -> {
                out.write(answer);
                out.write(Replies.end(true)); // its end twice
            }
            case 6 -> {
                out.write(Replies.askBody(100)); // more than there is
                out.write(answer);
                return false; // closes though it said reuse
            }
            default -> out.write(answer);
        }
        return fault != 2;
    }
}
