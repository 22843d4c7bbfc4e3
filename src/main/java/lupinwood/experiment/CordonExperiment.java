package lupinwood.experiment;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import lupinwood.admission.NanoDuration;
import lupinwood.consensus.ClusterQuery;
import lupinwood.consensus.DrainTracker;
import lupinwood.consensus.RaftReplica;
import lupinwood.log.Log;

/**
 * Servers below that rest by turns while real nodes send them requests: once the fleet says that
 * one is empty, nothing may come there until it is taken back, whatever dies, is cut off or starts
 * anew meanwhile. The auditor counts at the servers.
 */
final class CordonExperiment implements Experiment {
    private static final int VOTERS = 3;
    private static final int NODES = 7;
    private static final int SERVERS = 3;
    private static final long LEASE_MILLIS = 1500;
    private static final int REQUESTS_EVERY = 25;
    private static final long EMPTY_WITHIN_MILLIS = 30_000;
    private static final long EMPTY_FOR_MILLIS = 5000;
    private static final long BACK_WITHIN_MILLIS = 15_000;

    private enum Fault {
        NOTHING,
        NODE_DIES_AND_IS_BACK,
        LEADER_DIES,
        NODE_CUT_OFF
    }

    private final long seed;
    private final int rounds;
    private final Log log;
    private final Log quiet = new Log(new PrintStream(new ByteArrayOutputStream()), Instant::now);
    private final List<String> broken = new ArrayList<>();
    private final List<StandInServer> servers = new ArrayList<>();
    private int orders;
    private long longestToEmpty;

    CordonExperiment(long seed, int rounds, Log log) {
        this.seed = seed;
        this.rounds = rounds;
        this.log = log;
    }

    @Override
    public Outcome run() throws Exception {
        Random random = new Random(seed * 0x9E3779B97F4A7C15L);
        StringBuilder more = new StringBuilder();
        List<LoopbackServer> proxies = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            StandInServer server = new StandInServer(new Audit(), random.nextLong(), 0);
            servers.add(server);
            LoopbackServer proxy = new LoopbackServer(0, server::talk);
            proxies.add(proxy);
            more.append("server s")
                    .append(i)
                    .append(" { address \"")
                    .append(proxy.address())
                    .append("\"; tracks history }\n");
        }
        try (ProcessCluster fleet =
                new ProcessCluster(
                        VOTERS,
                        NODES,
                        NODES,
                        LEASE_MILLIS,
                        REQUESTS_EVERY,
                        true,
                        seed,
                        log::line,
                        more.toString(),
                        2)) {
            fleet.startAll();
            fleet.awaitLeader();
            Thread.sleep(4 * LEASE_MILLIS);
            for (int round = 0; round < rounds; round++) {
                round(fleet, round, Fault.values()[random.nextInt(Fault.values().length)], random);
            }
            broken.addAll(fleet.leaveAll());
            long all = servers.stream().mapToLong(StandInServer::tries).sum();
            return new Outcome(
                    String.format(
                            Locale.ROOT,
                            "rest: nodes %d, rounds %d, longest until empty %d ms, tickets at servers"
                                    + " %d, tickets %d, satisfied %d, bounced %d, abandoned %d, excused %d, broken %d",
                            NODES,
                            rounds,
                            longestToEmpty,
                            all,
                            fleet.count("sent"),
                            fleet.count("satisfied"),
                            fleet.count("bounced"),
                            fleet.count("abandoned"),
                            fleet.count("excused"),
                            broken.size()),
                    broken);
        } finally {
            for (LoopbackServer proxy : proxies) {
                proxy.close();
            }
        }
    }

    private RaftReplica.OrderResult order(ProcessCluster fleet, String what, String server)
            throws InterruptedException {
        return ClusterQuery.order(
                fleet.voterAddresses(),
                new RaftReplica.OperatorOrder(
                        "lab" + seed + "." + orders++, what, null, "ann", null, server),
                NanoDuration.ofSeconds(5),
                quiet);
    }

    private void round(ProcessCluster fleet, int round, Fault fault, Random random)
            throws InterruptedException, IOException {
        int which = random.nextInt(SERVERS);
        String server = "s" + which;
        StandInServer at = servers.get(which);
        log.line("round " + round + ": " + server + " with " + fault);
        RaftReplica.OrderResult answer = order(fleet, "rest", server);
        if (answer == null || !answer.done()) {
            broken.add(server + " may not rest: " + answer);
            return;
        }
        RaftReplica.OrderResult second = order(fleet, "rest", "s" + (which + 1) % SERVERS);
        if (second != null && second.done()) {
            broken.add("two servers rest, and one may");
        }
        awaitEmpty(fleet, server);
        long before = at.tries();
        ProcessCluster.Member one = member(fleet, fault, random);
        begin(fleet, fault, one);
        Thread.sleep(EMPTY_FOR_MILLIS);
        end(fleet, fault, one);
        Thread.sleep(2 * LEASE_MILLIS);
        if (at.tries() > before) {
            broken.add(
                    (at.tries() - before)
                            + " tickets came to "
                            + server
                            + " after it was told to be empty, with "
                            + fault);
        }
        awaitEmpty(fleet, server); // all are there again, and say so too
        order(fleet, "unrest", server);
        long resting = at.tries();
        long end = System.currentTimeMillis() + BACK_WITHIN_MILLIS;
        while (at.tries() < resting + 20 && System.currentTimeMillis() < end) {
            Thread.sleep(50);
        }
        if (at.tries() < resting + 20) {
            broken.add(server + " is back, and got " + (at.tries() - resting) + " tickets");
        }
    }

    private void awaitEmpty(ProcessCluster fleet, String server) throws InterruptedException {
        long begun = System.currentTimeMillis();
        String left = "nobody leads";
        while (!left.isEmpty() && System.currentTimeMillis() - begun < EMPTY_WITHIN_MILLIS) {
            RaftReplica.ReplicaView state = fleet.state();
            left = state == null ? "nobody leads" : DrainTracker.undrainedNodes(state, server);
            Thread.sleep(50);
        }
        longestToEmpty = Math.max(longestToEmpty, System.currentTimeMillis() - begun);
        if (!left.isEmpty()) {
            broken.add(server + " is not empty in time: " + left);
        }
    }

    private static ProcessCluster.Member member(ProcessCluster fleet, Fault fault, Random random)
            throws InterruptedException {
        if (fault == Fault.LEADER_DIES) {
            RaftReplica.ReplicaView state = fleet.state();
            return fleet.members.get(
                    state == null ? 0 : Integer.parseInt(state.self().text().substring(1)));
        }
        return fleet.members.get(VOTERS + random.nextInt(NODES - VOTERS));
    }

    private static void begin(ProcessCluster fleet, Fault fault, ProcessCluster.Member one)
            throws InterruptedException, IOException {
        switch (fault) {
            case NODE_DIES_AND_IS_BACK -> {
                one.kill();
                Thread.sleep(500);
                one.start();
            }
            case LEADER_DIES -> one.kill();
            case NODE_CUT_OFF -> fleet.link(one, FaultProxy::cut);
            default -> {}
        }
    }

    private static void end(ProcessCluster fleet, Fault fault, ProcessCluster.Member one)
            throws IOException {
        if (fault == Fault.LEADER_DIES) {
            one.start();
        } else if (fault == Fault.NODE_CUT_OFF) {
            fleet.link(one, FaultProxy::mend);
        }
    }
}
