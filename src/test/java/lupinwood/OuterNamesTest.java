package lupinwood;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Names that leave the process on a wire, in settings, in stored data, in commands or in output
 * that tools read. Clients, operators and nodes of earlier versions depend on them, so each has to
 * remain a string literal of the program when types and members are renamed.
 */
final class OuterNamesTest {
    private static final Path SOURCES = Path.of("src", "main", "java");
    private static final Path NAMES = Path.of("src", "test", "resources", "outer-names.txt");

    /** In a longer literal a single word may occur by chance, as prose. */
    private static final int MAX_WORDS_AROUND_A_WORD = 3;

    private static final Pattern COMMENT_OR_LITERAL =
            Pattern.compile(
                    "//[^\n]*|/\\*.*?\\*/|'(?:\\\\.|[^'\\\\\n])*'"
                            + "|\"\"\".*?\"\"\"|\"((?:\\\\.|[^\"\\\\\n])*)\"",
                    Pattern.DOTALL);

    private static final Pattern ESCAPED_LINE_END = Pattern.compile("\\\\[nrt]");

    @Test
    void eachOuterNameStandsInALiteralOfTheSources() throws IOException {
        Set<String> literals = literals();

        List<String> missing = new ArrayList<>();
        for (String name : Files.readAllLines(NAMES)) {
            Pattern whole =
                    Pattern.compile(
                            "(?<![A-Za-z0-9_-])" + Pattern.quote(name) + "(?![A-Za-z0-9_-])");
            boolean phrase = name.contains(" ");
            if (literals.stream()
                    .filter(literal -> phrase || isShort(literal))
                    .noneMatch(literal -> whole.matcher(literal).find())) {
                missing.add(name);
            }
        }

        assertThat(missing).as("outer names that no literal of %s has", SOURCES).isEmpty();
    }

    private static Set<String> literals() throws IOException {
        Set<String> literals = new HashSet<>();
        try (Stream<Path> files = Files.walk(SOURCES)) {
            for (Path file : files.filter(each -> each.toString().endsWith(".java")).toList()) {
                Matcher found = COMMENT_OR_LITERAL.matcher(Files.readString(file));
                while (found.find()) {
                    if (found.group(1) != null) {
                        literals.add(
                                ESCAPED_LINE_END.matcher(found.group(1)).replaceAll(" ").strip());
                    }
                }
            }
        }
        return literals;
    }

    private static boolean isShort(String literal) {
        return literal.split("\\s+", -1).length <= MAX_WORDS_AROUND_A_WORD;
    }
}
