package lupinwood.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;
import lupinwood.admission.GoldenFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What the command line prints, on both streams, and the status with which it exits. */
final class GoldenConfigCommandTest {
    private static final String EXAMPLE = "examples/node.kdl";
    private static final String EXAMPLE_JSON = "examples/config.json";
    private static final String MOVED = "examples/moved.json";
    private static final String MISTAKES = input("mistakes.kdl");
    private static final String UNCLOSED = input("unclosed.kdl");
    private static final String CHANGED = input("changed.kdl");

    /** Where the usage text begins to tell of the next command. */
    private static final Pattern COMMAND = Pattern.compile("(?m)^(?= {4}[a-z])");

    @TempDir private Path directory;
    private final StringBuilder transcript = new StringBuilder();

    private static String input(String name) {
        return GoldenFile.path("config/" + name).toString();
    }

    /** Runs one command line; what it prints of the test's own folder is the same everywhere. */
    private void run(String... words) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        ByteArrayOutputStream complained = new ByteArrayOutputStream();
        int status;
        System.setOut(new PrintStream(printed, true, UTF_8));
        System.setErr(new PrintStream(complained, true, UTF_8));
        try {
            status = Main.run(words);
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
        note("$ " + String.join(" ", words) + "\n");
        note(printed.toString(UTF_8));
        if (complained.size() > 0) {
            note("[standard error]\n" + complained.toString(UTF_8));
        }
        note("[status " + status + "]\n\n");
    }

    private void note(String text) {
        transcript.append(text.replace(directory.toString(), "FOLDER"));
    }

    private String copy(String name) throws Exception {
        return Files.copy(GoldenFile.path("config/" + name), directory.resolve(name)).toString();
    }

    @Test
    void checkTellsMistakesInOneForm() {
        for (String flag : new String[] {"", "--json"}) {
            run(words(flag, "config", "check", EXAMPLE, EXAMPLE_JSON));
            run(words(flag, "config", "check", MISTAKES));
            run(words(flag, "config", "check", input("unsound.kdl")));
            run(words(flag, "config", "check", UNCLOSED, EXAMPLE));
            run(words(flag, "config", "check", input("bad.json")));
            run(words(flag, "config", "check", input("no.json"), input("array.json")));
            run(words(flag, "config", "check", "src/test/resources/golden/settings/full.json"));
            run(words(flag, "config", "check", "--operator", "deploy/operator.kdl"));
            run(words(flag, "config", "check", "--operator", input("operator.kdl")));
            run(words(flag, "config", "check", "none.kdl"));
        }
        GoldenFile.holds("config/check.txt", transcript.toString());
    }

    @Test
    void showAndImportPrintTheWholeInOneForm() {
        for (String flag : new String[] {"", "--json"}) {
            run(words(flag, "config", "show", EXAMPLE));
            run(words(flag, "config", "show", EXAMPLE_JSON));
            run(words(flag, "config", "show", "src/test/resources/golden/settings/full.kdl"));
            run(words(flag, "config", "show", UNCLOSED));
            run(words(flag, "config", "import", EXAMPLE_JSON));
            run(words(flag, "config", "import", "src/test/resources/golden/settings/full.json"));
            run(words(flag, "config", "import", input("bad.json")));
        }
        run("config", "show", "none.kdl");
        run("config", "show", "none.json");
        GoldenFile.holds("config/show.txt", transcript.toString());
    }

    @Test
    void diffTellsChangesInOneForm() {
        for (String flag : new String[] {"", "--json"}) {
            run(words(flag, "config", "diff", EXAMPLE_JSON, EXAMPLE));
            run(words(flag, "config", "diff", EXAMPLE, MOVED));
            run(words(flag, "config", "diff", EXAMPLE, CHANGED));
            run(words(flag, "config", "diff", CHANGED, EXAMPLE));
            run(
                    words(
                            flag,
                            "config",
                            "diff",
                            EXAMPLE,
                            "src/test/resources/golden/settings/full.kdl"));
            run(words(flag, "config", "diff", EXAMPLE, UNCLOSED));
            run(words(flag, "config", "diff", EXAMPLE, "none.kdl"));
        }
        GoldenFile.holds("config/diff.txt", transcript.toString());
    }

    @Test
    void formatWritesOneForm() throws Exception {
        String loose = copy("loose.kdl");
        run("config", "format", "--check", loose);
        run("config", "format", "--check", "--json", loose);
        run("config", "format", loose);
        note(Files.readString(Path.of(loose)));
        run("config", "format", loose);
        run("config", "format", "--check", loose, EXAMPLE);
        run("config", "format", copy("unclosed.kdl"));
        run("config", "format", "--json", directory.resolve("unclosed.kdl").toString());
        run("config", "format", "none.kdl");
        GoldenFile.holds("config/format.txt", transcript.toString());
    }

    @Test
    void explainTellsOfEachEntryInOneForm() {
        run("config", "explain", "window");
        run("config", "explain", "--json", "window");
        run("config", "explain", "track", "*", "window");
        run("config", "explain", "windw");
        run("config", "explain");
        run("config", "explain", "table");
        GoldenFile.holds("config/explain.txt", transcript.toString());
    }

    @Test
    void wordsThatMeanNothingAreRefusedInOneForm() {
        run("config");
        run("config", "frob");
        run("config", "check");
        run("config", "format");
        run("config", "diff", "one");
        run("config", "show");
        run("config", "import", "a", "b");
        run("config", "--frob");
        run("frob");
        run("version");
        run("version", "frob");
        run("serve", "--watch", "frob");
        run("serve", "--watch");
        run("serve", "--config", "none.kdl");
        run("serve", "--watch", "on", "--config", "none.json");
        run("serve", "--watch", "Off", "--config", "none.json");
        run("serve", "--watch", "AUTO", "--config", input("bad.json"));
        run("lab", "frob");
        run();
        GoldenFile.holds("config/refused.txt", transcript.toString());
    }

    /**
     * The commands come in any order, another with each start of the JVM: they are sorted here. Who
     * runs it, and an order's made-up name, are defaults that differ too.
     */
    @Test
    void helpTellsOfEachCommand() {
        for (String[] words : new String[][] {{"help"}, {"--help"}, {"-h"}}) {
            run(words);
        }
        List<String> sorted = new ArrayList<>();
        for (String one : transcript.toString().split("\\$ ", -1)) {
            int end = one.indexOf("[status");
            String usage = end < 0 ? one : one.substring(0, end);
            List<String> parts = new ArrayList<>(Arrays.asList(COMMAND.split(usage, -1)));
            String head = parts.remove(0);
            // The last command has no empty line behind it.
            List<String> bodies = parts.stream().map(String::stripTrailing).sorted().toList();
            sorted.add(head + String.join("\n\n", bodies) + (end < 0 ? "" : one.substring(end)));
        }
        GoldenFile.holds(
                "config/help.txt",
                String.join("$ ", sorted)
                        .replaceAll("(--order\\n.*\\n.*\\n +Default: )[0-9a-f]+", "$1ANY")
                        .replaceAll("(--by\\n.*\\n +Default: ).*", "$1USER"));
    }

    private static String[] words(String flag, String... words) {
        List<String> all = new ArrayList<>(List.of(words));
        if (!flag.isEmpty()) {
            all.add(flag);
        }
        return all.toArray(String[]::new);
    }
}
