package lupinwood.ajp;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Takes a forwarded request's packet apart. */
final class RequestReader {
    private static final int MOST_HEADERS = 100;
    private static final int MOST_ATTRIBUTES = 64;

    private RequestReader() {}

    /** Of a packet whose first byte, which names it, was read. */
    static Request read(Fields in) throws BadPacket {
        int method = in.one();
        in.text(); // the protocol
        String uri = in.text();
        String remote = in.text();
        in.text(); // the remote host's name: nobody looks names up here
        in.text(); // the server's name
        in.two(); // and port
        in.flag(); // whether it came encrypted
        Map<String, String> headers = headers(in);
        Map<String, String> attributes = new HashMap<>();
        String secret = null;
        String stored = null;
        for (int code = in.one(); code != Codes.NO_MORE_ATTRIBUTES; code = in.one()) {
            switch (code) {
                case Codes.NAMED_ATTRIBUTE -> {
                    String name = in.text();
                    attributes.put(name == null ? "" : name, in.text());
                }
                case Codes.SSL_KEY_SIZE ->
                        attributes.put("ssl_key_size", Integer.toString(in.two()));
                case Codes.SECRET -> secret = in.text();
                case Codes.STORED_METHOD -> stored = in.text();
                default -> {
                    if (code < 1 || code > Codes.ATTRIBUTES.size()) {
                        throw new BadPacket("no attribute has the number " + code);
                    }
                    attributes.put(Codes.ATTRIBUTES.get(code - 1), in.text());
                }
            }
            if (attributes.size() > MOST_ATTRIBUTES) {
                throw new BadPacket("more than " + MOST_ATTRIBUTES + " attributes");
            }
        }
        if (!in.isOver()) {
            throw new BadPacket("a request goes on after its end");
        }
        if (method == Codes.METHOD_STORED
                ? stored == null
                : method < 1 || method > Codes.METHODS.size()) {
            throw new BadPacket("no method has the number " + method);
        }
        return new Request(
                method == Codes.METHOD_STORED ? stored : Codes.METHODS.get(method - 1),
                uri == null ? "" : uri,
                remote,
                Map.copyOf(headers),
                attributes,
                secret,
                length(headers));
    }

    private static Map<String, String> headers(Fields in) throws BadPacket {
        int count = in.two();
        if (count > MOST_HEADERS) {
            throw new BadPacket(count + " headers are more than " + MOST_HEADERS);
        }
        Map<String, String> headers = new HashMap<>();
        for (int i = 0; i < count; i++) {
            String name = Replies.headerName(in, Codes.REQUEST_HEADERS);
            String value = in.text();
            headers.merge(
                    name.toLowerCase(Locale.ROOT),
                    value == null ? "" : value,
                    (a, b) -> a + "," + b);
        }
        return headers;
    }

    private static long length(Map<String, String> headers) throws BadPacket {
        String reported = headers.get("content-length");
        if (reported == null) {
            return headers.containsKey("transfer-encoding") ? -1 : 0;
        }
        if (!reported.matches("[0-9]{1,15}")) {
            throw new BadPacket("a content length that is none");
        }
        return Long.parseLong(reported);
    }
}
