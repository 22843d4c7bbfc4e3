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
 * Files that hold byte for byte what leaves the process at an edge. They are written once, by the
 * code whose bytes they hold: with the system property {@code golden.record} a file that is missing
 * is written; one that is there is never changed by a test.
 */
public final class GoldenFile {
    private static final Path DIRECTORY = Path.of("src", "test", "resources", "golden");
    private static final String RECORD_PROPERTY = "golden.record";

    private GoldenFile() {}

    /** Where a golden file, or the input that belongs to one, stands; relative to the project. */
    public static Path path(String name) {
        return DIRECTORY.resolve(name);
    }

    /** The text of a file in the folder. */
    public static String text(String name) {
        try {
            return Files.readString(path(name));
        } catch (IOException e) {
            throw new UncheckedIOException("can't read the golden file " + path(name), e);
        }
    }

    /** Fails unless the file has just this text; the message names the first line that differs. */
    public static void holds(String name, String actual) {
        if (!Files.exists(path(name)) && Boolean.getBoolean(RECORD_PROPERTY)) {
            record(name, actual);
        }
        String expected = text(name);
        if (!expected.equals(actual)) {
            int line = firstDifference(expected, actual);
            assertThat(actual)
                    .as("bytes at an edge changed; see line %d of %s", line, path(name))
                    .isEqualTo(expected);
        }
    }

    private static void record(String name, String actual) {
        try {
            Files.createDirectories(path(name).getParent());
            Files.writeString(path(name), actual);
        } catch (IOException e) {
            throw new UncheckedIOException("can't write the golden file " + path(name), e);
        }
    }

    private static int firstDifference(String expected, String actual) {
        String[] before = expected.split("\n", -1);
        String[] now = actual.split("\n", -1);
        int line = 0;
        while (line < before.length && line < now.length && before[line].equals(now[line])) {
            line++;
        }
        return line + 1;
    }

    /** A map as sorted lines of {@code key=value}. */
    public static String lines(Map<String, String> map) {
        return new TreeMap<>(map)
                .entrySet().stream()
                        .map(each -> each.getKey() + "=" + each.getValue() + "\n")
                        .collect(Collectors.joining());
    }

    /** Bytes in one line: printable ASCII as it is, all else escaped. */
    public static String shown(byte[] bytes) {
        StringBuilder out = new StringBuilder();
        for (byte each : bytes) {
            switch (each) {
                case '\r' -> out.append("\\r");
                case '\n' -> out.append("\\n");
                case '\\' -> out.append("\\\\");
                default -> {
                    if (each >= ' ' && each < 0x7f) {
                        out.append((char) each);
                    } else {
                        out.append(String.format("\\x%02x", each));
                    }
                }
            }
        }
        return out.toString();
    }

    /** The same for a text whose characters stand for one byte each. */
    public static String shown(String bytes) {
        return shown(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }
}
