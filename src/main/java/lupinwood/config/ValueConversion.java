package lupinwood.config;

import java.math.BigDecimal;
import java.util.Locale;
import lupinwood.settings.Entry;
import lupinwood.settings.ParsedSettings;
import lupinwood.settings.ValueType;

/** Makes of one word the value that an entry keeps, or says what is wrong with it. */
final class ValueConversion {
    private ValueConversion() {}

    /** Null where it can't be used, which was then told. */
    static String of(ValueToken word, Entry entry, Diagnostics diagnostics) {
        Quantities.Read read = read(word, entry);
        if (read.text() != null && !read.text().isEmpty()) {
            diagnostics.add(word.place(), read.text(), read.instead());
            return null;
        }
        return read.value() != null ? plain(read.value()) : read.instead();
    }

    /** Of what is no number, the value stands where one says what to write instead. */
    private static Quantities.Read read(ValueToken word, Entry entry) {
        ValueType kind = entry.kind();
        String text = word.text();
        if (!word.note().isEmpty() && !(kind.isNumber() && word.kind() == ValueToken.Kind.NUMBER)) {
            return Quantities.Read.wrong(
                    "(" + word.note() + ") means nothing before this value", "take it out");
        }
        if (kind.isNumber()) {
            return switch (word.kind()) {
                case NUMBER -> Quantities.read(text, word.note(), entry);
                case QUOTED ->
                        Quantities.Read.wrong(
                                "a text in quotes is no number",
                                text.isEmpty()
                                        ? ParsedSettings.wanted(entry)
                                        : "write " + text + " without quotes");
                default ->
                        Quantities.Read.wrong(text + " is no number", ParsedSettings.wanted(entry));
            };
        }
        return switch (kind) {
            case FLAG -> flag(word, entry);
            case WORD -> word(word, entry);
            default -> text(word, entry);
        };
    }

    private static Quantities.Read good(String value) {
        return new Quantities.Read(null, null, value);
    }

    private static Quantities.Read flag(ValueToken word, Entry entry) {
        if (word.kind() == ValueToken.Kind.KEYWORD
                && (word.text().equals("#true") || word.text().equals("#false"))) {
            return good(word.text().substring(1));
        }
        String instead =
                switch (word.text().toLowerCase(Locale.ROOT)) {
                    case "true", "yes", "on", "1" -> "write #true";
                    case "false", "no", "off", "0", "#null" -> "write #false";
                    default -> "write #true or #false";
                };
        return Quantities.Read.wrong(
                word.text() + " is no answer to whether: " + entry.own(), instead);
    }

    private static Quantities.Read word(ValueToken word, Entry entry) {
        if (word.kind() != ValueToken.Kind.KEYWORD && entry.saidAs().contains(word.text())) {
            return good(word.text());
        }
        String known = entry.said(word.text());
        String near =
                known.equals(word.text()) ? Names.nearest(word.text(), entry.saidAs()) : known;
        return Quantities.Read.wrong(
                word.text() + " is no " + entry.own(),
                near == null ? ParsedSettings.wanted(entry) : "write " + near);
    }

    private static Quantities.Read text(ValueToken word, Entry entry) {
        String text = word.text();
        boolean quotesDo = entry.kind() != ValueType.ADDRESS || ParsedSettings.isAddress(text);
        if (quotesDo
                && (word.kind() == ValueToken.Kind.NUMBER
                        || word.kind() == ValueToken.Kind.KEYWORD)) {
            return Quantities.Read.wrong(
                    text + " is no text", "write \"" + text.replace("#", "") + "\"");
        }
        if (text.isBlank()) {
            return Quantities.Read.wrong("this text is empty", ParsedSettings.wanted(entry));
        }
        if (entry.kind() == ValueType.ADDRESS && !ParsedSettings.isAddress(text)) {
            return Quantities.Read.wrong(
                    "this is no host and port: " + text,
                    "write HOST:PORT in quotes, as"
                            + " \"127.0.0.1:5050\", with a port from 1 to 65535");
        }
        if (entry.kind() == ValueType.HEX && !text.matches("[0-9a-fA-F]{1,16}")) {
            return Quantities.Read.wrong(
                    "this is no hexadecimal number of up to 16 digits: " + text,
                    ParsedSettings.wanted(entry));
        }
        return good(text);
    }

    private static String plain(BigDecimal number) {
        return number.signum() == 0 ? "0" : number.stripTrailingZeros().toPlainString();
    }
}
