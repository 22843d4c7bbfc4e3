package lupinwood.admission;

import java.util.Map;

/**
 * The platform's settings as they come: names and texts, read as what they stand for. An absent
 * name is not an error. Immutable, for any thread; the decisions see {@link PolicySettings}
 * instead.
 */
public final class SettingsMap {
    private final Map<String, String> values;

    /** Takes a copy of the platform's map. */
    public SettingsMap(Map<String, String> values) {
        this.values = Map.copyOf(values);
    }

    /** A text as the map has it: blanks and commas would part it. */
    public static String word(String text) {
        return text.replace(' ', '_').replace(',', '_');
    }

    /** The entry as it stands; empty where it is absent. */
    public String text(String name) {
        return values.getOrDefault(name, "");
    }

    /**
     * A number.
     *
     * @param otherwise where the entry is absent or empty
     * @throws NumberFormatException for any other text that is no number
     */
    public double number(String name, double otherwise) {
        String text = text(name);
        double number = text.isEmpty() ? Double.NaN : Double.parseDouble(text);
        return Double.isNaN(number) ? otherwise : number;
    }

    /** A duration that stands in nanoseconds; zero where the entry is absent. */
    public NanoDuration duration(String name) {
        return new NanoDuration(Math.round(number(name, 0)));
    }

    /** Whether the entry has this text. */
    public boolean is(String name, String value) {
        return text(name).equals(value);
    }

    /** One item of a list that commas part; empty where the list is shorter. */
    public String item(String name, int place) {
        String[] items = text(name).split(",", 0);
        return place < items.length ? items[place] : "";
    }
}
