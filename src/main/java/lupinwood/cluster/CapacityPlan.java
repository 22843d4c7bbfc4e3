package lupinwood.cluster;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * How many concurrent requests each node may send to each location. A site's slots at a location
 * are divided evenly among its nodes; the remainder goes, one slot each, to nodes that the
 * location's hash selects. A node that isn't in the roster has no slots, even in a site that has
 * some: it joined after the plan was made and wasn't counted.
 *
 * @param number increases with each plan; a node follows the highest that it received
 * @param roster all nodes that the plan counts, with their sites at that time, ordered by name: the
 *     members, and the nodes that had left and were not removed
 * @param slots concurrent requests of all nodes of a site together, by site and location; a site
 *     gets no slots at a location that isn't named
 */
public record CapacityPlan(
        long number, Map<String, String> roster, Map<String, Map<String, Integer>> slots) {
    public CapacityPlan {
        // The order decides which nodes get the remainder, so it must be the same on all replicas.
        roster = new TreeMap<>(roster);
    }

    /** A node's slots, by location. */
    public Map<String, Integer> slotsOf(NodeName node) {
        String site = roster.get(node.text());
        Map<String, Integer> nodeSlots = new TreeMap<>();
        if (site != null) {
            int[] indexAndCount = indexesAndCounts().get(node.text());
            slots.getOrDefault(site, Map.of())
                    .forEach(
                            (location, siteSlots) ->
                                    nodeSlots.put(
                                            location, divide(siteSlots, indexAndCount, location)));
        }
        return nodeSlots;
    }

    /**
     * A node's part of its site's slots. The location's hash rotates which nodes get one slot of
     * the remainder.
     *
     * @param indexAndCount the node's index within its site, and the number of nodes there
     */
    private static int divide(int siteSlots, int[] indexAndCount, String location) {
        int rotated = Math.floorMod(indexAndCount[0] + location.hashCode(), indexAndCount[1]);
        return siteSlots / indexAndCount[1] + (rotated < siteSlots % indexAndCount[1] ? 1 : 0);
    }

    /** Each node's index among the nodes of its site, and how many nodes the site has. */
    private Map<String, int[]> indexesAndCounts() {
        Map<String, Integer> nodesBySite = new TreeMap<>();
        roster.values().forEach(site -> nodesBySite.merge(site, 1, Integer::sum));
        Map<String, Integer> indexedBySite = new TreeMap<>();
        Map<String, int[]> indexesAndCounts = new TreeMap<>();
        roster.forEach(
                (node, site) ->
                        indexesAndCounts.put(
                                node,
                                new int[] {
                                    indexedBySite.merge(site, 1, Integer::sum) - 1,
                                    nodesBySite.get(site)
                                }));
        return indexesAndCounts;
    }

    /**
     * Returns a location that could get more concurrent requests than its capacity, or whose
     * capacity is unknown; null if there is none. Must be called with all plans that any node may
     * still follow.
     *
     * @param capacities the concurrent requests that each location can take; one without a capacity
     *     counts as overfull
     * @param baseSlots by site and location, how many concurrent requests a node may send without
     *     any plan
     */
    public static String findOverfullLocation(
            List<CapacityPlan> plans,
            Map<String, Integer> capacities,
            Map<String, Map<String, Integer>> baseSlots) {
        Set<String> nodes = new HashSet<>();
        Map<String, Map<String, Integer>> maxSlotsByNode = new TreeMap<>();
        for (CapacityPlan plan : plans) {
            for (Map<String, Integer> slotsByLocation : plan.slots().values()) {
                for (String location : slotsByLocation.keySet()) {
                    if (!capacities.containsKey(location)) {
                        return location; // its capacity is unknown
                    }
                }
            }
            Map<String, int[]> indexesAndCounts = plan.indexesAndCounts();
            plan.roster()
                    .forEach(
                            (node, site) -> {
                                nodes.add(node);
                                Map<String, Integer> maxSlotsByLocation =
                                        maxSlotsByNode.computeIfAbsent(
                                                node, key -> new TreeMap<>());
                                plan.slots()
                                        .getOrDefault(site, Map.of())
                                        .forEach(
                                                (location, siteSlots) ->
                                                        maxSlotsByLocation.merge(
                                                                location,
                                                                divide(
                                                                        siteSlots,
                                                                        indexesAndCounts.get(node),
                                                                        location),
                                                                Math::max));
                                baseSlots
                                        .getOrDefault(site, Map.of())
                                        .forEach(
                                                (location, base) ->
                                                        maxSlotsByLocation.merge(
                                                                location, base, Math::max));
                            });
        }
        Map<String, Integer> totals = new TreeMap<>();
        nodes.forEach(
                node ->
                        maxSlotsByNode
                                .get(node)
                                .forEach(
                                        (location, maxSlots) ->
                                                totals.merge(location, maxSlots, Integer::sum)));
        return totals.entrySet().stream()
                .filter(total -> total.getValue() > capacities.getOrDefault(total.getKey(), 0))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(null);
    }

    CapacityPlan withoutNode(NodeName node) {
        Map<String, String> remaining = new TreeMap<>(roster);
        remaining.remove(node.text());
        return new CapacityPlan(number, remaining, slots);
    }
}
