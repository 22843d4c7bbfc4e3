package lupinwood.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import lupinwood.load.FileSources;
import org.junit.jupiter.api.Test;

/**
 * Each file of the corpus has one mistake, and gets the one message that stands for it in
 * expected.txt.
 */
final class CorpusTest {
    private static final Path CORPUS = Path.of("src/test/resources/corpus");

    @Test
    void eachBrokenFileGivesItsOneMessage() throws IOException {
        List<String> expected = Files.readAllLines(CORPUS.resolve("expected.txt"));
        List<String> got = new ArrayList<>();
        String directory = CORPUS.resolve("broken") + "/";
        try (Stream<Path> files = Files.list(CORPUS.resolve("broken"))) {
            for (Path file : files.filter(Files::isRegularFile).sorted().toList()) {
                Diagnostics diagnostics =
                        Reader.read(new FileSources(), file.toString()).diagnostics();
                for (Diagnostic diagnostic : diagnostics.all()) {
                    got.add(
                            (file.getFileName()
                                            + " | "
                                            + diagnostic.place()
                                            + ": error: "
                                            + DiagnosticReport.visible(diagnostic.text()))
                                    .replace(directory, "")
                                    .replace(CORPUS + "/", "../"));
                }
            }
        }
        assertThat(got).containsExactlyElementsOf(expected);
        assertThat(got).hasSizeGreaterThanOrEqualTo(120);
        assertThat(got.stream().map(line -> line.substring(0, line.indexOf(' '))).distinct())
                .hasSize(got.size());
    }
}
