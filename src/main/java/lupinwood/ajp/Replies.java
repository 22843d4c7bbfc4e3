package lupinwood.ajp;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Map;

/** What a container says: the packets of an answer, and those that ask. */
public final class Replies {
    /** What a web server's packets begin with, and a container's. */
    static final int FROM_WEB_SERVER = 0x1234;

    static final int FROM_CONTAINER = 0x4142;

    /** A body chunk's own head and end, within its packet. */
    private static final int CHUNK_OVERHEAD = 8;

    private Replies() {}

    static String headerName(Fields in, List<String> coded) throws BadPacket {
        int first = in.two();
        if (first >> 8 != Codes.CODED) {
            return in.text(first);
        }
        int place = (first & 0xFF) - 1;
        if (place < 0 || place >= coded.size()) {
            throw new BadPacket("no header has the number " + Integer.toHexString(first));
        }
        return coded.get(place);
    }

    /** A whole answer: its headers, its body in chunks that fit, its end. */
    public static byte[] answer(
            int status,
            String reason,
            Map<String, String> headers,
            byte[] body,
            int packet,
            boolean reuse) {
        PacketWriter head =
                new PacketWriter(FROM_CONTAINER)
                        .one(Codes.SEND_HEADERS)
                        .two(status)
                        .text(reason)
                        .two(headers.size() + 1);
        headers.forEach((name, value) -> header(head, name, value));
        header(head, "Content-Length", Integer.toString(body.length));
        ByteArrayOutputStream all = new ByteArrayOutputStream(body.length + 256);
        all.writeBytes(head.packet());
        int most = packet - CHUNK_OVERHEAD;
        for (int from = 0; from < body.length; from += most) {
            int length = Math.min(most, body.length - from);
            all.writeBytes(
                    new PacketWriter(FROM_CONTAINER)
                            .one(Codes.SEND_BODY_CHUNK)
                            .two(length)
                            .bytes(body, from, length)
                            .one(0)
                            .packet());
        }
        all.writeBytes(end(reuse));
        return all.toByteArray();
    }

    static void header(PacketWriter out, String name, String value) {
        int code = Codes.of(Codes.RESPONSE_HEADERS, name);
        if (code != 0) {
            out.two(code);
        } else {
            out.text(name);
        }
        out.text(value);
    }

    public static byte[] end(boolean reuse) {
        return new PacketWriter(FROM_CONTAINER).one(Codes.END_RESPONSE).one(reuse ? 1 : 0).packet();
    }

    /** Asks for more of a body, so many bytes at most. */
    public static byte[] askBody(int most) {
        return new PacketWriter(FROM_CONTAINER).one(Codes.GET_BODY_CHUNK).two(most).packet();
    }

    public static byte[] pong() {
        return new PacketWriter(FROM_CONTAINER).one(Codes.PONG).packet();
    }
}
