package lupinwood.experiment;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import lupinwood.ajp.BackReader;
import lupinwood.ajp.BadPacket;
import lupinwood.ajp.Requests;

/** A web server with one AJP connection to the node: one request at a time, sent in pieces. */
final class AjpPeer implements Closeable {
    private static final int PACKET = 8192;
    private static final int RESPONSE_TIMEOUT_MILLIS = 20_000;

    private final Socket socket;
    private final String secret;
    private BackReader reader = new BackReader(PACKET, 1 << 20);
    private final byte[] buffer = new byte[4096];
    private ByteBuffer rest = ByteBuffer.allocate(0);

    AjpPeer(int port, String secret) throws IOException {
        this.secret = secret;
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
    }

    /** The bytes of a request with its body. */
    byte[] bytes(String path, String tenant, String mark, String body) {
        byte[] content = body.getBytes(StandardCharsets.ISO_8859_1);
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "lab");
        headers.put("X-Customer", tenant);
        if (mark != null) {
            headers.put("X-Mark", mark);
        }
        byte[] head = Requests.forward("POST", path, headers, content.length, secret);
        byte[] part =
                content.length == 0
                        ? new byte[0]
                        : Requests.part(content, 0, content.length, PACKET);
        byte[] all = Arrays.copyOf(head, head.length + part.length);
        System.arraycopy(part, 0, all, head.length, part.length);
        return all;
    }

    /**
     * @param pieces in how many writes
     */
    void send(byte[] bytes, int pieces) throws IOException {
        int step = Math.max(1, bytes.length / pieces);
        for (int from = 0; from < bytes.length; from += step) {
            socket.getOutputStream().write(bytes, from, Math.min(step, bytes.length - from));
        }
    }

    /** The next whole answer; null where the connection ended before it. */
    BackReader.Answer answer() throws IOException {
        try {
            while (true) {
                BackReader.Event event = reader.next(rest);
                if (event instanceof BackReader.Answer answer) {
                    return answer;
                }
                if (event == null) {
                    InputStream in = socket.getInputStream();
                    int read = in.read(buffer);
                    if (read < 0) {
                        return null;
                    }
                    rest = ByteBuffer.wrap(buffer, 0, read);
                }
            }
        } catch (BadPacket e) {
            throw new IOException("an answer that can't be read: " + e.getMessage());
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
