package lupinwood.cli;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import lupinwood.config.Config;
import lupinwood.config.DiagnosticReport;
import lupinwood.config.Diagnostics;
import lupinwood.config.Formatter;
import lupinwood.config.Reader;
import lupinwood.config.Reference;
import lupinwood.config.Source;
import lupinwood.config.Writer;
import lupinwood.load.FileSources;
import lupinwood.load.Loader;
import lupinwood.net.NodeConfig;
import lupinwood.reload.ConfigDiff;
import lupinwood.settings.Entry;
import lupinwood.settings.ParsedSettings;
import lupinwood.settings.Schema;

/**
 * Checks, formats, compares, converts, shows and explains configurations; what {@link
 * ConfigCommand} asks for.
 */
final class ConfigActions {
    private static final int FINE = 0;
    private static final int FOUND = 1;
    private static final int USAGE = 2;
    private static final Gson GSON = new GsonBuilder().disableHtmlEscaping().create();

    private boolean json;
    private final boolean checkOnly;
    private final boolean operator;
    private final PrintStream out = new PrintStream(System.out, false, StandardCharsets.UTF_8);

    ConfigActions(boolean json, boolean checkOnly, boolean operator) {
        this.json = json;
        this.checkOnly = checkOnly;
        this.operator = operator;
    }

    /** Returns the exit status. */
    int run(List<String> words) {
        try {
            return words.isEmpty()
                    ? usage("say what to do: check, format, diff, import, show or explain")
                    : one(words.get(0), words.subList(1, words.size()));
        } finally {
            out.flush();
        }
    }

    private int one(String what, List<String> files) {
        return switch (what) {
            case "check" -> files.isEmpty() ? usage("check takes one or more files") : check(files);
            case "format" ->
                    files.isEmpty() ? usage("format takes one or more files") : format(files);
            case "diff" ->
                    files.size() != 2
                            ? usage("diff takes two files")
                            : diff(files.get(0), files.get(1));
            case "import" ->
                    files.size() != 1 ? usage("import takes one file") : importJson(files.get(0));
            case "show" -> files.size() != 1 ? usage("show takes one file") : show(files.get(0));
            case "explain" -> explain(String.join(" ", files));
            default ->
                    usage(
                            "there is no 'config "
                                    + what
                                    + "'; there is check, format, diff, import, show, explain");
        };
    }

    private static int usage(String text) {
        System.err.println("lupinwood: " + text);
        return USAGE;
    }

    private static boolean canRead(List<String> files) {
        for (String file : files) {
            Path path = Path.of(file);
            if (!Files.isRegularFile(path) || !Files.isReadable(path)) {
                usage("can't read " + file);
                return false;
            }
        }
        return true;
    }

    // ---- check ----

    private int check(List<String> files) {
        if (!canRead(files)) {
            return USAGE;
        }
        int status = FINE;
        for (String file : files) {
            status =
                    Math.max(
                            status,
                            Loader.isLanguage(Path.of(file))
                                    ? checkLanguage(file)
                                    : checkJson(file));
        }
        return status;
    }

    private int checkLanguage(String file) {
        FileSources sources = new FileSources();
        Config config = operator ? Reader.readPart(sources, file) : Reader.read(sources, file);
        return report(config.diagnostics(), config);
    }

    private int report(Diagnostics diagnostics, Config config) {
        if (json) {
            out.println(DiagnosticReport.json(diagnostics));
        } else {
            out.print(DiagnosticReport.text(diagnostics, config::source));
        }
        return diagnostics.isEmpty() ? FINE : FOUND;
    }

    /** The platform's form, whose entries have no place in lines. */
    private int checkJson(String file) {
        JsonArray all = new JsonArray();
        int status = FINE;
        try {
            NodeConfig config = NodeConfig.read(Path.of(file));
            config.doubts()
                    .forEach(
                            doubt -> {
                                all.add(problem(file, "warning", doubt.text(), doubt.instead()));
                                if (!json) {
                                    out.println(file + ": warning: " + doubt.text());
                                    out.print(
                                            doubt.instead().isEmpty()
                                                    ? ""
                                                    : "    " + doubt.instead() + "\n");
                                }
                            });
        } catch (NodeConfig.UnusableConfiguration e) {
            status = FOUND;
            all.add(problem(file, "error", e.getMessage(), ""));
            if (!json) {
                out.println(file + ": error: " + e.getMessage());
            }
        }
        if (json) {
            out.println(GSON.toJson(all));
        }
        return status;
    }

    private static JsonObject problem(String file, String kind, String text, String instead) {
        JsonObject one = new JsonObject();
        one.addProperty("file", file);
        one.addProperty("kind", kind);
        one.addProperty("text", text);
        one.addProperty("instead", instead);
        return one;
    }

    // ---- format ----

    private int format(List<String> files) {
        if (!canRead(files)) {
            return USAGE;
        }
        int status = FINE;
        for (String file : files) {
            try {
                status = Math.max(status, formatOne(Path.of(file)));
            } catch (CharacterCodingException e) {
                return usage(file + " is no UTF-8; 'config check' shows where");
            } catch (IOException e) {
                return usage("can't read or write " + file + ": " + e.getMessage());
            }
        }
        return status;
    }

    private int formatOne(Path file) throws IOException {
        Diagnostics diagnostics = new Diagnostics();
        String text = Files.readString(file);
        Source source = new Source(file.toString(), text);
        String formatted = Formatter.format(source, diagnostics);
        if (formatted == null) {
            out.print(
                    json
                            ? DiagnosticReport.json(diagnostics) + "\n"
                            : DiagnosticReport.text(diagnostics, place -> source));
            return FOUND;
        }
        if (formatted.equals(text)) {
            return FINE;
        }
        if (checkOnly) {
            out.println(file + ": not in its form; 'config format' would change it");
            return FOUND;
        }
        // Beside it and moved into place, so that nobody who reads it now finds half of it.
        Path beside =
                Files.createTempFile(
                        file.toAbsolutePath().getParent(), file.getFileName().toString(), ".new");
        Files.writeString(beside, formatted);
        Files.move(
                beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        return FINE;
    }

    // ---- diff, import, show, explain ----

    /** The meaning of a file that can be used; null where it can't, which was told. */
    private ParsedSettings meaning(String file) {
        if (Loader.isLanguage(Path.of(file))) {
            Config config = Reader.read(new FileSources(), file);
            return report(config.diagnostics(), config) == FINE ? config.parsedSettings() : null;
        }
        try {
            return NodeConfig.read(Path.of(file)).parsedSettings();
        } catch (NodeConfig.UnusableConfiguration e) {
            out.println(file + ": error: " + e.getMessage());
            return null;
        }
    }

    private int diff(String old, String next) {
        if (!canRead(List.of(old, next))) {
            return USAGE;
        }
        boolean asJson = json;
        json = false;
        ParsedSettings before = meaning(old);
        ParsedSettings after = meaning(next);
        if (before == null || after == null) {
            return USAGE;
        }
        ConfigDiff diff = ConfigDiff.between(before, after);
        JsonArray all = new JsonArray();
        for (ConfigDiff.Step step : diff.steps()) {
            JsonObject one = new JsonObject();
            one.addProperty("name", step.name());
            one.addProperty(
                    "before",
                    step.before() == null ? null : ParsedSettings.said(step.name(), step.before()));
            one.addProperty(
                    "after",
                    step.after() == null ? null : ParsedSettings.said(step.name(), step.after()));
            one.addProperty("change", step.change().said());
            one.addProperty("because", step.because());
            all.add(one);
            if (!asJson) {
                out.println(step.said() + ": " + step.because());
            }
        }
        if (asJson) {
            out.println(GSON.toJson(all));
        }
        return diff.isEmpty() ? FINE : FOUND;
    }

    private int importJson(String file) {
        if (!canRead(List.of(file))) {
            return USAGE;
        }
        ParsedSettings parsedSettings = meaning(file);
        if (parsedSettings == null) {
            return FOUND;
        }
        out.print(Writer.write(parsedSettings, name -> ""));
        return FINE;
    }

    private int show(String file) {
        if (!canRead(List.of(file))) {
            return USAGE;
        }
        if (!Loader.isLanguage(Path.of(file))) {
            return importJson(file);
        }
        Config config = Reader.read(new FileSources(), file);
        if (!config.diagnostics().isEmpty()) {
            return report(config.diagnostics(), config);
        }
        if (!json) {
            out.print(
                    Writer.write(
                            config.parsedSettings(), name -> config.places().get(name).toString()));
            return FINE;
        }
        JsonArray all = new JsonArray();
        config.parsedSettings()
                .values()
                .forEach(
                        (name, value) -> {
                            JsonObject one = new JsonObject();
                            one.addProperty("name", name);
                            one.addProperty("value", ParsedSettings.said(name, value));
                            one.addProperty("from", config.places().get(name).toString());
                            all.add(one);
                        });
        out.println(GSON.toJson(all));
        return FINE;
    }

    private int explain(String name) {
        if (name.equals("--table") || name.equals("table")) {
            out.print(Reference.table());
            return FINE;
        }
        List<Entry> found =
                Schema.all().stream()
                        .filter(
                                entry ->
                                        name.isEmpty()
                                                || entry.name().equals(name)
                                                || entry.own().equals(name)
                                                || entry.name().startsWith(name + " "))
                        .toList();
        if (found.isEmpty()) {
            return usage("there is no entry " + name + "; 'config explain' lists all");
        }
        found.forEach(entry -> out.println(Reference.explain(entry)));
        return FINE;
    }
}
