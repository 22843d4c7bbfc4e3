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
        volatile long answeredAt;
        volatile String word;
        volatile String result;

        Try(Work.Sent request, long sentAt) {
            this.request = request;
            this.sentAt = sentAt;
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
        Try one = new Try(request, now);
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
        return one;
    }

    private void read() {
        try (InputStream in = new BufferedInputStream(socket.getInputStream())) {
            for (List<byte[]> words = Kit.array(in); words != null; words = Kit.array(in)) {
                String name = text(words.get(0));
                if (name.equals("0")) {
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
