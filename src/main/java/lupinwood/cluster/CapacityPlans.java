package lupinwood.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The capacity plans in the cluster state. Several may be live: a node that hasn't received the
 * newest follows an older one while its lease lasts. Whichever plan each node in the rosters of the
 * live plans follows, these nodes together must not send a location more concurrent requests than
 * its capacity. A node's highest number of slots is the maximum of its base slots and its slots in
 * any live plan, the new one included. So a plan is accepted only if, for each location, the sum of
 * these maxima over all nodes in these plans' rosters doesn't exceed the capacity. Base slots of a
 * node that joined later count only from the next plan. Slots that move from one node to another
 * are usable by the second only after the first has stopped using them and the older plan, which
 * gave them to the first, is retired.
 *
 * <p>Part of {@link ClusterState}, and owned by the same thread.
 */
public final class CapacityPlans {
    /**
     * The plans as they are stored and sent.
     *
     * @param livePlans ordered by number
     * @param capacities concurrent requests that each location can take, as of the newest plan
     * @param baseSlots by site and location, how many concurrent requests a node may send without a
     *     plan, as of the newest plan
     * @param lastNumber the number of the newest plan
     */
    public record Snapshot(
            List<CapacityPlan> livePlans,
            Map<String, Integer> capacities,
            Map<String, Map<String, Integer>> baseSlots,
            long lastNumber) {}

    private final List<CapacityPlan> livePlans = new ArrayList<>();
    private Map<String, Integer> capacities = Map.of();
    private Map<String, Map<String, Integer>> baseSlots = Map.of();
    private long lastNumber;

    /**
     * Replaces the plans. Without a snapshot, only the live plans are dropped; the capacities, the
     * base slots and the last plan number are kept.
     */
    void restore(Snapshot snapshot) {
        livePlans.clear();
        if (snapshot != null) { // null in the snapshot of an older version
            livePlans.addAll(snapshot.livePlans());
            capacities = snapshot.capacities();
            baseSlots = snapshot.baseSlots();
            lastNumber = snapshot.lastNumber();
        }
    }

    Snapshot snapshot() {
        return new Snapshot(new ArrayList<>(livePlans), capacities, baseSlots, lastNumber);
    }

    /**
     * Adds a plan; false if the command was decided before the newest plan was set, or if a
     * location could get more than its capacity.
     *
     * @param members the nodes that the plan is for: the members, and the nodes that left and were
     *     not removed since
     */
    boolean add(ClusterCommand.SetCapacityPlan command, Collection<ClusterState.Member> members) {
        if (command.after() != lastNumber) {
            return false;
        }
        Map<String, String> roster = new TreeMap<>();
        members.forEach(member -> roster.put(member.name().text(), member.site().toString()));
        CapacityPlan plan = new CapacityPlan(lastNumber + 1, roster, command.slots());
        List<CapacityPlan> candidates = new ArrayList<>(livePlans);
        candidates.add(plan);
        if (CapacityPlan.findOverfullLocation(candidates, command.bears(), command.alone())
                != null) {
            return false;
        }
        lastNumber++;
        livePlans.add(plan);
        capacities = command.bears();
        baseSlots = command.alone();
        return true;
    }

    /**
     * Drops the plans whose number is less than {@code beforePlan}, which no node follows any more;
     * true if at least one plan was dropped.
     */
    boolean retireBefore(long beforePlan) {
        return beforePlan <= lastNumber && livePlans.removeIf(plan -> plan.number() < beforePlan);
    }

    void removeNode(NodeName node) {
        livePlans.replaceAll(plan -> plan.withoutNode(node));
    }

    /** The newest plan; null before the first. */
    CapacityPlan newest() {
        return livePlans.isEmpty() ? null : livePlans.get(livePlans.size() - 1);
    }

    /** Ordered by number. */
    List<CapacityPlan> live() {
        return livePlans;
    }

    long lastNumber() {
        return lastNumber;
    }
}
