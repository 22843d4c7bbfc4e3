package lupinwood.admission;

import java.util.Map;

/**
 * The settings as a map from the names that the entries have in the configuration to texts, with
 * typed access. An absent name is not an error. The decisions use {@link PolicySettings} instead.
 * Immutable; may be used from any thread.
 */
public final class SettingsMap {
    private final Map<String, String> values;

    /** Copies the map. */
    public SettingsMap(Map<String, String> values) {
        this.values = Map.copyOf(values);
    }

    /** Replaces spaces and commas by underscores, since both separate values in the map. */
    public static String word(String text) {
        return text.replace(' ', '_').replace(',', '_');
    }

    /** The text of an entry; empty if it is absent. */
    public String text(String name) {
        return values.getOrDefault(name, "");
    }

    /**
     * The value of a numeric entry.
     *
     * @param defaultValue for an entry that is absent, empty or NaN
     * @throws NumberFormatException for any other text that is not a number
     */
    public double number(String name, double defaultValue) {
        String text = text(name);
        double number = text.isEmpty() ? Double.NaN : Double.parseDouble(text);
        return Double.isNaN(number) ? defaultValue : number;
    }

    /** The value of an entry in nanoseconds; zero if it is absent. */
    public NanoDuration duration(String name) {
        return new NanoDuration(Math.round(number(name, 0)));
    }

    /** Whether the entry has this text. */
    public boolean is(String name, String value) {
        return text(name).equals(value);
    }

    /** One item of a comma-separated list; empty if the list is shorter. */
    public String item(String name, int index) {
        String[] items = text(name).split(",", 0);
        return index < items.length ? items[index] : "";
    }
}
