package lupinwood.lab;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** What the index and the name service say. */
final class StandIns {
    private StandIns() {}

    /** Each call is a hit, with its own question in brackets. */
    static void index(InputStream in, OutputStream out) throws IOException {
        for (String line = Wire.line(in); line != null; line = Wire.line(in)) {
            String[] words = line.split(" ", 0);
            if (words[0].equals("GET")) {
                byte[] question = Wire.body(in, words[3]);
                byte[] reply =
                        ("[" + new String(question, StandardCharsets.ISO_8859_1) + "]")
                                .getBytes(StandardCharsets.ISO_8859_1);
                Wire.say(out, words[1] + " HIT " + reply.length, reply);
            }
        }
    }

    /** Each report is taken. */
    static void naming(InputStream in, OutputStream out) throws IOException {
        for (String line = Wire.line(in); line != null; line = Wire.line(in)) {
            int length = 0;
            for (String header = Wire.line(in);
                    header != null && !header.isEmpty();
                    header = Wire.line(in)) {
                if (header.startsWith("Content-Length: ")) {
                    length = Integer.parseInt(header.substring(16));
                }
            }
            in.readNBytes(length);
            Wire.say(out, "HTTP/1.1 204 No Content\r\n", null);
        }
    }

    /** An executor that takes a link and never says WELCOME. */
    static void mute(InputStream in, OutputStream out) throws IOException {
        while (in.read() >= 0) {
            // It reads, and that is all.
        }
    }
}
