package lupinwood.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The command 'config' as it is called, with what it prints and its exit status. */
final class ConfigActionsTest {
    @TempDir private Path directory;

    private String run(int status, String flag, String... words) {
        PrintStream before = System.out;
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        System.setOut(new PrintStream(printed, true));
        try {
            assertThat(
                            new ConfigActions(
                                            flag.equals("json"),
                                            flag.equals("check"),
                                            flag.equals("operator"))
                                    .run(List.of(words)))
                    .isEqualTo(status);
        } finally {
            System.setOut(before);
        }
        return printed.toString(StandardCharsets.UTF_8);
    }

    private String file(String name, String text) throws Exception {
        return Files.writeString(directory.resolve(name), text).toString();
    }

    @Test
    void checkShowsTheLineACaretAndWhatToWrite() throws Exception {
        String text =
                Files.readString(Path.of("examples/node.kdl"))
                        .replace("window 12s", "window 13,020ms");
        Files.copy(Path.of("examples/fleet.kdl"), directory.resolve("fleet.kdl"));
        String bad = file("bad.kdl", text);
        assertThat(run(1, "", "check", bad))
                .isEqualTo(
                        """
                %s:51:12: error: 13,020ms has its digits in groups, and a comma means nothing in a number
                        window 13,020ms
                               ^^^^^^^^
                    write 13020ms
                """
                                .formatted(bad));
        assertThat(run(1, "json", "check", bad))
                .startsWith("[{\"file\":")
                .contains("\"line\":51", "\"column\":12");
        assertThat(run(0, "", "check", "examples/node.kdl", "examples/config.json")).isEmpty();
        assertThat(run(0, "operator", "check", "deploy/operator.kdl")).isEmpty();
        assertThat(run(2, "", "check", directory.resolve("none.kdl").toString())).isEmpty();
        assertThat(run(2, "", "frob")).isEmpty();
    }

    @Test
    void formatChangesAFileOnceAndSaysWithCheckThatItWould() throws Exception {
        String loose =
                file(
                        "loose.kdl",
                        "name   n1 ; stop (ms)250 // soon\n\n\n\n/* why */ step 4ms\nlimits{descriptors 64}");
        assertThat(run(1, "check", "format", loose)).contains("not in its form");
        assertThat(run(0, "", "format", loose)).isEmpty();
        assertThat(Files.readString(Path.of(loose)))
                .isEqualTo(
                        """
                name n1
                stop 250ms // soon

                /* why */ step 4ms
                limits {
                    descriptors 64
                }
                """);
        assertThat(run(0, "check", "format", loose)).isEmpty();
        String open = file("open.kdl", "limits {\n");
        assertThat(run(1, "", "format", open)).contains("never closed");
        assertThat(Files.readString(Path.of(open))).isEqualTo("limits {\n");
    }

    @Test
    void diffImportShowAndExplainAgreeAcrossBothForms() throws Exception {
        assertThat(run(0, "", "diff", "examples/config.json", "examples/node.kdl")).isEmpty();
        assertThat(run(1, "", "diff", "examples/node.kdl", "examples/moved.json"))
                .hasLineCount(3)
                .startsWith("executor 127.0.0.1:4400 -> 127.0.0.1:4410, at once");
        assertThat(run(1, "json", "diff", "examples/node.kdl", "examples/moved.json"))
                .contains("\"change\":\"at once\"");
        String imported = file("imported.kdl", run(0, "", "import", "examples/config.json"));
        assertThat(run(0, "", "diff", "examples/config.json", imported)).isEmpty();
        assertThat(run(0, "check", "format", imported)).isEmpty();
        assertThat(run(0, "", "show", "examples/node.kdl"))
                .contains("agreed-time 2s // examples/node.kdl:", "cores 2 // examples/fleet.kdl:");
        assertThat(run(0, "", "explain", "window"))
                .contains("track NAME window", "for new tickets");
        assertThat(run(2, "", "explain", "windw")).isEmpty();
    }
}
