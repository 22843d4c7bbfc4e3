package lupinwood.routes;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lupinwood.routes.Routes.Refusal;
import lupinwood.settings.ParsedSettings;
import org.junit.jupiter.api.Test;

/** Which request is which request. */
final class RoutesTest {
    private final Map<String, String> values =
            new LinkedHashMap<>(
                    Map.of(
                            "track look abandon-time",
                            "8000000000",
                            "track look effect",
                            "pure",
                            "track unlock abandon-time",
                            "4000000000",
                            "track unlock effect",
                            "receipted",
                            "route a path",
                            "/look/*",
                            "route a track",
                            "look",
                            "route b path",
                            "/look/closely",
                            "route b track",
                            "look",
                            "route c path",
                            "/unlock",
                            "route c track",
                            "unlock"));

    /** Those that the settings name. */
    private List<String> tenants = List.of("north");

    private record One(String method, String path, Map<String, String> headers)
            implements RequestMatchInput {
        @Override
        public String header(String smallName) {
            return headers.get(smallName);
        }
    }

    private Routes.Match match(String method, String path, String... headers) {
        Map<String, String> all = new LinkedHashMap<>();
        for (int i = 0; i < headers.length; i += 2) {
            all.put(headers[i], headers[i + 1]);
        }
        return new Routes(
                        new ParsedSettings(
                                Map.of(
                                        "track",
                                        List.of("look", "unlock"),
                                        "route",
                                        List.of("a", "b", "c"),
                                        "customer",
                                        tenants),
                                values))
                .match(new One(method, path, all));
    }

    @Test
    void theLongestPathThatFitsSaysTheRequestClass() {
        values.put("route b customer", "north");
        values.put("route b memory", "50000");
        assertThat(match("GET", "/look/closely").tenant()).isEqualTo("north");
        assertThat(match("GET", "/look/closely").memoryKb()).isEqualTo(50);
        assertThat(match("GET", "/look/away", "x-customer", "south"))
                .satisfies(one -> assertThat(one.tenant()).isEqualTo("south"))
                .satisfies(one -> assertThat(one.memoryKb()).isEqualTo(20))
                .satisfies(one -> assertThat(one.className()).isEqualTo("look"));
        assertThat(match("GET", "/look").refusal()).isEqualTo(Refusal.NO_ROUTE);
        assertThat(match("GET", "/Look/away").refusal()).isEqualTo(Refusal.NO_ROUTE);
    }

    @Test
    void whereNoTenantIsNamedNoneIsNeeded() {
        tenants = List.of();
        assertThat(match("GET", "/look/away").refusal()).isNull();
        assertThat(match("GET", "/look/away").tenant()).isEmpty();
        assertThat(match("POST", "/unlock", "x-mark", "ab12").mark()).isEqualTo("ab12");
    }

    @Test
    void whatARequestNeedsMustBeThere() {
        values.put("route c method", "POST");
        values.put("route c mark-header", "X-Lock");
        assertThat(match("GET", "/unlock").refusal()).isEqualTo(Refusal.OTHER_METHOD);
        assertThat(match("POST", "/unlock").refusal()).isEqualTo(Refusal.NO_TENANT);
        assertThat(match("POST", "/unlock", "x-customer", "n").refusal())
                .isEqualTo(Refusal.NO_MARK);
        assertThat(match("POST", "/unlock", "x-customer", "n", "x-lock", "zz").refusal())
                .isEqualTo(Refusal.BAD_MARK);
        assertThat(match("POST", "/unlock", "x-customer", "n", "x-lock", "a".repeat(65)).refusal())
                .isEqualTo(Refusal.BAD_MARK);
        assertThat(match("POST", "/unlock", "x-customer", "n", "x-lock", "ab12").mark())
                .isEqualTo("ab12");
        assertThat(match("GET", "/look/a", "x-customer", "n", "x-mark", "ab").refusal())
                .isEqualTo(Refusal.MARK_WHERE_NONE_BELONGS);
    }
}
