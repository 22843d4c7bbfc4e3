package lupinwood.cluster;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * How many requests at once each node may have at each place below. A site's slots at a place are
 * parted evenly among its nodes, and what is left over goes one each to some of them, other ones at
 * each place. A node that isn't in the roster has nothing by it, also if it stands in one of its
 * zones: it came later and wasn't counted.
 *
 * @param number counts up; a node goes by the highest that it heard of
 * @param roster all nodes that the plan counts, with their sites at that time, in the order of
 *     their names
 * @param slots of all nodes of a site together, at a place; a place that isn't named may have none
 */
public record CapacityPlan(
        long number, Map<String, String> roster, Map<String, Map<String, Integer>> slots) {
    public CapacityPlan {
        roster = new TreeMap<>(roster); // its order parts what is left over, so it must be the same
        // everywhere
    }

    /** What a node may have, by place. */
    public Map<String, Integer> of(NodeName node) {
        String site = roster.get(node.text());
        Map<String, Integer> own = new TreeMap<>();
        if (site != null) {
            int[] rank = ranks().get(node.text());
            slots.getOrDefault(site, Map.of())
                    .forEach((place, all) -> own.put(place, part(all, rank, place)));
        }
        return own;
    }

    private static int part(int all, int[] rank, String place) {
        int turned = Math.floorMod(rank[0] + place.hashCode(), rank[1]);
        return all / rank[1] + (turned < all % rank[1] ? 1 : 0);
    }

    /** Each node's place among those of its site, and how many these are. */
    private Map<String, int[]> ranks() {
        Map<String, Integer> counts = new TreeMap<>();
        roster.values().forEach(site -> counts.merge(site, 1, Integer::sum));
        Map<String, Integer> next = new TreeMap<>();
        Map<String, int[]> ranks = new TreeMap<>();
        roster.forEach(
                (node, site) ->
                        ranks.put(
                                node,
                                new int[] {
                                    next.merge(site, 1, Integer::sum) - 1, counts.get(site)
                                }));
        return ranks;
    }

    /**
     * A place that might be sent more than it can bear, or null. To be called with all plans that
     * any node may still go by.
     *
     * @param alone what a node of a site may have at a place without any plan
     */
    public static String overfull(
            List<CapacityPlan> plans,
            Map<String, Integer> bears,
            Map<String, Map<String, Integer>> alone) {
        Set<String> nodes = new HashSet<>();
        Map<String, Map<String, Integer>> most = new TreeMap<>();
        for (CapacityPlan plan : plans) {
            for (Map<String, Integer> slots : plan.slots().values()) {
                for (String place : slots.keySet()) {
                    if (!bears.containsKey(place)) {
                        return place; // nobody says what it can bear
                    }
                }
            }
            Map<String, int[]> ranks = plan.ranks();
            plan.roster()
                    .forEach(
                            (node, site) -> {
                                nodes.add(node);
                                Map<String, Integer> own =
                                        most.computeIfAbsent(node, none -> new TreeMap<>());
                                plan.slots()
                                        .getOrDefault(site, Map.of())
                                        .forEach(
                                                (place, all) ->
                                                        own.merge(
                                                                place,
                                                                part(all, ranks.get(node), place),
                                                                Math::max));
                                alone.getOrDefault(site, Map.of())
                                        .forEach((place, may) -> own.merge(place, may, Math::max));
                            });
        }
        Map<String, Integer> sums = new TreeMap<>();
        nodes.forEach(
                node ->
                        most.get(node)
                                .forEach((place, may) -> sums.merge(place, may, Integer::sum)));
        return sums.entrySet().stream()
                .filter(one -> one.getValue() > bears.getOrDefault(one.getKey(), 0))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(null);
    }

    CapacityPlan without(NodeName node) {
        Map<String, String> left = new TreeMap<>(roster);
        left.remove(node.text());
        return new CapacityPlan(number, left, slots);
    }
}
