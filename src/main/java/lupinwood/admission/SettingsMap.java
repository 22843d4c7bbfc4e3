package lupinwood.admission;

import java.util.HashMap;
import java.util.Map;

/** A plain map of names to values, read as what they stand for. An absent name is not an error. */
public final class SettingsMap {
    private final Map<String, String> values;

    /** Numbers are asked for often; each is parsed once. */
    private final Map<String, Double> numbers = new HashMap<>();

    public SettingsMap(Map<String, String> values) {
        this.values = Map.copyOf(values);
    }

    /** A text as the map has it: blanks and commas would part it. */
    public static String word(String text) {
        return text.replace(' ', '_').replace(',', '_');
    }

    public String text(String name) {
        return values.getOrDefault(name, "");
    }

    public double number(String name, double otherwise) {
        Double known = numbers.get(name);
        if (known == null) {
            String text = text(name);
            known = text.isEmpty() ? Double.NaN : Double.valueOf(text);
            numbers.put(name, known);
        }
        return known.isNaN() ? otherwise : known;
    }

    public NanoDuration duration(String name) {
        return new NanoDuration(Math.round(number(name, 0)));
    }

    public boolean is(String name, String value) {
        return text(name).equals(value);
    }

    /** One item of a list; empty where the list is shorter. */
    public String item(String name, int place) {
        String[] items = text(name).split(",", 0);
        return place < items.length ? items[place] : "";
    }
}
