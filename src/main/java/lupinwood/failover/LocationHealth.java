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
 * What is known of places by what nodes tell: which are sick, and how much each is trusted again
 * after it was. A site to which all is sick while others do well there is itself what suffers, and
 * isn't listened to. Where all that anybody tries is sick, nothing is: a fault of the whole moves
 * nothing.
 */
final class LocationHealth {
    private static final double SICK = 0.5;
    private static final double WELL = 0.2;
    private static final int ENOUGH = 4;

    /** Of what was seen before, that much counts at each look on. */
    private static final double RETAINED = 0.6;

    private static final double TRUST_STEP = 0.25;
    private static final double LEAST_STEP = 1.0 / 16;

    /** In leases. */
    private static final double STEP_EVERY = 2;

    private static final double FLAPPED_WITHIN = 40;

    private static final class Row {
        double ended;
        double failed;
        int leaveOut;
        int nodes;

        double share() {
            // Who leaves a place out tries it no more, so that is what is known of it then.
            return nodes > 0 && leaveOut * 2 > nodes ? 1 : ended < ENOUGH ? -1 : failed / ended;
        }
    }

    private static final class Trust {
        double share = 1;
        double step = TRUST_STEP;
        boolean sick;
        MonotonicTime changed;
        MonotonicTime sickAt;
    }

    private record NodeLocation(NodeName node, String place) {}

    private record PreviousUse(Incarnation incarnation, long ended, long failed) {}

    private final Map<NodeLocation, PreviousUse> before = new HashMap<>();
    private final Map<String, Map<String, Row>> rows = new TreeMap<>();
    private final Map<String, Trust> trusts = new HashMap<>();
    private final NanoDuration lease;

    LocationHealth(NanoDuration lease) {
        this.lease = lease;
    }

    /** A look at all that nodes tell; what came since the last one counts most. */
    void look(Iterable<NodeView> all, Set<String> places, MonotonicTime now) {
        rows.values()
                .forEach(
                        sites ->
                                sites.values()
                                        .forEach(
                                                row -> {
                                                    row.ended *= RETAINED;
                                                    row.failed *= RETAINED;
                                                    row.leaveOut = 0;
                                                    row.nodes = 0;
                                                }));
        for (NodeView nodeView : all) {
            if (nodeView.status() == NodeStatus.OUT
                    || nodeView.status() == NodeStatus.UNKNOWN
                    || nodeView.report() == null) {
                continue; // what it said last is old
            }
            for (NodeReport.LocationUse use : nodeView.report().uses()) {
                PreviousUse last =
                        before.put(
                                new NodeLocation(nodeView.name(), use.place()),
                                new PreviousUse(nodeView.incarnation(), use.ended(), use.failed()));
                boolean same = last != null && last.incarnation().equals(nodeView.incarnation());
                Row row =
                        rows.computeIfAbsent(use.place(), none -> new TreeMap<>())
                                .computeIfAbsent(nodeView.site().toString(), none -> new Row());
                row.nodes++;
                row.leaveOut += use.leftOut() ? 1 : 0;
                row.ended += use.ended() - (same ? last.ended() : 0);
                row.failed += use.failed() - (same ? last.failed() : 0);
            }
        }
        judge(places, now);
    }

    private void judge(Set<String> places, MonotonicTime now) {
        Set<String> deaf = suffering();
        Set<String> sick = new TreeSet<>();
        Set<String> tried = new TreeSet<>();
        for (String place : places) {
            int says = 0;
            int against = 0;
            for (Map.Entry<String, Row> site : rows.getOrDefault(place, Map.of()).entrySet()) {
                double share = site.getValue().share();
                if (share >= 0 && !deaf.contains(site.getKey())) {
                    says++;
                    against += share > SICK ? 1 : 0;
                }
            }
            if (says > 0) {
                tried.add(place);
            }
            if (against * 2 > says) {
                sick.add(place);
            }
        }
        boolean whole =
                !sick.isEmpty() && sick.equals(tried) && places.size() > 1 && tried.size() > 1;
        for (String place : places) {
            Trust trust = trusts.computeIfAbsent(place, none -> new Trust());
            if (whole) {
                continue;
            }
            if (sick.contains(place)) {
                sicken(trust, now);
            } else if (tried.contains(place)) {
                recover(trust, now);
            }
        }
    }

    /** Sites that see all that they try as sick, of which others see some as well. */
    private Set<String> suffering() {
        Map<String, int[]> sites = new TreeMap<>();
        rows.forEach(
                (place, bySite) ->
                        bySite.forEach(
                                (site, row) -> {
                                    if (row.share() >= 0) {
                                        int[] counts =
                                                sites.computeIfAbsent(site, none -> new int[3]);
                                        counts[0]++;
                                        counts[1] += row.share() > SICK ? 1 : 0;
                                        boolean wellElsewhere =
                                                bySite.entrySet().stream()
                                                        .anyMatch(
                                                                other ->
                                                                        !other.getKey().equals(site)
                                                                                && other.getValue()
                                                                                                .share()
                                                                                        >= 0
                                                                                && other.getValue()
                                                                                                .share()
                                                                                        < WELL);
                                        counts[2] += row.share() > SICK && wellElsewhere ? 1 : 0;
                                    }
                                }));
        Set<String> suffering = new HashSet<>();
        sites.forEach(
                (site, counts) -> {
                    if (counts[0] == counts[1] && counts[2] > 0) {
                        suffering.add(site);
                    }
                });
        return suffering;
    }

    private void sicken(Trust trust, MonotonicTime now) {
        if (!trust.sick) {
            // One that falls again soon after it was trusted again gets it back in smaller steps.
            boolean flaps =
                    trust.sickAt != null
                            && now.since(trust.sickAt).compareTo(lease.times(FLAPPED_WITHIN)) < 0;
            trust.step = flaps ? Math.max(LEAST_STEP, trust.step / 2) : TRUST_STEP;
            trust.sick = true;
            trust.sickAt = now;
        }
        trust.share = 0;
        trust.changed = now;
    }

    private void recover(Trust trust, MonotonicTime now) {
        if (trust.share >= 1 || now.since(trust.changed).compareTo(lease.times(STEP_EVERY)) < 0) {
            return;
        }
        trust.sick = false;
        trust.share = Math.min(1, trust.share + trust.step);
        trust.changed = now;
    }

    /** How much of what a place bears it is trusted with, from 0 to 1. */
    double trust(String place) {
        Trust trust = trusts.get(place);
        return trust == null ? 1 : trust.share;
    }

    /** Sites whose word isn't taken, since they suffer themselves. */
    Set<String> unheard() {
        return suffering();
    }
}
