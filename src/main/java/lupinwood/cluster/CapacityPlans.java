package lupinwood.cluster;

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
public final class CapacityPlans {
    /** As it is kept and sent. */
    public record Snapshot(
            List<CapacityPlan> live,
            Map<String, Integer> bears,
            Map<String, Map<String, Integer>> alone,
            long last) {}

    private final List<CapacityPlan> live = new ArrayList<>();
    private Map<String, Integer> bears = Map.of();
    private Map<String, Map<String, Integer>> alone = Map.of();
    private long last;

    void open(Snapshot snapshot) {
        live.clear();
        if (snapshot != null) { // null in the page of an older version
            live.addAll(snapshot.live());
            bears = snapshot.bears();
            alone = snapshot.alone();
            last = snapshot.last();
        }
    }

    Snapshot snapshot() {
        return new Snapshot(new ArrayList<>(live), bears, alone, last);
    }

    boolean plan(ClusterCommand.SetCapacityPlan command, Collection<ClusterState.Member> members) {
        if (command.after() != last) {
            return false;
        }
        Map<String, String> roster = new TreeMap<>();
        members.forEach(member -> roster.put(member.name().text(), member.site().toString()));
        CapacityPlan plan = new CapacityPlan(last + 1, roster, command.slots());
        List<CapacityPlan> all = new ArrayList<>(live);
        all.add(plan);
        if (CapacityPlan.overfull(all, command.bears(), command.alone()) != null) {
            return false;
        }
        last++;
        live.add(plan);
        bears = command.bears();
        alone = command.alone();
        return true;
    }

    /** No node goes by an older one any more. */
    boolean retire(long beforePlan) {
        return beforePlan <= last && live.removeIf(plan -> plan.number() < beforePlan);
    }

    void forget(NodeName node) {
        live.replaceAll(plan -> plan.without(node));
    }

    /** The newest; null before the first. */
    CapacityPlan newest() {
        return live.isEmpty() ? null : live.get(live.size() - 1);
    }

    List<CapacityPlan> live() {
        return live;
    }

    long last() {
        return last;
    }
}
