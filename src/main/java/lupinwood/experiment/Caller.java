package lupinwood.experiment;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;

/**
 * An upstream load balancer with one connection to the node; its answers are read by a thread of
 * its own.
 */
final class Caller implements Closeable {
    private static final int MOST_OPEN = 32;

    private final Socket socket;
    private final Audit audit;
    private final Map<String, String> tags = new ConcurrentHashMap<>();
    private final BiConsumer<String, List<String>> heard;
    private long tag;
    private final boolean heeds;
    private int open;

    /** The node asked for no more on this connection. */
    private boolean finished;

    /**
     * @param heard hears each answer's request id and its words
     */
    Caller(int port, Audit audit, BiConsumer<String, List<String>> heard) throws IOException {
        this(port, audit, heard, false);
    }

    /**
     * @param heeds whether it closes, as it should, once the node wants no more on it and all is
     *     answered
     */
    Caller(int port, Audit audit, BiConsumer<String, List<String>> heard, boolean heeds)
            throws IOException {
        this.audit = audit;
        this.heeds = heeds;
        this.heard = heard;
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        LoopbackServer.daemon(this::read);
        socket.getOutputStream()
                .write(
                        WireFormat.array(
                                "HEALTH", "1000000")); // who says nothing for long is closed
    }

    private void read() {
        try (InputStream in = new BufferedInputStream(socket.getInputStream())) {
            for (List<String> words = WireFormat.array(in);
                    words != null;
                    words = WireFormat.array(in)) {
                if (words.get(0).equals("0") && words.get(1).equals("FIN")) {
                    finish();
                    continue;
                }
                String id = tags.remove(words.get(0));
                if (id != null) {
                    audit.answer(
                            id,
                            words.get(1),
                            words.size() > 3 ? words.get(3) : "",
                            System.currentTimeMillis());
                    heard.accept(id, words);
                    answered();
                }
            }
        } catch (IOException e) {
            // The connection ended; what is open on it is found by the audit.
        }
    }

    private synchronized void finish() throws IOException {
        finished = true;
        if (open == 0 && heeds) {
            socket.close();
        }
    }

    private synchronized void answered() throws IOException {
        open--;
        if (finished && open == 0 && heeds) {
            socket.close();
        }
    }

    /**
     * Whether nothing more may be sent on it, since the node said so or since as much is open as
     * the protocol allows; what is open is still answered, and then it closes by itself.
     */
    synchronized boolean isFinished() {
        finished |= open >= MOST_OPEN;
        return finished;
    }

    void send(String id, Audit.Sent request, String tenant) throws IOException {
        send(id, request, tenant, 0);
    }

    /**
     * @param shiftMillis how far this machine's wall clock is off
     */
    synchronized void send(String id, Audit.Sent request, String tenant, long shiftMillis)
            throws IOException {
        String fields =
                "req="
                        + id
                        + ",ts="
                        + (request.atMillis() + shiftMillis)
                        + ",via=1,owner="
                        + tenant
                        + ",need=20.5,level=0.5"
                        + (request.mark() == null ? "" : ",opkey=" + request.mark());
        audit.sent(id, request);
        open++;
        tags.put(Long.toString(++tag), id);
        socket.getOutputStream()
                .write(
                        WireFormat.array(
                                "REQ",
                                Long.toString(tag),
                                request.className(),
                                fields,
                                request.body()));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
