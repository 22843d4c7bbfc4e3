package lupinwood.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The agreed part of plans. Several may be live: a node that hasn't heard of the newest goes by an
 * older one while its lease lasts. At any moment, whatever each node believes, no place may be sent
 * more than it can bear: so a plan fits only if for each place the sum over all nodes of the most
 * that any live plan, this one included, or their standing right gives them is no more than that.
 * More is given only after what it takes from has been taken back and the older plan is retired.
 */
public final class Plans {
    /** As it is kept and sent. */
    public record Page(
            List<Plan> live,
            Map<String, Integer> bears,
            Map<String, Map<String, Integer>> alone,
            long last) {}

    private final List<Plan> live = new ArrayList<>();
    private Map<String, Integer> bears = Map.of();
    private Map<String, Map<String, Integer>> alone = Map.of();
    private long last;

    void open(Page page) {
        live.clear();
        if (page != null) { // null in the page of an older version
            live.addAll(page.live());
            bears = page.bears();
            alone = page.alone();
            last = page.last();
        }
    }

    Page page() {
        return new Page(new ArrayList<>(live), bears, alone, last);
    }

    boolean plan(Deed.SetPlan deed, Collection<Book.Member> members) {
        if (deed.after() != last) {
            return false;
        }
        Map<String, String> roster = new TreeMap<>();
        members.forEach(member -> roster.put(member.name().text(), member.site().toString()));
        Plan plan = new Plan(last + 1, roster, deed.slots());
        List<Plan> all = new ArrayList<>(live);
        all.add(plan);
        if (Plan.overfull(all, deed.bears(), deed.alone()) != null) {
            return false;
        }
        last++;
        live.add(plan);
        bears = deed.bears();
        alone = deed.alone();
        return true;
    }

    /** No node goes by an older one any more. */
    boolean retire(long below) {
        return below <= last && live.removeIf(plan -> plan.number() < below);
    }

    void forget(NodeName node) {
        live.replaceAll(plan -> plan.without(node));
    }

    /** The newest; null before the first. */
    Plan newest() {
        return live.isEmpty() ? null : live.get(live.size() - 1);
    }

    List<Plan> live() {
        return live;
    }

    long last() {
        return last;
    }
}
