package lupinwood.failover;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.cluster.Incarnation;
import lupinwood.cluster.NodeName;
import lupinwood.cluster.NodeReport;
import lupinwood.cluster.NodeStatus;
import lupinwood.cluster.NodeView;

/**
 * Health of the locations as the nodes report it: which locations are unhealthy, and how far each
 * is trusted again after it recovered. A site that finds every location failing while other sites
 * succeed at one of them is itself at fault, and its reports are ignored. If at least two locations
 * are in use and all of these are unhealthy, trust stays as it is: a fault that affects all of them
 * must not move traffic.
 */
final class LocationHealth {
    private static final double UNHEALTHY_FAILURE_RATIO = 0.5;
    private static final double HEALTHY_FAILURE_RATIO = 0.2;
    private static final int MIN_WEIGHTED_ENDED_REQUESTS = 4;

    /** Weight of the earlier request counts after each update. */
    private static final double RETAINED_RATIO = 0.6;

    private static final double TRUST_STEP_RATIO = 0.25;
    private static final double MIN_TRUST_STEP_RATIO = 1.0 / 16;
    private static final double TRUST_STEP_INTERVAL_LEASES = 2;
    private static final double FLAPPING_WINDOW_LEASES = 40;

    /** Request counts of one site at one location. */
    private static final class SiteUse {
        double ended;
        double failed;
        int ejectingNodes;
        int nodes;

        /**
         * The share of requests that failed; 1 if most nodes ejected the location, otherwise
         * negative while too few requests have ended.
         */
        double failureRatio() {
            // Nodes that ejected the location send no requests there, so their ejections count
            // instead of request counts.
            return nodes > 0 && ejectingNodes * 2 > nodes
                    ? 1
                    : ended < MIN_WEIGHTED_ENDED_REQUESTS ? -1 : failed / ended;
        }
    }

    private static final class Trust {
        double ratio = 1;
        double stepRatio = TRUST_STEP_RATIO;

        /** Remains set until the first trust step after the location recovered. */
        boolean isUnhealthy;

        /** When it was last found unhealthy or its trust was last raised. */
        MonotonicTime lastUnhealthyOrRaisedAt;

        MonotonicTime becameUnhealthyAt;
    }

    private record NodeLocation(NodeName node, String location) {}

    private record PreviousUse(Incarnation incarnation, long ended, long failed) {}

    private final Map<NodeLocation, PreviousUse> previousUses = new HashMap<>();

    /** By location, then by site. */
    private final Map<String, Map<String, SiteUse>> siteUses = new TreeMap<>();

    private final Map<String, Trust> trusts = new HashMap<>();
    private final NanoDuration lease;

    LocationHealth(NanoDuration lease) {
        this.lease = lease;
    }

    /** Evaluates the node reports; requests that ended since the last update count most. */
    void update(Iterable<NodeView> nodeViews, Set<String> locations, MonotonicTime now) {
        siteUses.values()
                .forEach(
                        sites ->
                                sites.values()
                                        .forEach(
                                                siteUse -> {
                                                    siteUse.ended *= RETAINED_RATIO;
                                                    siteUse.failed *= RETAINED_RATIO;
                                                    siteUse.ejectingNodes = 0;
                                                    siteUse.nodes = 0;
                                                }));
        for (NodeView nodeView : nodeViews) {
            if (nodeView.status() == NodeStatus.OUT
                    || nodeView.status() == NodeStatus.UNKNOWN
                    || nodeView.report() == null) {
                continue; // its last report is out of date
            }
            for (NodeReport.LocationUse use : nodeView.report().locationUses()) {
                PreviousUse last =
                        previousUses.put(
                                new NodeLocation(nodeView.name(), use.location()),
                                new PreviousUse(
                                        nodeView.incarnation(), use.completed(), use.failed()));
                boolean sameIncarnation =
                        last != null && last.incarnation().equals(nodeView.incarnation());
                SiteUse siteUse =
                        siteUses.computeIfAbsent(use.location(), key -> new TreeMap<>())
                                .computeIfAbsent(nodeView.site().toString(), key -> new SiteUse());
                siteUse.nodes++;
                siteUse.ejectingNodes += use.ejected() ? 1 : 0;
                siteUse.ended += use.completed() - (sameIncarnation ? last.ended() : 0);
                siteUse.failed += use.failed() - (sameIncarnation ? last.failed() : 0);
            }
        }
        evaluate(locations, now);
    }

    private void evaluate(Set<String> locations, MonotonicTime now) {
        Set<String> ignoredSites = findIgnoredSites();
        Set<String> unhealthy = new TreeSet<>();
        Set<String> inUse = new TreeSet<>();
        for (String location : locations) {
            int sites = 0;
            int failingSites = 0;
            for (Map.Entry<String, SiteUse> site :
                    siteUses.getOrDefault(location, Map.of()).entrySet()) {
                double failureRatio = site.getValue().failureRatio();
                if (failureRatio >= 0 && !ignoredSites.contains(site.getKey())) {
                    sites++;
                    failingSites += failureRatio > UNHEALTHY_FAILURE_RATIO ? 1 : 0;
                }
            }
            if (sites > 0) {
                inUse.add(location);
            }
            if (failingSites * 2 > sites) {
                unhealthy.add(location);
            }
        }
        boolean isGlobalFault =
                !unhealthy.isEmpty()
                        && unhealthy.equals(inUse)
                        && locations.size() > 1
                        && inUse.size() > 1;
        for (String location : locations) {
            Trust trust = trusts.computeIfAbsent(location, key -> new Trust());
            if (isGlobalFault) {
                continue;
            }
            if (unhealthy.contains(location)) {
                markUnhealthy(trust, now);
            } else if (inUse.contains(location)) {
                recover(trust, now);
            }
        }
    }

    /**
     * Sites whose reports are ignored: every location that they use fails for them, and another
     * site succeeds at one of these.
     */
    private Set<String> findIgnoredSites() {
        // By site: locations in use, failing ones, and failing ones at which another site succeeds.
        Map<String, int[]> sites = new TreeMap<>();
        siteUses.forEach(
                (location, bySite) ->
                        bySite.forEach(
                                (site, siteUse) -> {
                                    if (siteUse.failureRatio() >= 0) {
                                        int[] counts =
                                                sites.computeIfAbsent(site, key -> new int[3]);
                                        counts[0]++;
                                        counts[1] +=
                                                siteUse.failureRatio() > UNHEALTHY_FAILURE_RATIO
                                                        ? 1
                                                        : 0;
                                        boolean isHealthyForOthers =
                                                bySite.entrySet().stream()
                                                        .anyMatch(
                                                                other ->
                                                                        !other.getKey().equals(site)
                                                                                && other.getValue()
                                                                                                .failureRatio()
                                                                                        >= 0
                                                                                && other.getValue()
                                                                                                .failureRatio()
                                                                                        < HEALTHY_FAILURE_RATIO);
                                        counts[2] +=
                                                siteUse.failureRatio() > UNHEALTHY_FAILURE_RATIO
                                                                && isHealthyForOthers
                                                        ? 1
                                                        : 0;
                                    }
                                }));
        Set<String> ignored = new HashSet<>();
        sites.forEach(
                (site, counts) -> {
                    if (counts[0] == counts[1] && counts[2] > 0) {
                        ignored.add(site);
                    }
                });
        return ignored;
    }

    private void markUnhealthy(Trust trust, MonotonicTime now) {
        if (!trust.isUnhealthy) {
            // A location that becomes unhealthy again soon after it last did regains trust in
            // smaller steps.
            boolean isFlapping =
                    trust.becameUnhealthyAt != null
                            && now.since(trust.becameUnhealthyAt)
                                            .compareTo(lease.times(FLAPPING_WINDOW_LEASES))
                                    < 0;
            trust.stepRatio =
                    isFlapping
                            ? Math.max(MIN_TRUST_STEP_RATIO, trust.stepRatio / 2)
                            : TRUST_STEP_RATIO;
            trust.isUnhealthy = true;
            trust.becameUnhealthyAt = now;
        }
        trust.ratio = 0;
        trust.lastUnhealthyOrRaisedAt = now;
    }

    private void recover(Trust trust, MonotonicTime now) {
        if (trust.ratio >= 1
                || now.since(trust.lastUnhealthyOrRaisedAt)
                                .compareTo(lease.times(TRUST_STEP_INTERVAL_LEASES))
                        < 0) {
            return;
        }
        trust.isUnhealthy = false;
        trust.ratio = Math.min(1, trust.ratio + trust.stepRatio);
        trust.lastUnhealthyOrRaisedAt = now;
    }

    /** The share of the location's capacity that may be planned, from 0 to 1. */
    double trustRatio(String location) {
        Trust trust = trusts.get(location);
        return trust == null ? 1 : trust.ratio;
    }

    /** The sites whose reports are ignored, since they are at fault themselves. */
    Set<String> ignoredSites() {
        return findIgnoredSites();
    }
}
