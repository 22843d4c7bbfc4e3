package lupinwood.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import lupinwood.node.Moment;
import lupinwood.node.Span;

/**
 * Decides for the council while its voter leads: who is known to be well, and who is to hold which
 * duty. What it knows of sessions it alone knows, and learns anew when another voter leads; what
 * must outlive it goes into the book by deeds.
 *
 * <p>A duty is given on only when its holder has said that it stopped, or when it has stopped for
 * certain: so long after the last word to it as its lease and the clocks' drift allow. A new leader
 * can't know when that was, so it counts from when it began to lead.
 */
public final class Steward {
    /** What the leader knows of one node beside the book. */
    private static final class Heard {
        Beat beat;
        Moment at;

        /** Since when it has been well without a break. */
        Moment wellSince;

        Heard(Beat beat, Moment at) {
            this.beat = beat;
            this.at = at;
        }
    }

    /** One life of a node. */
    private record Of(NodeName name, Life life) {}

    private record Shunned(int times, Moment until) {}

    private static final Comparator<Moment> EARLIER = Comparator.naturalOrder();

    /**
     * In leases: how long a node that came back has to be well, and how long a permit may lie
     * unused.
     */
    private static final double WELL_FOR = 2;

    private static final double UNUSED_FOR = 20;

    private final Rules rules;
    private final List<DutyName> duties;
    private final Map<NodeName, Heard> heard = new HashMap<>();

    /** When a duty's holder has stopped for certain, unless it is told on before. */
    private final TreeMap<DutyName, Moment> lapses = new TreeMap<>();

    private final Map<DutyName, Map<NodeName, Shunned>> shunned = new HashMap<>();
    private final Map<String, Finding> findings = new LinkedHashMap<>();
    private final Map<String, Moment> foundAt = new HashMap<>();

    /**
     * Being taken back: from then on it is granted no more, however long the book takes to say so.
     */
    private final Set<Grant> takenBack = new HashSet<>();

    /** Since when a node with a permit is seen to be here still. */
    private final Map<Long, Moment> toldToGo = new HashMap<>();

    /** Until when a life may go by which plan, for all that were told. */
    private final Map<Of, TreeMap<Long, Moment>> told = new HashMap<>();

    private Moment leadsSince;

    /** Whether some node runs another text than it is to. */
    private boolean lags;

    public Steward(Rules rules, List<DutyName> duties) {
        this.rules = rules;
        this.duties = List.copyOf(duties);
    }

    /** This voter leads from now on. */
    public void leads(Book book, Moment now) {
        leadsSince = now;
        heard.clear();
        lapses.clear();
        takenBack.clear();
        toldToGo.clear();
        told.clear();
        findings.clear();
        foundAt.clear();
        book.duties().stream()
                .filter(held -> !held.isFree())
                .forEach(held -> lapses.put(held.duty(), now.plus(rules.lapsesAfter())));
    }

    /** It leads no more; what it decided before may or may not be in the book. */
    public void leadsNoMore() {
        leadsSince = null;
    }

    public boolean isLeading() {
        return leadsSince != null;
    }

    /**
     * A beat came.
     *
     * @return why the node stands outside, or an empty text
     */
    public String heard(Beat beat, Book book, Moment now) {
        if (beat.version() != Beat.VERSION) {
            return "it speaks form " + beat.version() + ", this council form " + Beat.VERSION;
        }
        Heard before = heard.get(beat.name());
        Book.Member member = book.member(beat.name());
        boolean another = member != null && member.in() && !member.life().equals(beat.life());
        if (another
                && before != null
                && before.beat.life().equals(member.life())
                && isFresh(before, now)) {
            // Guards against two processes under one name: the one that is there stays, until it is
            // silent.
            return "the name " + beat.name() + " is in use by another process";
        }
        if (member == null && book.isFull()) {
            return "the book holds no more than " + book.members().size() + " nodes";
        }
        if (before != null && before.beat.life().equals(beat.life())) {
            if (beat.number() < before.beat.number()) {
                return ""; // it was overtaken
            }
            boolean wasWell = before.beat.condition() == Condition.WARM && isFresh(before, now);
            before.beat = beat;
            before.at = now;
            before.wellSince =
                    beat.condition() != Condition.WARM ? null : wasWell ? before.wellSince : now;
        } else {
            Heard first = new Heard(beat, now);
            first.wellSince = beat.condition() == Condition.WARM ? now : null;
            heard.put(beat.name(), first);
        }
        found(beat, book, now);
        return "";
    }

    /** Findings count under the token of today's holder only, the latest for each server. */
    private void found(Beat beat, Book book, Moment now) {
        Book.Held trial = book.duty(DutyName.TRIAL);
        for (Finding finding : beat.found()) {
            Moment at = now.minus(finding.age());
            Moment before = foundAt.get(finding.server());
            if (trial.isBy(beat.name(), beat.life())
                    && trial.token().equals(finding.token())
                    && (before == null || before.isBefore(at))
                    && (before != null || foundAt.size() < Beat.MOST)) {
                findings.put(finding.server(), finding);
                foundAt.put(finding.server(), at);
            }
        }
        foundAt.values().removeIf(at -> rules.lease().times(4).compareTo(now.since(at)) < 0);
        findings.keySet().retainAll(foundAt.keySet());
    }

    private boolean isFresh(Heard one, Moment now) {
        return now.since(one.at).compareTo(rules.silent()) <= 0;
    }

    /**
     * What is to be written into the book now. Said again until it is there, so a lost deed does no
     * harm.
     */
    public List<Deed> decide(Book book, long tokensAbove, Moment now) {
        List<Deed> deeds = new ArrayList<>();
        if (!isLeading()) {
            return deeds;
        }
        if (!book.isFounded()) {
            deeds.add(new Deed.Found(tokensAbove));
            return deeds;
        }
        roster(book, now, deeds);
        lags =
                heard.values().stream()
                        .anyMatch(
                                one ->
                                        isFresh(one, now)
                                                && one.beat.report() != null
                                                && !book.wanted(one.beat.name())
                                                        .runs()
                                                        .equals(one.beat.report().runs()));
        permits(book, now, deeds);
        plans(book, now, deeds);
        for (DutyName duty : duties) {
            Book.Held held = book.duty(duty);
            if (held.isFree()) {
                lapses.remove(duty);
                takenBack.removeIf(grant -> grant.duty().equals(duty));
                heir(duty, book, now)
                        .ifPresent(
                                heir ->
                                        deeds.add(
                                                new Deed.Give(
                                                        duty,
                                                        heir.name(),
                                                        heir.life(),
                                                        held.token())));
            } else {
                takeBack(held, now, deeds);
            }
        }
        return deeds;
    }

    private void roster(Book book, Moment now, List<Deed> deeds) {
        for (Heard one : heard.values()) {
            Beat beat = one.beat;
            Book.Member member = book.member(beat.name());
            boolean in = member != null && member.in() && member.life().equals(beat.life());
            boolean changed = member != null && !member.site().equals(beat.site());
            if (in && beat.condition() == Condition.GONE) {
                deeds.add(new Deed.Leave(beat.name(), beat.life()));
                continue;
            }
            boolean comes =
                    beat.condition() == Condition.COLD || beat.condition() == Condition.WARM;
            if (isFresh(one, now) && ((!in && comes) || (in && changed))) {
                deeds.add(new Deed.Join(beat.name(), beat.life(), beat.site()));
            }
        }
    }

    /**
     * A permit ends when its node has been well for a while under another life, or stays and never
     * used it.
     */
    private void permits(Book book, Moment now, List<Deed> deeds) {
        for (Permit permit : book.permits()) {
            Heard one = heard.get(permit.node());
            Moment since = one == null || !isFresh(one, now) ? null : one.wellSince;
            boolean another = one != null && !one.beat.life().equals(permit.life());
            if (since == null) {
                toldToGo.remove(permit.number());
            } else if (another && now.since(since).compareTo(rules.lease().times(WELL_FOR)) >= 0) {
                deeds.add(new Deed.Back(permit.number(), "well again", 0));
            } else if (!another) {
                Moment told = toldToGo.computeIfAbsent(permit.number(), none -> now);
                if (now.since(told).compareTo(rules.lease().times(UNUSED_FOR)) >= 0) {
                    deeds.add(new Deed.Back(permit.number(), "never used", 0));
                }
            }
        }
        toldToGo.keySet().retainAll(book.permits().stream().map(Permit::number).toList());
    }

    /** Members that are out by what is seen here: all that aren't heard to be warm. */
    public List<NodeName> seenOut(Book book, Moment now) {
        return picture(book, now).stream()
                .filter(seen -> seen.standing() != Standing.WARM)
                .map(Seen::name)
                .toList();
    }

    private void takeBack(Book.Held held, Moment now, List<Deed> deeds) {
        // A duty that was given since this voter leads has no end noted yet: it counts from when it
        // is first seen here.
        Moment lapse = lapses.computeIfAbsent(held.duty(), duty -> now.plus(rules.lapsesAfter()));
        Heard holder = heard.get(held.holder());
        if (holder != null && holder.beat.life().equals(held.life())) {
            Grant grant = new Grant(held.duty(), held.token());
            if (holder.beat.failsAt().contains(grant)) {
                takenBack.add(grant);
                shun(held.duty(), held.holder(), now);
                deeds.add(new Deed.Free(held.duty(), held.token(), Deed.Why.FAILED));
                return;
            }
            if (holder.beat.handsOn().contains(grant)) {
                takenBack.add(grant);
                deeds.add(new Deed.Free(held.duty(), held.token(), Deed.Why.HANDED_ON));
                return;
            }
        }
        if (!now.isBefore(lapse) || takenBack.contains(new Grant(held.duty(), held.token()))) {
            takenBack.add(new Grant(held.duty(), held.token()));
            deeds.add(new Deed.Free(held.duty(), held.token(), Deed.Why.LAPSED));
        }
    }

    private void shun(DutyName duty, NodeName name, Moment now) {
        Map<NodeName, Shunned> all = shunned.computeIfAbsent(duty, none -> new HashMap<>());
        Shunned before = all.get(name);
        if (before != null && now.isBefore(before.until())) {
            return; // told again before the book has it
        }
        int times = before == null ? 0 : before.times() + 1;
        Span span =
                rules.shunned().times(Math.pow(2, Math.min(20, times))).min(rules.shunnedMost());
        all.put(name, new Shunned(times, now.plus(span)));
    }

    private boolean isShunned(DutyName duty, NodeName name, Moment now) {
        Shunned one = shunned.getOrDefault(duty, Map.of()).get(name);
        return one != null && now.isBefore(one.until());
    }

    /**
     * Who gets it: warm, heard within the last beats, not shunned; first whose zone is well, then
     * who holds least, then who has been well for longest.
     */
    private Optional<Book.Member> heir(DutyName duty, Book book, Moment now) {
        if (now.since(leadsSince).compareTo(rules.beat()) < 0) {
            return Optional.empty(); // else the first to be heard would get all
        }
        Map<Site, int[]> zones = new HashMap<>();
        for (Book.Member member : book.members()) {
            if (member.in()) {
                int[] zone = zones.computeIfAbsent(member.site(), none -> new int[2]);
                zone[0]++;
                zone[1] += isWell(member, now) ? 1 : 0;
            }
        }
        return book.members().stream()
                .filter(
                        member ->
                                member.in()
                                        && isWell(member, now)
                                        && !isShunned(duty, member.name(), now))
                .min(
                        Comparator.<Book.Member>comparingInt(
                                        member -> {
                                            int[] zone = zones.get(member.site());
                                            return zone[1] * 2 > zone[0] ? 0 : 1;
                                        })
                                .thenComparingLong(
                                        member ->
                                                book.duties().stream()
                                                        .filter(
                                                                held ->
                                                                        held.isBy(
                                                                                member.name(),
                                                                                member.life()))
                                                        .count())
                                .thenComparing(
                                        member -> heard.get(member.name()).wellSince, EARLIER)
                                .thenComparing(Book.Member::name));
    }

    private boolean isWell(Book.Member member, Moment now) {
        Heard one = heard.get(member.name());
        return one != null
                && one.beat.life().equals(member.life())
                && one.beat.condition() == Condition.WARM
                && now.since(one.at).compareTo(rules.beat().times(1.6)) <= 0;
    }

    /**
     * What to say to a beat, once the council has confirmed that this voter led after the beat
     * came. Whatever it grants counts from now on.
     */
    public Reply replyTo(Beat beat, String trouble, Book book, NodeName self, Moment now) {
        List<Grant> grants = new ArrayList<>();
        if (trouble.isEmpty()) {
            for (Book.Held held : book.duties()) {
                Grant grant = new Grant(held.duty(), held.token());
                boolean stops = beat.handsOn().contains(grant) || beat.failsAt().contains(grant);
                if (held.isBy(beat.name(), beat.life()) && !takenBack.contains(grant)) {
                    // Named as long as the book has it, so that the node knows what is still to be
                    // taken back.
                    grants.add(grant);
                    if (!stops) {
                        lapses.put(held.duty(), now.plus(rules.lapsesAfter()));
                    }
                }
            }
        }
        List<Finding> told = new ArrayList<>();
        findings.forEach(
                (server, one) ->
                        told.add(
                                new Finding(
                                        server,
                                        one.well(),
                                        one.token(),
                                        now.since(foundAt.get(server)))));
        int others = (int) heard.values().stream().filter(one -> isFresh(one, now)).count();
        long leave =
                trouble.isEmpty()
                        ? book.permits().stream()
                                .filter(
                                        permit ->
                                                permit.node().equals(beat.name())
                                                        && permit.life().equals(beat.life()))
                                .mapToLong(Permit::number)
                                .findFirst()
                                .orElse(0)
                        : 0;
        return new Reply(
                beat.number(),
                true,
                self,
                trouble,
                rules.lease(),
                grants,
                told,
                leave,
                book.wanted(beat.name()).busyOr(lags),
                trouble.isEmpty() ? share(beat, book, now) : null,
                others);
    }

    /**
     * A node's part of the newest plan, which it may go by until a lease after it asked; so here it
     * counts until later.
     */
    private Reply.Share share(Beat beat, Book book, Moment now) {
        Plan plan = book.plan();
        if (plan == null) {
            return null;
        }
        told.computeIfAbsent(new Of(beat.name(), beat.life()), none -> new TreeMap<>())
                .put(plan.number(), now.plus(rules.lapsesAfter()));
        return new Reply.Share(plan.number(), plan.of(beat.name()));
    }

    /**
     * Older plans are retired once nobody can go by them any more: each life that was told of one
     * has said that it goes by a newer, or its lease has run out. A new leader can't know what was
     * told before it, so it waits for a lease first.
     */
    private void plans(Book book, Moment now, List<Deed> deeds) {
        Plan newest = book.plan();
        if (newest == null
                || book.livePlans().size() < 2
                || now.since(leadsSince).compareTo(rules.lapsesAfter()) < 0) {
            return;
        }
        long oldest = newest.number();
        for (Iterator<Map.Entry<Of, TreeMap<Long, Moment>>> all = told.entrySet().iterator();
                all.hasNext(); ) {
            Map.Entry<Of, TreeMap<Long, Moment>> one = all.next();
            Heard latest = heard.get(one.getKey().name());
            boolean same =
                    latest != null
                            && latest.beat.life().equals(one.getKey().life())
                            && latest.beat.report() != null;
            long acknowledged = same ? latest.beat.report().plan() : 0;
            one.getValue()
                    .entrySet()
                    .removeIf(
                            plan -> !now.isBefore(plan.getValue()) || plan.getKey() < acknowledged);
            if (one.getValue().isEmpty()) {
                all.remove();
            } else {
                oldest = Math.min(oldest, one.getValue().firstKey());
            }
        }
        if (oldest > book.livePlans().get(0).number()) {
            deeds.add(new Deed.Retire(oldest));
        }
    }

    /** What a voter that doesn't lead says. */
    public static Reply elsewhere(Beat beat, NodeName leader) {
        return Reply.notTaken(beat.number(), leader);
    }

    /** What is known of each node of the book. */
    public List<Seen> picture(Book book, Moment now) {
        List<Seen> picture = new ArrayList<>();
        for (Book.Member member : book.members()) {
            Heard one = heard.get(member.name());
            boolean same = one != null && one.beat.life().equals(member.life());
            Standing standing;
            if (!member.in()) {
                standing = Standing.OUT;
            } else if (!same || !isFresh(one, now)) {
                standing = Standing.UNKNOWN;
            } else {
                standing =
                        switch (one.beat.condition()) {
                            case WARM -> Standing.WARM;
                            case COLD -> Standing.UP;
                            case LEAVING -> Standing.LEAVING;
                            case GONE -> Standing.OUT;
                        };
            }
            picture.add(
                    new Seen(
                            member.name(),
                            member.life(),
                            member.site(),
                            standing,
                            same ? now.since(one.at) : null,
                            same ? one.beat.report() : null));
        }
        return picture;
    }

    /** Servers that were left out by nodes heard lately, with how many. */
    public Map<String, Integer> leftOut(Moment now) {
        Map<String, Integer> counts = new TreeMap<>();
        Collection<Heard> all = heard.values();
        all.stream()
                .filter(one -> isFresh(one, now))
                .forEach(
                        one ->
                                one.beat
                                        .leftOut()
                                        .forEach(server -> counts.merge(server, 1, Integer::sum)));
        return counts;
    }

    /** How soon something is decided again without a beat. */
    public Span looksEvery() {
        return rules.beatHolding().times(0.5);
    }
}
