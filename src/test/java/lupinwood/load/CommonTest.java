package lupinwood.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import lupinwood.net.NodeConfig;
import org.junit.jupiter.api.Test;

/** The fleet's text, and what may stand in it. */
final class CommonTest {
    @Test
    void twoTextsThatMeanTheSameAreOne() throws NodeConfig.Unusable {
        String digest = Common.read("track quote { agreed-time 2s; credit 3 }").digest();
        assertThat(
                        Common.read(
                                        "// as agreed on Monday\ntrack quote {\n  credit 3.0\n  agreed-time 2000ms }\n")
                                .digest())
                .isEqualTo(digest);
        assertThat(Common.read("track quote { agreed-time 2s; credit 4 }").digest())
                .isNotEqualTo(digest);
        assertThat(Common.read("").digest()).isEmpty();
    }

    @Test
    void whatIsANodesOwnIsNoFleets() {
        assertThatThrownBy(() -> Common.read("name n1"))
                .hasMessage("name is each node's own, and no fleet's text says it");
        assertThatThrownBy(() -> Common.read("fleet { zone a }"))
                .hasMessageContaining("fleet zone is each node's own");
        assertThatThrownBy(() -> Common.read("voter v { address \"127.0.0.1:1\" }"))
                .hasMessageContaining("voters are named");
        assertThatThrownBy(() -> Common.read("include \"other.kdl\""))
                .hasMessageContaining("includes no files");
        assertThatThrownBy(() -> Common.read("goal { whole 300% }"))
                .hasMessageContaining("the fleet's text:1");
    }
}
