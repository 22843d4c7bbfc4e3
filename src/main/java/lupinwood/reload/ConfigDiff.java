package lupinwood.reload;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import lupinwood.settings.ChangeEffect;
import lupinwood.settings.Entry;
import lupinwood.settings.ParsedSettings;
import lupinwood.settings.Schema;

/**
 * What a configuration changes in a node that runs under another one, entry by entry, and what the
 * node is to go by afterwards. The same plan is shown by {@code config diff}, carried out on SIGHUP
 * and told by the log.
 *
 * @param steps what differs, in the order of the schema
 * @param result what the node goes by once the steps that count while it runs are taken; the old
 *     meaning where one of them is refused
 */
public record ConfigDiff(List<Step> steps, ParsedSettings result) {
    /**
     * One difference.
     *
     * @param name the entry, or a whole request class or tenant that came or went
     * @param before null where it came
     * @param after null where it went
     * @param because why no sooner, or why it is safe
     */
    public record Step(
            String name, String before, String after, ChangeEffect change, String because) {
        /** For people, in one line. */
        public String said() {
            String what;
            if (before == null) {
                what = "added " + name + said(after);
            } else if (after == null) {
                what = "removed " + name + said(before);
            } else {
                what =
                        name
                                + " "
                                + ParsedSettings.said(name, before)
                                + " -> "
                                + ParsedSettings.said(name, after);
            }
            return what + ", " + change.said();
        }

        private String said(String value) {
            return value.isEmpty() ? "" : " " + ParsedSettings.said(name, value);
        }
    }

    private static final String LAID_OUT = "the node's tables are laid out for it at the start";

    /** What changes from the old to the next. */
    public static ConfigDiff between(ParsedSettings old, ParsedSettings next) {
        List<Step> steps = new ArrayList<>();
        Set<String> names = new LinkedHashSet<>(old.values().keySet());
        names.addAll(next.values().keySet());
        Schema.LISTS.forEach(list -> lists(list, old.items(list), next.items(list), steps));
        for (String name : ParsedSettings.ordered(old.lists(), all(names)).keySet()) {
            String before = old.value(name);
            String after = next.value(name);
            if (!Objects.equals(before, after) && isInBoth(name, old, next)) {
                steps.add(step(name, before, after));
            }
        }
        Map<String, String> values = new LinkedHashMap<>(old.values());
        for (Step step : steps) {
            if (step.change() != ChangeEffect.RESTART && step.after() != null) {
                values.put(step.name(), step.after());
            } else if (step.change() != ChangeEffect.RESTART) {
                values.remove(step.name());
            }
        }
        boolean refused = steps.stream().anyMatch(step -> step.change() == ChangeEffect.REFUSED);
        ParsedSettings result =
                refused
                        ? old
                        : new ParsedSettings(
                                old.lists(), ParsedSettings.ordered(old.lists(), values));
        return new ConfigDiff(List.copyOf(steps), result);
    }

    private static Map<String, String> all(Set<String> names) {
        Map<String, String> all = new LinkedHashMap<>();
        names.forEach(name -> all.put(name, ""));
        return all;
    }

    /** Items that came or went as a whole give one step each; their entries give none. */
    private static void lists(String list, List<String> old, List<String> next, List<Step> steps) {
        Set<String> before = Set.copyOf(old);
        Set<String> after = Set.copyOf(next);
        for (String item : old) {
            if (!after.contains(item)) {
                steps.add(new Step(list + " " + item, "", null, ChangeEffect.RESTART, LAID_OUT));
            }
        }
        for (String item : next) {
            if (!before.contains(item)) {
                steps.add(new Step(list + " " + item, null, "", ChangeEffect.RESTART, LAID_OUT));
            }
        }
    }

    private static boolean isInBoth(String name, ParsedSettings old, ParsedSettings next) {
        Entry entry = ParsedSettings.entry(name);
        if (entry == null || entry.list().isEmpty()) {
            return true;
        }
        String item = name.split(" ", 0)[1];
        return old.items(entry.list()).contains(item) && next.items(entry.list()).contains(item);
    }

    private static Step step(String name, String before, String after) {
        Entry entry = ParsedSettings.entry(name);
        return entry == null
                ? new Step(
                        name, before, after, ChangeEffect.RESTART, "this build knows nothing of it")
                : new Step(name, before, after, entry.change(), entry.because());
    }

    public boolean isEmpty() {
        return steps.isEmpty();
    }

    public boolean isRefused() {
        return steps.stream().anyMatch(step -> step.change() == ChangeEffect.REFUSED);
    }

    /** Whether anything counts without a restart. */
    public boolean takesEffect() {
        return !isRefused()
                && steps.stream().anyMatch(step -> step.change() != ChangeEffect.RESTART);
    }
}
