package lupinwood.net;

import java.nio.ByteBuffer;
import java.util.Locale;

/** Reads HTTP/1.1 replies, however they are split; their bodies are passed over. */
final class HttpResponseParser implements Parser<HttpResponseParser.HttpResponse> {
    /** One reply, and whether the connection may be used again. */
    record HttpResponse(int status, boolean keepsOpen) {}

    private static final int MOST_HEAD = 8192;
    private static final int MOST_BODY = 1 << 16;

    private final StringBuilder head = new StringBuilder();
    private HttpResponse reply;
    private int left;

    @Override
    public HttpResponse next(ByteBuffer in) throws ProtocolException {
        while (in.hasRemaining() || (reply != null && left == 0)) {
            if (reply != null) {
                int part = Math.min(left, in.remaining());
                in.position(in.position() + part);
                left -= part;
                if (left == 0) {
                    HttpResponse whole = reply;
                    reply = null;
                    return whole;
                }
                continue;
            }
            head.append((char) (in.get() & 0xff));
            if (head.length() > MOST_HEAD) {
                throw new ProtocolException("a reply with a head of over " + MOST_HEAD + " bytes");
            }
            int length = head.length();
            if (length >= 4
                    && head.charAt(length - 1) == '\n'
                    && head.indexOf("\r\n\r\n", length - 4) >= 0) {
                reply = read(head.toString());
                head.setLength(0);
            }
        }
        return null;
    }

    private HttpResponse read(String text) throws ProtocolException {
        String[] lines = text.split("\r\n", 0);
        String[] status = lines[0].split(" ", 0);
        if (status.length < 2
                || !status[0].startsWith("HTTP/1.")
                || !status[1].matches("[1-5][0-9][0-9]")) {
            throw new ProtocolException("no status line");
        }
        int code = Integer.parseInt(status[1]);
        boolean keeps = status[0].equals("HTTP/1.1");
        left = 0;
        boolean lengthReported = code == 204 || code == 304 || code < 200;
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon < 1) {
                throw new ProtocolException("a header without a name");
            }
            String value = lines[i].substring(colon + 1).strip().toLowerCase(Locale.ROOT);
            switch (lines[i].substring(0, colon).toLowerCase(Locale.ROOT)) {
                case "content-length" -> {
                    long length = LineParser.number(value);
                    if (length > MOST_BODY) {
                        throw new ProtocolException(
                                "a body of " + length + " bytes, " + MOST_BODY + " at most");
                    }
                    left = lengthReported ? 0 : (int) length;
                    lengthReported = true;
                }
                case "connection" -> keeps &= !value.equals("close");
                default -> {}
            }
        }
        // A body whose length isn't told ends with the connection.
        return new HttpResponse(code, keeps && lengthReported);
    }
}
