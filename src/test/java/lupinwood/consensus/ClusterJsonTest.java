package lupinwood.consensus;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonIOException;
import com.google.gson.JsonObject;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lupinwood.cluster.ClusterCommand;
import org.junit.jupiter.api.Test;

/**
 * Types without a table of wire names are rejected, so that nothing is written under a Java name.
 */
final class ClusterJsonTest {
    private record Unnamed(int number) {}

    private record WithUnnamed(List<Unnamed> list) {}

    private enum Choice {
        FIRST,
        SECOND
    }

    private static final class Ordinary {
        int number = 1;
    }

    private static void assertRejected(Object value, String text, Class<?> type) {
        assertThatThrownBy(() -> ClusterJson.toTree(value))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("has no table of wire names for storage and messages");
        assertThatThrownBy(() -> ClusterJson.gson().fromJson(text, type))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("has no table of wire names for storage and messages");
    }

    @Test
    void rejectsARecordOrAnEnumWithoutATable() {
        assertRejected(new Unnamed(1), "{\"number\":1}", Unnamed.class);
        assertRejected(Choice.FIRST, "\"FIRST\"", Choice.class);
        assertRejected(new WithUnnamed(List.of()), "{\"list\":[]}", WithUnnamed.class);
        assertThatThrownBy(() -> ClusterJson.nameOf(Choice.SECOND))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void rejectsANestedRecordWithoutATable() {
        Gson gson =
                new GsonBuilder()
                        .registerTypeAdapterFactory(
                                new WireNames().components(WithUnnamed.class, "list"))
                        .create();
        assertThatThrownBy(() -> gson.toJson(new WithUnnamed(List.of())))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void rejectsAnOrdinaryClass() {
        Ordinary value = new Ordinary();
        assertThat(value.number).isOne();
        assertThatThrownBy(() -> ClusterJson.toTree(value)).isInstanceOf(JsonIOException.class);
    }

    @Test
    void rejectsATableThatMissesComponentsOrConstants() {
        WireNames names = new WireNames();
        assertThatThrownBy(() -> names.components(Unnamed.class, "number", "more"))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> names.components(Unnamed.class))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> names.constants(Choice.class, Map.of(Choice.FIRST, "one")))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void eachCommandTypeHasItsOwnName() {
        Set<Class<?>> covered = new HashSet<>();
        for (GoldenForm<?> form : GoldenCommands.forms()) {
            if (form.value() instanceof ClusterCommand command) {
                covered.add(command.getClass());
                assertThat(ClusterJson.commandTypeOf(ClusterJson.commandNameOf(command)))
                        .isEqualTo(command.getClass());
            }
        }
        assertThat(covered)
                .as("each command type has a golden file")
                .hasSize(18)
                .isEqualTo(Set.of(ClusterCommand.class.getPermittedSubclasses()));
    }

    @Test
    void rejectsAnUnknownStateInABootstrapReport() {
        JsonObject text =
                GoldenForm.parseObject("{\"k\":\"am\",\"from\":\"n0\",\"state\":\"NEWER\"}");
        assertThatThrownBy(() -> ClusterBootstrap.reportedState(text))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
