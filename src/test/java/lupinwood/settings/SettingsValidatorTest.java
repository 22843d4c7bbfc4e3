package lupinwood.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What must hold of routes and servers. */
final class SettingsValidatorTest {
    private final Map<String, String> values =
            new LinkedHashMap<>(
                    Map.of(
                            "ajp listen",
                            "127.0.0.1:8009",
                            "route a path",
                            "/look",
                            "route a track",
                            "look",
                            "server s address",
                            "127.0.0.1:9000",
                            "server s tracks",
                            "look",
                            "listen",
                            "127.0.0.1:5050"));

    private List<String> texts() {
        ParsedSettings parsedSettings =
                new ParsedSettings(
                        Map.of(
                                "track",
                                List.of("look"),
                                "customer",
                                List.of("north"),
                                "route",
                                List.of("a", "b"),
                                "server",
                                List.of("s")),
                        values);
        return SettingsValidator.of(parsedSettings, List.of()).stream()
                .map(SettingsError::text)
                .filter(text -> !text.contains("missing"))
                .sorted()
                .toList();
    }

    @Test
    void routesAndServersNameWhatThereIs() {
        values.put("route b path", "/unlock");
        values.put("route b track", "look");
        assertThat(texts()).isEmpty();
        values.put("route b path", "/look");
        values.put("route b customer", "south");
        values.put("server s tracks", "look,gaze");
        assertThat(texts())
                .containsExactlyInAnyOrder(
                        "there is no customer south",
                        "route a has the same path and method",
                        "there is no track gaze");
    }

    @Test
    void withoutASecretAjpIsOnLoopbackAndRequestClassesThatCallAreNotForServers() {
        values.put("route b path", "b");
        values.put("ajp listen", "10.0.0.1:8009");
        values.put("track look calls", "true");
        values.put("machine below", "one-for-all");
        assertThat(texts())
                .containsExactlyInAnyOrder(
                        "the path b doesn't begin with /",
                        "without a secret AJP listens on loopback only",
                        "tickets of track look call, and servers that speak AJP can't tell of calls");
        values.put("ajp secret", "s");
        values.put("ajp listen", "127.0.0.1:5050");
        assertThat(texts()).anyMatch(text -> text.contains("has the address of listen"));
    }
}
