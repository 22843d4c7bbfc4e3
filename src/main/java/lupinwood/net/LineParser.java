package lupinwood.net;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/**
 * Reads lines of words and, where the last word is a length, the bytes that follow; however split.
 */
final class LineParser implements Parser<LineParser.Message> {
    /** One message: its words and its bytes, none where the line has no length. */
    @SuppressWarnings("ArrayRecordComponent") // handed over once and never compared
    record Message(String[] words, byte[] body) {}

    private static final int MOST_LINE = 4096;
    private static final int MOST_BODY = 1 << 16;
    private static final byte[] NOTHING = {};
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,18}");

    private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    private final Predicate<String[]> hasBody;
    private String[] words;
    private byte[] body;
    private int filled;
    private boolean returned;

    LineParser(Predicate<String[]> hasBody) {
        this.hasBody = hasBody;
    }

    @Override
    public Message next(ByteBuffer in) throws ProtocolException {
        while (in.hasRemaining()) {
            if (body != null && filled < body.length) {
                int part = Math.min(in.remaining(), body.length - filled);
                in.get(body, filled, part);
                filled += part;
                continue;
            }
            byte b = in.get();
            if (returned != (b == '\n')) {
                throw new ProtocolException("a line end that is not CR LF");
            }
            if (b == '\r') {
                returned = true;
            } else if (b != '\n') {
                if (body != null) {
                    throw new ProtocolException("bytes run past their length");
                }
                line.write(b);
                if (line.size() > MOST_LINE) {
                    throw new ProtocolException("a line of over " + MOST_LINE + " bytes");
                }
            } else {
                returned = false;
                Message whole = lineEnd();
                if (whole != null) {
                    return whole;
                }
            }
        }
        return null;
    }

    private Message lineEnd() throws ProtocolException {
        if (body != null) {
            Message whole = new Message(words, body);
            body = null;
            return whole;
        }
        words = line.toString(StandardCharsets.ISO_8859_1).split(" ");
        line.reset();
        if (!hasBody.test(words)) {
            return new Message(words, NOTHING);
        }
        long length = number(words[words.length - 1]);
        if (length > MOST_BODY) {
            throw new ProtocolException(length + " bytes, " + MOST_BODY + " at most");
        }
        body = new byte[(int) length];
        filled = 0;
        return null;
    }

    /** A whole number from 0 up. */
    static long number(String word) throws ProtocolException {
        if (!NUMBER.matcher(word).matches()) {
            throw new ProtocolException("no whole number where one should stand");
        }
        return Long.parseLong(word);
    }
}
