package lupinwood.config;

import java.util.List;

/** What stands between quotes. */
final class Texts {
    private Texts() {}

    /** With escapes undone; null where one names no character. */
    static String unescape(String text) {
        if (text.indexOf('\\') < 0) {
            return text;
        }
        StringBuilder plain = new StringBuilder();
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c != '\\' || i + 1 == text.length()) {
                plain.append(c);
                continue;
            }
            c = text.charAt(++i);
            switch (c) {
                case 'n' -> plain.append('\n');
                case 'r' -> plain.append('\r');
                case 't' -> plain.append('\t');
                case 'b' -> plain.append('\b');
                case 'f' -> plain.append('\f');
                case 's' -> plain.append(' ');
                case 'u' -> {
                    int end = text.indexOf('}', i);
                    String digits = end < 0 ? "" : text.substring(Math.min(end, i + 2), end);
                    int code =
                            digits.isEmpty()
                                            || digits.length() > 6
                                            || !digits.matches("[0-9a-fA-F]+")
                                    ? -1
                                    : Integer.parseInt(digits, 16);
                    if (!Character.isValidCodePoint(code) || (code >= 0xD800 && code < 0xE000)) {
                        return null;
                    }
                    plain.appendCodePoint(code);
                    i = end;
                }
                default -> plain.append(c);
            }
        }
        return plain.toString();
    }

    /**
     * The lines between the triple quotes without the blanks that stand before the closing ones; or
     * null.
     */
    static String multiline(String quoted) {
        List<String> lines = quoted.substring(3, quoted.length() - 3).lines().toList();
        if (lines.size() < 2 || !lines.get(lines.size() - 1).isBlank()) {
            return quoted.substring(3, quoted.length() - 3).endsWith("\n")
                    ? strip(lines, "")
                    : null;
        }
        return strip(lines.subList(0, lines.size() - 1), lines.get(lines.size() - 1));
    }

    private static String strip(List<String> lines, String blanks) {
        StringBuilder text = new StringBuilder();
        for (String line : lines.subList(Math.min(1, lines.size()), lines.size())) {
            if (!line.isBlank() && !line.startsWith(blanks)) {
                return null;
            }
            text.append(text.length() == 0 ? "" : "\n")
                    .append(line.isBlank() ? "" : line.substring(blanks.length()));
        }
        return text.toString();
    }

    /** The first escape that isn't one. */
    static String badEscape(String quoted) {
        for (int i = quoted.indexOf('\\'); i >= 0; i = quoted.indexOf('\\', i + 2)) {
            if ("nrt\"\\bfsu".indexOf(quoted.charAt(i + 1)) < 0) {
                return quoted.substring(i, i + 2);
            }
        }
        return "\\u without {...}";
    }

    static String stray(String text) {
        int code = text.codePointAt(0);
        return Character.isISOControl(code) || Character.getType(code) == Character.FORMAT
                ? "there is a character here that can't be seen, U+" + String.format("%04X", code)
                : "there is no place for " + text + " here";
    }
}
