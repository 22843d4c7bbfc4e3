package lupinwood.config;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.function.Function;

/** Problems as people and tools read them. */
public final class DiagnosticReport {
    private static final int MOST_SHOWN = 160;
    private static final Gson GSON = new GsonBuilder().disableHtmlEscaping().create();

    private DiagnosticReport() {}

    /** {@code FILE:LINE:COL: error: TEXT}, the line itself, a caret, and what to write instead. */
    public static String text(Diagnostics diagnostics, Function<SourcePosition, Source> sources) {
        StringBuilder out = new StringBuilder();
        for (Diagnostic diagnostic : diagnostics.all()) {
            out.append(diagnostic.place())
                    .append(": error: ")
                    .append(visible(diagnostic.text()))
                    .append('\n');
            Source source = sources.apply(diagnostic.place());
            String line = source == null ? "" : source.line(diagnostic.place().line());
            if (!line.isBlank()) {
                excerpt(line, diagnostic.place(), out);
            }
            if (!diagnostic.instead().isEmpty()) {
                out.append("    ").append(visible(diagnostic.instead())).append('\n');
            }
        }
        if (diagnostics.more() > 0) {
            out.append("and ").append(diagnostics.more()).append(" more\n");
        }
        return out.toString();
    }

    /** The part of a long line that the place is in; a tab counts as one blank, as in columns. */
    private static void excerpt(String line, SourcePosition place, StringBuilder out) {
        int column = Math.min(place.column() - 1, line.length());
        int from = column < MOST_SHOWN * 3 / 4 ? 0 : column - MOST_SHOWN / 2;
        int to = Math.min(line.length(), from + MOST_SHOWN);
        int carets = Math.max(1, Math.min(place.length(), to - column));
        out.append("    ")
                .append(visible(line.substring(from, to)))
                .append('\n')
                .append("    ")
                .append(" ".repeat(column - from))
                .append("^".repeat(carets))
                .append('\n');
    }

    /** Without characters that would move the reader's cursor. */
    static String visible(String text) {
        StringBuilder out = new StringBuilder();
        text.chars()
                .forEach(
                        c ->
                                out.append(
                                        c == '\t'
                                                ? ' '
                                                : Character.isISOControl(c)
                                                                || Character.getType(c)
                                                                        == Character.FORMAT
                                                        ? '\uFFFD'
                                                        : (char) c));
        return out.toString();
    }

    /** An array of objects with file, line, column, length, text and instead. */
    public static String json(Diagnostics diagnostics) {
        JsonArray all = new JsonArray();
        for (Diagnostic diagnostic : diagnostics.all()) {
            JsonObject one = new JsonObject();
            one.addProperty("file", diagnostic.place().file());
            one.addProperty("line", diagnostic.place().line());
            one.addProperty("column", diagnostic.place().column());
            one.addProperty("length", diagnostic.place().length());
            one.addProperty("text", diagnostic.text());
            one.addProperty("instead", diagnostic.instead());
            all.add(one);
        }
        return GSON.toJson(all);
    }
}
