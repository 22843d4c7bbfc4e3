package lupinwood.experiment;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import lupinwood.consensus.RaftReplica;
import lupinwood.log.Log;

/**
 * Three regions of two zones, each with a place below, and real nodes that share the places by
 * plans in common: places are lost, err and come back, zones are cut off, planners and leaders die.
 * The auditor counts at the places: never more there than they bear by the fleet's doing, and the
 * rules for requests.
 */
final class FailoverExperiment implements Experiment {
    private static final int VOTERS = 3;
    private static final int ZONES = 6;
    private static final int REGIONS = 3;
    private static final long LEASE_MILLIS = 1500;
    private static final int REQUESTS_EVERY = 24;
    private static final int BEARS = 12;
    private static final int NEAR = 2;
    private static final long TAKES_MILLIS = 100;

    private enum Fault {
        PLACE_ERRS,
        REGION_ERRS,
        ZONE_CUT_OFF,
        PLANNER_DIES,
        PLANNER_STALLS,
        NODE_DIES
    }

    private final long seed;
    private final int nodes;
    private final int rounds;
    private final boolean planned;
    private final Log log;
    private final List<String> broken = new ArrayList<>();
    private final List<ServerBehavior> behaviors = new ArrayList<>();
    private final List<StandInServer> servers = new ArrayList<>();

    /**
     * @param planned else each node decides for itself, which is for comparison: the places may be
     *     sent too much
     */
    FailoverExperiment(long seed, int nodes, int rounds, boolean planned, Log log) {
        this.seed = seed;
        this.nodes = nodes;
        this.rounds = rounds;
        this.planned = planned;
        this.log = log;
    }

    @Override
    public Outcome run() throws Exception {
        Random random = new Random(seed * 0x9E3779B97F4A7C15L);
        StringBuilder more = new StringBuilder();
        List<LoopbackServer> proxies = new ArrayList<>();
        for (int zone = 0; zone < ZONES; zone++) {
            ServerBehavior behavior = new ServerBehavior(BEARS, TAKES_MILLIS);
            behaviors.add(behavior);
            StandInServer server =
                    new StandInServer(new Audit(), random.nextLong(), 0).with(behavior);
            servers.add(server);
            LoopbackServer proxy = new LoopbackServer(0, server::talk);
            proxies.add(proxy);
            more.append("server p")
                    .append(zone)
                    .append(" { address \"")
                    .append(proxy.address())
                    .append("\"; tracks history; region r")
                    .append(zone * REGIONS / ZONES)
                    .append("; zone z")
                    .append(zone)
                    .append(planned ? "; bears " + BEARS + "; near " + NEAR : "")
                    .append(" }\n");
        }
        try (ProcessCluster fleet =
                new ProcessCluster(
                        VOTERS,
                        nodes,
                        nodes,
                        LEASE_MILLIS,
                        REQUESTS_EVERY,
                        true,
                        seed,
                        log::line,
                        more.toString(),
                        2,
                        REGIONS,
                        ZONES)) {
            fleet.startAll();
            fleet.awaitLeader();
            Thread.sleep(6 * LEASE_MILLIS);
            for (int round = 0; round < rounds; round++) {
                round(
                        fleet,
                        Fault.values()[Math.floorMod(seed + round, Fault.values().length)],
                        random);
            }
            broken.addAll(fleet.leaveAll());
            int most = behaviors.stream().mapToInt(ServerBehavior::most).max().orElse(0);
            int broke = behaviors.stream().mapToInt(ServerBehavior::broke).sum();
            if (planned && most > BEARS) {
                broken.add("a place that bears " + BEARS + " had " + most + " tickets at once");
            }
            return new Outcome(
                    String.format(
                            Locale.ROOT,
                            "failover: nodes %d, rounds %d, %s, places had at most %d of %d, broke %d,"
                                    + " tickets at places %d, tickets %d, satisfied %d, bounced %d, abandoned %d, excused %d, broken %d",
                            nodes,
                            rounds,
                            planned ? "by plan" : "each for itself",
                            most,
                            BEARS,
                            broke,
                            servers.stream().mapToLong(StandInServer::tries).sum(),
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

    private void round(ProcessCluster fleet, Fault fault, Random random)
            throws InterruptedException, IOException {
        log.line("fault: " + fault);
        int zone = random.nextInt(ZONES);
        ProcessCluster.Member one =
                fault.name().startsWith("PLANNER")
                        ? planner(fleet)
                        : fleet.members.get(nodes - 1 - random.nextInt(nodes / 2));
        switch (fault) {
            case PLACE_ERRS -> behaviors.get(zone).errs(true);
            case REGION_ERRS -> {
                behaviors.get(zone / 2 * 2).errs(true);
                behaviors.get(zone / 2 * 2 + 1).errs(true);
            }
            case ZONE_CUT_OFF -> fleet.zone(zone, VOTERS, FaultProxy::cut);
            case PLANNER_STALLS -> {
                one.stalled();
                one.process.stop();
            }
            default -> one.kill();
        }
        Thread.sleep(6 * LEASE_MILLIS);
        switch (fault) {
            case PLACE_ERRS, REGION_ERRS -> behaviors.forEach(behavior -> behavior.errs(false));
            case ZONE_CUT_OFF -> fleet.zone(zone, VOTERS, FaultProxy::mend);
            case PLANNER_STALLS -> {
                one.process.goOn();
                Thread.sleep(50);
                one.goesOn();
            }
            default -> one.start();
        }
        Thread.sleep(8 * LEASE_MILLIS);
    }

    private ProcessCluster.Member planner(ProcessCluster fleet) throws InterruptedException {
        RaftReplica.ReplicaView state = fleet.state();
        return state == null
                ? fleet.members.get(0)
                : state.duties().stream()
                        .filter(lease -> lease.duty().text().equals("planner") && !lease.isFree())
                        .findFirst()
                        .map(
                                lease ->
                                        fleet.members.get(
                                                Integer.parseInt(
                                                        lease.holder().text().substring(1))))
                        .orElse(fleet.members.get(0));
    }
}
