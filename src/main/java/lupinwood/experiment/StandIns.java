package lupinwood.experiment;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** What the shared dependency and the service registry say. */
final class StandIns {
    private StandIns() {}

    /** Each call is a hit, with its own question in brackets. */
    static void dependency(InputStream in, OutputStream out) throws IOException {
        for (String line = WireFormat.line(in); line != null; line = WireFormat.line(in)) {
            String[] words = line.split(" ", 0);
            if (words[0].equals("GET")) {
                byte[] question = WireFormat.body(in, words[3]);
                byte[] reply =
                        ("[" + new String(question, StandardCharsets.ISO_8859_1) + "]")
                                .getBytes(StandardCharsets.ISO_8859_1);
                WireFormat.say(out, words[1] + " HIT " + reply.length, reply);
            }
        }
    }

    /** Each report is taken. */
    static void registry(InputStream in, OutputStream out) throws IOException {
        for (String line = WireFormat.line(in); line != null; line = WireFormat.line(in)) {
            int length = 0;
            for (String header = WireFormat.line(in);
                    header != null && !header.isEmpty();
                    header = WireFormat.line(in)) {
                if (header.startsWith("Content-Length: ")) {
                    length = Integer.parseInt(header.substring(16));
                }
            }
            in.readNBytes(length);
            WireFormat.say(out, "HTTP/1.1 204 No Content\r\n", null);
        }
    }

    /** An executor that takes a link and never says WELCOME. */
    static void mute(InputStream in, OutputStream out) throws IOException {
        while (in.read() >= 0) {
            // It reads, and that is all.
        }
    }
}
