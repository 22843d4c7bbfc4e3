package lupinwood.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import lupinwood.load.FileSources;
import lupinwood.net.NodeConfig;
import lupinwood.reload.Plan;
import org.junit.jupiter.api.Test;

/** What is written down agrees with the program. */
final class ReferenceTest {
    @Test
    void theReferencePageIsTheSchemas() throws Exception {
        assertThat(Files.readString(Path.of("docs/config-reference.md"))).endsWith(Reference.table());
    }

    @Test
    void theExamplesSayTheSameInBothFormsAndAreInTheirForm() throws Exception {
        Config config = Reader.read(new FileSources(), "examples/node.kdl");
        assertThat(config.problems().all()).isEmpty();
        assertThat(Plan.between(NodeConfig.read(Path.of("examples/config.json")).meaning(), config.meaning()).steps())
                .isEmpty();
        for (String file : new String[] {"examples/node.kdl", "examples/fleet.kdl", "deploy/operator.kdl"}) {
            String text = Files.readString(Path.of(file));
            assertThat(Formatter.format(new Source(file, text), new Problems())).as(file).isEqualTo(text);
        }
        assertThat(Reader.readPart(new FileSources(), "deploy/operator.kdl").problems().all()).isEmpty();
    }
}
