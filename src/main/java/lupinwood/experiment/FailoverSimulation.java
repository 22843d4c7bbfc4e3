package lupinwood.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.balancing.RetryBudget;
import lupinwood.balancing.ServerPool;
import lupinwood.cluster.CapacityLease;
import lupinwood.cluster.ClusterCommand;
import lupinwood.cluster.ClusterState;
import lupinwood.cluster.DutyName;
import lupinwood.cluster.Heartbeat;
import lupinwood.cluster.HeartbeatReply;
import lupinwood.cluster.Incarnation;
import lupinwood.cluster.LeaseManager;
import lupinwood.cluster.LeaseTiming;
import lupinwood.cluster.NodeCondition;
import lupinwood.cluster.NodeName;
import lupinwood.cluster.NodeReport;
import lupinwood.cluster.RequestCounts;
import lupinwood.cluster.Site;
import lupinwood.failover.CapacityPlanner;
import lupinwood.failover.Location;

/**
 * Zones with their nodes and places in made-up time: places die, come back cold, answer errors, and
 * break when they are sent more than they can bear. Nodes choose as they are told to: near only,
 * each for itself, evenly, by the agreed plan, or by a planner that knows the truth. The plan is
 * made by the real book, lease manager and planner, over words that are late or lost.
 */
final class FailoverSimulation {
    /** How nodes choose. */
    enum Way {
        NEAR_ONLY,
        EACH_FOR_ITSELF,
        EVENLY,
        PLANNED,
        TRUTH
    }

    /** What it came to. */
    record Played(
            double inTime,
            double near,
            int broke,
            double mostOver,
            int plans,
            double planBytes,
            List<String> broken) {}

    static final int REGIONS = 3;
    static final int ZONES = 6;
    static final double SECONDS = 130;
    static final NanoDuration LEASE = NanoDuration.ofSeconds(1.5);
    private static final int SLOTS_A_NODE = 8;
    private static final double SERVICE = 0.15;
    private static final double ON_TIME = 1;
    private static final double TIMEOUT = 2;
    private static final double BREAKS_AT = 1.3;
    private static final double DOWN_WHEN_BROKEN = 6;
    private static final double COLD_FOR = 8;
    private static final double COLD_SPEED = 0.5;
    private static final double[] WAY_THERE = {0.001, 0.008, 0.04};
    private static final int MOST_WAITING = 64;
    private static final double LOSS = 0.02;
    private static final DutyName DUTY = DutyName.PLANNER;

    private final class Server {
        final Location location;
        final int index;
        int inHand;

        /** What nodes have out there, also on the way. */
        int sent;

        int most;
        boolean up = true;
        boolean errors;
        double coldUntil;
        int broke;
        int life;

        Server(Location location, int index) {
            this.location = location;
            this.index = index;
        }

        void dies(double seconds) {
            up = false;
            life++;
            inHand = 0;
            time.after(
                    seconds,
                    () -> {
                        up = true;
                        coldUntil = now() + COLD_FOR;
                    });
        }

        double takes() {
            double speed = now() < coldUntil ? COLD_SPEED : 1;
            // Past what it bears each gets its part only.
            return SERVICE
                    / speed
                    * Math.max(1, (double) inHand / location.capacity())
                    * (0.7 + 0.6 * random.nextDouble());
        }
    }

    private final class SimulatedRequest {
        final double came = now();
        final List<Integer> tried = new ArrayList<>();
        boolean over;
    }

    private final class Node {
        final NodeName name;
        final Site site;
        final int zone;
        final ServerPool pool;
        final RetryBudget budget = new RetryBudget(0.1, 10);
        final Deque<SimulatedRequest> waiting = new ArrayDeque<>();
        long demanded;
        final double[] seconds = new double[ZONES];
        final long[][] ended = new long[ZONES][2];
        final CapacityLease share;
        final Map<Long, MonotonicTime> requestedAt = new TreeMap<>();
        long number;
        boolean cut;
        int turn;

        Node(int place, int zone) {
            this.zone = zone;
            name = new NodeName(String.format("n%03d", place));
            site = site(zone);
            pool =
                    new ServerPool(
                            servers.stream().map(one -> one.location.name()).toList(),
                            lupinwood.balancing.OutlierLimits.DEFAULTS,
                            random.nextLong());
            Map<String, Integer> alone = new TreeMap<>();
            servers.forEach(
                    one -> alone.put(one.location.name(), one.location.unplannedSlots(site)));
            share = new CapacityLease(alone);
        }

        void comes() {
            offered++;
            demanded++;
            SimulatedRequest request = new SimulatedRequest();
            budget.recordFirstAttempt();
            time.after(
                    TIMEOUT,
                    () -> {
                        if (!request.over) {
                            request.over = true;
                            waiting.remove(request);
                        }
                    });
            send(request);
            time.after(-Math.log(1 - random.nextDouble()) / rate, this::comes);
        }

        private void send(SimulatedRequest request) {
            if (now() - request.came > ON_TIME - 2 * SERVICE) {
                request.over = true; // it would wait in vain, and is rejected
                return;
            }
            int server = choose(request);
            if (server < 0) {
                if (waiting.size() < MOST_WAITING) {
                    waiting.add(request);
                } else {
                    request.over = true; // rejected at once
                }
                return;
            }
            request.tried.add(server);
            carry(request, servers.get(server));
        }

        private int choose(SimulatedRequest request) {
            MonotonicTime at = time();
            if (way == Way.EACH_FOR_ITSELF) {
                return pool.acquireServer(at, request.tried);
            }
            if (way == Way.NEAR_ONLY) {
                return pool.acquireServer(at, request.tried, server -> server == zone);
            }
            if (way == Way.EVENLY) {
                int one = turn++ % ZONES;
                int chosen = pool.acquireServer(at, request.tried, server -> server == one);
                return chosen >= 0 ? chosen : pool.acquireServer(at, request.tried);
            }
            for (int distance = 0; distance <= 2; distance++) {
                int of = distance;
                int chosen =
                        pool.acquireServer(
                                at,
                                request.tried,
                                server -> distance(zone, server) == of && may(server));
                if (chosen >= 0) {
                    return chosen;
                }
            }
            return -1;
        }

        private boolean may(int server) {
            Server one = servers.get(server);
            return way == Way.TRUTH
                    ? one.up && !one.errors && one.sent < one.location.capacity()
                    : pool.inFlightCount(server)
                            < share.allowedRequests(one.location.name(), time());
        }

        private void carry(SimulatedRequest request, Server server) {
            double there = WAY_THERE[distance(zone, server.index)];
            double sentAt = now();
            if (zone == server.index) {
                wentNear++;
            }
            went++;
            server.sent++;
            time.after(
                    there,
                    () -> {
                        if (!server.up || server.errors) {
                            time.after(
                                    there,
                                    () ->
                                            ended(
                                                    request,
                                                    server.index,
                                                    ServerPool.AttemptCompletion.FAILED,
                                                    sentAt));
                            return;
                        }
                        server.inHand++;
                        server.most = Math.max(server.most, server.inHand);
                        int of = server.life;
                        if (way == Way.PLANNED && server.inHand > server.location.capacity()) {
                            breaks(
                                    server.location.name()
                                            + " has "
                                            + server.inHand
                                            + " tickets at "
                                            + now()
                                            + " s, and bears "
                                            + server.location.capacity());
                        }
                        if (server.inHand > server.location.capacity() * BREAKS_AT) {
                            server.broke++;
                            server.dies(DOWN_WHEN_BROKEN);
                        }
                        time.after(
                                server.takes(),
                                () -> {
                                    boolean same = server.life == of;
                                    server.inHand -= same ? 1 : 0;
                                    time.after(
                                            there,
                                            () ->
                                                    ended(
                                                            request,
                                                            server.index,
                                                            same
                                                                    ? ServerPool.AttemptCompletion
                                                                            .WELL
                                                                    : ServerPool.AttemptCompletion
                                                                            .FAILED,
                                                            sentAt));
                                });
                    });
        }

        private void ended(
                SimulatedRequest request,
                int server,
                ServerPool.AttemptCompletion end,
                double sentAt) {
            servers.get(server).sent--;
            pool.onAttemptEnded(server, end, NanoDuration.ofSeconds(now() - sentAt), false, time());
            ended[server][0]++;
            seconds[server] += end == ServerPool.AttemptCompletion.WELL ? now() - sentAt : 0;
            ended[server][1] += end == ServerPool.AttemptCompletion.FAILED ? 1 : 0;
            if (!request.over && end == ServerPool.AttemptCompletion.WELL) {
                request.over = true;
                inTime += now() - request.came <= ON_TIME ? 1 : 0;
            } else if (!request.over && request.tried.size() < 3 && budget.tryAcquireRetry()) {
                send(request);
            } else {
                request.over = true;
            }
            for (int left = waiting.size(); left > 0; left--) {
                send(waiting.poll());
            }
        }

        private void heartbeats() {
            number++;
            requestedAt.put(number, time());
            requestedAt.keySet().removeIf(old -> old < number - 20);
            List<NodeReport.LocationUse> uses = new ArrayList<>();
            for (Server server : servers) {
                uses.add(
                        new NodeReport.LocationUse(
                                server.location.name(),
                                pool.inFlightCount(server.index),
                                demanded,
                                ended[server.index][0],
                                ended[server.index][1],
                                seconds[server.index],
                                pool.isEjected(server.index)));
            }
            Heartbeat heartbeat =
                    new Heartbeat(
                            Heartbeat.VERSION,
                            name,
                            new Incarnation(zone + 1),
                            site,
                            NodeCondition.WARM,
                            number,
                            List.of(),
                            List.of(),
                            List.of(),
                            List.of(),
                            List.of(),
                            new NodeReport(
                                    "1",
                                    "",
                                    null,
                                    List.of(),
                                    share.planNumber(),
                                    uses,
                                    RequestCounts.EMPTY));
            talk(
                    () -> {
                        String trouble = leaseManager.onHeartbeat(heartbeat, clusterState, time());
                        HeartbeatReply reply =
                                leaseManager.replyTo(
                                        heartbeat, trouble, clusterState, name, time());
                        talk(() -> hears(reply));
                    });
            time.after(
                    timing.heartbeatInterval().seconds() * (0.8 + 0.4 * random.nextDouble()),
                    this::heartbeats);
        }

        private void hears(HeartbeatReply reply) {
            MonotonicTime requested = requestedAt.get(reply.number());
            if (requested != null && reply.capacityShare() != null) {
                share.update(
                        reply.capacityShare().plan(),
                        reply.capacityShare().slots(),
                        requested.plus(timing.holderLease()));
                for (int left = waiting.size(); left > 0; left--) {
                    send(waiting.poll());
                }
            }
        }

        private void talk(Runnable job) {
            if (!cut && random.nextDouble() >= LOSS) {
                time.after(0.002 + 0.03 * random.nextDouble(), job);
            }
        }
    }

    private final Way way;
    private final Random random;
    private final SimulatedTime time = new SimulatedTime();
    private final LeaseTiming timing = LeaseTiming.of(LEASE, 0.01);
    private final ClusterState clusterState = new ClusterState(4096);
    private final LeaseManager leaseManager = new LeaseManager(timing, List.of(DUTY));
    private final List<Server> servers = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private final List<String> broken = new ArrayList<>();
    private final double rate;
    private CapacityPlanner planner;
    private long offered;
    private long inTime;
    private long went;
    private long wentNear;
    private int plans;

    /** Hears of each plan. */
    Consumer<String> trace = text -> {};

    private double planBytes;

    /**
     * @param load of what all places can do together, how much is asked for
     */
    FailoverSimulation(Way way, int count, double load, long seed) {
        this.way = way;
        random = new Random(seed);
        int aZone = count / ZONES;
        rate = load * SLOTS_A_NODE / SERVICE;
        for (int zone = 0; zone < ZONES; zone++) {
            servers.add(
                    new Server(
                            new Location(
                                    "p" + zone,
                                    site(zone),
                                    SLOTS_A_NODE * aZone,
                                    SLOTS_A_NODE / 2,
                                    0,
                                    false),
                            zone));
        }
        for (int i = 0; i < aZone * ZONES; i++) {
            nodes.add(new Node(i, i % ZONES));
        }
        planner = new CapacityPlanner(LEASE);
    }

    private static Site site(int zone) {
        return new Site("r" + zone / 2, "z" + zone);
    }

    private static int distance(int zone, int server) {
        return zone == server ? 0 : zone / 2 == server / 2 ? 1 : 2;
    }

    private double now() {
        return time.now() / 1e9;
    }

    private MonotonicTime time() {
        return new MonotonicTime(time.now());
    }

    private void breaks(String what) {
        if (broken.size() < 5) {
            broken.add(what);
        }
    }

    Played play() {
        clusterState.apply(new ClusterCommand.Bootstrap(1));
        leaseManager.onElected(clusterState, time());
        for (Node node : nodes) {
            time.after(random.nextDouble() * 0.5, node::heartbeats);
            time.after(6 + random.nextDouble() / rate, node::comes);
        }
        decides();
        time.after(20, () -> servers.get(0).dies(25));
        time.after(60, () -> servers.get(3).errors = true);
        time.after(75, () -> servers.get(3).errors = false);
        time.after(
                80,
                () ->
                        nodes.stream()
                                .filter(node -> node.zone == 4)
                                .forEach(node -> node.cut = true));
        time.after(92, () -> nodes.forEach(node -> node.cut = false));
        time.after(
                95,
                () -> {
                    servers.get(0).dies(12);
                    servers.get(1).dies(14);
                });
        time.playUntil(SECONDS);
        int broke = servers.stream().mapToInt(server -> server.broke).sum();
        double over =
                servers.stream()
                        .mapToDouble(server -> (double) server.most / server.location.capacity())
                        .max()
                        .orElse(0);
        return new Played(
                (double) inTime / offered,
                (double) wentNear / went,
                broke,
                over,
                plans,
                planBytes / Math.max(1, plans),
                broken);
    }

    private void decides() {
        leaseManager.decide(clusterState, 1, time()).forEach(clusterState::apply);
        ClusterState.DutyLease lease = clusterState.duty(DUTY);
        if (way == Way.PLANNED && !lease.isFree()) {
            ClusterCommand.SetCapacityPlan plan =
                    planner.decide(
                            new CapacityPlanner.View(
                                    servers.stream().map(server -> server.location).toList(),
                                    clusterState.members(),
                                    leaseManager.nodeViews(clusterState, time()),
                                    clusterState.livePlans(),
                                    clusterState.lastPlanNumber()),
                            lease.token(),
                            time());
            if (plan != null && !clusterState.apply(plan)) {
                breaks("a plan did not fit: " + plan);
            } else if (plan != null) {
                trace.accept(
                        String.format(
                                Locale.ROOT,
                                "%.1f plan %d: %s",
                                now(),
                                clusterState.lastPlanNumber(),
                                plan.why()));
                plans++;
                planBytes += plan.toString().length();
            }
        }
        time.after(0.1, this::decides);
    }
}
