package lupinwood.net;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.Reader;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import java.util.TreeMap;
import lupinwood.node.Span;

/**
 * What a node is told at its start.
 *
 * @param stop how long after the notice the process is killed
 * @param sockets how many descriptors it may hold
 * @param settings what the node decides by, as the plain map that the simulator gives too
 */
public record NodeConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress executor,
        InetSocketAddress index,
        InetSocketAddress naming,
        long seed,
        Span stop,
        int sockets,
        Map<String, String> settings) {

    /** The configuration can't be used; the message is one line. */
    public static final class Unusable extends Exception {
        private static final long serialVersionUID = 1L;

        Unusable(String message) {
            super(message);
        }
    }

    public static NodeConfig read(Path file) throws Unusable {
        JsonElement read;
        try (Reader reader = Files.newBufferedReader(file)) {
            read = JsonParser.parseReader(reader);
        } catch (IOException e) {
            throw new Unusable("can't read the configuration " + file + ": " + e.getClass().getSimpleName());
        } catch (JsonParseException e) {
            throw new Unusable("the configuration " + file + " is no JSON");
        }
        if (!read.isJsonObject()) {
            throw new Unusable("the configuration " + file + " is no JSON object");
        }
        JsonObject all = read.getAsJsonObject();
        if (!all.has("settings") || !all.get("settings").isJsonObject()) {
            throw new Unusable("the configuration has no object 'settings'");
        }
        JsonObject limits = all.has("limits") && all.get("limits").isJsonObject()
                ? all.getAsJsonObject("limits") : new JsonObject();
        Map<String, String> settings = new TreeMap<>();
        flatten("", all.get("settings"), settings);
        if (settings.getOrDefault("services.count", "0").equals("0")) {
            throw new Unusable("the settings have no 'services'");
        }
        return new NodeConfig(text(all, "name"), address(all, "listen"), address(all, "executor"),
                address(all, "index"), address(all, "naming"), seed(text(all, "seed")),
                Span.ofSeconds(number(all, "stop_ms") / 1000), (int) number(limits, "sockets"), settings);
    }

    /** The entries, joined by commas, that differ here and that a node can't change while it runs. */
    String fixedEntriesUnlike(NodeConfig other) {
        StringJoiner names = new StringJoiner(", ");
        if (!name.equals(other.name)) {
            names.add("name");
        }
        if (!listen.equals(other.listen)) {
            names.add("listen");
        }
        if (seed != other.seed) {
            names.add("seed");
        }
        if (!stop.equals(other.stop)) {
            names.add("stop_ms");
        }
        if (sockets != other.sockets) {
            names.add("limits");
        }
        if (!settings.equals(other.settings)) {
            names.add("settings");
        }
        return names.toString();
    }

    private static String text(JsonObject object, String name) throws Unusable {
        JsonElement value = object.get(name);
        if (value == null || !value.isJsonPrimitive() || value.getAsString().isEmpty()) {
            throw new Unusable("the configuration has no '" + name + "'");
        }
        return value.getAsString();
    }

    private static double number(JsonObject object, String name) throws Unusable {
        String text = text(object, name);
        try {
            double number = Double.parseDouble(text);
            if (number > 0 && number <= Integer.MAX_VALUE) {
                return number;
            }
        } catch (NumberFormatException e) {
            // said below, as for a number that can't be used
        }
        throw new Unusable("'" + name + "' in the configuration is no number above 0: " + text);
    }

    private static long seed(String text) throws Unusable {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new Unusable("'seed' in the configuration is no hexadecimal number: " + text);
        }
    }

    private static InetSocketAddress address(JsonObject object, String name) throws Unusable {
        String text = text(object, name);
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port > 0 && port < 1 << 16) {
                InetSocketAddress address = new InetSocketAddress(text.substring(0, colon), port);
                if (!address.isUnresolved()) {
                    return address;
                }
            }
        } catch (NumberFormatException e) {
            // said below, as for a port that can't be used
        }
        throw new Unusable("'" + name + "' in the configuration is no address and port: " + text);
    }

    /** Names joined by dots; plain lists joined by commas; lists of objects numbered, with their count. */
    private static void flatten(String path, JsonElement value, Map<String, String> into) {
        if (value.isJsonObject()) {
            String prefix = path.isEmpty() ? "" : path + ".";
            value.getAsJsonObject().entrySet().forEach(e -> flatten(prefix + e.getKey(), e.getValue(), into));
        } else if (!value.isJsonArray()) {
            into.put(path, plain(value));
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
        return value.isJsonPrimitive() ? word(value.getAsString()) : "";
    }

    /** A text as the settings write it. */
    static String word(String text) {
        return text.replace(' ', '_').replace(',', '_');
    }
}
