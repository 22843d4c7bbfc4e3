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

/** Nothing is written under a Java name: what has no table is refused. */
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

    private static void refuses(Object value, String text, Class<?> type) {
        assertThatThrownBy(() -> ClusterJson.tree(value))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("has no names to be stored and sent by");
        assertThatThrownBy(() -> ClusterJson.gson().fromJson(text, type))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("has no names to be stored and sent by");
    }

    @Test
    void aRecordOrAnEnumWithoutATableIsRefused() {
        refuses(new Unnamed(1), "{\"number\":1}", Unnamed.class);
        refuses(Choice.FIRST, "\"FIRST\"", Choice.class);
        refuses(new WithUnnamed(List.of()), "{\"list\":[]}", WithUnnamed.class);
        assertThatThrownBy(() -> ClusterJson.nameOf(Choice.SECOND))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void aRecordWithoutATableInsideOfOneWithATableIsRefused() {
        Gson gson =
                new GsonBuilder()
                        .registerTypeAdapterFactory(
                                new WireNames().components(WithUnnamed.class, "list"))
                        .create();
        assertThatThrownBy(() -> gson.toJson(new WithUnnamed(List.of())))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void anOrdinaryClassIsRefused() {
        Ordinary value = new Ordinary();
        assertThat(value.number).isOne();
        assertThatThrownBy(() -> ClusterJson.tree(value)).isInstanceOf(JsonIOException.class);
    }

    @Test
    void aTableNamesEachComponentAndEachConstant() {
        WireNames names = new WireNames();
        assertThatThrownBy(() -> names.components(Unnamed.class, "number", "more"))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> names.components(Unnamed.class))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> names.constants(Choice.class, Map.of(Choice.FIRST, "one")))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void eachKindOfCommandHasANameOfItsOwn() {
        Set<Class<?>> leased = new HashSet<>();
        for (GoldenForm<?> form : GoldenCommands.forms()) {
            if (form.value() instanceof ClusterCommand command) {
                leased.add(command.getClass());
                assertThat(ClusterJson.commandOf(ClusterJson.kindOf(command)))
                        .isEqualTo(command.getClass());
            }
        }
        assertThat(leased)
                .as("each kind is held by a golden file")
                .hasSize(18)
                .isEqualTo(Set.of(ClusterCommand.class.getPermittedSubclasses()));
    }

    @Test
    void aConstantOfANewerVersionIsRefusedWhereItIsNeeded() {
        JsonObject text = GoldenForm.object("{\"k\":\"am\",\"from\":\"n0\",\"state\":\"NEWER\"}");
        assertThatThrownBy(() -> ClusterBootstrap.reported(text))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
