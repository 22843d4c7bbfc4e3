package lupinwood.settings;

import java.math.BigDecimal;
import java.math.MathContext;
import java.math.RoundingMode;
import java.util.regex.Pattern;

/**
 * Between a value as the JSON keeps it and as it is compared here: numbers as plain decimals in
 * nanoseconds, bytes, fractions of one or pieces a second; words and texts as we write them.
 */
final class Values {
    private static final BigDecimal MILLIS = new BigDecimal(1_000_000);
    private static final BigDecimal KILO = new BigDecimal(1000);
    private static final Pattern ADDRESS = Pattern.compile("\\S+:[0-9]{1,5}");
    private static final Pattern HEX = Pattern.compile("[0-9a-fA-F]{1,16}");

    /** No number has more; a longer one would take time to read. */
    private static final int MOST_DIGITS = 400;

    /**
     * No entry needs more, before or behind the point; more would take time and memory to reckon
     * with.
     */
    private static final int MOST_POWER = 40;

    private Values() {}

    /** The value compared, or null where it can't be one of this kind. */
    static String read(Entry entry, String stored) {
        if (entry.kind().isNumber()) {
            BigDecimal number = number(stored);
            return number == null ? null : plain(number.multiply(unit(entry.kind())));
        }
        return switch (entry.kind()) {
            case WORD ->
                    entry.words().contains(stored)
                                    || (entry.bears(Violation.UNKNOWN_WORD) && !stored.isEmpty())
                            ? entry.said(stored)
                            : null;
            case FLAG -> stored.equals("true") || stored.equals("false") ? stored : null;
            case ADDRESS -> isAddress(stored) ? stored : null;
            case HEX -> HEX.matcher(stored).matches() ? stored : null;
            default -> stored.isEmpty() ? null : stored;
        };
    }

    static boolean isAddress(String text) {
        return ADDRESS.matcher(text).matches() && port(text) > 0 && port(text) < 1 << 16;
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    /** Back to what the JSON keeps. */
    static String write(Entry entry, String value) {
        if (entry.kind().isNumber()) {
            return plain(new BigDecimal(value).divide(unit(entry.kind()), MathContext.UNLIMITED));
        }
        return entry.kind() == ValueType.WORD ? entry.stored(value) : value;
    }

    static BigDecimal unit(ValueType kind) {
        return switch (kind) {
            case DURATION_MILLIS, MEMORY_MB -> MILLIS;
            case MEMORY_KB -> KILO;
            default -> BigDecimal.ONE;
        };
    }

    /**
     * Null for what is no number, or one too great to mean anything; what is too fine is rounded.
     */
    static BigDecimal number(String text) {
        if (text.length() > MOST_DIGITS) {
            return null;
        }
        try {
            BigDecimal number = new BigDecimal(text);
            return number.precision() - (long) number.scale() > MOST_POWER
                    ? null
                    : number.scale() > MOST_POWER
                            ? number.setScale(MOST_POWER, RoundingMode.HALF_EVEN)
                            : number;
        } catch (NumberFormatException e) {
            return null;
        }
    }

    static String plain(BigDecimal number) {
        BigDecimal shortForm = number.signum() == 0 ? BigDecimal.ZERO : number.stripTrailingZeros();
        return shortForm.toPlainString();
    }

    /** For people: the value with its unit, as the language writes it. */
    static String said(Entry entry, String value) {
        return switch (entry.kind()) {
            case DURATION, DURATION_MILLIS -> duration(new BigDecimal(value));
            case SHARE -> plain(new BigDecimal(value).movePointRight(2)) + "%";
            case RATE -> value + "/s";
            case MEMORY_KB, MEMORY_MB -> memory(new BigDecimal(value));
            case FLAG -> "#" + value;
            default -> value;
        };
    }

    private static String duration(BigDecimal nanos) {
        if (nanos.signum() == 0) {
            return "0s";
        }
        String[] units = {"s", "ms", "us"};
        BigDecimal[] sizes = {new BigDecimal(1_000_000_000), MILLIS, KILO};
        for (int i = 0; i < units.length; i++) {
            if (nanos.abs().compareTo(sizes[i]) >= 0) {
                BigDecimal part =
                        nanos.divide(sizes[i], MathContext.UNLIMITED).stripTrailingZeros();
                if (part.scale() <= 3 || i == units.length - 1) {
                    return plain(part) + units[i];
                }
            }
        }
        return plain(nanos) + "ns";
    }

    private static String memory(BigDecimal bytes) {
        String[] units = {"GB", "MB", "KB"};
        for (int i = 0; i < units.length; i++) {
            BigDecimal size = BigDecimal.TEN.pow(9 - 3 * i);
            BigDecimal part = bytes.divide(size, 9, RoundingMode.DOWN).stripTrailingZeros();
            if (bytes.abs().compareTo(size) >= 0
                    && part.scale() <= 3
                    && part.multiply(size).compareTo(bytes) == 0) {
                return plain(part) + units[i];
            }
        }
        return bytes.signum() == 0 ? "0KB" : plain(bytes) + "B";
    }
}
