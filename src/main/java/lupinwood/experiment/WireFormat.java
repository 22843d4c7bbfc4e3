package lupinwood.experiment;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Lines, lengths and arrays, as the node's peers write and read them. */
final class WireFormat {
    private WireFormat() {}

    /** The next line without its end; null at the end of all. */
    static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return line.toString().strip();
            }
            line.append((char) b);
        }
        return null;
    }

    /** So many bytes and the line's end behind them. */
    static byte[] body(InputStream in, String length) throws IOException {
        byte[] body = in.readNBytes(Integer.parseInt(length));
        in.readNBytes(2);
        return body;
    }

    static void say(OutputStream out, String line, byte[] body) throws IOException {
        byte[] head = (line + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        synchronized (out) {
            if (body == null) {
                out.write(head);
            } else {
                byte[] whole = new byte[head.length + body.length + 2];
                System.arraycopy(head, 0, whole, 0, head.length);
                System.arraycopy(body, 0, whole, head.length, body.length);
                whole[whole.length - 2] = '\r';
                whole[whole.length - 1] = '\n';
                out.write(whole);
            }
        }
    }

    static byte[] array(String... words) {
        StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        return text.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Null at the end of all. */
    static List<String> array(InputStream in) throws IOException {
        String head = line(in);
        if (head == null || head.isEmpty()) {
            return null;
        }
        List<String> words = new ArrayList<>();
        for (int left = Integer.parseInt(head.substring(1)); left > 0; left--) {
            words.add(new String(body(in, line(in).substring(1)), StandardCharsets.ISO_8859_1));
        }
        return words;
    }
}
