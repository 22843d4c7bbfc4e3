import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;

/** A server that speaks AJP/1.3 and carries out requests, so many at once; the others wait in it. */
final class AjpServer {
    /** Hears of each request; says for how many milliseconds it is worked on. */
    interface Work {
        double millis(String uri, String body);
    }

    private static final int FORWARD = 2;
    private static final int PING = 10;
    private static final int PONG = 9;
    private static final int HEADERS = 4;
    private static final int CHUNK = 3;
    private static final int END = 5;

    private final Semaphore places;
    private final Work work;
    private final Set<Socket> peers = ConcurrentHashMap.newKeySet();
    final ServerSocket socket;

    AjpServer(int port, int atOnce, Work work) throws IOException {
        places = new Semaphore(atOnce, true);
        this.work = work;
        socket = Common.serve(port, this::talk);
    }

    /** Goes down: connections are reset or closed, new ones are refused. */
    void close() throws IOException {
        socket.close();
        for (Socket peer : peers) {
            peer.close();
        }
    }

    private void talk(Socket peer) throws Exception {
        peers.add(peer);
        InputStream in = new BufferedInputStream(peer.getInputStream());
        for (byte[] packet = packet(in); packet != null; packet = packet(in)) {
            if (packet[0] == PING) {
                send(peer, new byte[] {PONG});
                continue;
            }
            if (packet[0] != FORWARD) {
                throw new IOException("an unknown message " + packet[0]);
            }
            int[] at = {2};
            text(packet, at);
            String uri = text(packet, at);
            int length = contentLength(packet, at);
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (body.size() < length) {
                byte[] part = packet(in);
                if (part == null) {
                    return;
                }
                body.write(part, 2, two(part, 0));
            }
            String whole = body.toString(StandardCharsets.ISO_8859_1);
            places.acquire();
            try {
                double millis = work.millis(uri, whole);
                Thread.sleep((long) millis, (int) ((millis % 1) * 1e6));
            } finally {
                places.release();
            }
            byte[] result = Common.ascii("done " + whole);
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            head.write(HEADERS);
            putTwo(head, 200);
            putText(head, "OK");
            putTwo(head, 0);
            send(peer, head.toByteArray());
            ByteArrayOutputStream chunk = new ByteArrayOutputStream();
            chunk.write(CHUNK);
            putTwo(chunk, result.length);
            chunk.writeBytes(result);
            chunk.write(0);
            send(peer, chunk.toByteArray());
            send(peer, new byte[] {END, 1});
        }
    }

    private static byte[] packet(InputStream in) throws IOException {
        byte[] head = in.readNBytes(4);
        if (head.length < 4) {
            return null;
        }
        if (two(head, 0) != 0x1234) {
            throw new IOException("no packet");
        }
        return Common.bytes(in, two(head, 2));
    }

    private static void send(Socket peer, byte[] payload) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write('A');
        out.write('B');
        putTwo(out, payload.length);
        out.writeBytes(payload);
        peer.getOutputStream().write(out.toByteArray());
    }

    private static int two(byte[] bytes, int at) {
        return (bytes[at] & 0xff) << 8 | (bytes[at + 1] & 0xff);
    }

    private static void putTwo(ByteArrayOutputStream out, int value) {
        out.write(value >> 8);
        out.write(value);
    }

    private static void putText(ByteArrayOutputStream out, String text) {
        putTwo(out, text.length());
        out.writeBytes(Common.ascii(text));
        out.write(0);
    }

    private static String text(byte[] packet, int[] at) {
        int length = two(packet, at[0]);
        at[0] += 2;
        if (length == 0xffff) {
            return null;
        }
        String text = new String(packet, at[0], length, StandardCharsets.ISO_8859_1);
        at[0] += length + 1;
        return text;
    }

    /** Behind the URI: remote address, remote host, server's name, port, whether encrypted, headers. */
    private static int contentLength(byte[] packet, int[] at) {
        text(packet, at);
        text(packet, at);
        text(packet, at);
        at[0] += 3;
        int count = two(packet, at[0]);
        at[0] += 2;
        int length = 0;
        for (int i = 0; i < count; i++) {
            String name;
            if ((packet[at[0]] & 0xff) == 0xa0) {
                name = two(packet, at[0]) == 0xa008 ? "content-length" : "";
                at[0] += 2;
            } else {
                name = text(packet, at).toLowerCase();
            }
            String value = text(packet, at);
            if (name.equals("content-length")) {
                length = Integer.parseInt(value.trim());
            }
        }
        return length;
    }
}
