import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** A sound dispatcher with one connection to the node; all that it sent is kept for the check. */
final class Dispatcher implements Closeable {
    private static final AtomicLong IDS = new AtomicLong(0x9b1f03aa00000000L);

    /** One try and its answer. */
    static final class Try {
        final Work.Sent request;
        final long sentAt;
        volatile long writtenAt;
        volatile long answeredAt;
        volatile String word;
        volatile String result;
        volatile boolean withdrawn;
        private final Dispatcher on;
        private final String tag;

        Try(Work.Sent request, long sentAt, Dispatcher on, String tag) {
            this.request = request;
            this.sentAt = sentAt;
            this.on = on;
            this.tag = tag;
        }

        /**
         * Whether the page has the dispatcher send it again: it was written no more than 50 ms before
         * the connection ended, or when the wish to close had been read.
         */
        boolean crossedItsEnd() {
            return (on.endedAt > 0 && on.endedAt - sentAt <= 50)
                    || (on.finishedAt > 0 && on.finishedAt <= sentAt);
        }

        /** When its connection was asked to close and ended, from when it was written. */
        String end() {
            return "FIN read "
                    + (on.finishedAt == 0 ? "never" : on.finishedAt - sentAt + " ms later")
                    + ", connection ended "
                    + (on.endedAt == 0 ? "never" : on.endedAt - sentAt + " ms later");
        }
    }

    private final Kit kit;
    private final Work work;
    private final Socket socket;
    private final Map<String, Try> open = new ConcurrentHashMap<>();
    private final Map<String, Try> all;
    private long tag;
    private volatile boolean finished;
    private volatile boolean ended;
    private volatile long finishedAt;
    private volatile long endedAt;

    /** All tries go into the map too, by their ids. */
    Dispatcher(Kit kit, Work work, int port, Map<String, Try> all) throws IOException {
        this.kit = kit;
        this.work = work;
        this.all = all;
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        Kit.daemon(this::read);
    }

    static String newId() {
        return String.format("%016x", IDS.incrementAndGet());
    }

    /** The page's most on one connection, and nothing new once the node has asked for that. */
    boolean takesMore() {
        return !finished && !ended && open.size() < 32;
    }

    synchronized Try send(String className, String tenant, byte[] body, String key)
            throws IOException {
        String id = newId();
        Work.Sent request = new Work.Sent(id, className, body, key);
        work.wrote(request);
        long now = System.currentTimeMillis();
        String fields =
                "req=" + id + ",ts=" + now + ",via=1,owner=" + tenant + ",need=24.5,level=0.5000"
                        + (key == null ? ",subject=7f3a9c21e0b4d655" : ",opkey=" + key);
        String name = Long.toString(++tag);
        Try one = new Try(request, now, this, name);
        open.put(name, one);
        all.put(id, one);
        kit.note("sent   " + id + " " + className + (key == null ? "" : " key=" + key));
        socket.getOutputStream()
                .write(
                        Kit.array(
                                Kit.bytes("REQ"),
                                Kit.bytes(name),
                                Kit.bytes(className),
                                Kit.bytes(fields),
                                body));
        one.writtenAt = System.currentTimeMillis();
        return one;
    }

    /** It stops waiting for the request. */
    synchronized void abort(Try one) throws IOException {
        if (open.remove(one.tag) != null) {
            one.withdrawn = true;
            kit.note("abort  " + one.request.id);
            socket.getOutputStream().write(Kit.array(Kit.bytes("ABORT"), Kit.bytes(one.tag)));
            work.over(one.request.id);
        }
    }

    private void read() {
        try (InputStream in = new BufferedInputStream(socket.getInputStream())) {
            for (List<byte[]> words = Kit.array(in); words != null; words = Kit.array(in)) {
                String name = text(words.get(0));
                if (name.equals("0")) {
                    finishedAt = System.currentTimeMillis();
                    finished = true;
                    if (open.isEmpty()) {
                        socket.close();
                    }
                    continue;
                }
                Try one = open.remove(name);
                if (one == null) {
                    kit.note("an answer to no open tag: " + name + " " + text(words.get(1)));
                    continue;
                }
                one.word = text(words.get(1));
                one.result = words.size() > 3 ? text(words.get(3)) : "";
                one.answeredAt = System.currentTimeMillis();
                kit.note(
                        "answer " + one.request.id + " " + one.word + " after "
                                + (one.answeredAt - one.sentAt) + " ms");
                work.over(one.request.id);
                if (finished && open.isEmpty()) {
                    socket.close();
                }
            }
        } catch (IOException e) {
            // It ended; what is open stays open for the check.
        }
        endedAt = System.currentTimeMillis();
        ended = true;
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
