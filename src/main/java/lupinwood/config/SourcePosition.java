package lupinwood.config;

/**
 * Where something stands in a text.
 *
 * @param file as the text's source calls it
 * @param line counted from 1
 * @param column in characters, counted from 1
 * @param length in characters, at least 1; it ends with its line
 */
public record SourcePosition(String file, int line, int column, int length) {
    @Override
    public String toString() {
        return file + ":" + line + ":" + column;
    }
}
