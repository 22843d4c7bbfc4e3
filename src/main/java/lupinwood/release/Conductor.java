package lupinwood.release;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import lupinwood.fleet.Deed;
import lupinwood.fleet.NodeName;
import lupinwood.fleet.Release;
import lupinwood.fleet.Report;
import lupinwood.fleet.Seen;
import lupinwood.fleet.Standing;
import lupinwood.fleet.Tally;
import lupinwood.fleet.Token;
import lupinwood.node.Moment;
import lupinwood.node.Span;

/**
 * Leads a release for whoever holds the duty: checks it first, gives it to one node a zone, then to
 * waves that grow, and watches after each. What it has decided is in the book; what it has seen it
 * learns anew when another begins, which then watches the wave under way from its own start. It
 * never resumes what was halted.
 */
public final class Conductor {
    private static final double GROWTH = 3;

    /**
     * Of those that haven't got it yet a wave takes no more, so that some are left to compare with.
     */
    private static final double MOST_OF_THE_REST = 0.6;

    /** Askings for permits at once. */
    private static final int MOST_ASKED = 8;

    /**
     * Counts of the past that are kept: what is written has to fit into one message, a few times.
     */
    private static final int MOST_COUNTS = 330;

    private final NodeName self;
    private final Limits limits;
    private final Map<NodeName, History> histories = new HashMap<>();
    private long number = -1;
    private int step = -1;
    private boolean back;
    private boolean wasHalted;

    /** When the wave under way was first seen here. */
    private Moment stepSeen;

    /** From when the wave is watched: all that are there run it; null before. */
    private Moment watchFrom;

    /** Since when a node had it and wasn't seen to be well with it. */
    private final Map<NodeName, Moment> missing = new HashMap<>();

    /** Given it, and waiting for a permit to go and come back with it. */
    private final Set<NodeName> unpermitted = new HashSet<>();

    /** All that were seen to have it in this release. */
    private final Set<NodeName> hadIt = new HashSet<>();

    private int halts;
    private String says = "";
    private boolean wantsPast;

    public Conductor(NodeName self, Limits limits) {
        this.self = self;
        this.limits = limits;
    }

    /** What it waits for or found last, in one line. */
    public String says() {
        return says;
    }

    /** Whether the book is to tell how nodes did before the release: it began under another. */
    public boolean wantsPast() {
        return wantsPast;
    }

    /**
     * What is to be done now; asked again and again with a fresh picture, and the same is said
     * until it is in the book.
     */
    public List<Act> decide(Picture picture, Token token, Moment now) {
        Release release = picture.release();
        if (release == null) {
            number = -1;
            says = "";
            histories.clear();
            return picture.haltedBy().isEmpty() ? catchUp(picture) : List.of();
        }
        if (release.number() != number) {
            number = release.number();
            step = -1;
            histories.clear();
            hadIt.clear();
            wantsPast = release.steps() > 0;
        }
        Set<NodeName> known = new HashSet<>();
        for (Seen seen : picture.seen()) {
            known.add(seen.name());
            histories
                    .computeIfAbsent(seen.name(), none -> new History())
                    .heard(seen, now, limits.watch().times(1.0 / History.POINTS_A_WATCH));
        }
        histories.keySet().retainAll(known);
        hadIt.addAll(release.given());
        if (wantsPast && picture.past() != null) {
            wantsPast = false;
            picture.past()
                    .forEach(
                            (node, tally) ->
                                    Optional.ofNullable(histories.get(new NodeName(node)))
                                            .ifPresent(history -> history.past(tally)));
        }
        boolean halted = !picture.haltedBy().isEmpty();
        if (release.steps() != step || release.back() != back || (wasHalted && !halted)) {
            step = release.steps();
            back = release.back();
            stepSeen = now;
            watchFrom = null;
            missing.clear();
        }
        wasHalted = halted;
        if (halted) {
            says = "halted by " + picture.haltedBy();
            return List.of();
        }
        if (release.back()) {
            return goBack(picture, release, token, now);
        }
        return release.steps() == 0
                ? check(picture, release, token, now)
                : wave(picture, release, token, now);
    }

    /**
     * Nodes that were away, or came back while nobody could tell them, take what was agreed on, if
     * need be by a restart.
     */
    private List<Act> catchUp(Picture picture) {
        List<Act> acts = new ArrayList<>();
        for (Seen seen : picture.seen()) {
            boolean lags =
                    isThere(seen)
                            && seen.report() != null
                            && !seen.report().runs().equals(picture.good());
            if (lags && restartsFor(seen, picture.good()) && !picture.hasPermit(seen.name())) {
                acts.add(
                        new Act.Let(
                                "g" + picture.good() + "." + seen.name() + "." + seen.life(),
                                seen.name()));
            }
        }
        says =
                acts.isEmpty()
                        ? ""
                        : acts.size() + " nodes need a restart to run what was agreed on";
        return few(acts);
    }

    // ---- before it starts ----

    private List<Act> check(Picture picture, Release release, Token token, Moment now) {
        List<Seen> there = picture.seen().stream().filter(Conductor::isThere).toList();
        for (Seen seen : there) {
            Report report = seen.report();
            if (report == null) {
                return refuse(
                        release, token, seen.name() + " is of a version that knows of no releases");
            }
            Report.Checked checked = report.checked();
            if (release.kind() == Release.Kind.CONFIGURATION
                    && checked != null
                    && checked.digest().equals(release.to())
                    && !checked.fits()) {
                return refuse(release, token, seen.name() + " would not take it: " + checked.why());
            }
        }
        List<NodeName> open =
                there.stream().filter(seen -> !isChecked(seen, release)).map(Seen::name).toList();
        if (there.size() * 2 <= picture.seen().size()) {
            says = "only " + there.size() + " of " + picture.seen().size() + " nodes are there";
            return late(release, token, now);
        }
        if (!open.isEmpty()) {
            says =
                    "waits for "
                            + open.get(0)
                            + (open.size() > 1 ? " and " + (open.size() - 1) + " more" : "")
                            + " to check it";
            return late(release, token, now);
        }
        if (now.since(stepSeen).compareTo(limits.watch()) < 0) {
            says = "looks at the fleet as it was before";
            return List.of(); // what the waves are compared with
        }
        Map<String, Tally> past = new TreeMap<>();
        long counts =
                picture.seen().stream()
                        .filter(seen -> seen.report() != null)
                        .mapToLong(seen -> seen.report().tally().counts().size())
                        .sum();
        histories.forEach(
                (node, history) -> {
                    Tally latest = history.latest(limits.watch(), now);
                    if (latest != null && past.size() < MOST_COUNTS) {
                        // In large fleets all tracks together: what is kept of each track would be
                        // too long.
                        past.put(
                                node.text(),
                                counts <= MOST_COUNTS ? latest : new Tally(List.of(latest.all())));
                    }
                    history.past(latest);
                });
        return give(release, token, canaries(picture, release), "all have checked it", past);
    }

    /** Whether it runs what all ran before, and would run the new. */
    private static boolean isChecked(Seen seen, Release release) {
        Report report = seen.report();
        if (release.kind() == Release.Kind.PROGRAM) {
            return true;
        }
        boolean settled =
                report.runs().equals(release.from()) || report.runs().equals(release.to());
        return settled
                && report.checked() != null
                && report.checked().digest().equals(release.to());
    }

    private List<Act> late(Release release, Token token, Moment now) {
        return now.since(stepSeen).compareTo(limits.watchMost()) < 0
                ? List.of()
                : refuse(release, token, says);
    }

    private static List<Act> refuse(Release release, Token token, String why) {
        return List.of(new Act.Write(new Deed.Finish(token, release.number(), false, why, 0)));
    }

    private static boolean isThere(Seen seen) {
        return seen.standing() == Standing.WARM || seen.standing() == Standing.UP;
    }

    // ---- waves ----

    /** One of each zone: well, and rather not this node. */
    private List<NodeName> canaries(Picture picture, Release release) {
        Map<String, List<Seen>> zones = byZone(picture, release);
        List<NodeName> chosen = new ArrayList<>();
        zones.values()
                .forEach(
                        zone ->
                                zone.stream()
                                        .findFirst()
                                        .ifPresent(seen -> chosen.add(seen.name())));
        return chosen;
    }

    /**
     * Nodes that are well and haven't got it, in an order that begins with those that others need
     * least.
     */
    private Map<String, List<Seen>> byZone(Picture picture, Release release) {
        Map<String, List<Seen>> zones = new TreeMap<>();
        picture.seen().stream()
                .filter(seen -> seen.standing() == Standing.WARM && !release.isGiven(seen.name()))
                .sorted(
                        Comparator.comparing((Seen seen) -> seen.name().equals(self))
                                .thenComparing(Seen::name))
                .forEach(
                        seen ->
                                zones.computeIfAbsent(
                                                seen.site().toString(), none -> new ArrayList<>())
                                        .add(seen));
        return zones;
    }

    private List<NodeName> next(Picture picture, Release release) {
        Map<String, List<Seen>> zones = byZone(picture, release);
        int left = zones.values().stream().mapToInt(List::size).sum();
        int given = release.given().size();
        int all = given + left;
        int few = Math.max(zones.size(), all / 10);
        int size =
                left <= few
                        ? left
                        : (int)
                                Math.max(
                                        1,
                                        Math.min(
                                                given * (GROWTH - 1),
                                                Math.ceil(left * MOST_OF_THE_REST)));
        List<NodeName> chosen = new ArrayList<>();
        for (int turn = 0; chosen.size() < size; turn++) {
            for (List<Seen> zone : zones.values()) {
                if (turn < zone.size() && chosen.size() < size) {
                    chosen.add(zone.get(turn).name());
                }
            }
        }
        return chosen;
    }

    private static List<Act> give(
            Release release,
            Token token,
            List<NodeName> nodes,
            String why,
            Map<String, Tally> past) {
        return nodes.isEmpty()
                ? List.of()
                : List.of(
                        new Act.Write(
                                new Deed.Step(
                                        token,
                                        release.number(),
                                        release.steps() + 1,
                                        false,
                                        nodes,
                                        why,
                                        past,
                                        0)));
    }

    private List<Act> wave(Picture picture, Release release, Token token, Moment now) {
        List<Act> acts = new ArrayList<>();
        List<NodeName> waits = new ArrayList<>();
        unpermitted.clear();
        for (NodeName node : release.given()) {
            Seen seen = picture.of(node).orElse(null);
            if (seen == null || (runs(seen, release.kind(), release.to()) && isWell(node, now))) {
                missing.remove(node);
                continue;
            }
            if (isThere(seen)
                    && !runs(seen, release.kind(), release.to())
                    && needsRestart(seen, release, release.to())) {
                if (!picture.hasPermit(node)) {
                    acts.add(
                            new Act.Let(
                                    "r" + release.number() + "." + node + "." + seen.life(), node));
                    missing.remove(node); // it waits for its permit, which is nobody's fault
                    unpermitted.add(node);
                    waits.add(node);
                    continue;
                }
            }
            Moment since = missing.computeIfAbsent(node, none -> now);
            if (now.since(since).compareTo(limits.rejoin()) < 0) {
                waits.add(node);
            }
        }
        if (!waits.isEmpty()) {
            says =
                    "waits for "
                            + waits.get(0)
                            + (waits.size() > 1 ? " and " + (waits.size() - 1) + " more" : "")
                            + " to be well with it";
            watchFrom = watchFrom == null || !acts.isEmpty() ? null : watchFrom;
        } else if (watchFrom == null) {
            watchFrom = now;
            histories.values().forEach(History::mark);
        }
        if (watchFrom == null) {
            Verdict gone = Watch.losses(samples(picture, release, now));
            if (gone != null) {
                return List.of(bad(release, token, gone.text()));
            }
            return now.since(stepSeen).compareTo(limits.watchMost().plus(limits.rejoin())) < 0
                    ? few(acts)
                    : List.of(halt(release, token, "it takes too long: " + says));
        }
        acts.addAll(judge(picture, release, token, now, waits.isEmpty()));
        return acts;
    }

    private List<Act> judge(
            Picture picture, Release release, Token token, Moment now, boolean settled) {
        Span watched = now.since(watchFrom);
        Verdict verdict = Watch.judge(samples(picture, release, now), limits);
        says = verdict.text();
        if (verdict.kind() == Verdict.Kind.WORSE) {
            return List.of(bad(release, token, verdict.text()));
        }
        if (watched.compareTo(limits.watch()) < 0 || !settled) {
            return List.of();
        }
        if (verdict.kind() == Verdict.Kind.UNSURE) {
            return watched.compareTo(limits.watchMost()) < 0
                    ? List.of()
                    : List.of(
                            halt(
                                    release,
                                    token,
                                    "it can't be told whether it is well: " + verdict.text()));
        }
        boolean all =
                picture.seen().stream()
                        .allMatch(
                                seen ->
                                        release.isGiven(seen.name())
                                                || (!isThere(seen)
                                                        && seen.standing() != Standing.LEAVING));
        if (!all) {
            long out =
                    picture.seen().stream()
                            .filter(seen -> seen.standing() != Standing.WARM)
                            .count();
            return out > picture.mostOut()
                    ? List.of(
                            halt(
                                    release,
                                    token,
                                    out
                                            + " of "
                                            + picture.seen().size()
                                            + " nodes are out, and no more than "
                                            + picture.mostOut()
                                            + " may be"))
                    : give(release, token, next(picture, release), verdict.text(), null);
        }
        return List.of(
                new Act.Write(new Deed.Finish(token, release.number(), true, verdict.text(), 0)));
    }

    private List<Sample> samples(Picture picture, Release release, Moment now) {
        List<Sample> samples = new ArrayList<>();
        for (Seen seen : picture.seen()) {
            History history = histories.get(seen.name());
            boolean changed = release.isGiven(seen.name()) && !unpermitted.contains(seen.name());
            if (!changed && !history.wasEverWell()) {
                continue; // it was away before this began
            }
            Moment since = missing.get(seen.name());
            boolean lost =
                    changed
                            ? since != null && now.since(since).compareTo(limits.rejoin()) >= 0
                            : history.isLost(limits.rejoin(), now);
            samples.add(
                    new Sample(
                            seen.name(),
                            seen.site(),
                            changed,
                            history.past(),
                            history.sinceMark(),
                            watchFrom == null || picture.hasPermit(seen.name())
                                    ? 0
                                    : history.restartsSinceMark(),
                            lost));
        }
        return samples;
    }

    private boolean isWell(NodeName node, Moment now) {
        History history = histories.get(node);
        return history != null && history.isWellFor(limits.well(), now);
    }

    private static boolean runs(Seen seen, Release.Kind kind, String what) {
        Report report = seen.report();
        return report != null
                && what.equals(kind == Release.Kind.PROGRAM ? report.program() : report.runs());
    }

    /**
     * Whether a node that is there says that it would run the one or the other after a restart
     * only.
     */
    private static boolean needsRestart(Seen seen, Release release, String what) {
        return release.kind() == Release.Kind.PROGRAM || restartsFor(seen, what);
    }

    private static boolean restartsFor(Seen seen, String digest) {
        Report.Checked checked = seen.report() == null ? null : seen.report().checked();
        return checked != null && checked.digest().equals(digest) && checked.restarts();
    }

    // ---- halts, and back ----

    private Act bad(Release release, Token token, String why) {
        return release.backsOnHalt()
                ? new Act.Write(
                        new Deed.Turn(
                                "back" + release.number(),
                                release.number(),
                                "the watch (" + why + ")",
                                0))
                : halt(release, token, why);
    }

    private Act halt(Release release, Token token, String why) {
        String order = "r" + release.number() + "." + release.steps() + "." + token + "." + halts++;
        return new Act.Write(
                new Deed.Halt(
                        order,
                        true,
                        release + (release.back() ? ", its way back: " : ", its watch: ") + why,
                        0));
    }

    /**
     * One node a zone first, the zone that is served worst before all others; once they are well,
     * the rest.
     */
    private List<Act> goBack(Picture picture, Release release, Token token, Moment now) {
        List<Act> acts = new ArrayList<>();
        List<NodeName> waits = new ArrayList<>();
        NodeName late = null;
        for (Seen seen : picture.seen()) {
            NodeName node = seen.name();
            boolean old =
                    release.kind() == Release.Kind.PROGRAM
                            ? !runs(seen, release.kind(), release.to())
                            : runs(seen, release.kind(), release.from());
            if (release.isGiven(node)
                    || (!isThere(seen) && !hadIt.contains(node))
                    || (old && isWell(node, now))) {
                missing.remove(node);
                continue;
            }
            waits.add(node);
            if (isThere(seen)
                    && !old
                    && needsRestart(seen, release, release.from())
                    && !picture.hasPermit(node)) {
                acts.add(
                        new Act.Let("b" + release.number() + "." + node + "." + seen.life(), node));
                missing.remove(node); // it waits for its permit
                continue;
            }
            Moment since = missing.computeIfAbsent(node, none -> now);
            late = late == null && now.since(since).compareTo(limits.rejoin()) >= 0 ? node : late;
        }
        if (late != null) {
            return List.of(halt(release, token, late + " is not well with what it ran before"));
        }
        if (!waits.isEmpty()) {
            says =
                    "on its way back, waits for "
                            + waits.get(0)
                            + (waits.size() > 1 ? " and " + (waits.size() - 1) + " more" : "");
            return few(acts);
        }
        if (release.given().isEmpty()) {
            return List.of(
                    new Act.Write(
                            new Deed.Finish(token, release.number(), false, "all are back", 0)));
        }
        boolean first = release.steps() == release.turnedAt();
        return List.of(
                new Act.Write(
                        new Deed.Step(
                                token,
                                release.number(),
                                release.steps() + 1,
                                true,
                                first ? worstFirst(picture, release) : release.given(),
                                first ? "one of each zone first" : "the first are well again",
                                null,
                                0)));
    }

    private static List<Act> few(List<Act> acts) {
        return acts.subList(0, Math.min(acts.size(), MOST_ASKED));
    }

    /** Of each zone the node that is served worst, in the order of how bad that is. */
    private List<NodeName> worstFirst(Picture picture, Release release) {
        Map<String, Seen> worst = new TreeMap<>();
        picture.seen().stream()
                .filter(seen -> release.isGiven(seen.name()))
                .forEach(
                        seen ->
                                worst.merge(
                                        seen.site().toString(),
                                        seen,
                                        (one, other) ->
                                                bad(one.name()) >= bad(other.name())
                                                        ? one
                                                        : other));
        List<NodeName> nodes =
                worst.values().stream()
                        .map(Seen::name)
                        .sorted(
                                Comparator.comparing((NodeName node) -> -bad(node))
                                        .thenComparing(node -> node))
                        .toList();
        return nodes.isEmpty() ? release.given() : nodes; // who has it may be known no more
    }

    private double bad(NodeName node) {
        Tally.Count all = histories.get(node).sinceMark().all();
        return all.all() == 0 ? 1 : (double) all.bad() / all.all();
    }
}
