package lupinwood.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import lupinwood.settings.Entry;
import lupinwood.settings.ParsedSettings;
import lupinwood.settings.Schema;
import lupinwood.settings.SettingsError;
import lupinwood.settings.SettingsValidator;
import lupinwood.settings.ValueType;

/**
 * Reads a configuration: its first text, what that includes, the values given names, then each
 * entry against the schema, and at last what must hold across entries. One mistake gives one
 * message: what is known to be wrong is not judged further, and counts as given.
 */
public final class Reader {
    private static final int MOST_DEPTH = 8;
    private static final int MOST_FILES = 64;
    private static final int MOST_BYTES = 1 << 20;
    private static final int MOST_BYTES_IN_ALL = 4 << 20;
    private static final String INCLUDE = "include";
    private static final String LET = "let";
    private static final String OVERRIDE = "override";

    private static final Set<String> SECTIONS = findSections();

    private record Given(String value, SourcePosition place) {}

    private final Sources from;
    private final boolean part;
    private final Diagnostics diagnostics = new Diagnostics();
    private final List<Source> sources = new ArrayList<>();

    /** All texts' statements with those that they include in the place of the including. */
    private final List<Statement> statements = new ArrayList<>();

    private final Map<String, SourcePosition> includedAt = new HashMap<>();
    private final Map<String, ValueToken> named = new LinkedHashMap<>();
    private final Map<String, Given> given = new LinkedHashMap<>();

    /** Blocks that were given, by name, with their place. */
    private final Map<String, SourcePosition> blocks = new LinkedHashMap<>();

    private final Map<String, Set<String>> items = new LinkedHashMap<>();
    private final List<SettingsError> wrong = new ArrayList<>();
    private int bytes;

    /** No further text is taken in. */
    private boolean full;

    /** Whether what a configuration lacks can be told from what was read. */
    private boolean whole = true;

    /** Whether all texts' braces could be made out. */
    private boolean structured = true;

    private Reader(Sources from, boolean part) {
        this.from = from;
        this.part = part;
    }

    /** A whole configuration. */
    public static Config read(Sources from, String first) {
        return new Reader(from, false).read(first);
    }

    /**
     * One that holds some entries only, as an operator's file beside the platform's configuration.
     */
    public static Config readPart(Sources from, String first) {
        return new Reader(from, true).read(first);
    }

    private Config read(String first) {
        SourcePosition start = new SourcePosition(first, 1, 1, 1);
        try {
            String name = from.resolve("", first);
            start = new SourcePosition(name, 1, 1, 1);
            include(name, start, new ArrayDeque<>());
        } catch (Sources.Unreadable e) {
            diagnostics.add(start, e.getMessage(), "");
            whole = false;
        }
        if (structured) {
            statements.forEach(this::let);
            statements.forEach(this::top);
            if (statements.isEmpty() && whole) {
                diagnostics.add(
                        start,
                        "there is no entry in this configuration",
                        "begin with name, listen, executor,"
                                + " index and naming; 'config explain' tells all entries");
                whole = false;
            }
        }
        Map<String, String> values = new LinkedHashMap<>();
        given.forEach((name, one) -> values.put(name, one.value()));
        Map<String, List<String>> lists = new LinkedHashMap<>();
        items.forEach((list, names) -> lists.put(list, List.copyOf(names)));
        ParsedSettings parsedSettings =
                new ParsedSettings(lists, ParsedSettings.ordered(lists, values));
        if (whole) {
            judge(parsedSettings, start);
        }
        Map<String, SourcePosition> places = new LinkedHashMap<>();
        given.forEach((name, one) -> places.put(name, one.place()));
        return new Config(parsedSettings, places, diagnostics, sources);
    }

    // ---- texts ----

    private void include(String name, SourcePosition by, Deque<SourcePosition> chain)
            throws Sources.Unreadable {
        Source source;
        try {
            int left = MOST_BYTES_IN_ALL - bytes;
            full |= left < MOST_BYTES; // a text that no longer fits is the last one asked for
            byte[] read = from.read(name, Math.min(MOST_BYTES, left));
            full = false;
            bytes += read.length;
            source = Source.of(name, read);
        } catch (Source.NoText e) {
            diagnostics.add(
                    e.place, "there are bytes here that are no UTF-8", "save the file as UTF-8");
            whole = false;
            return;
        }
        sources.add(source);
        includedAt.put(name, by);
        Parser.Parsed parsed = Parser.parse(source, diagnostics);
        structured &= parsed.whole();
        whole &= parsed.whole();
        for (Statement statement : parsed.statements()) {
            if (statement.name.text().equals(INCLUDE) && !statement.broken) {
                include(statement, name, chain);
            } else {
                statements.add(statement);
            }
        }
    }

    private void include(Statement statement, String by, Deque<SourcePosition> chain) {
        SourcePosition place =
                statement.values.isEmpty()
                        ? statement.name.place()
                        : statement.values.get(0).place();
        if (statement.values.size() != 1
                || statement.inside != null
                || statement.property != null) {
            diagnostics.add(place, "include takes one file", "write include \"FILE\"");
            whole = false;
            return;
        }
        if (full) {
            return; // that there are too many was told; each further one would tell it again
        }
        chain.addLast(place);
        try {
            String name = from.resolve(by, statement.values.get(0).text());
            SourcePosition before = includedAt.get(name);
            boolean circle =
                    name.equals(sources.get(0).name())
                            || chain.stream().anyMatch(link -> link.file().equals(name));
            if (circle) {
                String links =
                        chain.stream()
                                .dropWhile(link -> !link.file().equals(name))
                                .map(link -> link.file() + ":" + link.line())
                                .collect(Collectors.joining(" -> "));
                throw new Sources.Unreadable(
                        "these files include each other in a circle: " + links + " -> " + name);
            } else if (before != null) {
                throw new Sources.Unreadable(name + " was included before, at " + before);
            } else if (chain.size() > MOST_DEPTH) {
                full = true;
                throw new Sources.Unreadable(
                        "files include each other more than " + MOST_DEPTH + " deep");
            } else if (includedAt.size() >= MOST_FILES) {
                full = true;
                throw new Sources.Unreadable("more than " + MOST_FILES + " files are included");
            }
            include(name, place, chain);
        } catch (Sources.Unreadable e) {
            diagnostics.add(
                    place,
                    e.getMessage(),
                    e.getMessage().contains("includ")
                            ? "include each file once, and none that leads back here"
                            : "");
            whole = false;
        }
        chain.removeLast();
    }

    // ---- values given names ----

    private void let(Statement statement) {
        if (!statement.name.text().equals(LET) || statement.broken) {
            return;
        }
        boolean sound =
                statement.values.size() == 2
                        && statement.inside == null
                        && statement.property == null
                        && statement.values.get(0).kind() == ValueToken.Kind.BARE;
        if (!sound) {
            diagnostics.add(
                    statement.name.place(),
                    "let takes a name and one value",
                    "write let NAME VALUE");
            if (!statement.values.isEmpty()) {
                ValueToken given = statement.values.get(0);
                named.putIfAbsent(
                        given.text(),
                        new ValueToken(ValueToken.Kind.BARE, "", "", given.place(), false));
            }
            return;
        }
        ValueToken name = statement.values.get(0);
        ValueToken before = named.putIfAbsent(name.text(), statement.values.get(1));
        if (before != null) {
            diagnostics.add(
                    name.place(),
                    name.text() + " was given a value before, at " + before.place(),
                    "give this one another name");
        }
    }

    /** The value itself, or what its name stands for; null where that was told to be wrong. */
    private ValueToken plain(ValueToken word) {
        if (word.kind() != ValueToken.Kind.BARE || !word.text().startsWith("$")) {
            return word;
        }
        ValueToken value = named.get(word.text().substring(1));
        if (value == null) {
            String near = Names.nearest(word.text().substring(1), named.keySet());
            diagnostics.add(
                    word.place(),
                    "nothing is named " + word.text().substring(1),
                    near == null
                            ? "add let " + word.text().substring(1) + " VALUE"
                            : "write $" + near);
        } else if (value.kind() == ValueToken.Kind.BARE && value.text().startsWith("$")) {
            diagnostics.add(
                    word.place(),
                    word.text() + " stands for another name, " + value.text(),
                    "let each name stand for a value");
            return null;
        }
        return value == null
                ? null
                : new ValueToken(
                        value.kind(), value.text(), value.note(), word.place(), value.sound());
    }

    // ---- entries ----

    private void top(Statement statement) {
        String name = statement.name.text();
        if (name.equals(LET) || (statement.broken && statement.inside == null)) {
            if (!name.equals(LET)) {
                corrupted(name);
                whole &=
                        statement.name.sound()
                                && statement.name.kind() != ValueToken.Kind.NUMBER
                                && statement.name.kind() != ValueToken.Kind.KEYWORD;
            }
            return;
        }
        if (Schema.LISTS.contains(name)) {
            item(statement, items.computeIfAbsent(name, list -> new LinkedHashSet<>()));
        } else if (SECTIONS.contains(name)) {
            section(statement);
        } else {
            entry(statement, "", false);
        }
    }

    private static Set<String> findSections() {
        Set<String> sections = new LinkedHashSet<>();
        for (Entry entry : Schema.all()) {
            int space = entry.name().indexOf(' ');
            if (space > 0 && entry.list().isEmpty()) {
                sections.add(entry.name().substring(0, space));
            }
        }
        sections.add(Schema.EXTRA);
        return sections;
    }

    /** What was given and can't be used isn't missing. */
    private void corrupted(String name) {
        wrong.add(new SettingsError(name, "", "", true));
    }

    private void item(Statement statement, Set<String> names) {
        String list = statement.name.text();
        if (statement.values.size() != 1
                || statement.inside == null
                || statement.property != null) {
            if (!statement.broken) {
                diagnostics.add(
                        statement.name.place(),
                        "a " + list + " takes one name and its entries in braces",
                        "write " + list + " NAME { ... }");
            }
            whole = false; // what is inside is then in no place
            return;
        }
        ValueToken word = plain(statement.values.get(0));
        if (word == null) {
            whole = false;
            return;
        }
        String item = word.text();
        if (item.isEmpty() || item.contains(" ") || item.contains(",")) {
            diagnostics.add(
                    word.place(),
                    "a " + list + "'s name has no blank and no comma",
                    "write it with - or _");
            whole = false;
            return;
        }
        if (!statement.name.note().equals(OVERRIDE)) {
            names.add(item);
        }
        block(statement, list + " " + item, list + " " + item + " ");
    }

    private void section(Statement statement) {
        String name = statement.name.text();
        if (!statement.values.isEmpty() || statement.inside == null || statement.property != null) {
            if (!statement.broken) {
                diagnostics.add(
                        statement.name.place(),
                        name + " takes its entries in braces",
                        "write " + name + " { ... }");
            }
            whole = false;
            return;
        }
        block(statement, name, name + " ");
    }

    private void block(Statement statement, String name, String prefix) {
        boolean overrides = statement.name.note().equals(OVERRIDE);
        SourcePosition before = blocks.putIfAbsent(name, statement.name.place());
        if (before != null && !overrides) {
            diagnostics.add(
                    statement.name.place(),
                    name + " was given before, at " + before,
                    "put its entries there, or write (override)"
                            + statement.name.text()
                            + " to change some of them");
            return;
        }
        if (before == null && overrides) {
            diagnostics.add(
                    statement.name.place(),
                    "there is no " + name + " before this to override",
                    "take (override) out, or put this after what it overrides");
            blocks.remove(name);
            whole = false;
            return;
        }
        note(statement);
        for (Statement inside : statement.inside) {
            if (inside.broken) {
                corrupted(prefix + inside.name.text());
            } else {
                entry(inside, prefix, overrides);
            }
        }
    }

    private void note(Statement statement) {
        String note = statement.name.note();
        if (!note.isEmpty() && !note.equals(OVERRIDE)) {
            diagnostics.add(
                    statement.name.place(),
                    "(" + note + ") means nothing before an entry",
                    "write (override), or nothing");
        }
    }

    private void entry(Statement statement, String prefix, boolean inOverride) {
        String name = prefix + statement.name.text();
        if (prefix.equals(Schema.EXTRA + " ")) {
            extra(statement, name, inOverride);
            return;
        }
        Entry entry = ParsedSettings.entry(name);
        if (entry == null || (entry.name().contains("*") && prefix.isEmpty())) {
            unknown(statement, prefix);
            return;
        }
        if (statement.inside != null) {
            diagnostics.add(
                    statement.name.place(),
                    entry.own() + " takes a value and no braces",
                    ParsedSettings.wanted(entry));
            corrupted(name);
            return;
        }
        if (statement.property != null) {
            diagnostics.add(
                    statement.property,
                    "an entry's value has no name of its own and no =",
                    "write it as an entry of its own, like " + entry.own() + " VALUE");
            corrupted(name);
            return;
        }
        note(statement);
        String value = value(statement, entry);
        if (value == null) {
            corrupted(name);
        } else {
            give(statement, name, value, inOverride);
        }
    }

    private void give(Statement statement, String name, String value, boolean inOverride) {
        SourcePosition place = statement.name.place();
        Given before = given.get(name);
        boolean overrides = inOverride || statement.name.note().equals(OVERRIDE);
        if (before != null && !overrides) {
            diagnostics.add(
                    place,
                    statement.name.text() + " was given before, at " + before.place(),
                    "take one of them out, or write (override)" + statement.name.text() + " here");
        } else if (before == null && statement.name.note().equals(OVERRIDE)) {
            diagnostics.add(
                    place,
                    "there is no " + statement.name.text() + " before this to override",
                    "take (override) out, or put this after what it overrides");
        }
        SourcePosition at = statement.values.isEmpty() ? place : statement.values.get(0).place();
        given.put(name, new Given(value, at));
    }

    private void extra(Statement statement, String name, boolean inOverride) {
        ValueToken word = statement.values.size() == 1 ? plain(statement.values.get(0)) : null;
        String key = "settings." + statement.name.text();
        if (Schema.keyed(key) != null) {
            diagnostics.add(
                    statement.name.place(),
                    statement.name.text() + " has an entry of its own: " + Schema.keyed(key).name(),
                    "write it there");
        } else if (word == null || statement.inside != null || statement.property != null) {
            diagnostics.add(
                    statement.name.place(),
                    "an extra entry takes one text",
                    "write \"" + statement.name.text() + "\" \"VALUE\"");
        } else {
            give(statement, name, word.text(), inOverride);
        }
    }

    private void unknown(Statement statement, String prefix) {
        String own = statement.name.text();
        SourcePosition place = statement.name.place();
        String section = prefix.isEmpty() ? "" : prefix.split(" ", 0)[0];
        Set<String> here = new TreeSet<>();
        String elsewhere = null;
        for (Entry entry : Schema.all()) {
            int space = entry.name().indexOf(' ');
            String of = space < 0 ? "" : entry.name().substring(0, space);
            if (of.equals(section)) {
                here.add(entry.own());
            } else if (entry.own().equals(own)) {
                elsewhere = of;
            }
        }
        if (prefix.isEmpty()) {
            here.addAll(SECTIONS);
            here.addAll(Schema.LISTS);
            here.addAll(List.of(INCLUDE, LET));
        }
        String where = prefix.isEmpty() ? "" : " in " + prefix.strip();
        if (elsewhere != null) {
            boolean list = Schema.LISTS.contains(elsewhere);
            diagnostics.add(
                    place,
                    own + " has no place" + (where.isEmpty() ? " here" : where),
                    elsewhere.isEmpty()
                            ? "write it outside of all braces"
                            : "write it in " + elsewhere + (list ? " NAME" : "") + " { }");
        } else if (!prefix.isEmpty()
                && (own.equals(INCLUDE)
                        || own.equals(LET)
                        || Schema.LISTS.contains(own)
                        || SECTIONS.contains(own))) {
            diagnostics.add(place, own + " has no place" + where, "write it outside of all braces");
        } else {
            String near = Names.nearest(own, here);
            diagnostics.add(
                    place,
                    "there is no entry " + own + where,
                    near == null ? "see 'config explain' for all entries" : "write " + near);
        }
        whole &= statement.inside == null; // a misspelled section, whose entries are then nowhere
        if (elsewhere != null) {
            corrupted(elsewhere.isEmpty() ? own : elsewhere + " " + own);
        }
        String near = Names.nearest(own, here);
        if (near != null) {
            corrupted(prefix + near);
        }
    }

    // ---- values ----

    /** As the meaning keeps it; null where it was told to be wrong. */
    private String value(Statement statement, Entry entry) {
        if (entry.kind() == ValueType.WORDS && !statement.values.isEmpty()) {
            StringBuilder words = new StringBuilder();
            for (ValueToken each : statement.values) {
                ValueToken word = plain(each);
                if (word == null) {
                    return null;
                }
                words.append(words.length() == 0 ? "" : ",").append(word.text());
            }
            return words.toString();
        }
        if (statement.values.size() != 1) {
            if (statement.values.size() == 2
                    && entry.kind().isNumber()
                    && Quantities.isUnit(statement.values.get(1).text())) {
                ValueToken number = statement.values.get(0);
                diagnostics.add(
                        number.place(),
                        "there is a blank between " + number.text() + " and its unit",
                        "write " + number.text() + statement.values.get(1).text());
                return null;
            }
            boolean none = statement.values.isEmpty();
            SourcePosition place = none ? statement.name.place() : statement.values.get(1).place();
            diagnostics.add(
                    place,
                    none
                            ? entry.own() + " has no value"
                            : entry.own() + " takes one value, not " + statement.values.size(),
                    ParsedSettings.wanted(entry));
            return null;
        }
        ValueToken word = plain(statement.values.get(0));
        if (word != null && word.kind() == ValueToken.Kind.BARE && word.text().endsWith(",")) {
            diagnostics.add(word.place(), "a comma behind a value means nothing", "take it out");
            return null;
        }
        return word == null || !word.sound() ? null : ValueConversion.of(word, entry, diagnostics);
    }

    // ---- the whole ----

    private void judge(ParsedSettings parsedSettings, SourcePosition start) {
        for (SettingsError error :
                part
                        ? SettingsValidator.ofPart(parsedSettings, wrong)
                        : SettingsValidator.of(parsedSettings, wrong)) {
            diagnostics.add(place(error.name(), start), error.text(), error.instead());
        }
    }

    /** Where an entry was given; else where its block was; else the start. */
    private SourcePosition place(String name, SourcePosition start) {
        Given one = given.get(name);
        if (one != null) {
            return one.place();
        }
        int space = name.lastIndexOf(' ');
        SourcePosition block =
                space < 0
                        ? blocks.get(name)
                        : blocks.getOrDefault(name.substring(0, space), blocks.get(name));
        return block == null ? start : block;
    }
}
