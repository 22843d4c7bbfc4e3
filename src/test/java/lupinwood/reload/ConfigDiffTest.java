package lupinwood.reload;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lupinwood.settings.ChangeEffect;
import lupinwood.settings.ParsedSettings;
import lupinwood.settings.Schema;
import lupinwood.settings.SettingsError;
import org.junit.jupiter.api.Test;

/** What a plan says of changes, and what a node goes by after them. */
final class ConfigDiffTest {
    private static final Map<String, String> FLAT =
            Map.ofEntries(
                    Map.entry("name", "n1"),
                    Map.entry("executor", "127.0.0.1:1"),
                    Map.entry("stop_ms", "3000"),
                    Map.entry("settings.services.count", "2"),
                    Map.entry("settings.services.0.name", "look"),
                    Map.entry("settings.services.0.effect", "pure"),
                    Map.entry("settings.services.0.aim_ns", "2000000000"),
                    Map.entry("settings.services.1.name", "unlock"),
                    Map.entry("settings.services.1.effect", "token"),
                    Map.entry("settings.services.1.window_ns", "13020000000"),
                    Map.entry("settings.customers.count", "1"),
                    Map.entry("settings.customers.0.name", "north"),
                    Map.entry("settings.customers.0.quota_rps", "30.0"),
                    Map.entry("settings.domain.class_calls", "false,true"),
                    Map.entry("settings.azs", "a,b"));

    private static ParsedSettings with(Object... changes) {
        Map<String, String> flat = new LinkedHashMap<>(FLAT);
        for (int i = 0; i < changes.length; i += 2) {
            if (changes[i + 1] == null) {
                flat.remove(changes[i].toString());
            } else {
                flat.put(changes[i].toString(), changes[i + 1].toString());
            }
        }
        List<SettingsError> errors = new ArrayList<>();
        ParsedSettings parsedSettings = ParsedSettings.of(flat, errors);
        assertThat(errors).isEmpty();
        return parsedSettings;
    }

    private static List<String> said(ConfigDiff diff) {
        return diff.steps().stream().map(ConfigDiff.Step::said).toList();
    }

    @Test
    void eachChangeSaysWhenItCounts() {
        ConfigDiff diff =
                ConfigDiff.between(
                        with(),
                        with(
                                "name",
                                "n2",
                                "executor",
                                "127.0.0.1:2",
                                "stop_ms",
                                "4000",
                                "settings.services.1.window_ns",
                                "15000000000",
                                "settings.customers.0.quota_rps",
                                "20",
                                "settings.domain.class_calls",
                                "true,true",
                                "settings.azs",
                                "a",
                                "settings.domain.keepalive_max_ns",
                                "5000000000"));
        assertThat(said(diff))
                .containsExactly(
                        "name n1 -> n2, needs a restart",
                        "executor 127.0.0.1:1 -> 127.0.0.1:2, at once",
                        "stop 3s -> 4s, at once",
                        "added machine idle-connections 5s, for new connections",
                        "customer north quota 30/s -> 20/s, at once",
                        "track look calls #false -> #true, needs a restart",
                        "track unlock window 13.02s -> 15s, for new tickets",
                        "extra azs a,b -> a, needs a restart");
        assertThat(diff.result().value("name")).isEqualTo("n1");
        assertThat(diff.result().value("executor")).isEqualTo("127.0.0.1:2");
        assertThat(diff.result().value("track look calls")).isEqualTo("false");
        assertThat(diff.result().value("machine idle-connections")).isEqualTo("5000000000");
        assertThat(said(ConfigDiff.between(diff.result(), with())))
                .hasSize(5)
                .noneMatch(step -> step.contains("restart"));
    }

    @Test
    void oneRefusedChangeLeavesAllAsItWas() {
        ConfigDiff diff =
                ConfigDiff.between(
                        with(), with("settings.services.1.effect", "pure", "stop_ms", "4000"));
        assertThat(diff.isRefused()).isTrue();
        assertThat(diff.takesEffect()).isFalse();
        assertThat(diff.result()).isEqualTo(with());
    }

    @Test
    void numbersThatAreWrittenOtherwiseMeanTheSameAndSoDoRequestClassesInAnotherOrder() {
        assertThat(
                        ConfigDiff.between(with(), with("settings.customers.0.quota_rps", "3e1"))
                                .isEmpty())
                .isTrue();
        ParsedSettings swapped =
                with(
                        "settings.services.0.name",
                        "unlock",
                        "settings.services.0.effect",
                        "token",
                        "settings.services.0.window_ns",
                        "13020000000",
                        "settings.services.0.aim_ns",
                        null,
                        "settings.services.1.name",
                        "look",
                        "settings.services.1.effect",
                        "pure",
                        "settings.services.1.aim_ns",
                        "2000000000",
                        "settings.services.1.window_ns",
                        null,
                        "settings.domain.class_calls",
                        "true,false");
        assertThat(ConfigDiff.between(with(), swapped).steps()).isEmpty();
        assertThat(ConfigDiff.between(with(), swapped).result()).isEqualTo(with());
    }

    @Test
    void requestClassesComeAndGoAsAWholeAndWhatOthersHaveInCommonChanges() {
        ConfigDiff diff =
                ConfigDiff.between(
                        with(),
                        with(
                                "settings.services.0.name",
                                "glance",
                                "settings.services.1.window_ns",
                                "14e9"));
        assertThat(said(diff))
                .containsExactly(
                        "removed track look, needs a restart",
                        "added track glance, needs a restart",
                        "track unlock window 13.02s -> 14s, for new tickets");
        assertThat(diff.result().requestClasses()).containsExactly("look", "unlock");
        assertThat(diff.result().value("track unlock window")).isEqualTo("14000000000");
    }

    @Test
    void everyEntrySaysWhyItChangesWhenItDoes() {
        assertThat(Schema.all())
                .hasSizeGreaterThan(50)
                .allSatisfy(
                        entry -> {
                            assertThat(entry.because()).as(entry.name()).isNotBlank();
                            assertThat(entry.meaning()).as(entry.name()).endsWith(".");
                            assertThat(entry.required() || !entry.otherwise().isEmpty())
                                    .as(entry.name())
                                    .isTrue();
                        });
        assertThat(Schema.named("track * effect").change()).isEqualTo(ChangeEffect.REFUSED);
    }
}
