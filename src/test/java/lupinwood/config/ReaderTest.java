package lupinwood.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import lupinwood.load.FileSources;
import lupinwood.net.NodeConfig;
import lupinwood.reload.ConfigDiff;
import lupinwood.settings.ParsedSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** What sound texts mean, and that no text costs more than its bounds. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class ReaderTest {
    static final String NODE =
            """
            name n1
            listen "127.0.0.1:5050"; executor "127.0.0.1:4400"
            index "127.0.0.1:8900"
            naming "127.0.0.1:8500"
            seed "1d2c3b4a"
            stop 3s
            step 4ms
            let quick 1.5s
            limits { descriptors 256; memory 192MB }
            machine { below one-for-all; gauges core_use on_cores }
            customer north { share 60%; quota 30/s }
            customer south { share 40% }
            track look { effect pure; agreed-time 2s; abandon-time 8s }
            track unlock { effect receipted; agreed-time $quick; abandon-time (s)4; window 13020ms; calls #true }
            """;

    private static ParsedSettings sound(String text) {
        Config config = MemorySources.read(text);
        assertThat(DiagnosticReport.text(config.diagnostics(), config::source)).isEmpty();
        return config.parsedSettings();
    }

    private static String messages(Config config) {
        return DiagnosticReport.text(config.diagnostics(), place -> null);
    }

    @Test
    void valuesCarryTheirUnitsAndNamesStandForThem() {
        assertThat(sound(NODE).flat())
                .containsEntry("settings.services.1.aim_ns", "1500000000")
                .containsEntry("settings.services.1.give_up_ns", "4000000000")
                .containsEntry("settings.services.1.window_ns", "13020000000")
                .containsEntry("settings.services.1.effect", "token")
                .containsEntry("settings.services.count", "2")
                .containsEntry("settings.customers.0.share", "0.6")
                .containsEntry("settings.customers.0.quota_rps", "30")
                .containsEntry("settings.domain.class_calls", "false,true")
                .containsEntry("settings.domain.gauges", "core_use,on_cores")
                .containsEntry("settings.domain.below", "one_for_all")
                .containsEntry("limits.memory_mb", "192")
                .containsEntry("stop_ms", "3000");
    }

    @Test
    void whatIsObservedAsBlankIsBlankAndRemarksMeanNothing() {
        String same =
                "\uFEFF"
                        + NODE.replace("\n", "\r\n")
                                .replace("stop 3s", "stop\u00A03s")
                                .replace(
                                        "step 4ms",
                                        "step \\ // goes on\r\n  4_000us /* a /* b */ c */")
                                .replace(
                                        "seed \"1d2c3b4a\"",
                                        "seed #\"1d2c3b4a\"# /- \"no\"\r\n/- stop 9s\r\n/-track x { a 1 }\r\n")
                                .replace("name n1", "name \"\"\"\r\n    n1\r\n    \"\"\"");
        assertThat(sound(same)).isEqualTo(sound(NODE));
    }

    @Test
    void anOverrideSaysSoAndComesAfterWhatItOverrides() {
        Map<String, String> texts =
                Map.of(
                        "a",
                        """
                        include "base"
                        (override)track look { agreed-time 3s; credit 2 }
                        (override)stop 5s
                        """,
                        "base",
                        NODE);
        Config config = Reader.read(new MemorySources(texts), "a");
        assertThat(messages(config)).isEmpty();
        assertThat(config.parsedSettings().flat())
                .containsEntry("settings.services.0.aim_ns", "3000000000")
                .containsEntry("settings.services.0.worth", "2")
                .containsEntry("stop_ms", "5000");
        assertThat(config.places().get("track look agreed-time")).hasToString("a:2:36");
        assertThat(config.places().get("track look abandon-time").file()).isEqualTo("base");
    }

    @Test
    void importingThePlatformsFormKeepsEveryEntry() throws Exception {
        ParsedSettings json = NodeConfig.read(Path.of("examples/config.json")).parsedSettings();
        ParsedSettings language = sound(Writer.write(json, name -> ""));
        assertThat(language).isEqualTo(json);
        assertThat(ConfigDiff.between(json, language).isEmpty()).isTrue();
        Map<String, String> reported = NodeConfig.read(Path.of("examples/config.json")).settings();
        Map<String, String> same = NodeConfig.of(language).settings();
        assertThat(same.keySet()).isEqualTo(reported.keySet());
        reported.forEach(
                (key, value) -> {
                    boolean number = value.matches("-?[0-9]+(\\.[0-9]+)?");
                    if (number) {
                        assertThat(Double.parseDouble(same.get(key)))
                                .as(key)
                                .isEqualTo(Double.parseDouble(value));
                    } else if (value.matches("[0-9.,]+")) {
                        assertThat(same.get(key).split(","))
                                .as(key)
                                .hasSameSizeAs(value.split(","));
                    } else {
                        assertThat(same.get(key)).as(key).isEqualTo(value);
                    }
                });
    }

    @Test
    void entriesWithoutANameInThisBuildReachTheNodeAsTheyAre() {
        assertThat(sound(NODE + "extra { azs \"a_b,c\"; \"domain.new\" \"7\" }\n").flat())
                .containsEntry("settings.azs", "a_b,c")
                .containsEntry("settings.domain.new", "7");
    }

    @Test
    void severalMistakesAreAllReported() {
        String text =
                NODE.replace("stop 3s", "stop 3")
                                .replace("share 60%", "share 0.6")
                                .replace("effect pure", "effect \u201Cpure\u201D")
                                .replace("$quick", "$quik")
                        + "nonsense 1\n";
        assertThat(
                        messages(MemorySources.read(text))
                                .lines()
                                .filter(line -> line.contains("error:")))
                .hasSize(5);
    }

    @Test
    void anIncludeLeadsOutOfItsDirectoryNeitherByPathNorByLink(@TempDir Path directory)
            throws Exception {
        Path inside = Files.createDirectories(directory.resolve("in"));
        Files.writeString(directory.resolve("secret.kdl"), "group-size 2\n");
        Files.createSymbolicLink(inside.resolve("link.kdl"), directory.resolve("secret.kdl"));
        Files.createSymbolicLink(
                inside.resolve("kept.kdl"),
                Files.writeString(inside.resolve("real.kdl"), "group-size 3\n"));
        for (String out : List.of("link.kdl", "../secret.kdl")) {
            Path first =
                    Files.writeString(inside.resolve("a.kdl"), NODE + "include \"" + out + "\"\n");
            assertThat(messages(Reader.read(new FileSources(), first.toString())))
                    .contains("leads out of the folder of the first file");
        }
        Path first = Files.writeString(inside.resolve("a.kdl"), NODE + "include \"kept.kdl\"\n");
        assertThat(messages(Reader.read(new FileSources(), first.toString()))).isEmpty();
    }

    @Test
    void aBombOfIncludesEndsAtItsBounds() {
        Map<String, String> texts = new HashMap<>();
        for (int i = 0; i < 600; i++) {
            texts.put(
                    "f" + i,
                    "include \"f"
                            + (2 * i + 1)
                            + "\"\ninclude \"f"
                            + (2 * i + 2)
                            + "\"\n"
                            + "// x".repeat(9000));
        }
        Config config = Reader.read(new MemorySources(texts), "f0");
        assertThat(messages(config)).contains("more than 8 deep").hasLineCount(2);
        StringBuilder all = new StringBuilder(NODE);
        for (int i = 1; i < 100; i++) {
            all.append("include \"f").append(i).append("\"\n");
            texts.put("f" + i, "// x");
        }
        texts.put("f0", all.toString());
        assertThat(messages(Reader.read(new MemorySources(texts), "f0")))
                .contains("more than 64 files")
                .hasLineCount(2);
        texts.replaceAll((name, text) -> name.equals("f0") ? text : "// y".repeat(50_000));
        assertThat(messages(Reader.read(new MemorySources(texts), "f0")))
                .contains("bytes that are left for it")
                .hasLineCount(1);
    }

    @Test
    void depthAndSizeCostNoMoreThanTheirBounds(@TempDir Path directory) throws Exception {
        for (String deep :
                List.of(
                        "a {\n",
                        "a (",
                        "/* ",
                        "/- ",
                        "a { /-",
                        "(((",
                        "}}}",
                        "\"\"\"\n",
                        "#\"",
                        "a=")) {
            assertThat(MemorySources.read(deep.repeat(100_000 / deep.length())).diagnostics().all())
                    .isNotEmpty()
                    .hasSizeLessThanOrEqualTo(200);
        }
        assertThat(messages(MemorySources.read("a {\n".repeat(100_000))))
                .contains("nested more than 32 deep")
                .hasLineCount(1);
        Path large = directory.resolve("large.kdl");
        try (RandomAccessFile file = new RandomAccessFile(large.toFile(), "rw")) {
            file.setLength(100_000_000);
        }
        assertThat(messages(Reader.read(new FileSources(), large.toString())))
                .contains("is larger than");
    }

    @Test
    void theOrderOfEntriesMeansNothingButThatOfRequestClassesToThePlan() {
        List<String> lines = new ArrayList<>(NODE.lines().toList());
        for (int seed = 0; seed < 20; seed++) {
            Collections.shuffle(lines, new Random(seed));
            assertThat(ConfigDiff.between(sound(NODE), sound(String.join("\n", lines))).steps())
                    .isEmpty();
        }
    }
}
