package lupinwood.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.gson.Gson;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import lupinwood.admission.Idempotency;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.PolicySettingsMapper;
import lupinwood.admission.RequestClass;
import lupinwood.admission.SettingsMap;
import lupinwood.reload.ConfigDiff;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The platform's form gets the same checks: slips are refused or told, what may legally be there is
 * served.
 */
final class NodeConfigTest {
    @TempDir private Path directory;

    private NodeConfig changed(String... replacements) throws Exception {
        String text = Files.readString(Path.of("examples/config.json"));
        for (int i = 0; i < replacements.length; i += 2) {
            assertThat(text).contains(replacements[i]);
            text = text.replace(replacements[i], replacements[i + 1]);
        }
        return NodeConfig.read(Files.writeString(directory.resolve("config.json"), text));
    }

    @Test
    void slipsThatWereServedOnceAreRefusedByName() {
        String[][] slips = {
            {"\"give_up_ns\": 4000000000", "\"give_up_ns\": 9000", "9us is too little"},
            {
                "\"aim_ns\": 1500000000",
                "\"aim_nss\": 1500000000",
                "'agreed-time' of track unlock is missing"
            },
            {"\"share\": 0.6", "\"share\": 6.0", "600% is too much"},
            {"\"token\"", "\"tokn\"", "not what track unlock effect takes: tokn"},
            {"\"sockets\": 1024", "\"sockets\": 1", "leave none for calls"},
            {"\"step_ns\": 4000000", "\"step_ns\": 0", "too little for step"},
            {
                "\"executor\": \"127.0.0.1:4400\"",
                "\"executor\": \"127.0.0.1:5050\"",
                "has the address of listen"
            },
            {"\"name\": \"quote\"", "\"name\": \"history\"", "there are two entries"},
            {"\"cpus\": 2", "\"cpus\": 1e999", "not what machine cores takes"}
        };
        for (String[] slip : slips) {
            assertThatThrownBy(() -> changed(slip[0], slip[1]))
                    .as(slip[1])
                    .isInstanceOf(NodeConfig.UnusableConfiguration.class)
                    .hasMessageContaining(slip[2]);
        }
    }

    @Test
    void whatMayLegallyBeThereIsServedAndReportedInOneLine() throws Exception {
        NodeConfig config =
                changed(
                        "\"share\": 0.6",
                        "\"share\": 0.5, \"colour\": \"red\"",
                        "\"window_ns\": 12000000000",
                        "\"window_ns\": 2000000000",
                        "\"seed\"",
                        "\"later\": {\"x\": 1}, \"seed\"");
        assertThat(config.doubtful())
                .contains(
                        "make 90%, not 100%",
                        "shorter than the abandon time",
                        "nothing reads the entry settings.customers.0.colour",
                        "nothing reads the entry later.x")
                .doesNotContain("\n");
        assertThat(config.settings())
                .containsEntry("customers.0.colour", "red")
                .containsEntry("services.2.window_ns", "2000000000");
        assertThat(changed("n1", "n2").doubtful()).isNull();
        assertThat(
                        changed(
                                        "\"step_ns\"",
                                        "\"azs\": [\"a\", \"b\"], \"zone\": 1, \"prices\": {\"waste\": 0.05}, \"step_ns\"")
                                .doubtful())
                .as("the platform's own, known not to be needed")
                .isNull();
        assertThat(changed("\"step_ns\"", "\"prizes\": {\"waste\": 0.05}, \"step_ns\"").doubtful())
                .contains("settings.prizes.waste");
    }

    /**
     * The example with the JSON at one path after the other replaced, or taken out where there is
     * nothing to stand there.
     */
    private NodeConfig edited(String... edits) throws Exception {
        JsonObject all =
                JsonParser.parseString(Files.readString(Path.of("examples/config.json")))
                        .getAsJsonObject();
        for (int i = 0; i < edits.length; i += 2) {
            String[] path = edits[i].split("/");
            JsonElement at = all;
            for (String step : Arrays.copyOf(path, path.length - 1)) {
                at =
                        at.isJsonArray()
                                ? at.getAsJsonArray().get(Integer.parseInt(step))
                                : at.getAsJsonObject().get(step);
            }
            at.getAsJsonObject().remove(path[path.length - 1]);
            if (!edits[i + 1].isEmpty()) {
                at.getAsJsonObject()
                        .add(path[path.length - 1], JsonParser.parseString(edits[i + 1]));
            }
        }
        return NodeConfig.read(Files.writeString(directory.resolve("config.json"), all.toString()));
    }

    @Test
    void whatIsLeftOutOrEmptyIsAbsentAndNoOthersValueStandsForIt() throws Exception {
        String[] absent = {
            "settings/customers",
            "settings/domain",
            "settings/goal",
            "settings/bounds",
            "settings/rules",
            "settings/group_size",
            "settings/over_share_worth",
            "settings/domain/gauges",
            "settings/domain/class_calls",
            "settings/domain/class_skip_worth",
            "settings/domain/calls_out",
            "settings/domain/stop_mode",
            "settings/services/2/late_value",
            "settings/services/0/window_ns",
            "settings/services/0/worth",
            "settings/domain/advert",
            "limits/cores",
            "limits/memory_mb"
        };
        for (String path : absent) {
            for (String form : new String[] {"", "null", "[]", "\"\""}) {
                NodeConfig config = edited(path, form);
                assertThat(config.doubtful()).as(path + " " + form).isNull();
                assertThat(config.parsedSettings())
                        .as(path + " " + form)
                        .isEqualTo(edited(path, "").parsedSettings());
            }
        }
        assertThat(
                        edited(
                                        "settings/domain/below",
                                        "null",
                                        "index",
                                        "\"\"",
                                        "settings/domain/class_calls",
                                        "[false, null]")
                                .dependency())
                .isNull();
    }

    @Test
    void whatANodeCanServeWithIsServedAndReported() throws Exception {
        String[][] odd = {
            {"settings/services/2/window_ns", "", "unlock has no window"},
            {"settings/services/0/effect", "", "'effect' of track quote is missing"},
            {"settings/services/0/aim_ns", "9e9", "past the abandon time 8s of track quote"},
            {"settings/step_ns", "", "'step' is missing"},
            {"settings/step_ns", "9e9", "9s is too much for step"},
            {
                "settings/step_ns",
                "1000000000.0",
                "leaves no time to answer",
                "settings/services/0/give_up_ns",
                "3e8"
            },
            {"settings/group_size", "0", "0 is too little for group-size"},
            {"settings/domain/cpus", "1.5", "1.5 is no whole number"},
            {"settings/domain/run_mem_factor", "0.5", "0.5 is too little"},
            {"settings/rules/cold_share", "0", "0% is too little"},
            {"settings/domain/stop_mode", "\"hibernate\"", "hibernate is no stop-mode"},
            {"settings/domain/advert", "\"price\"", "price is no advice"},
            {"settings/domain/below", "\"mesh\"", "mesh is no below"},
            {"settings/domain/calls_out", "0", "0 calls out leave none"},
            {
                "index",
                "",
                "'index' is missing",
                "settings/domain/class_calls",
                "[false, false, false]"
            },
            {"settings/customers/1/name", "\"north\"", "there are two entries 'customer north'"},
            {"limits/sockets", "1073741816", "1073741816 is too much for limits descriptors"},
            {"limits/cores", "0", "0 is too little for limits cores"}
        };
        for (String[] one : odd) {
            NodeConfig config =
                    one.length > 3
                            ? edited(one[0], one[1], one[3], one[4])
                            : edited(one[0], one[1]);
            assertThat(config.doubtful())
                    .as(one[0] + " " + one[1])
                    .contains(one[2])
                    .doesNotContain("\n");
            long step = Long.parseLong(config.settings().get("step_ns"));
            assertThat(step).isBetween(1_000L, 4_000_000L);
            assertThat(config.sockets()).isBetween(1024, 1_000_000);
        }
        RequestClass unlock =
                PolicySettingsMapper.requestClass(
                        new SettingsMap(edited("settings/services/2/window_ns", "").settings()), 2);
        assertThat(unlock.window()).as("its own abandon time").isEqualTo(NanoDuration.ofSeconds(4));
        assertThat(
                        PolicySettingsMapper.requestClass(
                                        new SettingsMap(
                                                edited("settings/services/0/effect", "")
                                                        .settings()),
                                        0)
                                .idempotency())
                .isEqualTo(Idempotency.UNSAFE);
        // A calm default never stands for what is told.
        assertThat(
                        PolicySettingsMapper.requestClass(
                                        new SettingsMap(
                                                edited("settings/services/2/window_ns", "0")
                                                        .settings()),
                                        2)
                                .window())
                .isEqualTo(NanoDuration.ZERO);
    }

    @Test
    void numbersMayBeWrittenInAnyFormAndNamesInAnySign() throws Exception {
        NodeConfig config =
                edited(
                        "settings/services/0/give_up_ns",
                        "8.0E+9",
                        "settings/services/1/give_up_ns",
                        "8000000000.00",
                        "settings/domain/cpus",
                        "64.0",
                        "limits/sockets",
                        "1.024e3",
                        "settings/customers/0/share",
                        "0.60000000000000000000000000000000000000000000000000001",
                        "settings/customers/0/quota_rps",
                        "1e-60",
                        "settings/rules/cold_share",
                        "0.2970297029702970");
        assertThat(config.doubtful()).isNull();
        assertThat(config.sockets()).isEqualTo(1024);
        assertThat(config.parsedSettings().value("track quote abandon-time"))
                .isEqualTo("8000000000");
        assertThat(config.parsedSettings().value("machine cores")).isEqualTo("64");
        String[] names = {
            "a b",
            "a,b",
            "*",
            "#",
            "track * effect",
            "7",
            "REQ",
            "EXEC 1",
            "calls",
            "\u0439\u0446",
            "\"'",
            "a.b:c/d",
            "\ud83d\ude00",
            "window",
            "a\tb",
            "settings.services.0.name",
            "null",
            "x=y"
        };
        for (String name : names) {
            String json = new Gson().toJson(name);
            NodeConfig named =
                    edited("settings/services/0/name", json, "settings/customers/0/name", json);
            assertThat(named.doubtful()).as(name).isNull();
            assertThat(named.settings())
                    .as(name)
                    .containsEntry("services.0.name", SettingsMap.word(name));
            assertThat(
                            named.parsedSettings()
                                    .value("track " + SettingsMap.word(name) + " abandon-time"))
                    .as(name)
                    .isEqualTo("8000000000");
            NodeConfig again =
                    named.with(
                            ConfigDiff.between(
                                            named.parsedSettings(),
                                            edited(
                                                            "settings/services/0/name",
                                                            json,
                                                            "settings/customers/0/name",
                                                            json,
                                                            "settings/services/0/worth",
                                                            "7",
                                                            "settings/customers/0/quota_rps",
                                                            "9")
                                                    .parsedSettings())
                                    .result());
            assertThat(again.settings())
                    .as(name)
                    .containsEntry("services.0.worth", "7")
                    .containsEntry("customers.0.quota_rps", "9");
        }
    }

    @Test
    void listsOfAThousandAreReadInLittleTime() throws Exception {
        List<String> requestClasses = new ArrayList<>();
        List<String> tenants = new ArrayList<>();
        for (int i = 0; i < 1024; i++) {
            requestClasses.add(
                    "{\"name\": \"t"
                            + i
                            + "\", \"effect\": \"pure\", \"aim_ns\": 2e9, \"give_up_ns\": 8e9}");
            tenants.add("{\"name\": \"c" + i + "\", \"quota_rps\": 0}");
        }
        String flags = "[" + "true,".repeat(1023) + "true]";
        long begun = System.nanoTime();
        NodeConfig config =
                edited(
                        "settings/services",
                        requestClasses.toString(),
                        "settings/customers",
                        tenants.toString(),
                        "settings/domain/class_calls",
                        flags,
                        "settings/azs",
                        "[" + "\"z\",".repeat(1023) + "\"z\"]");
        assertThat(ConfigDiff.between(config.parsedSettings(), config.parsedSettings()).isEmpty())
                .isTrue();
        assertThat(config.parsedSettings().requestClasses()).hasSize(1024);
        assertThat(config.parsedSettings().value("track t1023 calls")).isEqualTo("true");
        assertThat(System.nanoTime() - begun).isLessThan(5_000_000_000L);
    }

    @Test
    void whatNoNodeCanServeWithIsRefusedByItsEntry() {
        String[][] wrong = {
            {"settings/services", "", "there is no track"},
            {"settings/services/0/give_up_ns", "null", "'abandon-time' of track quote is missing"},
            {"settings/services/0/aim_ns", "\"\"", "'agreed-time' of track quote is missing"},
            {
                "settings/services/0/effect",
                "\"idempotent\"",
                "not what track quote effect takes: idempotent"
            },
            {"settings/services/1/name", "\"quote\"", "two entries 'track quote'"},
            {"settings/services", "{\"count\": \"many\"}", "no number of services: many"},
            {"settings/services", "{\"count\": 1e9}", "no number of services: 1e9"},
            {"settings/domain/memory_kb", "0", "0KB is too little for machine memory"},
            {"settings/domain/memory_kb", "NaN", "not what machine memory takes: NaN"},
            {"settings/domain/run_mem_factor", "-1", "-1 is too little"},
            {"settings/group_size", "-3", "-3 is too little for group-size"},
            {"index", "null", "'index' is missing"},
            {
                "settings/domain/calls_out",
                "0.0",
                "0 calls out leave none",
                "settings/domain/class_calls",
                "[true, true, true]"
            },
            {"limits/sockets", "31", "leave none for calls"}
        };
        for (String[] one : wrong) {
            assertThatThrownBy(
                            () ->
                                    edited(
                                            Arrays.stream(one)
                                                    .filter(text -> !text.equals(one[2]))
                                                    .toArray(String[]::new)))
                    .as(one[0] + " " + one[1])
                    .isInstanceOf(NodeConfig.UnusableConfiguration.class)
                    .hasMessageContaining(one[2])
                    .hasMessageNotContaining("\n");
        }
    }
}
