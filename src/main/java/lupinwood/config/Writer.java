package lupinwood.config;

import java.util.Map;
import java.util.function.Function;
import lupinwood.settings.Entry;
import lupinwood.settings.ParsedSettings;
import lupinwood.settings.Schema;
import lupinwood.settings.ValueType;

/** Writes a meaning as a text of the language, each entry in the schema's order. */
public final class Writer {
    private Writer() {}

    /**
     * Writes a configuration in the language's canonical form.
     *
     * @param remark what to say behind an entry, by its name; empty for nothing
     */
    public static String write(ParsedSettings parsedSettings, Function<String, String> remark) {
        StringBuilder out = new StringBuilder();
        String section = "";
        for (Map.Entry<String, String> each : parsedSettings.values().entrySet()) {
            String name = each.getKey();
            Entry entry = ParsedSettings.entry(name);
            int space = name.lastIndexOf(' ');
            String of = entry == null ? Schema.EXTRA : space < 0 ? "" : name.substring(0, space);
            if (!of.equals(section)) {
                out.append(section.isEmpty() ? "" : "}\n").append(out.length() == 0 ? "" : "\n");
                if (!of.isEmpty()) {
                    int end = of.indexOf(' ');
                    out.append(
                                    end < 0
                                            ? of
                                            : of.substring(0, end)
                                                    + " "
                                                    + text(of.substring(end + 1)))
                            .append(" {\n");
                }
                section = of;
            }
            String own =
                    entry == null ? text(name.substring(Schema.EXTRA.length() + 1)) : entry.own();
            String value =
                    entry == null ? quoted(each.getValue()) : value(entry, name, each.getValue());
            String said = remark.apply(name);
            out.append(of.isEmpty() ? "" : "    ")
                    .append(own)
                    .append(' ')
                    .append(value)
                    .append(said.isEmpty() ? "" : " // " + said)
                    .append('\n');
        }
        items(parsedSettings, out, section);
        return out.toString();
    }

    /** Tenants of whom nothing is told but that they are there. */
    private static void items(ParsedSettings parsedSettings, StringBuilder out, String section) {
        out.append(section.isEmpty() ? "" : "}\n");
        for (String list : Schema.LISTS) {
            for (String item : parsedSettings.items(list)) {
                String prefix = list + " " + item + " ";
                if (parsedSettings.values().keySet().stream()
                        .noneMatch(name -> name.startsWith(prefix))) {
                    out.append('\n').append(list).append(' ').append(text(item)).append(" {}\n");
                }
            }
        }
    }

    private static String value(Entry entry, String name, String value) {
        if (entry.kind() == ValueType.WORDS) {
            StringBuilder words = new StringBuilder();
            for (String word : value.split(",", 0)) {
                words.append(words.length() == 0 ? "" : " ").append(text(word));
            }
            return words.toString();
        }
        boolean quotes = entry.kind() == ValueType.ADDRESS || entry.kind() == ValueType.HEX;
        return quotes
                ? quoted(value)
                : entry.kind() == ValueType.TEXT ? text(value) : ParsedSettings.said(name, value);
    }

    /** Bare where that reads as the same text. */
    private static String text(String text) {
        boolean bare =
                text.matches("[A-Za-z_][A-Za-z0-9_.-]*")
                        && !text.matches("true|false|null|inf|nan");
        return bare ? text : quoted(text);
    }

    private static String quoted(String text) {
        StringBuilder out = new StringBuilder("\"");
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            switch (c) {
                case '"', '\\' -> out.append('\\').append(c);
                case '\n' -> out.append("\\n");
                case '\r' -> out.append("\\r");
                case '\t' -> out.append("\\t");
                default -> {
                    if (Character.isISOControl(c) || c == '\u2028' || c == '\u2029') {
                        out.append(String.format("\\u{%x}", (int) c));
                    } else {
                        out.append(c);
                    }
                }
            }
        }
        return out.append('"').toString();
    }
}
