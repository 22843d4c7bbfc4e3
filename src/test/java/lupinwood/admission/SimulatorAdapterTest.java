package lupinwood.admission;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HexFormat;
import lupinwood.simulator.MalformedFrame;
import lupinwood.simulator.SimulatorAdapter;
import org.junit.jupiter.api.Test;

/**
 * Exchanges batches with the simulator adapter, written as hexadecimal bytes. The replies contain
 * the records 0x51 (timer), 0x56 (run), 0x5b (an exception ended the node) and 0x5e (health).
 */
final class SimulatorAdapterTest {
    private static final String SETTINGS =
            """
            domain.cpus=1
            services.count=1
            services.0.effect=pure
            services.0.aim_ns=1000000000
            services.0.give_up_ns=2000000000
            bounds.max_retry_after_ns=1000000000
            rules.fall_ns=2000000000
            something.unknown=1
            no value at all\
            """;

    /**
     * Record 0x11, a request: instance, request, request class, tenant; the later fields are
     * omitted.
     */
    private static final String REQUEST = "11 0000000b %04x %08x 00 00000000";

    @Test
    void emptyBatchGetsEmptyReply() throws IOException {
        assertThat(play("")).isEqualTo("00000004 00000000\n");
    }

    @Test
    void runsTruncatedRequestAndSkipsUnknownEvents() throws IOException {
        assertThat(play(start(3), "63 00000002 ffff " + String.format(REQUEST, 3, 7)))
                .isEqualTo(
                        """
                00000020 00000002 5e 00000004 0003 01 01 51 0000000e 0003 000000000bebc200 00000000
                0000000f 00000001 56 00000006 0003 00000007
                """);
    }

    @Test
    void nodeRestartedWithinABatchKeepsNoState() throws IOException {
        String completion = "12 00000010 0003 00000007 0000 0000000000000000";
        String replies =
                play(
                        start(3) + String.format(REQUEST, 3, 7),
                        "18 00000002 0003 " + start(3) + completion);
        assertThat(replies.split("\n", 0)[1])
                .isEqualTo(
                        "00000020 00000002 5e 00000004 0003 01 01 51 0000000e 0003 000000000cdfe600 00000000");
    }

    @Test
    void exceptionOfOneNodeIsReportedAndOthersContinue() throws IOException {
        String badRequestClass = "11 0000000b 0004 00000008 09 00000000";
        String replies = play(start(3) + start(4), badRequestClass + String.format(REQUEST, 3, 7));
        assertThat(replies.split("\n", 0)[1])
                .contains(" 5b ")
                .endsWith("56 00000006 0003 00000007");
    }

    @Test
    void malformedFrameIsRefusedWithItsCause() {
        assertThatThrownBy(() -> play("11 000000ff 0003"))
                .isInstanceOf(MalformedFrame.class)
                .hasMessage("a record of 255 bytes runs past the end of its batch");
        assertThatThrownBy(() -> play("11 00"))
                .isInstanceOf(MalformedFrame.class)
                .hasMessage("a record's header runs past the end of its batch");
        assertThatThrownBy(() -> exchange("00000020 00000000"))
                .isInstanceOf(MalformedFrame.class)
                .hasMessage("the input ended 28 bytes short of a batch");
        assertThatThrownBy(() -> exchange("00000002 0000"))
                .isInstanceOf(MalformedFrame.class)
                .hasMessage("a batch cannot be 2 bytes long");
    }

    private static String start(int instance) {
        return String.format(
                "10 %08x %04x 0000000000000001 %08x %s ",
                14 + SETTINGS.length(),
                instance,
                SETTINGS.length(),
                HexFormat.of().formatHex(SETTINGS.getBytes(UTF_8)));
    }

    /**
     * Sends batches 16 ms apart; returns one reply per line with its fields separated by spaces.
     */
    private static String play(String... batches) throws IOException {
        StringBuilder input = new StringBuilder();
        for (int i = 0; i < batches.length; i++) {
            String records = batches[i].replace(" ", "");
            long clock = 100_000_000L + i * 16_000_000L;
            input.append(String.format("%08x%016x%s", 8 + records.length() / 2, clock, records));
        }
        return exchange(input.toString());
    }

    private static String exchange(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorAdapter(AdmissionController::new)
                .play(
                        new ByteArrayInputStream(HexFormat.of().parseHex(input.replace(" ", ""))),
                        out);
        ByteBuffer replies = ByteBuffer.wrap(out.toByteArray());
        StringBuilder text = new StringBuilder();
        while (replies.hasRemaining()) {
            text.append(String.format("%08x", replies.getInt()));
            int records = replies.getInt();
            text.append(String.format(" %08x", records));
            for (int i = 0; i < records; i++) {
                text.append(record(replies));
            }
            text.append("\n");
        }
        return text.toString();
    }

    private static String record(ByteBuffer replies) {
        int code = replies.get();
        int length = replies.getInt();
        int instance = replies.getShort();
        StringBuilder text =
                new StringBuilder(String.format(" %02x %08x %04x", code, length, instance));
        int[] sizes =
                switch (code) {
                    case 0x51 -> new int[] {8, 4};
                    case 0x5e -> new int[] {1, 1};
                    default -> new int[] {length - 2};
                };
        for (int size : sizes) {
            byte[] field = new byte[size];
            replies.get(field);
            text.append(' ').append(HexFormat.of().formatHex(field));
        }
        return text.toString();
    }
}
