package lupinwood.ajp;

import java.util.Map;

/** What a web server says: a request with its body, the check whether anybody is there. */
public final class Requests {
    private static final int BODY_OVERHEAD = 6;

    private Requests() {}

    /** The packet that forwards a request; its body follows in packets of its own. */
    public static byte[] forward(
            String method, String uri, Map<String, String> headers, int bodyLength, String secret) {
        int code = Codes.METHODS.indexOf(method) + 1;
        PacketWriter out =
                new PacketWriter(Replies.FROM_WEB_SERVER)
                        .one(Codes.FORWARD_REQUEST)
                        .one(code == 0 ? Codes.METHOD_STORED : code)
                        .text("HTTP/1.1")
                        .text(uri)
                        .text("127.0.0.1")
                        .text(null)
                        .text("lupinwood")
                        .two(80)
                        .one(0)
                        .two(headers.size() + 1);
        headers.forEach((name, value) -> header(out, name, value));
        header(out, "content-length", Integer.toString(bodyLength));
        if (code == 0) {
            out.one(Codes.STORED_METHOD).text(method);
        }
        if (secret != null) {
            out.one(Codes.SECRET).text(secret);
        }
        return out.one(Codes.NO_MORE_ATTRIBUTES).packet();
    }

    private static void header(PacketWriter out, String name, String value) {
        int code = Codes.of(Codes.REQUEST_HEADERS, name);
        if (code != 0) {
            out.two(code);
        } else {
            out.text(name);
        }
        out.text(value);
    }

    /** A part of a body, up to so many bytes of it; an empty one is its end. */
    public static byte[] part(byte[] body, int from, int most, int packet) {
        int length =
                Math.max(0, Math.min(Math.min(most, packet - BODY_OVERHEAD), body.length - from));
        PacketWriter out = new PacketWriter(Replies.FROM_WEB_SERVER);
        return length == 0 ? out.packet() : out.two(length).bytes(body, from, length).packet();
    }

    /** How much of a body one part carries. */
    public static int partLength(byte[] body, int from, int most, int packet) {
        return Math.max(0, Math.min(Math.min(most, packet - BODY_OVERHEAD), body.length - from));
    }

    public static byte[] ping() {
        return new PacketWriter(Replies.FROM_WEB_SERVER).one(Codes.PING).packet();
    }
}
