package lupinwood.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import lupinwood.node.Moment;
import lupinwood.node.Span;

/**
 * A node's standing talk with the council: whom to tell, when again, and what was said. It follows
 * the word of who leads; where nothing answers it goes round the voters, after pauses that double
 * and differ from node to node, so that hundreds that were cut off don't come back as one.
 */
public final class Session {
    /** A beat to be sent. */
    public record Sent(NodeName to, Beat beat) {}

    private static final double LONGEST_PAUSE = 4; // beats

    private final Rules rules;
    private final NodeName name;
    private final Life life;
    private final Site site;
    private final Random random;
    private final Holding holding;
    private List<NodeName> voters;
    private NodeName to;
    private long number;
    private Moment next;

    /** Null while no beat is without its reply. */
    private Moment awaitsSince;

    private int silences;
    private Moment latestWord;
    private Reply latest;
    private final Map<DutyName, Grant> handsOn = new TreeMap<>();
    private final Map<DutyName, Grant> failsAt = new TreeMap<>();
    private List<String> leftOut = List.of();
    private Report report;
    private final Allotment allotment = new Allotment(Map.of());
    private final Map<String, Finding> found = new LinkedHashMap<>();
    private final Map<String, Moment> foundAt = new LinkedHashMap<>();

    public Session(
            Rules rules,
            NodeName name,
            Life life,
            Site site,
            List<NodeName> voters,
            long seed,
            Moment now) {
        this.rules = rules;
        this.name = name;
        this.life = life;
        this.site = site;
        random = new Random(seed);
        holding = new Holding(rules);
        follow(voters);
        // Spread from the start: a fleet may be started at once.
        next = now.plus(rules.beat().times(random.nextDouble()));
    }

    /** The voters are these from now on. */
    public void follow(List<NodeName> named) {
        voters = List.copyOf(named);
        to = voters.get(random.nextInt(voters.size()));
    }

    /** When {@link #beat} has something to do next. */
    public Moment due() {
        return next;
    }

    /** The beat that is due now, or null. */
    public Sent beat(Condition condition, Moment now) {
        if (now.isBefore(next)) {
            return null;
        }
        if (awaitsSince != null) {
            to = voters.get((voters.indexOf(to) + 1 + voters.size()) % voters.size());
            silences++;
        }
        number++;
        holding.asks(number, now);
        awaitsSince = now;
        next = now.plus(pause(condition, now));
        List<Finding> aged = new ArrayList<>();
        found.forEach((server, one) -> aged.add(one.aged(now.since(foundAt.get(server)))));
        return new Sent(
                to,
                new Beat(
                                Beat.VERSION,
                                name,
                                life,
                                site,
                                condition,
                                number,
                                holding.holds(now),
                                List.copyOf(handsOn.values()),
                                List.copyOf(failsAt.values()),
                                leftOut,
                                aged,
                                report)
                        .cut());
    }

    /** The last beat of this life, with all duties handed on. */
    public Sent last(Moment now) {
        next = now;
        return beat(Condition.GONE, now);
    }

    private Span pause(Condition condition, Moment now) {
        boolean urgent =
                !holding.holds(now).isEmpty()
                        || !handsOn.isEmpty()
                        || condition == Condition.LEAVING;
        Span usual = urgent ? rules.beatHolding() : rules.beat();
        // The first round through the voters is quick; then the pauses double.
        double factor =
                silences <= voters.size() ? 1 : Math.pow(2, Math.min(10, silences - voters.size()));
        return usual.times(Math.min(factor, LONGEST_PAUSE) * (0.8 + 0.4 * random.nextDouble()));
    }

    /** A reply came. */
    public void heard(Reply reply, Moment now) {
        if (reply.number() > number) {
            return; // of another life
        }
        if (reply.number() == number) {
            awaitsSince = null;
        }
        if (!reply.taken()) {
            redirected(reply, now);
            return;
        }
        silences = 0;
        latestWord = now;
        latest = reply;
        Moment asked = holding.asked(reply.number());
        if (reply.share() != null && asked != null) {
            allotment.told(
                    reply.share().plan(),
                    reply.share().slots(),
                    asked.plus(rules.heldFor().min(reply.lease().times(1 - rules.drift()))));
        }
        holding.told(reply, now);
        handsOn.values()
                .removeIf(grant -> reply.number() == number && !reply.grants().contains(grant));
        failsAt.values()
                .removeIf(grant -> reply.number() == number && !reply.grants().contains(grant));
        foundAt.entrySet()
                .removeIf(one -> rules.lease().times(4).compareTo(now.since(one.getValue())) < 0);
        found.keySet().retainAll(foundAt.keySet());
    }

    private void redirected(Reply reply, Moment now) {
        if (reply.number() != number) {
            return;
        }
        boolean known =
                reply.leader() != null
                        && voters.contains(reply.leader())
                        && !reply.leader().equals(to);
        to = known ? reply.leader() : voters.get((voters.indexOf(to) + 1) % voters.size());
        silences++;
        // A hint is followed soon, though not at once: two voters that name each other would be a
        // storm.
        Moment soon =
                now.plus(
                        rules.beatHolding()
                                .times(known && silences < 4 ? 0.1 : 0.5 + random.nextDouble()));
        next = soon.isBefore(next) ? soon : next;
    }

    /** What this node may have at places below by plans; standing rights are not in it. */
    public Allotment allotment() {
        return allotment;
    }

    /** Which duties are this node's. */
    public Holding holding() {
        return holding;
    }

    /**
     * The duty is no longer done here; the council hears of it with the next beat, which is due at
     * once.
     */
    public void handOn(DutyName duty, Moment now) {
        Grant grant = holding.giveUp(duty);
        if (grant != null) {
            handsOn.put(duty, grant);
            next = now;
        }
    }

    /** The same, since the duty can't be done here. */
    public void failAt(DutyName duty, Moment now) {
        Grant grant = holding.giveUp(duty);
        if (grant != null) {
            failsAt.put(duty, grant);
            next = now;
        }
    }

    /** All duties are handed on. */
    public void handOnAll(Moment now) {
        holding.holds(now).forEach(grant -> handOn(grant.duty(), now));
    }

    /** Whether the council knows that nothing is held here any more. */
    public boolean isClear(Moment now) {
        return holding.holds(now).isEmpty() && handsOn.isEmpty();
    }

    public void leavesOut(List<String> servers) {
        leftOut = List.copyOf(servers);
    }

    /** What this node runs and how that does, as it is told with each beat from now on. */
    public void reports(Report told) {
        report = told;
    }

    /** What a try under the duty trial came to. */
    public void found(String server, boolean well, Token token, Moment now) {
        found.put(server, new Finding(server, well, token, Span.ZERO));
        foundAt.put(server, now);
        next = next.isBefore(now) ? next : now;
    }

    /**
     * Whether the council's word is fresh enough to go by; else this node does as it would alone.
     */
    public boolean isInTouch(Moment now) {
        return latestWord != null
                && now.since(latestWord).compareTo(rules.lease()) <= 0
                && latest.trouble().isEmpty();
    }

    /** The latest word of who leads, or null before there was any. */
    public Reply latest() {
        return latest;
    }

    public Moment latestWord() {
        return latestWord;
    }

    public NodeName talksTo() {
        return to;
    }
}
