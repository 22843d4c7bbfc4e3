package lupinwood.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import lupinwood.load.FileSources;
import lupinwood.net.NodeConfig;
import lupinwood.reload.ConfigDiff;
import lupinwood.settings.Entry;
import lupinwood.settings.Schema;
import org.junit.jupiter.api.Test;

/** What is written down agrees with the program. */
final class ReferenceTest {
    @Test
    void theReferencePageIsTheSchemas() throws Exception {
        assertThat(Files.readString(Path.of("docs/config-reference.md")))
                .endsWith(Reference.table());
    }

    @Test
    void theExamplesSayTheSameInBothFormsAndAreInTheirForm() throws Exception {
        Config config = Reader.read(new FileSources(), "examples/node.kdl");
        assertThat(config.diagnostics().all()).isEmpty();
        assertThat(
                        ConfigDiff.between(
                                        NodeConfig.read(Path.of("examples/config.json"))
                                                .parsedSettings(),
                                        config.parsedSettings())
                                .steps())
                .isEmpty();
        for (String file :
                new String[] {"examples/node.kdl", "examples/fleet.kdl", "deploy/operator.kdl"}) {
            String text = Files.readString(Path.of(file));
            assertThat(Formatter.format(new Source(file, text), new Diagnostics()))
                    .as(file)
                    .isEqualTo(text);
        }
        assertThat(Reader.readPart(new FileSources(), "deploy/operator.kdl").diagnostics().all())
                .isEmpty();
    }

    @Test
    void thePageOfSettingsAndWireHasEachEntryOfThePlatformAndNamesTestsThatThereAre()
            throws Exception {
        String page = Files.readString(Path.of("docs/design/settings-and-wire.md"));
        for (Entry entry : Schema.all()) {
            String own = entry.key().replaceFirst("\\.#$", "").replaceFirst(".*\\.", "");
            assertThat(
                            entry.key().startsWith("operator.")
                                    || Pattern.compile(
                                                    "`([a-z.]*|services\\[\\]\\.|customers\\[\\]\\.)"
                                                            + own
                                                            + "`")
                                            .matcher(page)
                                            .find())
                    .as(entry.key())
                    .isTrue();
        }
        Matcher named = Pattern.compile("`([A-Z]\\w*(?:Test|[a-z]IT))(\\.(\\w+))?`").matcher(page);
        Map<String, String> tests = new HashMap<>();
        try (Stream<Path> files = Files.walk(Path.of("src/test/java"))) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                tests.put(
                        file.getFileName().toString().replace(".java", ""), Files.readString(file));
            }
        }
        while (named.find()) {
            assertThat(tests).containsKey(named.group(1));
            assertThat(tests.get(named.group(1)))
                    .as(named.group())
                    .contains(named.group(3) == null ? "" : "void " + named.group(3) + "(");
        }
    }
}
