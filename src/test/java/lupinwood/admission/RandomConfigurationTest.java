package lupinwood.admission;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.math.BigDecimal;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import lupinwood.net.NodeConfig;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Random sound settings, with whatever may be left out left out: each is read, starts a node, and
 * on an idle node a request of each request class is run, makes its call and ends.
 */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class RandomConfigurationTest {
    private static final int DEPLOYMENTS = 400;
    private static final String[] NAMES = {
        "look",
        "a b",
        "a,b c",
        "*",
        "7",
        "REQ",
        "EXEC",
        "calls",
        "\u0439\u0446",
        "\"'",
        "a.b:c/d",
        "\ud83d\ude00",
        "window",
        "x=y",
        "#",
        "null"
    };
    private static final String ADDRESSES =
            "{\"name\":\"n\",\"listen\":\"127.0.0.1:1\",\"executor\":\"127.0.0.1:2\",\"index\":"
                    + "\"127.0.0.1:3\",\"naming\":\"127.0.0.1:4\",\"seed\":\"f\",\"stop_ms\":3000,\"limits\":{\"sockets\":1024}}";

    @TempDir private Path directory;
    private Random chance;

    @Test
    void noneIsRefusedNoneThrowsAndEachRequestClassesRequestIsServed() throws Exception {
        List<String> failed = new ArrayList<>();
        for (int seed = 0; seed < DEPLOYMENTS; seed++) {
            chance = new Random(seed);
            JsonObject all = JsonParser.parseString(ADDRESSES).getAsJsonObject();
            all.add("settings", settings());
            try {
                String wrong =
                        play(
                                NodeConfig.read(
                                        Files.writeString(
                                                directory.resolve("config.json"), all.toString())));
                if (wrong != null) {
                    failed.add(seed + ": " + wrong + ", by " + all.get("settings"));
                }
            } catch (NodeConfig.UnusableConfiguration | RuntimeException e) {
                failed.add(seed + ": " + e + ", by " + all.get("settings"));
            }
        }
        assertThat(failed.stream().limit(5).toList()).as(failed.size() + " deployments").isEmpty();
    }

    /** What didn't go as it should, or null. */
    private String play(NodeConfig config) {
        RecordingServer machine = new RecordingServer();
        machine.settings.clear();
        machine.settings.putAll(config.settings());
        machine.start();
        boolean downstream = !config.settings().getOrDefault("domain.below", "off").equals("off");
        List<String> requestClasses = config.parsedSettings().requestClasses();
        int tenants = config.parsedSettings().tenants().size();
        for (int i = 0; i < 3 * requestClasses.size(); i++) {
            machine.trace.clear();
            machine.clientTimeout = NanoDuration.ofSeconds(i % 2 * (0.3 + chance.nextInt(60)));
            long id =
                    machine.arrive(
                            i % requestClasses.size(),
                            0,
                            1 + chance.nextInt(20),
                            tenants == 0 ? 0 : chance.nextInt(tenants));
            boolean calls =
                    downstream
                            && "true"
                                    .equals(
                                            config.parsedSettings()
                                                    .value(
                                                            "track "
                                                                    + requestClasses.get(
                                                                            i
                                                                                    % requestClasses
                                                                                            .size())
                                                                    + " calls"));
            if (calls) {
                machine.call(id, 5, Outcome.OK);
            }
            machine.pass(5);
            machine.end(id);
            machine.pass(500);
            List<String> said =
                    machine.trace.stream()
                            .map(line -> line.substring(line.indexOf(' ') + 1))
                            .toList();
            if (!said.contains("run " + id)
                    || (calls && !said.contains("call " + id))
                    || said.stream()
                            .anyMatch(
                                    line -> line.startsWith("bounce") || line.startsWith("fail"))) {
                return "ticket "
                        + id
                        + " of track "
                        + i % requestClasses.size()
                        + " isn't served: "
                        + said;
            }
        }
        machine.policy.drain(NanoDuration.ofSeconds(3));
        machine.policy.decide();
        machine.pass(2900);
        return null;
    }

    // ---- settings ----

    private JsonObject settings() {
        JsonObject settings = new JsonObject();
        int requestClasses = 1 + chance.nextInt(6);
        JsonArray services = new JsonArray();
        for (int i = 0; i < requestClasses; i++) {
            services.add(requestClass(i));
        }
        settings.add("services", services);
        tenants(settings);
        maybe(settings, "step_ns", 1e3, 2e7);
        maybe(settings, "group_size", 0, 300);
        maybe(settings, "over_share_worth", 0, 1);
        maybe(settings, "slot_no", 0, 10);
        JsonObject domain = new JsonObject();
        domain(domain, requestClasses);
        put(settings, "domain", domain);
        JsonObject rules = new JsonObject();
        maybe(rules, "answer_slack_ns", 0, 1e8);
        maybe(rules, "cold_share", 0, 1);
        maybe(rules, "drain_grace_ns", 0, 5e9);
        maybe(rules, "fall_multiple", 1, 20);
        maybe(rules, "fall_ns", 0, 5e9);
        maybe(rules, "ramp_time_ns", 0, 6e10);
        put(settings, "rules", rules);
        JsonObject bounds = new JsonObject();
        maybe(bounds, "max_retry_after_ns", 0, 5e9);
        put(settings, "bounds", bounds);
        JsonObject goal = new JsonObject();
        maybe(goal, "worst_class", 0, 1);
        put(settings, "goal", goal);
        if (chance.nextBoolean()) {
            settings.add(
                    "reporting",
                    JsonParser.parseString(
                            "{\"how\":\"inline\",\"columns\":[\"pending\",\"busy_reqs\"]}"));
            settings.add("azs", JsonParser.parseString("[\"a\",\"b\"]"));
            settings.add(
                    "later",
                    JsonParser.parseString("{\"than\":[{\"this\":1},{\"build\":[null]}]}"));
        }
        return settings;
    }

    private JsonObject requestClass(int place) {
        JsonObject requestClass = new JsonObject();
        requestClass.addProperty("name", NAMES[chance.nextInt(NAMES.length)] + place);
        double timeout = between(3e8, 6e10);
        requestClass.add("give_up_ns", number(timeout));
        requestClass.add(
                "aim_ns",
                number(
                        chance.nextInt(8) == 0
                                ? timeout * 2
                                : Math.max(1e8, timeout * chance.nextDouble())));
        put(
                requestClass,
                "effect",
                JsonParser.parseString(oneOf("\"pure\"", "\"token\"", "\"side_effect\"")));
        maybe(requestClass, "window_ns", 2e8, 6e11);
        maybe(requestClass, "worth", 0, 100);
        maybe(requestClass, "late_value", 0, 1);
        maybe(requestClass, "aim_stretch", 0, 10);
        return requestClass;
    }

    private void tenants(JsonObject settings) {
        JsonArray tenants = new JsonArray();
        for (int i = chance.nextInt(6); i > 0; i--) {
            JsonObject tenant = new JsonObject();
            tenant.addProperty("name", NAMES[chance.nextInt(NAMES.length)]);
            maybe(tenant, "quota_rps", 0, 1e6);
            maybe(tenant, "share", 0, 1);
            tenants.add(tenant);
        }
        put(settings, "customers", tenants);
    }

    private void domain(JsonObject domain, int requestClasses) {
        put(
                domain,
                "below",
                JsonParser.parseString(
                        oneOf("\"off\"", "\"tier\"", "\"one_for_all\"", "\"one_for_all\"")));
        put(
                domain,
                "advert",
                JsonParser.parseString(
                        oneOf("\"off\"", "\"floor\"", "\"allowance\"", "\"weight\"")));
        put(
                domain,
                "stop_mode",
                JsonParser.parseString(oneOf("\"off\"", "\"discard\"", "\"freeze\"")));
        put(
                domain,
                "gauges",
                JsonParser.parseString(oneOf("[]", "[\"on_cores\"]", "[\"links\",\"svc_ms\"]")));
        JsonArray calls = new JsonArray();
        JsonArray skips = new JsonArray();
        for (int i = 0; i < requestClasses; i++) {
            calls.add(chance.nextBoolean());
            skips.add(chance.nextBoolean() ? 0 : chance.nextDouble());
        }
        put(domain, "class_calls", calls);
        put(domain, "class_skip_worth", skips);
        maybe(domain, "calls_out", 0.05, 50);
        maybe(domain, "calls_over_ns", 1e8, 1e10);
        maybe(domain, "linger_ns", 0, 1e8);
        maybe(domain, "memory_kb", 2000, 1e7);
        maybe(domain, "entry_kb", 0, 20);
        maybe(domain, "run_mem_factor", 1, 16);
        maybe(domain, "upstreams", 0, 1000);
        maybe(domain, "keepalive_max_ns", 0, 6e10);
        maybe(domain, "heeded_ns", 0, 1e10);
        put(domain, "cpus", number(1 + chance.nextInt(chance.nextBoolean() ? 2 : 64)));
        for (String flag :
                new String[] {
                    "cold", "tells_gone", "passes_deadline", "real_checks", "registry_follows"
                }) {
            put(domain, flag, JsonParser.parseString(oneOf("true", "false")));
        }
    }

    private String oneOf(String... texts) {
        return texts[chance.nextInt(texts.length)];
    }

    /** Present, absent or null. */
    private void put(JsonObject into, String name, JsonElement value) {
        int how = chance.nextInt(6);
        if (how > 1) {
            into.add(name, value);
        } else if (how == 1) {
            into.add(name, JsonNull.INSTANCE);
        }
    }

    private void maybe(JsonObject into, String name, double least, double most) {
        put(into, name, number(between(least, most)));
    }

    /** Either end now and then; between them each order of size as often. */
    private double between(double least, double most) {
        int end = chance.nextInt(10);
        double low = Math.max(least, most / 1e6);
        return end == 0
                ? least
                : end == 1
                        ? most
                        : Math.max(least, low * Math.pow(most / low, chance.nextDouble()));
    }

    /** In one of the forms that JSON has. */
    private JsonElement number(double value) {
        return JsonParser.parseString(
                switch (chance.nextInt(3)) {
                    case 0 -> Double.toString(value);
                    case 1 -> String.format(Locale.ROOT, "%.12e", value);
                    default -> new BigDecimal(value).toPlainString();
                });
    }
}
