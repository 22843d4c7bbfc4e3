package lupinwood.config;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;

/** One text of a configuration, by the name that messages give it. */
public record Source(String name, String text) {
    /** The bytes are no UTF-8; the place tells where the first wrong one stands. */
    static final class NoText extends CharacterCodingException {
        private static final long serialVersionUID = 1L;
        final transient SourcePosition place;

        NoText(SourcePosition place) {
            this.place = place;
        }
    }

    /** Of a file's bytes. */
    static Source of(String name, byte[] bytes) throws NoText {
        CharsetDecoder decoder =
                StandardCharsets.UTF_8
                        .newDecoder()
                        .onMalformedInput(CodingErrorAction.REPORT)
                        .onUnmappableCharacter(CodingErrorAction.REPORT);
        CharBuffer text = CharBuffer.allocate(bytes.length);
        CoderResult result = decoder.decode(ByteBuffer.wrap(bytes), text, true);
        text.flip();
        if (result.isError()) {
            String before = text.toString();
            int lines = (int) before.chars().filter(c -> c == '\n').count();
            int column = before.length() - before.lastIndexOf('\n');
            throw new NoText(new SourcePosition(name, lines + 1, column, 1));
        }
        return new Source(name, text.toString());
    }

    /** A line as it stands, without its end; cut where it is too long to be shown. */
    public String line(int number) {
        int start = 0;
        for (int i = 1; i < number && start >= 0; i++) {
            int end = text.indexOf('\n', start);
            start = end < 0 ? -1 : end + 1;
        }
        if (start < 0) {
            return "";
        }
        int end = text.indexOf('\n', start);
        String line = text.substring(start, end < 0 ? text.length() : end);
        return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
    }
}
