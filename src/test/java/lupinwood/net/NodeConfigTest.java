package lupinwood.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The platform's form gets the same checks: slips are refused or told, what may legally be there is served. */
final class NodeConfigTest {
    @TempDir
    private Path folder;

    private NodeConfig changed(String... replacements) throws Exception {
        String text = Files.readString(Path.of("examples/config.json"));
        for (int i = 0; i < replacements.length; i += 2) {
            assertThat(text).contains(replacements[i]);
            text = text.replace(replacements[i], replacements[i + 1]);
        }
        return NodeConfig.read(Files.writeString(folder.resolve("config.json"), text));
    }

    @Test
    void slipsThatWereServedOnceAreRefusedByName() {
        String[][] slips = {{"\"give_up_ns\": 4000000000", "\"give_up_ns\": 9000", "9us is too little"},
            {"\"aim_ns\": 1500000000", "\"aim_nss\": 1500000000", "'agreed-time' of track unlock is missing"},
            {"\"share\": 0.6", "\"share\": 6.0", "600% is too much"},
            {"\"token\"", "\"tokn\"", "not what track unlock effect takes: tokn"},
            {"\"sockets\": 1024", "\"sockets\": 1", "leave none for calls"},
            {"\"step_ns\": 4000000", "\"step_ns\": 0", "too little for step"},
            {"\"executor\": \"127.0.0.1:4400\"", "\"executor\": \"127.0.0.1:5050\"", "has the address of listen"},
            {"\"name\": \"quote\"", "\"name\": \"history\"", "there are two entries"},
            {"\"cpus\": 2", "\"cpus\": 1e999", "not what machine cores takes"}};
        for (String[] slip : slips) {
            assertThatThrownBy(() -> changed(slip[0], slip[1])).as(slip[1])
                    .isInstanceOf(NodeConfig.Unusable.class).hasMessageContaining(slip[2]);
        }
    }

    @Test
    void whatMayLegallyBeThereIsServedAndToldInOneLine() throws Exception {
        NodeConfig config = changed("\"share\": 0.6", "\"share\": 0.5, \"colour\": \"red\"",
                "\"window_ns\": 12000000000", "\"window_ns\": 2000000000", "\"seed\"", "\"later\": {\"x\": 1}, \"seed\"");
        assertThat(config.doubtful()).contains("make 90%, not 100%", "shorter than the abandon time",
                "nothing reads the entry settings.customers.0.colour", "nothing reads the entry later.x")
                .doesNotContain("\n");
        assertThat(config.settings()).containsEntry("customers.0.colour", "red")
                .containsEntry("services.2.window_ns", "2000000000");
        assertThat(changed("n1", "n2").doubtful()).isNull();
        assertThat(changed("\"step_ns\"", "\"azs\": [\"a\", \"b\"], \"zone\": 1, \"prices\": {\"waste\": 0.05}, \"step_ns\"")
                .doubtful()).as("the platform's own, known not to be needed").isNull();
        assertThat(changed("\"step_ns\"", "\"prizes\": {\"waste\": 0.05}, \"step_ns\"").doubtful()).contains("settings.prizes.waste");
    }
}
