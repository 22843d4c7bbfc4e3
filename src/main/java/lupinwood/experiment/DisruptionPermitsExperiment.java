package lupinwood.experiment;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import lupinwood.admission.NanoDuration;
import lupinwood.cluster.NodeName;
import lupinwood.consensus.ClusterQuery;
import lupinwood.consensus.RaftReplica;
import lupinwood.log.Log;

/**
 * Two operators who ask at once for nodes to go, a supervisor who starts again what went, nodes and
 * voters that are killed, and halts: the auditor counts at the processes who is out, and knows
 * nothing of the cluster state.
 */
final class DisruptionPermitsExperiment implements Experiment {
    private static final int VOTERS = 3;
    private static final int NODES = 9;
    private static final long LEASE_MILLIS = 2000;

    /**
     * A node that was let go right before a halt hears of its permit with a heartbeat, and has its
     * drain before it is gone.
     */
    private static final long HALT_BOUND_MILLIS = LEASE_MILLIS + 4000;

    /** A node that died is noticed within so long. */
    private static final long NOTICED_MILLIS = 2 * LEASE_MILLIS;

    private final long seed;
    private final int seconds;
    private final Log log;
    private final Log quiet = new Log(new PrintStream(new ByteArrayOutputStream()), Instant::now);
    private final List<String> broken = new ArrayList<>();
    private final AtomicInteger allowed = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private volatile boolean over;
    private volatile long haltedAt;
    private volatile boolean halted;
    private int went;
    private int mostOut;

    DisruptionPermitsExperiment(long seed, int seconds, Log log) {
        this.seed = seed;
        this.seconds = seconds;
        this.log = log;
    }

    @Override
    public Outcome run() throws Exception {
        Random random = new Random(seed);
        try (ProcessCluster fleet =
                new ProcessCluster(VOTERS, NODES, LEASE_MILLIS, 40, true, seed, log::line)) {
            fleet.startAll();
            Thread.sleep(4 * LEASE_MILLIS);
            for (int operator = 0; operator < 2; operator++) {
                String name = "operator" + operator;
                long chance = random.nextLong();
                LoopbackServer.daemon(() -> ask(fleet, name, new Random(chance)));
            }
            play(fleet, random);
            over = true;
            order(fleet, "resume", null, "end", "end" + seed);
            long end = System.currentTimeMillis() + 10 * LEASE_MILLIS;
            for (ProcessCluster.Member member : fleet.members) {
                while (!member.process.isUp() && System.currentTimeMillis() < end) {
                    member.start();
                    Thread.sleep(100);
                }
            }
            Thread.sleep(3 * LEASE_MILLIS);
            broken.addAll(fleet.leaveAll());
            if (went == 0) {
                broken.add("no node ever went by a permit");
            }
            return new Outcome(
                    String.format(
                            Locale.ROOT,
                            "permits: orders allowed %d, not now %d, unanswered %d, nodes that went"
                                    + " %d, out at most %d of %d allowed, tickets %d, satisfied %d, broken %d",
                            allowed.get(),
                            refused.get(),
                            unanswered.get(),
                            went,
                            mostOut,
                            ProcessCluster.MOST_OUT,
                            fleet.count("sent"),
                            fleet.count("satisfied"),
                            broken.size()),
                    broken);
        }
    }

    private void ask(ProcessCluster fleet, String name, Random random) {
        try {
            while (!over) {
                NodeName node = new NodeName("n" + random.nextInt(NODES));
                String id = name + "-" + random.nextInt(1 << 30);
                RaftReplica.OrderResult first = order(fleet, "leave", node, name, id);
                if (first != null && first.done() && random.nextInt(3) == 0) {
                    RaftReplica.OrderResult again =
                            order(fleet, "leave", node, name, id); // as after a lost answer
                    if (again != null && !again.text().equals(first.text())) {
                        wrong(
                                "an order given again came to '"
                                        + again.text()
                                        + "' after '"
                                        + first.text()
                                        + "'");
                    }
                }
                (first == null ? unanswered : first.done() ? allowed : refused).incrementAndGet();
                Thread.sleep(random.nextInt(600));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private RaftReplica.OrderResult order(
            ProcessCluster fleet, String what, NodeName node, String by, String id)
            throws InterruptedException {
        return ClusterQuery.order(
                fleet.voterAddresses(),
                new RaftReplica.OperatorOrder(id, what, node, by),
                NanoDuration.ofSeconds(3),
                quiet);
    }

    private synchronized void wrong(String what) {
        broken.add(what);
    }

    /** The supervisor, the faults, and the count of who is out. */
    private void play(ProcessCluster fleet, Random random)
            throws IOException, InterruptedException {
        long begun = System.currentTimeMillis();
        Map<ProcessCluster.Member, Long> goneSince = new HashMap<>();
        Map<ProcessCluster.Member, Long> startAt = new HashMap<>();
        List<ProcessCluster.Member> killed = new ArrayList<>();
        long nextFault = begun + 5000;
        int orders = 0;
        for (long now = begun;
                now - begun < seconds * 1000L + 2 * HALT_BOUND_MILLIS;
                now = System.currentTimeMillis()) {
            // Who was let go last still has to go and to come back under the supervisor.
            over = now - begun >= seconds * 1000L;
            for (ProcessCluster.Member member : fleet.members) {
                if (!member.process.isUp() && !goneSince.containsKey(member)) {
                    goneSince.put(member, now);
                    startAt.put(member, now + 500 + random.nextInt(3000));
                    if (!killed.contains(member)) {
                        gone(member, goneSince, now);
                    }
                } else if (!member.process.isUp() && now >= startAt.get(member)) {
                    member.start();
                    goneSince.remove(member);
                    killed.remove(member);
                }
            }
            if (now >= nextFault && !over) {
                nextFault = now + 3000 + random.nextInt(5000);
                switch (random.nextInt(3)) {
                    case 0 -> {
                        ProcessCluster.Member one = fleet.members.get(random.nextInt(NODES));
                        if (one.process.isUp()) {
                            log.line(one.process.name() + " is killed");
                            killed.add(one);
                            one.kill();
                        }
                    }
                    case 1 -> {
                        RaftReplica.OrderResult answer =
                                order(
                                        fleet,
                                        "halt",
                                        null,
                                        "warden",
                                        "halt" + seed + "." + orders++);
                        if (answer != null && answer.done()) {
                            haltedAt = System.currentTimeMillis();
                            halted = true;
                            log.line("halted");
                        }
                    }
                    default -> {
                        halted = false;
                        order(fleet, "resume", null, "warden", "resume" + seed + "." + orders++);
                        log.line("resumed");
                    }
                }
            }
            Thread.sleep(10);
        }
    }

    /**
     * A node went by itself: it had a permit, and with it no more may be out than the files say.
     */
    private void gone(
            ProcessCluster.Member member, Map<ProcessCluster.Member, Long> goneSince, long now) {
        went++;
        member.stalled();
        if (member.audit.openRequests() > 0) {
            wrong(member.process.name() + " went with tickets unanswered");
        }
        int out = 0;
        for (Map.Entry<ProcessCluster.Member, Long> one : goneSince.entrySet()) {
            // One that was killed just now could not be known of when the permit was given.
            out +=
                    one.getKey() == member
                                    || now - one.getValue() > NOTICED_MILLIS + HALT_BOUND_MILLIS
                            ? 1
                            : 0;
        }
        long byPermit =
                goneSince.keySet().stream()
                        .filter(
                                one ->
                                        one.process.lines().stream()
                                                .anyMatch(
                                                        line ->
                                                                line.contains(
                                                                        "leaving under disruption permit=")))
                        .count();
        mostOut = Math.max(mostOut, (int) byPermit);
        if (Math.max(out, byPermit) > ProcessCluster.MOST_OUT) {
            wrong(member.process.name() + " went as number " + Math.max(out, byPermit));
        }
        if (halted && now - haltedAt > HALT_BOUND_MILLIS) {
            wrong(member.process.name() + " went " + (now - haltedAt) + " ms after a halt");
        }
    }
}
