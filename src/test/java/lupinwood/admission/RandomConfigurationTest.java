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
 * Generates random valid settings with optional entries left out at random. Each must be read and
 * start a node, and on an idle node a request of each class must run, make its call and complete.
 */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class RandomConfigurationTest {
    private static final int SETTINGS_COUNT = 400;
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
    private static final String NODE_CONFIGURATION =
            "{\"name\":\"n\",\"listen\":\"127.0.0.1:1\",\"executor\":\"127.0.0.1:2\",\"index\":"
                    + "\"127.0.0.1:3\",\"naming\":\"127.0.0.1:4\",\"seed\":\"f\",\"stop_ms\":3000,\"limits\":{\"sockets\":1024}}";

    @TempDir private Path directory;
    private Random random;

    @Test
    void randomValidSettingsServeARequestOfEachClass() throws Exception {
        List<String> failed = new ArrayList<>();
        for (int seed = 0; seed < SETTINGS_COUNT; seed++) {
            random = new Random(seed);
            JsonObject configuration = JsonParser.parseString(NODE_CONFIGURATION).getAsJsonObject();
            configuration.add("settings", settings());
            try {
                String failure =
                        serveRequests(
                                NodeConfig.read(
                                        Files.writeString(
                                                directory.resolve("config.json"),
                                                configuration.toString())));
                if (failure != null) {
                    failed.add(
                            seed + ": " + failure + ", settings: " + configuration.get("settings"));
                }
            } catch (NodeConfig.UnusableConfiguration | RuntimeException e) {
                failed.add(seed + ": " + e + ", settings: " + configuration.get("settings"));
            }
        }
        assertThat(failed.stream().limit(5).toList())
                .as(failed.size() + " of the generated settings failed")
                .isEmpty();
    }

    /** Returns what failed, or null. */
    private String serveRequests(NodeConfig config) {
        RecordingServer server = new RecordingServer();
        server.settings.clear();
        server.settings.putAll(config.settings());
        server.start();
        boolean hasDownstream =
                !config.settings().getOrDefault("domain.below", "off").equals("off");
        List<String> requestClasses = config.parsedSettings().requestClasses();
        int tenants = config.parsedSettings().tenants().size();
        for (int i = 0; i < 3 * requestClasses.size(); i++) {
            server.trace.clear();
            server.clientTimeout = NanoDuration.ofSeconds(i % 2 * (0.3 + random.nextInt(60)));
            long id =
                    server.admit(
                            i % requestClasses.size(),
                            0,
                            1 + random.nextInt(20),
                            tenants == 0 ? 0 : random.nextInt(tenants));
            boolean calls =
                    hasDownstream
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
                server.call(id, 5, Outcome.OK);
            }
            server.advanceMillis(5);
            server.complete(id);
            server.advanceMillis(500);
            List<String> actions =
                    server.trace.stream()
                            .map(line -> line.substring(line.indexOf(' ') + 1))
                            .toList();
            if (!actions.contains("run " + id)
                    || (calls && !actions.contains("call " + id))
                    || actions.stream()
                            .anyMatch(
                                    line -> line.startsWith("reject") || line.startsWith("fail"))) {
                return "request "
                        + id
                        + " of request class "
                        + i % requestClasses.size()
                        + " is not served: "
                        + actions;
            }
        }
        server.policy.drain(NanoDuration.ofSeconds(3));
        server.policy.decide();
        server.advanceMillis(2900);
        return null;
    }

    // Generated settings.

    private JsonObject settings() {
        JsonObject settings = new JsonObject();
        int requestClasses = 1 + random.nextInt(6);
        JsonArray services = new JsonArray();
        for (int i = 0; i < requestClasses; i++) {
            services.add(requestClass(i));
        }
        settings.add("services", services);
        tenants(settings);
        putNumber(settings, "step_ns", 1e3, 2e7);
        putNumber(settings, "group_size", 0, 300);
        putNumber(settings, "over_share_worth", 0, 1);
        putNumber(settings, "slot_no", 0, 10);
        JsonObject domain = new JsonObject();
        domain(domain, requestClasses);
        put(settings, "domain", domain);
        JsonObject rules = new JsonObject();
        putNumber(rules, "answer_slack_ns", 0, 1e8);
        putNumber(rules, "cold_share", 0, 1);
        putNumber(rules, "drain_grace_ns", 0, 5e9);
        putNumber(rules, "fall_multiple", 1, 20);
        putNumber(rules, "fall_ns", 0, 5e9);
        putNumber(rules, "ramp_time_ns", 0, 6e10);
        put(settings, "rules", rules);
        JsonObject bounds = new JsonObject();
        putNumber(bounds, "max_retry_after_ns", 0, 5e9);
        put(settings, "bounds", bounds);
        JsonObject goal = new JsonObject();
        putNumber(goal, "worst_class", 0, 1);
        put(settings, "goal", goal);
        if (random.nextBoolean()) {
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

    private JsonObject requestClass(int index) {
        JsonObject requestClass = new JsonObject();
        requestClass.addProperty("name", NAMES[random.nextInt(NAMES.length)] + index);
        double timeout = randomBetween(3e8, 6e10);
        requestClass.add("give_up_ns", number(timeout));
        requestClass.add(
                "aim_ns",
                number(
                        random.nextInt(8) == 0
                                ? timeout * 2
                                : Math.max(1e8, timeout * random.nextDouble())));
        put(
                requestClass,
                "effect",
                JsonParser.parseString(anyOf("\"pure\"", "\"token\"", "\"side_effect\"")));
        putNumber(requestClass, "window_ns", 2e8, 6e11);
        putNumber(requestClass, "worth", 0, 100);
        putNumber(requestClass, "late_value", 0, 1);
        putNumber(requestClass, "aim_stretch", 0, 10);
        return requestClass;
    }

    private void tenants(JsonObject settings) {
        JsonArray tenants = new JsonArray();
        for (int i = random.nextInt(6); i > 0; i--) {
            JsonObject tenant = new JsonObject();
            tenant.addProperty("name", NAMES[random.nextInt(NAMES.length)]);
            putNumber(tenant, "quota_rps", 0, 1e6);
            putNumber(tenant, "share", 0, 1);
            tenants.add(tenant);
        }
        put(settings, "customers", tenants);
    }

    private void domain(JsonObject domain, int requestClasses) {
        put(
                domain,
                "below",
                JsonParser.parseString(
                        anyOf("\"off\"", "\"tier\"", "\"one_for_all\"", "\"one_for_all\"")));
        put(
                domain,
                "advert",
                JsonParser.parseString(
                        anyOf("\"off\"", "\"floor\"", "\"allowance\"", "\"weight\"")));
        put(
                domain,
                "stop_mode",
                JsonParser.parseString(anyOf("\"off\"", "\"discard\"", "\"freeze\"")));
        put(
                domain,
                "gauges",
                JsonParser.parseString(anyOf("[]", "[\"on_cores\"]", "[\"links\",\"svc_ms\"]")));
        JsonArray calls = new JsonArray();
        JsonArray skips = new JsonArray();
        for (int i = 0; i < requestClasses; i++) {
            calls.add(random.nextBoolean());
            skips.add(random.nextBoolean() ? 0 : random.nextDouble());
        }
        put(domain, "class_calls", calls);
        put(domain, "class_skip_worth", skips);
        putNumber(domain, "calls_out", 0.05, 50);
        putNumber(domain, "calls_over_ns", 1e8, 1e10);
        putNumber(domain, "linger_ns", 0, 1e8);
        putNumber(domain, "memory_kb", 2000, 1e7);
        putNumber(domain, "entry_kb", 0, 20);
        putNumber(domain, "run_mem_factor", 1, 16);
        putNumber(domain, "upstreams", 0, 1000);
        putNumber(domain, "keepalive_max_ns", 0, 6e10);
        putNumber(domain, "heeded_ns", 0, 1e10);
        put(domain, "cpus", number(1 + random.nextInt(random.nextBoolean() ? 2 : 64)));
        for (String flag :
                new String[] {
                    "cold", "tells_gone", "passes_deadline", "real_checks", "registry_follows"
                }) {
            put(domain, flag, JsonParser.parseString(anyOf("true", "false")));
        }
    }

    private String anyOf(String... texts) {
        return texts[random.nextInt(texts.length)];
    }

    /** Adds an entry, leaves it out or sets it to null, at random. */
    private void put(JsonObject target, String name, JsonElement value) {
        int choice = random.nextInt(6);
        if (choice > 1) {
            target.add(name, value);
        } else if (choice == 1) {
            target.add(name, JsonNull.INSTANCE);
        }
    }

    private void putNumber(JsonObject target, String name, double min, double max) {
        put(target, name, number(randomBetween(min, max)));
    }

    /**
     * Draws either bound at times, otherwise a value with a log-uniform distribution between them.
     */
    private double randomBetween(double min, double max) {
        int end = random.nextInt(10);
        double positiveMin = Math.max(min, max / 1e6);
        return end == 0
                ? min
                : end == 1
                        ? max
                        : Math.max(
                                min,
                                positiveMin * Math.pow(max / positiveMin, random.nextDouble()));
    }

    /** Writes a number in a random one of the notations of JSON. */
    private JsonElement number(double value) {
        return JsonParser.parseString(
                switch (random.nextInt(3)) {
                    case 0 -> Double.toString(value);
                    case 1 -> String.format(Locale.ROOT, "%.12e", value);
                    default -> new BigDecimal(value).toPlainString();
                });
    }
}
