package lupinwood.config;

import java.util.stream.Collectors;
import lupinwood.settings.ChangeEffect;
import lupinwood.settings.Entry;
import lupinwood.settings.ParsedSettings;
import lupinwood.settings.Schema;

/** The entries explained, from the schema alone. */
public final class Reference {
    private Reference() {}

    /** One entry, for the terminal. */
    public static String explain(Entry entry) {
        StringBuilder out =
                new StringBuilder(where(entry))
                        .append("\n    ")
                        .append(entry.meaning())
                        .append('\n');
        out.append("    write:    ")
                .append(
                        entry.saidAs().isEmpty()
                                ? entry.kind().wanted()
                                : "one of " + String.join(", ", entry.saidAs()))
                .append('\n');
        if (entry.least() != null) {
            out.append("    bounds:   ").append(bounds(entry)).append('\n');
        }
        out.append("    default:  ")
                .append(entry.required() ? "none, it is needed" : entry.otherwise())
                .append('\n');
        if (!entry.instead().isEmpty()) {
            out.append("    amiss:    ").append(amiss(entry)).append('\n');
        }
        out.append("    changes:  ").append(changes(entry)).append('\n');
        out.append("    in JSON:  ").append(entry.key()).append('\n');
        return out.toString();
    }

    /** All entries as a table in Markdown. */
    public static String table() {
        StringBuilder out =
                new StringBuilder(
                        """
                        | entry | write | bounds | default | a change counts | meaning |
                        | --- | --- | --- | --- | --- | --- |
                        """);
        for (Entry entry : Schema.all()) {
            out.append("| `")
                    .append(where(entry))
                    .append("` | ")
                    .append(
                            entry.saidAs().isEmpty()
                                    ? entry.kind().wanted()
                                    : "`" + String.join("`, `", entry.saidAs()) + "`")
                    .append(" | ")
                    .append(entry.least() == null ? "" : bounds(entry))
                    .append(" | ")
                    .append(entry.required() ? "needed" : entry.otherwise())
                    .append(entry.instead().isEmpty() ? "" : ". " + amiss(entry))
                    .append(" | ")
                    .append(changes(entry))
                    .append(" | ")
                    .append(entry.meaning())
                    .append(" |\n");
        }
        return out.toString();
    }

    private static String where(Entry entry) {
        return entry.name().replace("*", "NAME");
    }

    private static String bounds(Entry entry) {
        String name = entry.name().replace("*", "x");
        return ParsedSettings.said(name, entry.least().toPlainString())
                + " to "
                + ParsedSettings.said(name, entry.most().toPlainString());
    }

    /** What the platform's form may get wrong, and what counts then. */
    private static String amiss(Entry entry) {
        String what =
                entry.lapses().stream()
                        .sorted()
                        .map(
                                violation ->
                                        switch (violation) {
                                            case ABSENT -> "none";
                                            case TOO_LITTLE -> "less";
                                            case TOO_MUCH -> "more";
                                            case FRACTION -> "a fraction";
                                            case UNKNOWN_WORD -> "another word";
                                        })
                        .collect(Collectors.joining(" or "));
        return "With " + what + " from the platform: " + entry.instead();
    }

    private static String changes(Entry entry) {
        return entry.change().said()
                + (entry.change() == ChangeEffect.RESTART || entry.change() == ChangeEffect.REFUSED
                        ? ": "
                        : ", since ")
                + entry.because();
    }
}
