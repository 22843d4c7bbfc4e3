package lupinwood.settings;

import java.math.BigDecimal;
import java.util.List;
import java.util.Set;

/**
 * One entry that a node can be told.
 *
 * @param name our name, its words apart by spaces; {@code *} stands for the name of a list's item
 * @param key where the platform's JSON has it, with dots; {@code #} stands for the place of a
 *     list's item, at the end for an item of a list of plain values
 * @param least the smallest value allowed, in the unit in which it is kept; null without a bound
 * @param most the greatest value allowed
 * @param words the words allowed, as kept; empty where any will do
 * @param saidAs the same words as we write them
 * @param required whether a node can't do without it
 * @param otherwise what counts where it is absent, in words
 * @param lapses what a node can serve with all the same: the platform's form is then taken, and
 *     told in the log
 * @param instead what counts then, in words; empty where nothing may be amiss
 * @param change when a changed value counts
 * @param because why no sooner
 * @param meaning one sentence
 */
public record Entry(
        String name,
        String key,
        ValueType kind,
        BigDecimal least,
        BigDecimal most,
        List<String> words,
        List<String> saidAs,
        boolean required,
        String otherwise,
        Set<Violation> lapses,
        String instead,
        ChangeEffect change,
        String because,
        String meaning) {

    /** The list that it belongs to, as {@code track}; empty for one that stands alone. */
    public String list() {
        int star = name.indexOf(" * ");
        return star < 0 ? "" : name.substring(0, star);
    }

    /** Whether the JSON keeps it in a plain list beside the list of items. */
    public boolean isInPlainList() {
        return key.endsWith(".#");
    }

    /** Whether a node can serve though the value is amiss in this. */
    public boolean bears(Violation violation) {
        return lapses.contains(violation);
    }

    /** Its last word. */
    public String own() {
        return name.substring(name.lastIndexOf(' ') + 1);
    }

    /** A word as the JSON has it, for one as we write it; any other as it is. */
    public String stored(String said) {
        int place = saidAs.indexOf(said);
        return place < 0 ? said : words.get(place);
    }

    public String said(String stored) {
        int place = words.indexOf(stored);
        return place < 0 ? stored : saidAs.get(place);
    }
}
