package lupinwood.cluster;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;

/**
 * A node's standing talk with the consensus group: whom to tell, when again, and what was said. It
 * follows the word of who leads; where nothing answers it goes round the voters, after pauses that
 * double and differ from node to node, so that hundreds that were cut off don't come back as one.
 */
public final class ClusterSession {
    /** A heartbeat to be sent. */
    public record Sent(NodeName to, Heartbeat heartbeat) {}

    private static final double LONGEST_PAUSE = 4; // heartbeats

    private final LeaseTiming rules;
    private final NodeName name;
    private final Incarnation life;
    private final Site site;
    private final Random random;
    private final HeldLeases holding;
    private List<NodeName> voters;
    private NodeName to;
    private long number;
    private MonotonicTime next;

    /** Null while no heartbeat is without its reply. */
    private MonotonicTime awaitsSince;

    private int silences;
    private MonotonicTime latestWord;
    private HeartbeatReply latest;
    private final Map<DutyName, Lease> releasing = new TreeMap<>();
    private final Map<DutyName, Lease> failsAt = new TreeMap<>();
    private List<String> leftOut = List.of();
    private NodeReport report;
    private final CapacityLease allotment = new CapacityLease(Map.of());
    private final Map<String, HealthCheckResult> found = new LinkedHashMap<>();
    private final Map<String, MonotonicTime> foundAt = new LinkedHashMap<>();

    public ClusterSession(
            LeaseTiming rules,
            NodeName name,
            Incarnation life,
            Site site,
            List<NodeName> voters,
            long seed,
            MonotonicTime now) {
        this.rules = rules;
        this.name = name;
        this.life = life;
        this.site = site;
        random = new Random(seed);
        holding = new HeldLeases(rules);
        follow(voters);
        // Spread from the start: a fleet may be started at once.
        next = now.plus(rules.heartbeatInterval().times(random.nextDouble()));
    }

    /** The voters are these from now on. */
    public void follow(List<NodeName> named) {
        voters = List.copyOf(named);
        to = voters.get(random.nextInt(voters.size()));
    }

    /** When {@link #heartbeat} has something to do next. */
    public MonotonicTime due() {
        return next;
    }

    /** The heartbeat that is due now, or null. */
    public Sent heartbeat(NodeCondition condition, MonotonicTime now) {
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
        List<HealthCheckResult> aged = new ArrayList<>();
        found.forEach((server, one) -> aged.add(one.aged(now.since(foundAt.get(server)))));
        return new Sent(
                to,
                new Heartbeat(
                                Heartbeat.VERSION,
                                name,
                                life,
                                site,
                                condition,
                                number,
                                holding.holds(now),
                                List.copyOf(releasing.values()),
                                List.copyOf(failsAt.values()),
                                leftOut,
                                aged,
                                report)
                        .cut());
    }

    /** The last heartbeat of this life, with all duties handed on. */
    public Sent last(MonotonicTime now) {
        next = now;
        return heartbeat(NodeCondition.GONE, now);
    }

    private NanoDuration pause(NodeCondition condition, MonotonicTime now) {
        boolean urgent =
                !holding.holds(now).isEmpty()
                        || !releasing.isEmpty()
                        || condition == NodeCondition.LEAVING;
        NanoDuration usual = urgent ? rules.holderHeartbeatInterval() : rules.heartbeatInterval();
        // The first round through the voters is quick; then the pauses double.
        double factor =
                silences <= voters.size() ? 1 : Math.pow(2, Math.min(10, silences - voters.size()));
        return usual.times(Math.min(factor, LONGEST_PAUSE) * (0.8 + 0.4 * random.nextDouble()));
    }

    /** A reply came. */
    public void heard(HeartbeatReply reply, MonotonicTime now) {
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
        MonotonicTime requested = holding.requestSent(reply.number());
        if (reply.share() != null && requested != null) {
            allotment.update(
                    reply.share().plan(),
                    reply.share().slots(),
                    requested.plus(
                            rules.holderLease().min(reply.lease().times(1 - rules.drift()))));
        }
        holding.onReply(reply, now);
        releasing
                .values()
                .removeIf(grant -> reply.number() == number && !reply.grants().contains(grant));
        failsAt.values()
                .removeIf(grant -> reply.number() == number && !reply.grants().contains(grant));
        foundAt.entrySet()
                .removeIf(one -> rules.lease().times(4).compareTo(now.since(one.getValue())) < 0);
        found.keySet().retainAll(foundAt.keySet());
    }

    private void redirected(HeartbeatReply reply, MonotonicTime now) {
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
        MonotonicTime soon =
                now.plus(
                        rules.holderHeartbeatInterval()
                                .times(known && silences < 4 ? 0.1 : 0.5 + random.nextDouble()));
        next = soon.isBefore(next) ? soon : next;
    }

    /** What this node may have at places below by plans; standing rights are not in it. */
    public CapacityLease allotment() {
        return allotment;
    }

    /** Which duties are this node's. */
    public HeldLeases holding() {
        return holding;
    }

    /**
     * The duty is no longer done here; the consensus group hears of it with the next heartbeat,
     * which is due at once.
     */
    public void handOn(DutyName duty, MonotonicTime now) {
        Lease grant = holding.giveUp(duty);
        if (grant != null) {
            releasing.put(duty, grant);
            next = now;
        }
    }

    /** The same, since the duty can't be done here. */
    public void failAt(DutyName duty, MonotonicTime now) {
        Lease grant = holding.giveUp(duty);
        if (grant != null) {
            failsAt.put(duty, grant);
            next = now;
        }
    }

    /** All duties are handed on. */
    public void handOnAll(MonotonicTime now) {
        holding.holds(now).forEach(grant -> handOn(grant.duty(), now));
    }

    /** Whether the consensus group knows that nothing is held here any more. */
    public boolean isClear(MonotonicTime now) {
        return holding.holds(now).isEmpty() && releasing.isEmpty();
    }

    public void leavesOut(List<String> servers) {
        leftOut = List.copyOf(servers);
    }

    /** What this node runs and how that does, as it is told with each heartbeat from now on. */
    public void reports(NodeReport reported) {
        report = reported;
    }

    /** What a try under the duty trial came to. */
    public void found(String server, boolean well, FencingToken token, MonotonicTime now) {
        found.put(server, new HealthCheckResult(server, well, token, NanoDuration.ZERO));
        foundAt.put(server, now);
        next = next.isBefore(now) ? next : now;
    }

    /**
     * Whether the consensus group's word is fresh enough to go by; else this node does as it would
     * alone.
     */
    public boolean isInTouch(MonotonicTime now) {
        return latestWord != null
                && now.since(latestWord).compareTo(rules.lease()) <= 0
                && latest.trouble().isEmpty();
    }

    /** The latest word of who leads, or null before there was any. */
    public HeartbeatReply latest() {
        return latest;
    }

    public MonotonicTime latestWord() {
        return latestWord;
    }

    public NodeName talksTo() {
        return to;
    }
}
