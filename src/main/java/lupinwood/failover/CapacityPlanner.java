package lupinwood.failover;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.cluster.CapacityPlan;
import lupinwood.cluster.ClusterCommand;
import lupinwood.cluster.ClusterState;
import lupinwood.cluster.FencingToken;
import lupinwood.cluster.Incarnation;
import lupinwood.cluster.NodeName;
import lupinwood.cluster.NodeReport;
import lupinwood.cluster.NodeStatus;
import lupinwood.cluster.NodeView;
import lupinwood.cluster.Site;

/**
 * Computes capacity plans for the holder of the planner duty. The demand of a site is placed at
 * locations of its own zone first, then of its region, then elsewhere, up to the trusted capacity
 * of each location. The remaining capacity of a location goes to its own zone, except for a reserve
 * that lets other sites be helped at once. A plan that takes capacity from one site and gives it to
 * another could overload the location while nodes may still use the previous plan; so a first plan
 * only takes the capacity away, and a second gives it out once the previous plan is retired.
 */
public final class CapacityPlanner {
    /** The request counts of one incarnation of a node at the last update. */
    private record NodeDemand(
            Incarnation incarnation,
            long offered,
            double seconds,
            long succeeded,
            MonotonicTime at) {}

    /** Multiple of the mean demand, since requests come unevenly and nodes have whole slots. */
    private static final double HEADROOM_FACTOR = 1.35;

    private static final double SMOOTHING = 0.3;

    /** A site's mean latency is updated if more of its requests than this succeeded. */
    private static final int MIN_SUCCEEDED_REQUESTS_PER_UPDATE = 20;

    /** Share of a location's remaining capacity that is not given to its own zone. */
    private static final double RESERVE_RATIO = 0.3;

    /** Changes of at most this share of a location's capacity don't justify a new plan. */
    private static final double MIN_CHANGE_RATIO = 0.1;

    /** A site lacks slots if it has fewer than its needed slots without headroom, times this. */
    private static final double SHORTAGE_FACTOR = 1.1;

    /** Minimum time from the last plan to one that only rebalances slots, in decision intervals. */
    private static final double REBALANCE_INTERVAL_DECISIONS = 8;

    private final LocationHealth health;
    private final NanoDuration decisionInterval;

    /** Concurrent requests that each site needs, with headroom; at least its number of nodes. */
    private final Map<String, Double> neededSlots = new TreeMap<>();

    /** Mean arrival rate of each site, in requests per second. */
    private final Map<String, Double> rates = new TreeMap<>();

    private final Map<NodeName, NodeDemand> nodeDemands = new HashMap<>();

    /**
     * Mean latency in seconds of each site's requests, including the network: a site that sends
     * requests far away needs more slots.
     */
    private final Map<String, Double> latencies = new TreeMap<>();

    /** Slots to give out once the capacity that they need has been taken back; null for none. */
    private Map<String, Map<String, Integer>> pendingSlots;

    private MonotonicTime lastDecisionAt;
    private MonotonicTime plannedAt;
    private Map<String, Double> plannedTrustRatios = Map.of();
    private String reason = "";

    public CapacityPlanner(NanoDuration lease) {
        health = new LocationHealth(lease);
        decisionInterval = lease.times(0.5);
    }

    /**
     * The planner's input.
     *
     * @param members of the cluster state; a plan counts all of them, also those that are out
     * @param livePlans all plans that nodes may still use, the newest last
     */
    public record View(
            List<Location> locations,
            Collection<ClusterState.Member> members,
            List<NodeView> nodeViews,
            List<CapacityPlan> livePlans,
            long lastPlanNumber) {}

    /**
     * The changes of slots in the last plan (none if only the roster changed), then locations with
     * reduced trust where that plan has slots, and sites whose reports are ignored, in one line.
     */
    public String reason() {
        return reason;
    }

    /**
     * The next plan; null if the current one is good enough, if the decision interval hasn't passed
     * since the last decision, or if no plan is possible now: without locations or members, with
     * more than one live plan, or if no plan fits.
     */
    public ClusterCommand.SetCapacityPlan decide(View view, FencingToken token, MonotonicTime now) {
        if (view.locations().isEmpty()
                || view.members().isEmpty()
                || (lastDecisionAt != null
                        && now.since(lastDecisionAt).compareTo(decisionInterval) < 0)) {
            return null;
        }
        lastDecisionAt = now;
        boolean isSettled = view.livePlans().size() < 2; // else nodes may not know the newest yet
        TreeSet<String> locationNames = new TreeSet<>();
        view.locations().forEach(location -> locationNames.add(location.name()));
        health.update(view.nodeViews(), locationNames, now);
        Map<String, Site> sites = new TreeMap<>();
        Map<String, Integer> nodeCounts = new TreeMap<>();
        for (ClusterState.Member member : view.members()) {
            sites.put(member.site().toString(), member.site());
            nodeCounts.merge(member.site().toString(), 1, Integer::sum);
        }
        updateDemand(view, nodeCounts, now);
        if (!isSettled) {
            return null;
        }
        Map<String, Map<String, Integer>> target =
                toWholeSlots(allocate(view.locations(), sites, nodeCounts), view.locations());
        Map<String, Integer> capacities = new TreeMap<>();
        Map<String, Map<String, Integer>> unplanned = new TreeMap<>();
        for (Location location : view.locations()) {
            capacities.put(location.name(), location.capacity());
            sites.forEach(
                    (name, site) ->
                            unplanned
                                    .computeIfAbsent(name, key -> new TreeMap<>())
                                    .put(location.name(), location.unplannedSlots(site)));
        }
        CapacityPlan newest =
                view.livePlans().isEmpty()
                        ? null
                        : view.livePlans().get(view.livePlans().size() - 1);
        boolean sameRoster = newest != null && roster(view.members()).equals(newest.roster());
        Map<String, Map<String, Integer>> current = newest == null ? Map.of() : newest.slots();
        if (sameRoster && pendingSlots == null && isPlanSufficient(target, current, view, now)) {
            return null;
        }
        if (pendingSlots != null && sameRoster && trustRatios(view).equals(plannedTrustRatios)) {
            // A new target would differ from the one for which capacity is being taken back.
            target = pendingSlots;
        }
        Map<String, Map<String, Integer>> next =
                fits(view, target, capacities, unplanned) ? target : withoutIncreases(target, view);
        if ((sameRoster && next.equals(current)) || !fits(view, next, capacities, unplanned)) {
            pendingSlots = null; // no change or no valid plan, as after a capacity reduction
            return null;
        }
        reason = describeChanges(current, next);
        pendingSlots = next.equals(target) ? null : target;
        plannedAt = now;
        plannedTrustRatios = trustRatios(view);
        return new ClusterCommand.SetCapacityPlan(
                token, view.lastPlanNumber(), capacities, unplanned, next, reason, 0);
    }

    private static Map<String, String> roster(Collection<ClusterState.Member> members) {
        Map<String, String> roster = new TreeMap<>();
        members.forEach(member -> roster.put(member.name().text(), member.site().toString()));
        return roster;
    }

    /**
     * Updates how many concurrent requests each site needs downstream: its arrival rate times its
     * mean latency. The number of requests in flight or queued would show what the site was given,
     * not what it needs.
     */
    private void updateDemand(View view, Map<String, Integer> nodeCounts, MonotonicTime now) {
        Map<String, double[]> sums = new TreeMap<>(); // by site: latencies in s, succeeded
        Map<String, Double> latestRates = new TreeMap<>();
        for (NodeView node : view.nodeViews()) {
            if (node.report() == null
                    || node.status() == NodeStatus.OUT
                    || node.status() == NodeStatus.UNKNOWN) {
                nodeDemands.remove(node.name());
                continue;
            }
            long offered = 0;
            double seconds = 0;
            long succeeded = 0;
            for (NodeReport.LocationUse use : node.report().locationUses()) {
                offered = Math.max(offered, use.offered());
                seconds += use.seconds();
                succeeded += use.completed() - use.failed();
            }
            NodeDemand last =
                    nodeDemands.put(
                            node.name(),
                            new NodeDemand(node.incarnation(), offered, seconds, succeeded, now));
            if (last != null
                    && last.incarnation().equals(node.incarnation())
                    && now.since(last.at()).isPositive()) {
                latestRates.merge(
                        node.site().toString(),
                        (offered - last.offered()) / now.since(last.at()).seconds(),
                        Double::sum);
                double[] sum = sums.computeIfAbsent(node.site().toString(), key -> new double[2]);
                sum[0] += seconds - last.seconds();
                sum[1] += succeeded - last.succeeded();
            }
        }
        sums.forEach(
                (site, sum) -> {
                    if (sum[1] > MIN_SUCCEEDED_REQUESTS_PER_UPDATE) {
                        latencies.merge(site, sum[0] / sum[1], (a, b) -> a + (b - a) * SMOOTHING);
                    }
                });
        double meanSeconds =
                latencies.values().stream().mapToDouble(mean -> mean).average().orElse(0);
        nodeCounts.forEach(
                (site, count) -> {
                    double rate = latestRates.getOrDefault(site, -1.0);
                    if (rate >= 0) {
                        rates.merge(site, rate, (a, b) -> a + (b - a) * SMOOTHING);
                    }
                    neededSlots.put(
                            site,
                            Math.max(
                                    count,
                                    rates.getOrDefault(site, 0.0)
                                            * latencies.getOrDefault(site, meanSeconds)
                                            * HEADROOM_FACTOR));
                });
        neededSlots.keySet().retainAll(nodeCounts.keySet());
        rates.keySet().retainAll(nodeCounts.keySet());
        latencies.keySet().retainAll(nodeCounts.keySet());
    }

    /** Fractional slots by site and location. */
    private Map<String, Map<String, Double>> allocate(
            List<Location> locations, Map<String, Site> sites, Map<String, Integer> nodeCounts) {
        Map<String, Double> free = new HashMap<>();
        for (Location location : locations) {
            free.put(
                    location.name(),
                    Math.max(0, location.capacity() * health.trustRatio(location.name())));
        }
        Map<String, Map<String, Double>> allocated = new TreeMap<>();
        Map<String, Double> unmet = new TreeMap<>(neededSlots);
        sites.forEach((name, site) -> allocated.put(name, new TreeMap<>()));
        // The slots that nodes may use without a plan are allocated first, and are part of each
        // site's slots.
        for (Location location : locations) {
            sites.forEach(
                    (name, site) -> {
                        double unplanned =
                                (double) location.unplannedSlots(site) * nodeCounts.get(name);
                        allocated.get(name).put(location.name(), unplanned);
                        free.merge(location.name(), -unplanned, Double::sum);
                        if (health.trustRatio(location.name()) > 0) {
                            unmet.merge(name, -unplanned, Double::sum);
                        }
                    });
        }
        for (int distance = 0; distance <= 2; distance++) {
            distribute(locations, sites, distance, unmet, free, allocated);
        }
        for (Location location : locations) {
            double spare = free.get(location.name()) * (1 - RESERVE_RATIO);
            String ownSite = location.site().toString();
            if (spare > 0 && allocated.containsKey(ownSite)) {
                allocated.get(ownSite).merge(location.name(), spare, Double::sum);
            }
        }
        return allocated;
    }

    /**
     * Distributes the unmet demand of each site over the locations at the given distance in
     * proportion to their free capacity; a location that is asked for more than it has divides it
     * in proportion to what the sites ask for.
     */
    private static void distribute(
            List<Location> locations,
            Map<String, Site> sites,
            int distance,
            Map<String, Double> unmet,
            Map<String, Double> free,
            Map<String, Map<String, Double>> allocated) {
        for (int round = 0; round < 4; round++) {
            Map<String, Double> requestedTotals = new HashMap<>();
            Map<String, Map<String, Double>> requested = new TreeMap<>();
            sites.forEach(
                    (name, site) -> {
                        double totalFree = 0;
                        List<Location> reachable = new ArrayList<>();
                        for (Location location : locations) {
                            if (location.distance(site) == distance
                                    && location.canReach(site)
                                    && free.get(location.name()) > 0) {
                                totalFree += free.get(location.name());
                                reachable.add(location);
                            }
                        }
                        for (Location location : reachable) {
                            double slots =
                                    Math.max(0, unmet.getOrDefault(name, 0.0))
                                            * free.get(location.name())
                                            / totalFree;
                            requested
                                    .computeIfAbsent(name, key -> new TreeMap<>())
                                    .put(location.name(), slots);
                            requestedTotals.merge(location.name(), slots, Double::sum);
                        }
                    });
            requested.forEach(
                    (name, byLocation) ->
                            byLocation.forEach(
                                    (location, slots) -> {
                                        double total = requestedTotals.get(location);
                                        double granted =
                                                total <= free.get(location)
                                                        ? slots
                                                        : slots * free.get(location) / total;
                                        allocated.get(name).merge(location, granted, Double::sum);
                                        unmet.merge(name, -granted, Double::sum);
                                    }));
            requestedTotals.forEach(
                    (location, total) ->
                            free.merge(
                                    location, -Math.min(total, free.get(location)), Double::sum));
        }
    }

    /**
     * Rounds down to whole slots, then gives each site the sum of its lost fractions back in whole
     * slots, at the locations with the largest fractions first and while these have free capacity:
     * otherwise demand that is spread over many locations would be rounded down to nothing.
     */
    private Map<String, Map<String, Integer>> toWholeSlots(
            Map<String, Map<String, Double>> allocated, List<Location> locations) {
        Map<String, Double> free = new HashMap<>();
        for (Location location : locations) {
            double used =
                    allocated.values().stream()
                            .mapToDouble(
                                    byLocation ->
                                            Math.floor(
                                                    byLocation.getOrDefault(location.name(), 0.0)
                                                            + 1e-9))
                            .sum();
            free.put(
                    location.name(),
                    Math.floor(location.capacity() * health.trustRatio(location.name())) - used);
        }
        Map<String, Map<String, Integer>> slots = new TreeMap<>();
        allocated.forEach(
                (site, byLocation) -> {
                    Map<String, Integer> siteSlots = new TreeMap<>();
                    Map<String, Double> fractions = new TreeMap<>();
                    byLocation.forEach(
                            (location, exact) -> {
                                siteSlots.put(location, (int) Math.floor(exact + 1e-9));
                                fractions.put(location, exact - Math.floor(exact + 1e-9));
                            });
                    double lostSlots =
                            fractions.values().stream().mapToDouble(fraction -> fraction).sum();
                    List<String> largestFirst =
                            fractions.entrySet().stream()
                                    .filter(entry -> entry.getValue() > 0)
                                    .sorted(
                                            Comparator.comparing(
                                                            (Map.Entry<String, Double> entry) ->
                                                                    -entry.getValue())
                                                    .thenComparing(Map.Entry::getKey))
                                    .map(Map.Entry::getKey)
                                    .toList();
                    for (String location : largestFirst) {
                        if (lostSlots > 0.1 && free.get(location) >= 1) {
                            siteSlots.merge(location, 1, Integer::sum);
                            free.merge(location, -1.0, Double::sum);
                            lostSlots--;
                        }
                    }
                    siteSlots.values().removeIf(count -> count == 0);
                    slots.put(site, siteSlots);
                });
        return slots;
    }

    /**
     * Whether the current plan may stay: no site lacks slots that the target would give it, the
     * trust in no location has changed, and a rebalancing isn't due or would move little.
     */
    private boolean isPlanSufficient(
            Map<String, Map<String, Integer>> target,
            Map<String, Map<String, Integer>> current,
            View view,
            MonotonicTime now) {
        if (!trustRatios(view).equals(plannedTrustRatios)) {
            return false;
        }
        for (Map.Entry<String, Double> needed : neededSlots.entrySet()) {
            double currentSlots = trustedSlots(current, needed.getKey());
            if (currentSlots < needed.getValue() / HEADROOM_FACTOR * SHORTAGE_FACTOR
                    && trustedSlots(target, needed.getKey()) > currentSlots * 1.1) {
                return false;
            }
        }
        boolean isRebalanceDue =
                plannedAt == null
                        || now.since(plannedAt)
                                        .compareTo(
                                                decisionInterval.times(
                                                        REBALANCE_INTERVAL_DECISIONS))
                                >= 0;
        return !isRebalanceDue || isNearTarget(target, current, view.locations());
    }

    private Map<String, Double> trustRatios(View view) {
        Map<String, Double> trustRatios = new TreeMap<>();
        view.locations()
                .forEach(
                        location ->
                                trustRatios.put(
                                        location.name(), health.trustRatio(location.name())));
        return trustRatios;
    }

    /** The number of slots of a site at locations that are trusted at all. */
    private double trustedSlots(Map<String, Map<String, Integer>> slots, String site) {
        return slots.getOrDefault(site, Map.of()).entrySet().stream()
                .filter(entry -> health.trustRatio(entry.getKey()) > 0)
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    private static boolean isNearTarget(
            Map<String, Map<String, Integer>> target,
            Map<String, Map<String, Integer>> current,
            List<Location> locations) {
        for (Location location : locations) {
            double moved = 0;
            for (String site : target.keySet()) {
                int targetSlots =
                        target.getOrDefault(site, Map.of()).getOrDefault(location.name(), 0);
                int currentSlots =
                        current.getOrDefault(site, Map.of()).getOrDefault(location.name(), 0);
                moved += Math.abs(targetSlots - currentSlots);
            }
            if (moved > Math.max(1, location.capacity() * MIN_CHANGE_RATIO)) {
                return false;
            }
        }
        return true;
    }

    /** Whether no location can be overloaded while nodes use any live plan or the given slots. */
    private static boolean fits(
            View view,
            Map<String, Map<String, Integer>> slots,
            Map<String, Integer> capacities,
            Map<String, Map<String, Integer>> unplanned) {
        List<CapacityPlan> plans = new ArrayList<>(view.livePlans());
        plans.add(new CapacityPlan(view.lastPlanNumber() + 1, roster(view.members()), slots));
        return CapacityPlan.findOverfullLocation(plans, capacities, unplanned) == null;
    }

    /** The target slots, but for each site and location at most the slots of every live plan. */
    private static Map<String, Map<String, Integer>> withoutIncreases(
            Map<String, Map<String, Integer>> target, View view) {
        Map<String, Map<String, Integer>> reduced = new TreeMap<>();
        target.forEach(
                (site, byLocation) -> {
                    Map<String, Integer> siteSlots = new TreeMap<>();
                    byLocation.forEach(
                            (location, wanted) -> {
                                int allowed = wanted;
                                for (CapacityPlan plan : view.livePlans()) {
                                    allowed =
                                            Math.min(
                                                    allowed,
                                                    plan.slots()
                                                            .getOrDefault(site, Map.of())
                                                            .getOrDefault(location, 0));
                                }
                                if (allowed > 0) {
                                    siteSlots.put(location, allowed);
                                }
                            });
                    reduced.put(site, siteSlots);
                });
        return reduced;
    }

    private String describeChanges(
            Map<String, Map<String, Integer>> current, Map<String, Map<String, Integer>> next) {
        List<String> changes = new ArrayList<>();
        next.forEach(
                (site, byLocation) -> {
                    TreeSet<String> locations = new TreeSet<>(byLocation.keySet());
                    locations.addAll(current.getOrDefault(site, Map.of()).keySet());
                    for (String location : locations) {
                        int before = current.getOrDefault(site, Map.of()).getOrDefault(location, 0);
                        int after = byLocation.getOrDefault(location, 0);
                        if (before != after) {
                            changes.add(
                                    site
                                            + " at "
                                            + location
                                            + ": slots "
                                            + before
                                            + " -> "
                                            + after);
                        }
                    }
                });
        changes.sort(Comparator.comparing(change -> change));
        String reducedTrust = "";
        for (String location :
                new TreeSet<>(
                        next.values().stream()
                                .flatMap(byLocation -> byLocation.keySet().stream())
                                .toList())) {
            if (health.trustRatio(location) < 1) {
                reducedTrust +=
                        ", trusted capacity of "
                                + location
                                + " reduced to "
                                + Math.round(health.trustRatio(location) * 100)
                                + "%";
            }
        }
        int more = changes.size() - 6;
        return String.join(", ", changes.subList(0, Math.min(6, changes.size())))
                + (more > 0 ? " and " + more + " more" : "")
                + reducedTrust
                + (health.ignoredSites().isEmpty()
                        ? ""
                        : ", reports ignored from sites that are at fault themselves: "
                                + health.ignoredSites());
    }
}
