package lupinwood.config;

import java.math.BigDecimal;
import java.math.MathContext;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lupinwood.settings.Entry;
import lupinwood.settings.ParsedSettings;
import lupinwood.settings.ValueType;

/** Numbers with units, and what people write in their place. */
final class Quantities {
    /** The number, or what is wrong with it. */
    record Read(BigDecimal value, String text, String instead) {
        static Read wrong(String text, String instead) {
            return new Read(null, text, instead);
        }
    }

    private static final Pattern SHAPE =
            Pattern.compile(
                    "([+-]?(?:[0-9][0-9_]*)?(?:\\.[0-9_]+)?(?:[eE][+-]?[0-9]+)?)([^0-9.+_-].*|)");
    private static final Pattern GROUPED =
            Pattern.compile("([+-]?[0-9]{1,3}(?:[,'\u2019.][0-9]{3})+)([^0-9.,]*)");
    private static final Pattern COMMA = Pattern.compile("([+-]?[0-9]*),([0-9]+)([^0-9.,]*)");
    private static final Pattern BLANKS = Pattern.compile("[\u00A0\u2009\u202F]");

    /** No quantity needs more digits; a longer one would take time and memory to reckon with. */
    private static final int MOST_CHARS = 40;

    private static final int MOST_POWER = 30;

    private static final Map<String, String> DURATIONS =
            units(
                    "ns", "1", "us", "1e3", "ms", "1e6", "s", "1e9", "min", "60e9", "h", "3600e9",
                    "d", "86400e9");
    private static final Map<String, String> MEMORY =
            units("B", "1", "KB", "1e3", "MB", "1e6", "GB", "1e9");
    private static final Map<String, String> SHARES = units("%", "0.01");
    private static final Map<String, String> RATES =
            units("/s", "1", "/min", "1/60", "/h", "1/3600");

    /** What else people call the units. */
    private static final Map<String, String> CALLED =
            units(
                    "sec",
                    "s",
                    "secs",
                    "s",
                    "second",
                    "s",
                    "seconds",
                    "s",
                    "msec",
                    "ms",
                    "msecs",
                    "ms",
                    "millis",
                    "ms",
                    "m",
                    "ms, or min",
                    "mins",
                    "min",
                    "minutes",
                    "min",
                    "hours",
                    "h",
                    "hr",
                    "h",
                    "days",
                    "d",
                    "usec",
                    "us",
                    "\u00B5s",
                    "us",
                    "K",
                    "KB",
                    "k",
                    "KB",
                    "M",
                    "MB",
                    "G",
                    "GB",
                    "KiB",
                    "KB",
                    "MiB",
                    "MB",
                    "GiB",
                    "GB",
                    "percent",
                    "%",
                    "pct",
                    "%",
                    "rps",
                    "/s",
                    "/sec",
                    "/s",
                    "qps",
                    "/s",
                    "/second",
                    "/s",
                    "/m",
                    "/min",
                    "/minute",
                    "/min",
                    "/hour",
                    "/h");

    private static final Map<String, String> PLAIN = units("", "1");

    private Quantities() {}

    private static Map<String, String> units(String... pairs) {
        Map<String, String> units = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            units.put(pairs[i], pairs[i + 1]);
        }
        return units;
    }

    private static Map<String, String> of(ValueType kind) {
        return switch (kind) {
            case DURATION, DURATION_MILLIS -> DURATIONS;
            case MEMORY_KB, MEMORY_MB -> MEMORY;
            case SHARE -> SHARES;
            case RATE -> RATES;
            default -> PLAIN;
        };
    }

    /** Whether a note before a number is a unit, as in {@code (ms)250}. */
    static boolean isUnit(String note) {
        return DURATIONS.containsKey(note)
                || MEMORY.containsKey(note)
                || SHARES.containsKey(note)
                || RATES.containsKey(note);
    }

    /** As the schema keeps it: nanoseconds, bytes, a fraction of one, pieces a second. */
    static Read read(String written, String note, Entry entry) {
        ValueType kind = entry.kind();
        String text = written + note;
        if (text.length() > MOST_CHARS) {
            return Read.wrong(
                    "this number is too long to mean anything", ParsedSettings.wanted(entry));
        }
        String unseen = BLANKS.matcher(text).replaceAll("");
        if (!unseen.equals(text)) {
            return Read.wrong("there is a no-break space inside this number", "write " + unseen);
        }
        if (text.matches("[+-]?0[xob][0-9a-fA-F_]+")) {
            return Read.wrong(text + " is not written in decimal", "write it as a decimal number");
        }
        Matcher grouped = GROUPED.matcher(text);
        Matcher comma = COMMA.matcher(text);
        if (grouped.matches()
                && !(text.indexOf(',') < 0
                        && text.indexOf('\'') < 0
                        && text.indexOf('\u2019') < 0)) {
            String plain = grouped.group(1).replaceAll("[^0-9+-]", "") + grouped.group(2);
            return Read.wrong(
                    text + " has its digits in groups, and a comma means nothing in a number",
                    "write " + plain + (kind.isNumber() ? unitless(kind, grouped.group(2)) : ""));
        }
        if (comma.matches()) {
            return Read.wrong(
                    text + " has a comma where a number has a point",
                    "write " + comma.group(1) + "." + comma.group(2) + comma.group(3));
        }
        if (text.matches("[+-]?[0-9.]*,[0-9.,]*[^0-9.,]*")) {
            return Read.wrong(
                    text + " has a comma, which means nothing in a number",
                    "write its digits without groups, and a point before its fraction");
        }
        Matcher shape = SHAPE.matcher(text);
        if (!shape.matches()
                || !shape.group(1).matches(".*[0-9].*")
                || shape.group(1).endsWith("_")) {
            return Read.wrong(text + " is no number", ParsedSettings.wanted(entry));
        }
        return withUnit(shape.group(1).replace("_", ""), shape.group(2), entry);
    }

    private static String unitless(ValueType kind, String unit) {
        return unit.isEmpty() && (kind == ValueType.DURATION || kind == ValueType.DURATION_MILLIS)
                ? "ms, or in another unit"
                : "";
    }

    private static Read withUnit(String digits, String unit, Entry entry) {
        BigDecimal number;
        try {
            number = new BigDecimal(digits);
        } catch (NumberFormatException e) {
            return Read.wrong(digits + " is no number", ParsedSettings.wanted(entry));
        }
        if (Math.abs((long) number.precision() - number.scale()) > MOST_POWER
                || Math.abs((long) number.scale()) > MOST_POWER) {
            return Read.wrong(
                    digits + unit + " is beyond anything that can be meant",
                    ParsedSettings.wanted(entry));
        }
        Map<String, String> units = of(entry.kind());
        String factor = units.get(unit);
        if (factor == null) {
            return wrongUnit(number, digits, unit, entry, units);
        }
        int slash = factor.indexOf('/');
        BigDecimal value =
                slash < 0
                        ? number.multiply(new BigDecimal(factor))
                        : number.divide(
                                new BigDecimal(factor.substring(slash + 1)), MathContext.DECIMAL64);
        boolean whole =
                (entry.kind() != ValueType.DURATION && entry.kind() != ValueType.DURATION_MILLIS)
                        || value.stripTrailingZeros().scale() <= 0;
        return whole
                ? new Read(value, "", "")
                : Read.wrong(
                        digits + unit + " is no whole number of nanoseconds",
                        ParsedSettings.wanted(entry));
    }

    private static Read wrongUnit(
            BigDecimal number, String digits, String unit, Entry entry, Map<String, String> units) {
        ValueType kind = entry.kind();
        if (unit.isEmpty()) {
            return switch (kind) {
                case DURATION, DURATION_MILLIS ->
                        Read.wrong(
                                digits + " has no unit, so it is no time",
                                "write " + digits + "ms, " + digits + "s or another unit of time");
                case SHARE ->
                        Read.wrong(
                                digits + " has no %, so it is no share",
                                "write "
                                        + plain(
                                                number.abs().compareTo(BigDecimal.ONE) <= 0
                                                        ? number.movePointRight(2)
                                                        : number)
                                        + "%");
                case RATE ->
                        Read.wrong(
                                digits + " has no unit, so it is no rate",
                                "write " + digits + "/s");
                default ->
                        Read.wrong(
                                digits + " has no unit, so it is no amount of memory",
                                "write " + digits + "KB or " + digits + "MB");
            };
        }
        if (units == PLAIN) {
            return Read.wrong(
                    digits + unit + " has a unit, and " + entry.own() + " has none",
                    "write " + digits);
        }
        for (String known : units.keySet()) {
            if (known.toLowerCase(Locale.ROOT).equals(unit.toLowerCase(Locale.ROOT))) {
                return Read.wrong(unit + " is no unit", "write " + digits + known);
            }
        }
        String called = CALLED.get(unit);
        String near = called != null && units.containsKey(called.split(",", 0)[0]) ? called : null;
        return Read.wrong(
                unit + " is no unit that " + entry.own() + " is given in",
                near == null
                        ? "write one of: " + String.join(", ", units.keySet())
                        : "write " + digits + near);
    }

    private static String plain(BigDecimal number) {
        return number.signum() == 0 ? "0" : number.stripTrailingZeros().toPlainString();
    }
}
