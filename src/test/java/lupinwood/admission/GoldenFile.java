package lupinwood.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Golden files hold, byte for byte, what leaves the process at an interface. Each is written once,
 * by the code whose output it holds: with the system property {@code golden.record} a missing file
 * is written. A test never changes an existing one.
 */
public final class GoldenFile {
    private static final Path DIRECTORY = Path.of("src", "test", "resources", "golden");
    private static final String RECORD_PROPERTY = "golden.record";

    private GoldenFile() {}

    /** The path, relative to the project, of a golden file or of an input that belongs to one. */
    public static Path path(String name) {
        return DIRECTORY.resolve(name);
    }

    /** The text of a golden file. */
    public static String text(String name) {
        try {
            return Files.readString(path(name));
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read golden file " + path(name), e);
        }
    }

    /**
     * Asserts that a golden file has exactly this text; the message names the first line that
     * differs.
     */
    public static void holds(String name, String actual) {
        if (!Files.exists(path(name)) && Boolean.getBoolean(RECORD_PROPERTY)) {
            record(name, actual);
        }
        String expected = text(name);
        if (!expected.equals(actual)) {
            int line = firstDifference(expected, actual);
            assertThat(actual)
                    .as(
                            "output differs from the golden file, first at line %d of %s",
                            line, path(name))
                    .isEqualTo(expected);
        }
    }

    private static void record(String name, String actual) {
        try {
            Files.createDirectories(path(name).getParent());
            Files.writeString(path(name), actual);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write golden file " + path(name), e);
        }
    }

    private static int firstDifference(String expected, String actual) {
        String[] expectedLines = expected.split("\n", -1);
        String[] actualLines = actual.split("\n", -1);
        int line = 0;
        while (line < expectedLines.length
                && line < actualLines.length
                && expectedLines[line].equals(actualLines[line])) {
            line++;
        }
        return line + 1;
    }

    /** A map as lines of {@code key=value}, sorted by key. */
    public static String lines(Map<String, String> map) {
        return new TreeMap<>(map)
                .entrySet().stream()
                        .map(each -> each.getKey() + "=" + each.getValue() + "\n")
                        .collect(Collectors.joining());
    }

    /** Bytes as one line: printable ASCII unchanged, all other bytes escaped. */
    public static String shown(byte[] bytes) {
        StringBuilder escaped = new StringBuilder();
        for (byte each : bytes) {
            switch (each) {
                case '\r' -> escaped.append("\\r");
                case '\n' -> escaped.append("\\n");
                case '\\' -> escaped.append("\\\\");
                default -> {
                    if (each >= ' ' && each < 0x7f) {
                        escaped.append((char) each);
                    } else {
                        escaped.append(String.format("\\x%02x", each));
                    }
                }
            }
        }
        return escaped.toString();
    }

    /** Escapes a text whose characters stand for one byte each. */
    public static String shown(String bytes) {
        return shown(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }
}
