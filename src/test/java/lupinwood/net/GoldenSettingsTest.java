package lupinwood.net;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinwood.admission.AdmissionController;
import lupinwood.admission.GoldenFile;
import lupinwood.load.Loader;
import lupinwood.settings.Schema;
import lupinwood.simulator.SimulatorAdapter;
import org.junit.jupiter.api.Test;

/** The map by which a node decides, however its configuration came; and what else that names. */
final class GoldenSettingsTest {
    private static final String FULL_JSON = "settings/full.json";
    private static final String FULL_LANGUAGE = "settings/full.kdl";
    private static final byte EVENT_START = 16;

    private static NodeConfig load(Path file) throws NodeConfig.UnusableConfiguration {
        return new Loader(file, null).load().config();
    }

    private static Map<String, String> reported(NodeConfig config) {
        Map<String, String> reported = new TreeMap<>();
        // The time for the warm-up is over at once: the node is made, and gets no requests.
        Iterator<Long> steady = List.of(0L, Long.MAX_VALUE).iterator();
        WarmUp.play(
                config.settings(),
                config.seed(),
                (server, seed, settings) -> {
                    reported.putAll(settings);
                    return new AdmissionController(server, seed, settings);
                },
                steady::next);
        return reported;
    }

    private static String all(NodeConfig config) {
        return "[node]\nname="
                + config.name()
                + "\nlisten="
                + config.listen()
                + "\nexecutor="
                + config.executor()
                + "\nindex="
                + config.dependency()
                + "\nnaming="
                + config.registryAddress()
                + "\nseed="
                + Long.toHexString(config.seed())
                + "\nstop="
                + config.stop().nanos()
                + "\nsockets="
                + config.sockets()
                + "\ndoubts="
                + config.doubtful()
                + "\n[decisions]\n"
                + GoldenFile.lines(reported(config))
                + "[entries]\n"
                + GoldenFile.lines(config.parsedSettings().values())
                + "[keys]\n"
                + GoldenFile.lines(config.parsedSettings().flat());
    }

    @Test
    void thePlatformsJsonTellsTheSameKeysAndValues() throws Exception {
        GoldenFile.holds(
                "settings/example-json.txt", all(load(Path.of("examples", "config.json"))));
        GoldenFile.holds("settings/full-json.txt", all(load(GoldenFile.path(FULL_JSON))));
    }

    @Test
    void theOperatorsLanguageTellsTheSameKeysAndValues() throws Exception {
        GoldenFile.holds(
                "settings/example-language.txt", all(load(Path.of("examples", "node.kdl"))));
        NodeConfig full = load(GoldenFile.path(FULL_LANGUAGE));
        assertThat(Schema.all())
                .as("entries that %s leaves out", FULL_LANGUAGE)
                .filteredOn(
                        entry ->
                                full.parsedSettings().named(entry).stream()
                                        .allMatch(
                                                name -> full.parsedSettings().value(name) == null))
                .isEmpty();
        GoldenFile.holds("settings/full-language.txt", all(full));
    }

    @Test
    void valuesTakenOverInARunningNodeKeepTheirForm() throws Exception {
        NodeConfig full = load(GoldenFile.path(FULL_JSON));
        NodeConfig example = load(Path.of("examples", "node.kdl"));
        NodeConfig moved = load(Path.of("examples", "moved.json"));
        GoldenFile.holds(
                "settings/taken-over.txt",
                all(example.with(moved.parsedSettings()))
                        + "\n"
                        + all(full.with(full.parsedSettings())));
    }

    @Test
    void theSimulatorsFirstMessageTellsTheSameKeysAndValues() throws Exception {
        byte[] text = GoldenFile.text("settings/simulator-first-message.in").getBytes(UTF_8);
        int record = 2 + 8 + 4 + text.length;
        ByteBuffer frame = ByteBuffer.allocate(4 + 8 + 5 + record);
        frame.putInt(8 + 5 + record).putLong(1_000_000L).put(EVENT_START).putInt(record);
        frame.putShort((short) 3).putLong(0xfedc_ba98_7654_3210L).putInt(text.length).put(text);
        StringBuilder reported = new StringBuilder();
        new SimulatorAdapter(
                        (server, seed, settings) -> {
                            reported.append("seed=")
                                    .append(Long.toHexString(seed))
                                    .append("\nnow=")
                                    .append(server.now().nanos())
                                    .append("\n[decisions]\n")
                                    .append(GoldenFile.lines(settings));
                            return new AdmissionController(server, seed, settings);
                        })
                .play(new ByteArrayInputStream(frame.array()), new ByteArrayOutputStream());
        GoldenFile.holds("settings/simulator-first-message.txt", reported.toString());
    }
}
