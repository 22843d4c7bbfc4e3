package lupinwood.settings;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What a configuration says, whatever language said it: a value for each entry, by its name with
 * the items' own names in it, as {@code track unlock window}. Two configurations mean the same just
 * when their values are equal.
 *
 * @param lists the items of each list in their order, which numbers request classes and tenants
 * @param values as {@link Values} reads them, in the order of the schema
 */
public record ParsedSettings(Map<String, List<String>> lists, Map<String, String> values) {
    private static final Pattern ITEM =
            Pattern.compile("settings\\.(services|customers)\\.(\\d{1,6})\\.(.+)");

    /** What a place in a list can be written with, and more than any deployment has. */
    private static final BigDecimal MOST_ITEMS = new BigDecimal(100_000);

    private static final Pattern PLACE = Pattern.compile("\\.\\d{1,6}\\.");

    public ParsedSettings {
        Map<String, List<String>> stored = new LinkedHashMap<>();
        for (String list : Schema.LISTS) {
            stored.put(list, List.copyOf(lists.getOrDefault(list, List.of())));
        }
        lists = Collections.unmodifiableMap(stored);
        values = Collections.unmodifiableMap(new LinkedHashMap<>(values));
    }

    /** The names of a list's items. */
    public List<String> items(String list) {
        return lists.get(list);
    }

    public List<String> requestClasses() {
        return items(Schema.REQUEST_CLASS);
    }

    public List<String> tenants() {
        return items(Schema.TENANT);
    }

    public String value(String name) {
        return values.get(name);
    }

    /** The names that an entry of the schema has here, one for each item of its list. */
    public List<String> named(Entry entry) {
        if (entry.list().isEmpty()) {
            return List.of(entry.name());
        }
        return items(entry.list()).stream()
                .map(item -> entry.list() + " " + item + " " + entry.own())
                .toList();
    }

    /** As a number, in the unit that values have; otherwise this. */
    public BigDecimal number(String name, BigDecimal otherwise) {
        String value = values.get(name);
        return value == null ? otherwise : new BigDecimal(value);
    }

    /** The entry of a name with an item's name in it, or null. */
    public static Entry entry(String name) {
        Entry direct = Schema.named(name);
        if (direct != null) {
            return direct;
        }
        int first = name.indexOf(' ');
        int last = name.lastIndexOf(' ');
        return first < last
                ? Schema.named(name.substring(0, first) + " *" + name.substring(last))
                : null;
    }

    /** A value as the language writes it. */
    public static String said(String name, String value) {
        Entry entry = entry(name);
        return value == null ? "nothing" : entry == null ? value : Values.said(entry, value);
    }

    /** What the JSON's flat map says; what is wrong with it goes to the faults. */
    public static ParsedSettings of(Map<String, String> flat, List<SettingsError> errors) {
        List<String> requestClasses = names(flat, "services", errors);
        List<String> tenants = names(flat, "customers", errors);
        Map<String, String> found = new TreeMap<>();
        flat.forEach(
                (key, stored) -> {
                    if ((key.startsWith("settings.") && key.endsWith(".count"))
                            || isItemsName(key)) {
                        return;
                    }
                    Entry plain = Schema.keyed(key + ".#");
                    if (plain != null) {
                        String[] items = stored.split(",", 0);
                        for (int i = 0; i < items.length && i < requestClasses.size(); i++) {
                            put(
                                    plain,
                                    "track " + requestClasses.get(i) + " " + plain.own(),
                                    items[i],
                                    found,
                                    errors);
                        }
                        return;
                    }
                    Matcher item = ITEM.matcher(key);
                    Entry entry = Schema.keyed(PLACE.matcher(key).replaceFirst(".#."));
                    List<String> names =
                            !item.matches() || item.group(1).equals("services")
                                    ? requestClasses
                                    : tenants;
                    int place = item.matches() ? Integer.parseInt(item.group(2)) : 0;
                    if (entry != null && item.matches() && place < names.size()) {
                        put(
                                entry,
                                entry.list() + " " + names.get(place) + " " + entry.own(),
                                stored,
                                found,
                                errors);
                    } else if (entry != null && !item.matches()) {
                        put(entry, entry.name(), stored, found, errors);
                    } else if (key.startsWith("settings.")) {
                        found.put(Schema.EXTRA + " " + key.substring("settings.".length()), stored);
                    }
                });
        Map<String, List<String>> lists =
                Map.of(Schema.REQUEST_CLASS, requestClasses, Schema.TENANT, tenants);
        return new ParsedSettings(lists, ordered(lists, found));
    }

    private static boolean isItemsName(String key) {
        Matcher item = ITEM.matcher(key);
        return item.matches() && item.group(3).equals("name");
    }

    private static List<String> names(
            Map<String, String> flat, String list, List<SettingsError> errors) {
        List<String> names = new ArrayList<>();
        String reported = flat.getOrDefault("settings." + list + ".count", "0");
        BigDecimal count = Values.number(reported);
        if (count == null || count.signum() < 0 || count.compareTo(MOST_ITEMS) > 0) {
            errors.add(
                    new SettingsError(
                            list + ".count",
                            "this is no number of " + list + ": " + reported,
                            "",
                            true));
            return names;
        }
        for (int i = 0; i < count.intValue(); i++) {
            names.add(flat.getOrDefault("settings." + list + "." + i + ".name", "unnamed-" + i));
        }
        return names;
    }

    /** What is empty counts as absent. */
    private static void put(
            Entry entry,
            String name,
            String stored,
            Map<String, String> found,
            List<SettingsError> errors) {
        if (stored.isEmpty()) {
            return;
        }
        String value = Values.read(entry, stored);
        if (value == null) {
            errors.add(
                    new SettingsError(
                            name,
                            "this is not what " + name + " takes: " + stored,
                            wanted(entry),
                            true));
        } else {
            found.put(name, value);
        }
    }

    /** What to write for an entry. */
    public static String wanted(Entry entry) {
        return "write "
                + (entry.saidAs().isEmpty()
                        ? entry.kind().wanted()
                        : "one of: " + String.join(", ", entry.saidAs()));
    }

    /** Whether it is a host and a port. */
    public static boolean isAddress(String text) {
        return Values.isAddress(text);
    }

    /** In the order of the schema, items in their own; entries without a name last. */
    public static Map<String, String> ordered(
            Map<String, List<String>> lists, Map<String, String> found) {
        Map<String, String> in = new LinkedHashMap<>();
        Schema.of("").forEach(entry -> take(entry.name(), found, in));
        for (String list : Schema.LISTS) {
            for (String item : lists.getOrDefault(list, List.of())) {
                Schema.of(list)
                        .forEach(entry -> take(list + " " + item + " " + entry.own(), found, in));
            }
        }
        new TreeMap<>(found).forEach(in::putIfAbsent);
        return in;
    }

    private static void take(String name, Map<String, String> from, Map<String, String> to) {
        if (from.containsKey(name)) {
            to.put(name, from.get(name));
        }
    }

    /** As the JSON's flat map has it, which is what a node is made from. */
    public Map<String, String> flat() {
        Map<String, String> flat = new TreeMap<>();
        count(flat, "services", requestClasses());
        count(flat, "customers", tenants());
        values.forEach(
                (name, value) -> {
                    Entry entry = entry(name);
                    if (entry == null) {
                        flat.put("settings." + name.substring(Schema.EXTRA.length() + 1), value);
                    } else if (!entry.isInPlainList()) {
                        flat.put(key(name), Values.write(entry, value));
                    }
                });
        for (Entry entry : Schema.all()) {
            if (entry.isInPlainList()) {
                plainList(entry, flat);
            }
        }
        return flat;
    }

    private static void count(Map<String, String> flat, String list, List<String> names) {
        if (!names.isEmpty()) {
            flat.put("settings." + list + ".count", Integer.toString(names.size()));
        }
        for (int i = 0; i < names.size(); i++) {
            flat.put("settings." + list + "." + i + ".name", names.get(i));
        }
    }

    private void plainList(Entry entry, Map<String, String> flat) {
        List<String> items = new ArrayList<>();
        boolean any = false;
        for (String className : requestClasses()) {
            String value = values.get("track " + className + " " + entry.own());
            any |= value != null;
            items.add(
                    value == null
                            ? entry.kind() == ValueType.FLAG ? "false" : "0"
                            : Values.write(entry, value));
        }
        if (any) {
            flat.put(entry.key().substring(0, entry.key().length() - 2), String.join(",", items));
        }
    }

    /** Where the JSON's flat map has an entry, by the places of the items here. */
    public String key(String name) {
        Entry entry = entry(name);
        if (entry.list().isEmpty()) {
            return entry.key();
        }
        String item = name.split(" ", 0)[1];
        boolean numbered =
                entry.list().equals(Schema.REQUEST_CLASS) || entry.list().equals(Schema.TENANT);
        return entry.key()
                .replace(
                        "#", numbered ? Integer.toString(items(entry.list()).indexOf(item)) : item);
    }

    /** The JSON's text of a value. */
    public static String stored(String name, String value) {
        return Values.write(entry(name), value);
    }
}
