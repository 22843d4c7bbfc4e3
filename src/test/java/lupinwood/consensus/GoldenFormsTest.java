package lupinwood.consensus;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import lupinwood.cluster.ClusterCommand;
import lupinwood.cluster.Heartbeat;
import lupinwood.cluster.HeartbeatReply;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Stored and sent encodings stay the same byte for byte, whatever the Java types are named. The
 * golden files have the encodings of an earlier version, and are never regenerated.
 */
final class GoldenFormsTest {
    static List<GoldenForm<?>> forms() {
        List<GoldenForm<?>> forms = new ArrayList<>();
        forms.addAll(GoldenCommands.forms());
        forms.addAll(GoldenMessages.forms());
        forms.addAll(GoldenRaft.forms());
        return forms;
    }

    @TestFactory
    Stream<DynamicTest> writesEachValueAsItsGoldenFile() {
        return forms().stream()
                .map(
                        form ->
                                DynamicTest.dynamicTest(
                                        form.file(),
                                        () -> assertThat(form.encoded()).isEqualTo(form.golden())));
    }

    @TestFactory
    Stream<DynamicTest> readsEachGoldenFileAsItsValue() {
        return forms().stream()
                .map(form -> DynamicTest.dynamicTest(form.file(), () -> assertDecodes(form)));
    }

    private static <T> void assertDecodes(GoldenForm<T> form) throws IOException {
        T decoded = form.decode(form.golden());
        assertIsValue(form, decoded);
        assertThat(form.encoder().apply(decoded)).isEqualTo(form.golden());
    }

    /** MicroRaft's messages don't implement equals(). */
    private static void assertIsValue(GoldenForm<?> form, Object read) {
        assertThat(read).as(form.file()).hasSameClassAs(form.value());
        if (read instanceof Record || read instanceof Enum) {
            assertThat(read).as(form.file()).isEqualTo(form.value());
        } else {
            assertThat(read).as(form.file()).usingRecursiveComparison().isEqualTo(form.value());
        }
    }

    @Test
    void goldenFilesAndFormsMatchOneToOne() throws IOException {
        try (Stream<Path> files = Files.list(GoldenForm.DIRECTORY)) {
            assertThat(files.map(file -> file.getFileName().toString()).toList())
                    .containsExactlyInAnyOrderElementsOf(
                            forms().stream().map(GoldenForm::file).toList());
        }
    }

    @Test
    void ignoresACommandOfANewerVersion() {
        assertThat(CommandCodec.decode("{\"what\":1,\"deed\":\"Unheard\"}")).isNull();
    }

    /**
     * A newer version may add fields at the top level and in nested objects. Of the nested objects,
     * the test extends only those that are values of top-level fields and have a field "number"
     * themselves.
     */
    @Test
    void ignoresFieldsOfANewerVersion() throws IOException {
        for (GoldenForm<?> form : forms()) {
            JsonObject extended = new JsonObject();
            extended.add(
                    "newer", GoldenForm.parseObject("{\"list\":[1,{\"a\":null}],\"text\":\"x\"}"));
            GoldenForm.parseObject(form.golden()).entrySet().forEach(field -> add(extended, field));
            assertIsValue(form, form.decode(extended.toString()));
        }
    }

    private static void add(JsonObject to, Map.Entry<String, JsonElement> field) {
        if (field.getValue().isJsonObject() && field.getValue().getAsJsonObject().has("number")) {
            field.getValue().getAsJsonObject().addProperty("newer", 1);
        }
        to.add(field.getKey(), field.getValue());
    }

    @Test
    void readsMissingFieldsAsDefaultsAndUnknownConstantsAsNull() {
        Heartbeat heartbeat =
                GoldenForm.JSON.fromJson("{\"condition\":\"NEWER\"}", Heartbeat.class);
        assertThat(heartbeat)
                .isEqualTo(
                        new Heartbeat(
                                0, null, null, null, null, 0, null, null, null, null, null, null));
        HeartbeatReply reply = GoldenForm.JSON.fromJson("{}", HeartbeatReply.class);
        assertThat(reply)
                .isEqualTo(
                        new HeartbeatReply(
                                0, false, null, null, null, null, null, 0, null, null, 0));
        assertThat(CommandCodec.decode("{\"deed\":\"Free\",\"why\":\"NEWER\"}"))
                .isEqualTo(new ClusterCommand.ReleaseLease(null, null, null));
    }

    @Test
    void usesTheLastOfDuplicateFieldsAndReadsExplicitNulls() {
        assertThat(
                        GoldenForm.JSON
                                .fromJson("{\"number\":1,\"number\":2}", HeartbeatReply.class)
                                .number())
                .isEqualTo(2);
        assertThat(GoldenForm.JSON.fromJson("{\"name\":null}", Heartbeat.class).name()).isNull();
        assertThat(GoldenForm.JSON.fromJson("null", Heartbeat.class)).isNull();
        assertThat(GoldenForm.JSON.toJsonTree(null).isJsonNull()).isTrue();
    }

    @Test
    void rejectsAValueOfTheWrongType() {
        for (String text :
                List.of(
                        "{\"number\":null}",
                        "{\"taken\":null}",
                        "{\"number\":\"x\"}",
                        "{\"grants\":{}}",
                        "{\"leader\":[]}",
                        "[]",
                        "7")) {
            assertThatThrownBy(() -> GoldenForm.JSON.fromJson(text, HeartbeatReply.class))
                    .as(text)
                    .isInstanceOf(JsonParseException.class);
        }
    }
}
