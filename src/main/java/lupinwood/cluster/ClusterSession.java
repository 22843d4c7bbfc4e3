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

    private final LeaseTiming timing;
    private final NodeName name;
    private final Incarnation incarnation;
    private final Site site;
    private final Random random;
    private final HeldLeases heldLeases;
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
    private final CapacityLease capacityLease = new CapacityLease(Map.of());
    private final Map<String, HealthCheckResult> found = new LinkedHashMap<>();
    private final Map<String, MonotonicTime> foundAt = new LinkedHashMap<>();

    public ClusterSession(
            LeaseTiming timing,
            NodeName name,
            Incarnation incarnation,
            Site site,
            List<NodeName> voters,
            long seed,
            MonotonicTime now) {
        this.timing = timing;
        this.name = name;
        this.incarnation = incarnation;
        this.site = site;
        random = new Random(seed);
        heldLeases = new HeldLeases(timing);
        follow(voters);
        // Spread from the start: a fleet may be started at once.
        next = now.plus(timing.heartbeatInterval().times(random.nextDouble()));
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
        heldLeases.asks(number, now);
        awaitsSince = now;
        next = now.plus(pause(condition, now));
        List<HealthCheckResult> aged = new ArrayList<>();
        found.forEach((server, one) -> aged.add(one.aged(now.since(foundAt.get(server)))));
        return new Sent(
                to,
                new Heartbeat(
                                Heartbeat.VERSION,
                                name,
                                incarnation,
                                site,
                                condition,
                                number,
                                heldLeases.holds(now),
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
                !heldLeases.holds(now).isEmpty()
                        || !releasing.isEmpty()
                        || condition == NodeCondition.LEAVING;
        NanoDuration usual = urgent ? timing.holderHeartbeatInterval() : timing.heartbeatInterval();
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
        MonotonicTime requested = heldLeases.requestSent(reply.number());
        if (reply.share() != null && requested != null) {
            capacityLease.update(
                    reply.share().plan(),
                    reply.share().slots(),
                    requested.plus(
                            timing.holderLease().min(reply.lease().times(1 - timing.drift()))));
        }
        heldLeases.onReply(reply, now);
        releasing
                .values()
                .removeIf(lease -> reply.number() == number && !reply.leases().contains(lease));
        failsAt.values()
                .removeIf(lease -> reply.number() == number && !reply.leases().contains(lease));
        foundAt.entrySet()
                .removeIf(one -> timing.lease().times(4).compareTo(now.since(one.getValue())) < 0);
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
                        timing.holderHeartbeatInterval()
                                .times(known && silences < 4 ? 0.1 : 0.5 + random.nextDouble()));
        next = soon.isBefore(next) ? soon : next;
    }

    /** What this node may have at places below by plans; standing rights are not in it. */
    public CapacityLease allotment() {
        return capacityLease;
    }

    /** Which duties are this node's. */
    public HeldLeases holding() {
        return heldLeases;
    }

    /**
     * The duty is no longer done here; the consensus group hears of it with the next heartbeat,
     * which is due at once.
     */
    public void handOn(DutyName duty, MonotonicTime now) {
        Lease lease = heldLeases.giveUp(duty);
        if (lease != null) {
            releasing.put(duty, lease);
            next = now;
        }
    }

    /** The same, since the duty can't be done here. */
    public void failAt(DutyName duty, MonotonicTime now) {
        Lease lease = heldLeases.giveUp(duty);
        if (lease != null) {
            failsAt.put(duty, lease);
            next = now;
        }
    }

    /** All duties are handed on. */
    public void handOnAll(MonotonicTime now) {
        heldLeases.holds(now).forEach(lease -> handOn(lease.duty(), now));
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
                && now.since(latestWord).compareTo(timing.lease()) <= 0
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
