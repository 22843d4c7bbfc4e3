package lupinwood.net;

import com.google.gson.JsonElement;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.Reader;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.StringJoiner;
import java.util.TreeMap;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.SettingsMap;
import lupinwood.settings.Entry;
import lupinwood.settings.ParsedSettings;
import lupinwood.settings.Schema;
import lupinwood.settings.SettingsError;
import lupinwood.settings.SettingsValidator;

/**
 * What a node is told at its start.
 *
 * @param dependency where calls go; null where there is nothing below to call
 * @param stop how long after the notice the process is killed
 * @param sockets how many descriptors it may hold
 * @param settings what the node decides by, as the plain map that the simulator gives too
 * @param parsedSettings the same and all else, entry by entry
 * @param doubts what is unlikely to be meant, though a node can serve with it
 */
public record NodeConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress executor,
        InetSocketAddress dependency,
        InetSocketAddress registryAddress,
        long seed,
        NanoDuration stop,
        int sockets,
        Map<String, String> settings,
        ParsedSettings parsedSettings,
        List<SettingsError> doubts) {

    private static final String SETTINGS = "settings.";
    private static final String STEP = "step_ns";
    private static final BigDecimal MOST_SOCKETS = Schema.named("limits descriptors").most();
    private static final Pattern PLACE = Pattern.compile("\\.\\d{1,6}\\.");

    /** The configuration can't be used; the message is one line. */
    public static final class UnusableConfiguration extends Exception {
        private static final long serialVersionUID = 1L;

        public UnusableConfiguration(String message) {
            super(message);
        }
    }

    public static NodeConfig read(Path file) throws UnusableConfiguration {
        JsonElement read;
        try (Reader reader = Files.newBufferedReader(file)) {
            read = JsonParser.parseReader(reader);
        } catch (IOException e) {
            throw new UnusableConfiguration(
                    "can't read the configuration " + file + ": " + e.getClass().getSimpleName());
        } catch (JsonParseException e) {
            throw new UnusableConfiguration("the configuration " + file + " is no JSON");
        }
        if (!read.isJsonObject()) {
            throw new UnusableConfiguration("the configuration " + file + " is no JSON object");
        }
        Map<String, String> flat = new TreeMap<>();
        flatten("", read, flat);
        List<SettingsError> errors = new ArrayList<>();
        ParsedSettings parsedSettings = ParsedSettings.of(flat, errors);
        errors.addAll(SettingsValidator.of(parsedSettings, errors));
        errors.addAll(unknown(flat));
        return of(flat, parsedSettings, errors);
    }

    /** Of one that is right in all its entries. */
    public static NodeConfig of(ParsedSettings parsedSettings) throws UnusableConfiguration {
        return of(parsedSettings.flat(), parsedSettings, List.of());
    }

    /**
     * This one with other values, where they differ; what is the same keeps the form in which it
     * came.
     */
    public NodeConfig with(ParsedSettings next) throws UnusableConfiguration {
        Map<String, String> flat = new TreeMap<>(parsedSettings.flat());
        settings.forEach((key, stored) -> flat.put("settings." + key, stored));
        for (Entry entry : Schema.all()) {
            for (String name : next.named(entry)) {
                String value = next.value(name);
                if (!Objects.equals(value, parsedSettings.value(name)) && !entry.isInPlainList()) {
                    if (value == null) {
                        flat.remove(parsedSettings.key(name));
                    } else {
                        flat.put(parsedSettings.key(name), ParsedSettings.stored(name, value));
                    }
                }
            }
        }
        return of(flat, next, doubts);
    }

    private static NodeConfig of(
            Map<String, String> flat, ParsedSettings parsedSettings, List<SettingsError> errors)
            throws UnusableConfiguration {
        StringJoiner certain = new StringJoiner("; ");
        errors.stream().filter(SettingsError::certain).forEach(error -> certain.add(said(error)));
        if (certain.length() > 0) {
            throw new UnusableConfiguration("the configuration can't be used: " + certain);
        }
        Map<String, String> settings = new TreeMap<>();
        flat.forEach(
                (key, stored) -> {
                    if (key.startsWith(SETTINGS)) {
                        settings.put(key.substring(SETTINGS.length()), stored);
                    }
                });
        settings.put(STEP, Long.toString(step(parsedSettings)));
        return new NodeConfig(
                flat.get("name"),
                address(flat, "listen"),
                address(flat, "executor"),
                address(flat, "index"),
                address(flat, "naming"),
                Long.parseUnsignedLong(flat.get("seed"), 16),
                new NanoDuration(parsedSettings.number("stop", null).longValue()),
                parsedSettings.number("limits descriptors", null).min(MOST_SOCKETS).intValue(),
                settings,
                parsedSettings,
                List.copyOf(errors));
    }

    /**
     * The step in nanoseconds. Sockets have one of their own, which is fine enough for any request:
     * it stands in for one that isn't told, or that would leave a request of this deployment no
     * time.
     */
    private static long step(ParsedSettings parsedSettings) {
        Entry entry = Schema.named("step");
        BigDecimal shortest =
                parsedSettings.requestClasses().stream()
                        .map(
                                className ->
                                        parsedSettings.number(
                                                "track " + className + " abandon-time", null))
                        .min(Comparator.naturalOrder())
                        .orElse(entry.most());
        BigDecimal reported = parsedSettings.number("step", BigDecimal.ZERO);
        boolean fits =
                reported.compareTo(entry.least()) >= 0
                        && reported.multiply(new BigDecimal(4)).compareTo(shortest) <= 0;
        return fits ? reported.longValue() : Math.min(EventLoop.PACE, shortest.longValue() / 8);
    }

    /** A fault of a JSON file, whose entries have no place in lines. */
    private static String said(SettingsError error) {
        return error.text() + (error.instead().isEmpty() ? "" : " (" + error.instead() + ")");
    }

    /** The doubts in one line, or null. */
    public String doubtful() {
        return doubts.isEmpty()
                ? null
                : doubts.stream().map(NodeConfig::said).collect(Collectors.joining("; "));
    }

    /** Entries that no node reads: a later platform may have more, or a name is misspelled. */
    private static List<SettingsError> unknown(Map<String, String> flat) {
        List<SettingsError> unknown = new ArrayList<>();
        for (String key : flat.keySet()) {
            String general = PLACE.matcher(key).replaceFirst(".#.");
            boolean known =
                    Schema.keyed(key) != null
                            || Schema.keyed(general) != null
                            || Schema.keyed(key + ".#") != null
                            || key.endsWith(".count")
                            || general.endsWith(".#.name");
            if (!known && !Schema.isNotNeeded(key)) {
                unknown.add(new SettingsError(key, "nothing reads the entry " + key, "", false));
            }
        }
        return unknown;
    }

    /** Of a text that was checked to be one; its host may be unknown. */
    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private static InetSocketAddress address(Map<String, String> flat, String name)
            throws UnusableConfiguration {
        String text = flat.get(name);
        if (text == null) {
            return null; // only of an entry that isn't needed
        }
        InetSocketAddress address = address(text);
        if (address.isUnresolved()) {
            throw new UnusableConfiguration(
                    "'" + name + "' in the configuration names a host that isn't known: " + text);
        }
        return address;
    }

    /**
     * Names joined by dots; plain lists joined by commas; lists of objects numbered, with their
     * count. What is null or empty is left out, as if it were absent.
     */
    private static void flatten(String path, JsonElement value, Map<String, String> into) {
        if (value.isJsonNull()
                || (value.isJsonArray() && value.getAsJsonArray().isEmpty())
                || (value.isJsonPrimitive() && value.getAsString().isEmpty())) {
            return;
        }
        if (value.isJsonObject()) {
            String prefix = path.isEmpty() ? "" : path + ".";
            value.getAsJsonObject()
                    .entrySet()
                    .forEach(e -> flatten(prefix + e.getKey(), e.getValue(), into));
        } else if (!value.isJsonArray()) {
            // The service registry knows the node by its name as it stands.
            into.put(
                    path,
                    path.equals("name") && value.isJsonPrimitive()
                            ? value.getAsString()
                            : plain(value));
        } else if (value.getAsJsonArray().asList().stream().anyMatch(JsonElement::isJsonObject)) {
            into.put(path + ".count", Integer.toString(value.getAsJsonArray().size()));
            for (int i = 0; i < value.getAsJsonArray().size(); i++) {
                flatten(path + "." + i, value.getAsJsonArray().get(i), into);
            }
        } else {
            List<String> items = new ArrayList<>();
            value.getAsJsonArray().forEach(item -> items.add(plain(item)));
            into.put(path, String.join(",", items));
        }
    }

    private static String plain(JsonElement value) {
        return value.isJsonPrimitive() ? SettingsMap.word(value.getAsString()) : "";
    }
}
