package lupinwood.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lupinwood.admission.GoldenFile;
import lupinwood.admission.ScriptedPolicy;
import lupinwood.log.WallClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/**
 * A node on loopback sockets that decides by script, with clocks that stand still, and the bytes
 * that pass between it and the others. Each message is waited for before the next one is said, so
 * the order is always the same.
 */
abstract class GoldenExchange extends SocketTest {
    /** What both clocks show: 1,767,225,600,000 ms. */
    static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

    static final long NOW_MS = NOW.toEpochMilli();

    /** What the node heard. */
    final List<String> heard = new CopyOnWriteArrayList<>();

    /** What the nodes were told at their start, that of the warm-up among them; sorted lines. */
    final List<String> reported = new CopyOnWriteArrayList<>();

    private final StringBuilder transcript = new StringBuilder();

    @BeforeEach
    void stopTheClocks() {
        WallClock.readFrom(() -> NOW);
        standsStill = true;
        maker =
                (server, seed, settings) -> {
                    heard.clear(); // the node that was made for the warm-up is gone
                    reported.add(GoldenFile.lines(settings));
                    return new ScriptedPolicy(server, heard::add);
                };
    }

    @AfterEach
    void letTheClocksGo() {
        WallClock.readFrom(Instant::now);
    }

    /** A node whose executor is up. */
    final void begin() throws Exception {
        start();
        untilMade();
    }

    /** Waits for the node that is made once the executor is up; one was made for the warm-up. */
    final void untilMade() throws Exception {
        until(() -> reported.size() == 2);
        // What the event loop logs beside that must not pass for news that comes later.
        CountDownLatch round = new CountDownLatch(1);
        serving.eventLoop().tell(round::countDown);
        assertThat(round.await(RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
    }

    /** How far the log has got, for {@link #untilMoreIsLogged}. */
    final int logSize() throws Exception {
        log.drain();
        return logged.size();
    }

    /**
     * Waits for one more line, whatever it says: then the news of which it tells was dealt with.
     */
    final void untilMoreIsLogged(int before) throws Exception {
        until(() -> logSize() > before);
    }

    final End connect() throws IOException {
        return new End(new Socket(listen.getAddress(), listen.getPort()));
    }

    final void title(String text) {
        transcript.append("# ").append(text).append('\n');
    }

    final void note(String line) {
        transcript.append(line).append('\n');
    }

    final String transcript() {
        return transcript.toString();
    }

    /** Waits until the node has heard so many things since they were noted last. */
    final void untilHeard(int count) throws Exception {
        until(() -> heard.size() >= count);
    }

    /** What the node heard since the last time. */
    final void noteHeard() {
        heard.forEach(line -> note("    node: " + line));
        heard.clear();
    }

    /** Something goes to the node, as a line. */
    final void say(String who, End end, String bytes) throws IOException {
        note(who + " > " + GoldenFile.shown(bytes));
        end.say(bytes);
    }

    final void sayPackets(String who, End end, byte[]... packets) throws IOException {
        for (byte[] packet : packets) {
            note(who + " > " + HexFormat.of().formatHex(packet));
            end.socket.getOutputStream().write(packet);
        }
    }

    /** The next array of strings from the node. */
    final void hearArray(String who, End end) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        String head = line(end.in(), all);
        if (head != null) {
            for (int left = Integer.parseInt(head.substring(1)); left > 0; left--) {
                int length = Integer.parseInt(line(end.in(), all).substring(1));
                all.writeBytes(end.in().readNBytes(length + 2));
            }
        }
        hear(who, head, all);
    }

    /** The next line from the node, with the bytes whose number is its last word. */
    final void hearLine(String who, End end, String... withBytes) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        String line = line(end.in(), all);
        for (String word : withBytes) {
            if (line != null && line.startsWith(word + " ")) {
                int length = Integer.parseInt(line.substring(line.lastIndexOf(' ') + 1));
                all.writeBytes(end.in().readNBytes(length + 2));
            }
        }
        hear(who, line, all);
    }

    /** The next HTTP request from the node. */
    final void hearRequest(String who, End end) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        int length = 0;
        String first = line(end.in(), all);
        for (String line = first; line != null && !line.isEmpty(); line = line(end.in(), all)) {
            if (line.startsWith("Content-Length: ")) {
                length = Integer.parseInt(line.substring("Content-Length: ".length()));
            }
        }
        all.writeBytes(end.in().readNBytes(length));
        hear(who, first, all);
    }

    /** The next packet from the node; its first byte of content, or -1 at the end. */
    final int hearPacket(String who, End end) throws IOException {
        byte[] head = end.in().readNBytes(4);
        if (head.length < 4) {
            note(who + " < (end)");
            return -1;
        }
        byte[] content = end.in().readNBytes((head[2] & 0xff) << 8 | (head[3] & 0xff));
        note(
                who
                        + " < "
                        + HexFormat.of().formatHex(head)
                        + " "
                        + HexFormat.of().formatHex(content));
        return content.length == 0 ? 0 : content[0];
    }

    /** All that still comes from the node, to the end. */
    final void hearEnd(String who, End end) throws IOException {
        byte[] rest = end.in().readAllBytes();
        if (rest.length > 0) {
            note(who + " < " + GoldenFile.shown(rest));
        }
        note(who + " < (end)");
    }

    private void hear(String who, String first, ByteArrayOutputStream all) {
        note(who + " < " + (first == null ? "(end)" : GoldenFile.shown(all.toByteArray())));
    }

    /** A line without its end, or null at the end. */
    private static String line(InputStream in, ByteArrayOutputStream all) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            line.write(b);
            all.write(b);
        }
        all.write('\n');
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }
}
