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
 * Makes plans for whoever holds the duty. What a zone needs goes near first, then into the region,
 * then elsewhere, each place to no more than it is trusted with; what is left of a place belongs to
 * its own zone, but for a part kept free, so that others can be helped at once. A plan that takes
 * and gives at once wouldn't fit while nodes may go by the one before: then what is taken is taken
 * first, and given once that plan is retired.
 */
public final class CapacityPlanner {
    /** What came of one life of a node when it was looked at last. */
    private record Demand(
            Incarnation incarnation, long offered, double seconds, long well, MonotonicTime at) {}

    /** Of what is needed on the mean, since requests come unevenly and nodes have whole slots. */
    private static final double ROOM = 1.35;

    private static final double LEARNS = 0.3;
    private static final int ENOUGH = 20;

    /** Of what a place has left, that much stays free. */
    private static final double FREE = 0.3;

    /** Nothing is planned anew for less than this part of a place. */
    private static final double WORTH = 0.1;

    /** Who has less than so many times what it has in hand now lacks some. */
    private static final double SCARCE = 1.1;

    /** Looks between two plans for no other cause than that it would be tidier. */
    private static final double TIDIES_EVERY = 8;

    private final LocationHealth health;
    private final NanoDuration every;
    private final Map<String, Double> needs = new TreeMap<>();
    private final Map<String, Double> rates = new TreeMap<>();
    private final Map<NodeName, Demand> demand = new HashMap<>();

    /**
     * Seconds that a request of a site takes, with its way there: so more are needed in hand where
     * they go far.
     */
    private final Map<String, Double> takes = new TreeMap<>();

    /** What is to be given once what it takes has been given back; null for nothing. */
    private Map<String, Map<String, Integer>> pending;

    private MonotonicTime lastLook;
    private MonotonicTime plannedAt;
    private Map<String, Double> trustedThen = Map.of();
    private String why = "";

    public CapacityPlanner(NanoDuration lease) {
        health = new LocationHealth(lease);
        every = lease.times(0.5);
    }

    /**
     * What the planner goes by.
     *
     * @param members of the cluster state: a plan counts them all, also those that are out
     * @param live all plans that may be gone by still
     */
    public record View(
            List<Location> locations,
            Collection<ClusterState.Member> members,
            List<NodeView> nodeViews,
            List<CapacityPlan> live,
            long lastPlan) {}

    /** Why it planned last what it did, in one line. */
    public String why() {
        return why;
    }

    /** The next plan, or null where the one there is does. */
    public ClusterCommand.SetCapacityPlan decide(View view, FencingToken token, MonotonicTime now) {
        if (view.locations().isEmpty()
                || view.members().isEmpty()
                || (lastLook != null && now.since(lastLook).compareTo(every) < 0)) {
            return null;
        }
        lastLook = now;
        boolean settled =
                view.live().size() < 2; // else what was planned last has yet to be heard everywhere
        TreeSet<String> names = new TreeSet<>();
        view.locations().forEach(location -> names.add(location.name()));
        health.look(view.nodeViews(), names, now);
        Map<String, Site> sites = new TreeMap<>();
        Map<String, Integer> counts = new TreeMap<>();
        for (ClusterState.Member member : view.members()) {
            sites.put(member.site().toString(), member.site());
            counts.merge(member.site().toString(), 1, Integer::sum);
        }
        need(view, counts, now);
        if (!settled) {
            return null;
        }
        Map<String, Map<String, Integer>> target =
                whole(allot(view.locations(), sites, counts), view.locations());
        Map<String, Integer> bears = new TreeMap<>();
        Map<String, Map<String, Integer>> alone = new TreeMap<>();
        for (Location location : view.locations()) {
            bears.put(location.name(), location.bears());
            sites.forEach(
                    (name, site) ->
                            alone.computeIfAbsent(name, none -> new TreeMap<>())
                                    .put(location.name(), location.alone(site)));
        }
        CapacityPlan newest =
                view.live().isEmpty() ? null : view.live().get(view.live().size() - 1);
        boolean sameRoster = newest != null && roster(view.members()).equals(newest.roster());
        Map<String, Map<String, Integer>> current = newest == null ? Map.of() : newest.slots();
        if (sameRoster && pending == null && does(target, current, view, now)) {
            return null;
        }
        if (pending != null && sameRoster && trusted(view).equals(trustedThen)) {
            target = pending; // else what is asked for would move on while what it takes is given
            // back
        }
        Map<String, Map<String, Integer>> next =
                fits(view, target, bears, alone) ? target : least(target, view);
        if ((sameRoster && next.equals(current)) || !fits(view, next, bears, alone)) {
            pending = null; // as when a place bears less than before
            return null;
        }
        why = changes(current, next);
        pending = next.equals(target) ? null : target;
        plannedAt = now;
        trustedThen = trusted(view);
        return new ClusterCommand.SetCapacityPlan(
                token, view.lastPlan(), bears, alone, next, why, 0);
    }

    private static Map<String, String> roster(Collection<ClusterState.Member> members) {
        Map<String, String> roster = new TreeMap<>();
        members.forEach(member -> roster.put(member.name().text(), member.site().toString()));
        return roster;
    }

    /**
     * How many requests at once each site would like to have below: how many come in a second,
     * times how long one of its own takes. What is out or waits would tell of what it was given,
     * and not of what it needs.
     */
    private void need(View view, Map<String, Integer> counts, MonotonicTime now) {
        Map<String, double[]> took = new TreeMap<>();
        Map<String, Double> came = new TreeMap<>();
        for (NodeView one : view.nodeViews()) {
            if (one.report() == null
                    || one.status() == NodeStatus.OUT
                    || one.status() == NodeStatus.UNKNOWN) {
                demand.remove(one.name());
                continue;
            }
            long most = 0;
            double seconds = 0;
            long well = 0;
            for (NodeReport.LocationUse use : one.report().uses()) {
                most = Math.max(most, use.offered());
                seconds += use.seconds();
                well += use.ended() - use.failed();
            }
            Demand last =
                    demand.put(one.name(), new Demand(one.incarnation(), most, seconds, well, now));
            if (last != null
                    && last.incarnation().equals(one.incarnation())
                    && now.since(last.at()).isPositive()) {
                came.merge(
                        one.site().toString(),
                        (most - last.offered()) / now.since(last.at()).seconds(),
                        Double::sum);
                double[] sums = took.computeIfAbsent(one.site().toString(), none -> new double[2]);
                sums[0] += seconds - last.seconds();
                sums[1] += well - last.well();
            }
        }
        took.forEach(
                (site, sums) -> {
                    if (sums[1] > ENOUGH) {
                        takes.merge(
                                site,
                                sums[0] / sums[1],
                                (old, latest) -> old + (latest - old) * LEARNS);
                    }
                });
        double usual = takes.values().stream().mapToDouble(one -> one).average().orElse(0);
        counts.forEach(
                (site, count) -> {
                    double latest = came.getOrDefault(site, -1.0);
                    if (latest >= 0) {
                        rates.merge(site, latest, (old, more) -> old + (more - old) * LEARNS);
                    }
                    needs.put(
                            site,
                            Math.max(
                                    count,
                                    rates.getOrDefault(site, 0.0)
                                            * takes.getOrDefault(site, usual)
                                            * ROOM));
                });
        needs.keySet().retainAll(counts.keySet());
        rates.keySet().retainAll(counts.keySet());
        takes.keySet().retainAll(counts.keySet());
    }

    /** Slots by site and place, before they are parted among nodes. */
    private Map<String, Map<String, Double>> allot(
            List<Location> locations, Map<String, Site> sites, Map<String, Integer> counts) {
        Map<String, Double> left = new HashMap<>();
        for (Location location : locations) {
            // Standing rights of all nodes come first, and are part of what each gets.
            left.put(
                    location.name(), Math.max(0, location.bears() * health.trust(location.name())));
        }
        Map<String, Map<String, Double>> given = new TreeMap<>();
        Map<String, Double> open = new TreeMap<>(needs);
        sites.forEach((name, site) -> given.put(name, new TreeMap<>()));
        for (Location location : locations) {
            sites.forEach(
                    (name, site) -> {
                        double standing = (double) location.alone(site) * counts.get(name);
                        given.get(name).put(location.name(), standing);
                        left.merge(location.name(), -standing, Double::sum);
                        if (health.trust(location.name()) > 0) {
                            open.merge(name, -standing, Double::sum);
                        }
                    });
        }
        for (int distance = 0; distance <= 2; distance++) {
            spread(locations, sites, distance, open, left, given);
        }
        for (Location location : locations) {
            double spare = left.get(location.name()) * (1 - FREE);
            String own = location.site().toString();
            if (spare > 0 && given.containsKey(own)) {
                given.get(own).merge(location.name(), spare, Double::sum);
            }
        }
        return given;
    }

    /**
     * What is open still goes to places so far away: each place's room is parted by need, each need
     * by room.
     */
    private static void spread(
            List<Location> locations,
            Map<String, Site> sites,
            int distance,
            Map<String, Double> open,
            Map<String, Double> left,
            Map<String, Map<String, Double>> given) {
        for (int round = 0; round < 4; round++) {
            Map<String, Double> demand = new HashMap<>();
            Map<String, Map<String, Double>> asks = new TreeMap<>();
            sites.forEach(
                    (name, site) -> {
                        double room = 0;
                        List<Location> there = new ArrayList<>();
                        for (Location location : locations) {
                            if (location.distance(site) == distance
                                    && location.mayReach(site)
                                    && left.get(location.name()) > 0) {
                                room += left.get(location.name());
                                there.add(location);
                            }
                        }
                        for (Location location : there) {
                            double part =
                                    Math.max(0, open.getOrDefault(name, 0.0))
                                            * left.get(location.name())
                                            / room;
                            asks.computeIfAbsent(name, none -> new TreeMap<>())
                                    .put(location.name(), part);
                            demand.merge(location.name(), part, Double::sum);
                        }
                    });
            asks.forEach(
                    (name, parts) ->
                            parts.forEach(
                                    (location, part) -> {
                                        double all = demand.get(location);
                                        double may =
                                                all <= left.get(location)
                                                        ? part
                                                        : part * left.get(location) / all;
                                        given.get(name).merge(location, may, Double::sum);
                                        open.merge(name, -may, Double::sum);
                                    }));
            demand.forEach(
                    (location, all) ->
                            left.merge(location, -Math.min(all, left.get(location)), Double::sum));
        }
    }

    /**
     * Whole slots. What a site loses by that at all places together it gets back in whole ones,
     * where it lost most and as long as there is room: else a need that is spread thinly would come
     * to nothing.
     */
    private Map<String, Map<String, Integer>> whole(
            Map<String, Map<String, Double>> given, List<Location> locations) {
        Map<String, Double> room = new HashMap<>();
        for (Location location : locations) {
            double sum =
                    given.values().stream()
                            .mapToDouble(
                                    parts ->
                                            Math.floor(
                                                    parts.getOrDefault(location.name(), 0.0)
                                                            + 1e-9))
                            .sum();
            room.put(
                    location.name(),
                    Math.floor(location.bears() * health.trust(location.name())) - sum);
        }
        Map<String, Map<String, Integer>> slots = new TreeMap<>();
        given.forEach(
                (site, parts) -> {
                    Map<String, Integer> own = new TreeMap<>();
                    Map<String, Double> lost = new TreeMap<>();
                    parts.forEach(
                            (location, part) -> {
                                own.put(location, (int) Math.floor(part + 1e-9));
                                lost.put(location, part - Math.floor(part + 1e-9));
                            });
                    double all = lost.values().stream().mapToDouble(one -> one).sum();
                    List<String> most =
                            lost.entrySet().stream()
                                    .filter(one -> one.getValue() > 0)
                                    .sorted(
                                            Comparator.comparing(
                                                            (Map.Entry<String, Double> one) ->
                                                                    -one.getValue())
                                                    .thenComparing(Map.Entry::getKey))
                                    .map(Map.Entry::getKey)
                                    .toList();
                    for (String location : most) {
                        if (all > 0.1 && room.get(location) >= 1) {
                            own.merge(location, 1, Integer::sum);
                            room.merge(location, -1.0, Double::sum);
                            all--;
                        }
                    }
                    own.values().removeIf(one -> one == 0);
                    slots.put(site, own);
                });
        return slots;
    }

    /**
     * Whether the plan there is does: nobody lacks much, no place's trust has changed, and little
     * would move.
     */
    private boolean does(
            Map<String, Map<String, Integer>> target,
            Map<String, Map<String, Integer>> current,
            View view,
            MonotonicTime now) {
        if (!trusted(view).equals(trustedThen)) {
            return false;
        }
        for (Map.Entry<String, Double> need : needs.entrySet()) {
            double has = has(current, need.getKey());
            if (has < need.getValue() / ROOM * SCARCE && has(target, need.getKey()) > has * 1.1) {
                return false;
            }
        }
        boolean late =
                plannedAt == null || now.since(plannedAt).compareTo(every.times(TIDIES_EVERY)) >= 0;
        return !late || isNear(target, current, view.locations());
    }

    private Map<String, Double> trusted(View view) {
        Map<String, Double> trusted = new TreeMap<>();
        view.locations()
                .forEach(location -> trusted.put(location.name(), health.trust(location.name())));
        return trusted;
    }

    /** What a site has at places that are trusted. */
    private double has(Map<String, Map<String, Integer>> slots, String site) {
        return slots.getOrDefault(site, Map.of()).entrySet().stream()
                .filter(one -> health.trust(one.getKey()) > 0)
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    private static boolean isNear(
            Map<String, Map<String, Integer>> target,
            Map<String, Map<String, Integer>> current,
            List<Location> locations) {
        for (Location location : locations) {
            double moved = 0;
            for (String site : target.keySet()) {
                int next = target.getOrDefault(site, Map.of()).getOrDefault(location.name(), 0);
                int now = current.getOrDefault(site, Map.of()).getOrDefault(location.name(), 0);
                moved += Math.abs(next - now);
            }
            if (moved > Math.max(1, location.bears() * WORTH)) {
                return false;
            }
        }
        return true;
    }

    private static boolean fits(
            View view,
            Map<String, Map<String, Integer>> slots,
            Map<String, Integer> bears,
            Map<String, Map<String, Integer>> alone) {
        List<CapacityPlan> all = new ArrayList<>(view.live());
        all.add(new CapacityPlan(view.lastPlan() + 1, roster(view.members()), slots));
        return CapacityPlan.overfull(all, bears, alone) == null;
    }

    /** What is taken now: nobody gets more than by any live plan, and nobody more than wanted. */
    private static Map<String, Map<String, Integer>> least(
            Map<String, Map<String, Integer>> target, View view) {
        Map<String, Map<String, Integer>> least = new TreeMap<>();
        target.forEach(
                (site, parts) -> {
                    Map<String, Integer> own = new TreeMap<>();
                    parts.forEach(
                            (place, wanted) -> {
                                int may = wanted;
                                for (CapacityPlan plan : view.live()) {
                                    may =
                                            Math.min(
                                                    may,
                                                    plan.slots()
                                                            .getOrDefault(site, Map.of())
                                                            .getOrDefault(place, 0));
                                }
                                if (may > 0) {
                                    own.put(place, may);
                                }
                            });
                    least.put(site, own);
                });
        return least;
    }

    private String changes(
            Map<String, Map<String, Integer>> current, Map<String, Map<String, Integer>> next) {
        List<String> all = new ArrayList<>();
        next.forEach(
                (site, parts) -> {
                    TreeSet<String> places = new TreeSet<>(parts.keySet());
                    places.addAll(current.getOrDefault(site, Map.of()).keySet());
                    for (String place : places) {
                        int was = current.getOrDefault(site, Map.of()).getOrDefault(place, 0);
                        int is = parts.getOrDefault(place, 0);
                        if (was != is) {
                            all.add(site + " at " + place + " " + was + " -> " + is);
                        }
                    }
                });
        all.sort(Comparator.comparing(one -> one));
        String trusts = "";
        for (String place :
                new TreeSet<>(
                        next.values().stream()
                                .flatMap(parts -> parts.keySet().stream())
                                .toList())) {
            if (health.trust(place) < 1) {
                trusts +=
                        ", "
                                + place
                                + " is trusted with "
                                + Math.round(health.trust(place) * 100)
                                + "%";
            }
        }
        int more = all.size() - 6;
        return String.join(", ", all.subList(0, Math.min(6, all.size())))
                + (more > 0 ? " and " + more + " more" : "")
                + trusts
                + (health.unheard().isEmpty()
                        ? ""
                        : ", not heeded, since they suffer themselves: " + health.unheard());
    }
}
