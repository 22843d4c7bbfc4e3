package lupinwood.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import lupinwood.net.NodeConfig;
import org.junit.jupiter.api.Test;

/** The fleet's text, and what may stand in it. */
final class SharedConfigTest {
    @Test
    void twoTextsThatMeanTheSameAreOne() throws NodeConfig.UnusableConfiguration {
        String digest = SharedConfig.read("track quote { agreed-time 2s; credit 3 }").digest();
        assertThat(
                        SharedConfig.read(
                                        "// as agreed on Monday\ntrack quote {\n  credit 3.0\n  agreed-time 2000ms }\n")
                                .digest())
                .isEqualTo(digest);
        assertThat(SharedConfig.read("track quote { agreed-time 2s; credit 4 }").digest())
                .isNotEqualTo(digest);
        assertThat(SharedConfig.read("").digest()).isEmpty();
    }

    @Test
    void whatIsANodesOwnIsNoFleets() {
        assertThatThrownBy(() -> SharedConfig.read("name n1"))
                .hasMessage("name is each node's own, and no fleet's text says it");
        assertThatThrownBy(() -> SharedConfig.read("fleet { zone a }"))
                .hasMessageContaining("fleet zone is each node's own");
        assertThatThrownBy(() -> SharedConfig.read("voter v { address \"127.0.0.1:1\" }"))
                .hasMessageContaining("voters are named");
        assertThatThrownBy(() -> SharedConfig.read("include \"other.kdl\""))
                .hasMessageContaining("includes no files");
        assertThatThrownBy(() -> SharedConfig.read("goal { whole 300% }"))
                .hasMessageContaining("the fleet's text:1");
    }
}
