package lupinwood.ajp;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * Both sides' messages, in any split; bytes of a published example; what can't be read ends in one
 * way.
 */
public final class CodecTest {
    private static final int PACKET = 8192;

    private static byte[] bytes(int length, long seed) {
        byte[] bytes = new byte[length];
        new Random(seed).nextBytes(bytes);
        return bytes;
    }

    private static byte[] hex(String text) {
        String digits = text.replaceAll("\\s", "");
        byte[] bytes = new byte[digits.length() / 2];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) Integer.parseInt(digits.substring(2 * i, 2 * i + 2), 16);
        }
        return bytes;
    }

    private static byte[] join(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        Arrays.stream(parts).forEach(all::writeBytes);
        return all.toByteArray();
    }

    /** What a reader makes of bytes that come in pieces. */
    private static List<FrontReader.Event> front(byte[] all, int piece, int mostBody)
            throws BadPacket {
        FrontReader reader = new FrontReader(PACKET, mostBody);
        List<FrontReader.Event> events = new ArrayList<>();
        for (int from = 0; from < all.length; from += piece) {
            ByteBuffer in = ByteBuffer.wrap(all, from, Math.min(piece, all.length - from));
            for (FrontReader.Event event = reader.next(in);
                    event != null;
                    event = reader.next(in)) {
                events.add(event);
            }
        }
        return events;
    }

    private static List<BackReader.Event> back(byte[] all, int piece, int mostBody)
            throws BadPacket {
        BackReader reader = new BackReader(PACKET, mostBody);
        List<BackReader.Event> events = new ArrayList<>();
        for (int from = 0; from < all.length; from += piece) {
            ByteBuffer in = ByteBuffer.wrap(all, from, Math.min(piece, all.length - from));
            for (BackReader.Event event = reader.next(in); event != null; event = reader.next(in)) {
                events.add(event);
            }
        }
        return events;
    }

    @Test
    void aRequestAndItsBodyComeWholeInAnySplit() throws BadPacket {
        byte[] body = bytes(20_000, 1);
        byte[] head =
                Requests.forward(
                        "POST",
                        "/unlock",
                        Map.of("X-Mark", "ab12", "Host", "h"),
                        body.length,
                        "s3");
        List<byte[]> parts = new ArrayList<>(List.of(head));
        for (int from = 0;
                from < body.length;
                from += Requests.partLength(body, from, 65535, PACKET)) {
            parts.add(Requests.part(body, from, 65535, PACKET));
        }
        byte[] all = join(parts.toArray(byte[][]::new));
        for (int piece : new int[] {1, 2, 3, 7, 100, 8192, all.length}) {
            List<FrontReader.Event> events = front(all, piece, 1 << 20);
            assertThat(events).hasSize(3);
            assertThat(events.get(0)).isEqualTo(new FrontReader.More(8186));
            FrontReader.Whole whole = (FrontReader.Whole) events.get(2);
            assertThat(whole.body()).isEqualTo(body);
            assertThat(whole.request().header("x-mark")).isEqualTo("ab12");
            assertThat(whole.request().header("host")).isEqualTo("h");
            assertThat(whole.request().secret()).isEqualTo("s3");
            assertThat(whole.request().method()).isEqualTo("POST");
        }
        FrontReader.Whole cut = (FrontReader.Whole) front(all, 100, 10_000).get(2);
        assertThat(cut.body()).as("past its bound").isNull();
        assertThat(((FrontReader.Whole) front(join(all, all), 5000, 10_000).get(5)).request())
                .isNotNull();
    }

    @Test
    void aBodyWithoutALengthIsRequestedForFromTheStartAndEndsWithAnEmptyPart() throws BadPacket {
        PacketWriter head =
                new PacketWriter(Replies.FROM_WEB_SERVER)
                        .one(2)
                        .one(0xFF)
                        .text("HTTP/1.1")
                        .text("/r")
                        .text(null)
                        .text(null)
                        .text("s")
                        .two(80)
                        .one(0)
                        .two(1)
                        .text("Transfer-Encoding")
                        .text("chunked")
                        .one(0x0A)
                        .text("AJP_X")
                        .text("1")
                        .one(0x0B)
                        .two(256)
                        .one(5)
                        .text("a=b")
                        .one(0x0D)
                        .text("PATCH")
                        .one(0xFF);
        byte[] all =
                join(
                        head.packet(),
                        Requests.part("abc".getBytes(StandardCharsets.US_ASCII), 0, 99, PACKET),
                        Requests.part(new byte[0], 0, 99, PACKET),
                        Requests.ping());
        List<FrontReader.Event> events = front(all, 3, 100);
        assertThat(events).hasSize(4).element(3).isEqualTo(new FrontReader.Ping());
        FrontReader.Whole whole = (FrontReader.Whole) events.get(2);
        assertThat(whole.body()).asString().isEqualTo("abc");
        assertThat(whole.request().method()).isEqualTo("PATCH");
        assertThat(whole.request().attributes())
                .containsEntry("AJP_X", "1")
                .containsEntry("query_string", "a=b");
    }

    @Test
    void publishedBytesAreReadAsTheyAreMeant() throws BadPacket {
        // A GET of / with a coded host header, as the format's description lays the fields out.
        byte[] packet =
                hex(
                        "12 34 00 2f 02 02 00 08 48 54 54 50 2f 31 2e 31 00 00 01 2f 00 00 01 68 00 ff ff 00 01 73"
                                + " 00 00 50 00 00 01 a0 0b 00 01 68 00 0c 00 01 78 00 ff"
                                        .replace("00 01 00 01", "00 01"));
        int length = packet.length - 4;
        packet[2] = (byte) (length >> 8);
        packet[3] = (byte) length;
        Request request = ((FrontReader.Whole) front(packet, 1, 10).get(0)).request();
        assertThat(request.method()).isEqualTo("GET");
        assertThat(request.uri()).isEqualTo("/");
        assertThat(request.header("host")).isEqualTo("h");
        assertThat(request.secret()).isEqualTo("x");
        assertThat(Replies.end(true)).isEqualTo(hex("41 42 00 02 05 01"));
        assertThat(Replies.pong()).isEqualTo(hex("41 42 00 01 09"));
        assertThat(Replies.askBody(8186)).isEqualTo(hex("41 42 00 03 06 1f fa"));
        assertThat(Requests.ping()).isEqualTo(hex("12 34 00 01 0a"));
    }

    @Test
    void anAnswerComesWholeInAnySplitAndTellsWhetherItsConnectionMayGoOn() throws BadPacket {
        byte[] body = bytes(30_000, 2);
        byte[] all =
                join(
                        Replies.pong(),
                        Replies.askBody(10),
                        Replies.answer(
                                503,
                                "Service Unavailable",
                                Map.of("Retry-After", "2"),
                                body,
                                PACKET,
                                true),
                        Replies.answer(200, "OK", Map.of(), new byte[0], PACKET, false));
        for (int piece : new int[] {1, 5, 4096, all.length}) {
            List<BackReader.Event> events = back(all, piece, 1 << 20);
            assertThat(events)
                    .hasSize(4)
                    .startsWith(new BackReader.Pong(), new BackReader.More(10));
            BackReader.Answer answer = (BackReader.Answer) events.get(2);
            assertThat(answer.body()).isEqualTo(body);
            assertThat(answer.status()).isEqualTo(503);
            assertThat(answer.reuse()).isTrue();
            assertThat(answer.headers())
                    .containsEntry("retry-after", "2")
                    .containsEntry("content-length", "30000");
            assertThat(((BackReader.Answer) events.get(3)).reuse()).isFalse();
        }
        assertThat(((BackReader.Answer) back(all, 1000, 100).get(2)).body()).isNull();
    }

    @Test
    void whatCantBeReadSaysSoBeforeItIsStored() {
        for (String bad :
                List.of(
                        "99 99",
                        "12 34 ff ff",
                        "12 34 00 00",
                        "12 34 00 01 07",
                        "12 34 00 02 02 63",
                        "12 34 00 05 02 02 ff 00 41",
                        "41 42 00 02 05 01")) {
            assertThatThrownBy(() -> front(hex(bad), 1, 10)).as(bad).isInstanceOf(BadPacket.class);
        }
        for (String bad :
                List.of(
                        "12 34",
                        "41 42 00 02 05 01",
                        "41 42 00 04 03 00 09 00",
                        "41 42 00 01 02")) {
            assertThatThrownBy(() -> back(hex(bad), 1, 10)).as(bad).isInstanceOf(BadPacket.class);
        }
        byte[] twice = Replies.answer(200, "", Map.of(), new byte[0], PACKET, true);
        assertThatThrownBy(() -> back(join(twice, Replies.end(true)), 9, 10))
                .isInstanceOf(BadPacket.class);
        byte[] longer =
                join(
                        Requests.forward("POST", "/", Map.of(), 2, null),
                        Requests.part(bytes(9, 1), 0, 9, PACKET));
        assertThatThrownBy(() -> front(longer, 9, 10))
                .hasMessageContaining("longer than its length");
    }

    @Property(tries = 2000, seed = "7")
    void noiseNeitherHangsNorThrowsAnythingElse(
            @ForAll @Size(max = 300) byte[] noise, @ForAll long seed) {
        byte[] request =
                join(
                        Requests.forward("POST", "/x", Map.of("A", "b"), 40, "s"),
                        Requests.part(bytes(40, 1), 0, 40, PACKET));
        byte[] reply = Replies.answer(200, "OK", Map.of("A", "b"), bytes(50, 1), PACKET, true);
        Random random = new Random(seed);
        request[random.nextInt(request.length)] ^= (byte) (1 << random.nextInt(8));
        reply[random.nextInt(reply.length)] ^= (byte) (1 << random.nextInt(8));
        for (byte[] one : new byte[][] {noise, request, join(request, noise)}) {
            try {
                front(one, 1 + random.nextInt(20), 100);
            } catch (BadPacket e) {
                assertThat(e.getMessage()).isNotBlank();
            }
        }
        for (byte[] one : new byte[][] {noise, reply, join(reply, noise)}) {
            try {
                back(one, 1 + random.nextInt(20), 100);
            } catch (BadPacket e) {
                assertThat(e.getMessage()).isNotBlank();
            }
        }
    }
}
