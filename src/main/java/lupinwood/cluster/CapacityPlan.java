package lupinwood.cluster;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * How many concurrent requests each node may send to each location. A site's slots at a location
 * are divided evenly among its nodes; the remainder goes one slot each to some of them, chosen
 * differently for each location. A node that isn't in the roster has no slots, even in a site that
 * has some: it joined after the plan was made and wasn't counted.
 *
 * @param number increases with each plan; a node follows the highest that it received
 * @param roster all nodes that the plan counts, with their sites at that time, ordered by name
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
    public Map<String, Integer> of(NodeName node) {
        String site = roster.get(node.text());
        Map<String, Integer> nodeSlots = new TreeMap<>();
        if (site != null) {
            int[] rank = ranks().get(node.text());
            slots.getOrDefault(site, Map.of())
                    .forEach(
                            (location, siteSlots) ->
                                    nodeSlots.put(location, divide(siteSlots, rank, location)));
        }
        return nodeSlots;
    }

    /**
     * A node's part of its site's slots. The location's hash rotates which nodes get one slot of
     * the remainder.
     *
     * @param rank the node's index within its site, and the number of nodes there
     */
    private static int divide(int siteSlots, int[] rank, String location) {
        int rotated = Math.floorMod(rank[0] + location.hashCode(), rank[1]);
        return siteSlots / rank[1] + (rotated < siteSlots % rank[1] ? 1 : 0);
    }

    /** Each node's index among the nodes of its site, and how many nodes the site has. */
    private Map<String, int[]> ranks() {
        Map<String, Integer> nodesBySite = new TreeMap<>();
        roster.values().forEach(site -> nodesBySite.merge(site, 1, Integer::sum));
        Map<String, Integer> rankedBySite = new TreeMap<>();
        Map<String, int[]> ranks = new TreeMap<>();
        roster.forEach(
                (node, site) ->
                        ranks.put(
                                node,
                                new int[] {
                                    rankedBySite.merge(site, 1, Integer::sum) - 1,
                                    nodesBySite.get(site)
                                }));
        return ranks;
    }

    /**
     * A location that could get more concurrent requests than its capacity, or null. Must be called
     * with all plans that any node may still follow.
     *
     * @param capacities the concurrent requests that each location can take; one without a capacity
     *     counts as overfull
     * @param baseSlots by site and location, what a node may send without any plan
     */
    public static String overfull(
            List<CapacityPlan> plans,
            Map<String, Integer> capacities,
            Map<String, Map<String, Integer>> baseSlots) {
        Set<String> nodes = new HashSet<>();
        Map<String, Map<String, Integer>> maxSlotsByNode = new TreeMap<>();
        for (CapacityPlan plan : plans) {
            for (Map<String, Integer> siteSlots : plan.slots().values()) {
                for (String location : siteSlots.keySet()) {
                    if (!capacities.containsKey(location)) {
                        return location; // its capacity is unknown
                    }
                }
            }
            Map<String, int[]> ranks = plan.ranks();
            plan.roster()
                    .forEach(
                            (node, site) -> {
                                nodes.add(node);
                                Map<String, Integer> maxSlots =
                                        maxSlotsByNode.computeIfAbsent(
                                                node, key -> new TreeMap<>());
                                plan.slots()
                                        .getOrDefault(site, Map.of())
                                        .forEach(
                                                (location, siteSlots) ->
                                                        maxSlots.merge(
                                                                location,
                                                                divide(
                                                                        siteSlots,
                                                                        ranks.get(node),
                                                                        location),
                                                                Math::max));
                                baseSlots
                                        .getOrDefault(site, Map.of())
                                        .forEach(
                                                (location, base) ->
                                                        maxSlots.merge(location, base, Math::max));
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
