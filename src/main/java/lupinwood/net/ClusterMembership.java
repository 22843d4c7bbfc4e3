package lupinwood.net;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.balancing.HealthChecker;
import lupinwood.balancing.ServerPool;
import lupinwood.cluster.DutyName;
import lupinwood.cluster.FencingToken;
import lupinwood.cluster.NodeCondition;
import lupinwood.cluster.NodeReport;
import lupinwood.cluster.RequestCounts;
import lupinwood.consensus.ClusterNode;
import lupinwood.consensus.ClusterSettings;
import lupinwood.consensus.ClusterView;
import lupinwood.consensus.ConfigApplier;
import lupinwood.failover.Location;
import lupinwood.log.Log;
import lupinwood.processing.RequestProcessor;
import lupinwood.processing.TimerService;
import lupinwood.settings.ParsedSettings;

/**
 * The fleet as the node sees it: what the node is, told to the fleet; what the fleet found, told to
 * the pool of servers. The event loop thread reads a ready picture; it never waits for the fleet,
 * and without one all is as alone.
 */
final class ClusterMembership {
    private static final NanoDuration LOOK = NanoDuration.ofSeconds(0.1);
    private static final NanoDuration LAST_WORD = NanoDuration.ofSeconds(0.1);

    private final ClusterNode fleet;
    private final TimerService deadlines;
    private final NanoDuration warmAfter;
    private final AjpExecutor servers;
    private RequestProcessor processor;
    private volatile NodeCondition condition = NodeCondition.COLD;
    private volatile List<String> leftOut = List.of();
    private volatile List<String> drained = List.of();
    private List<String> rests = List.of();
    private final ClusterSettings settings;
    private final List<Location> locations;
    private volatile List<NodeReport.LocationUse> uses = List.of();
    private ClusterView.CapacityShare shared;
    private final RequestCounters counters = new RequestCounters();
    private volatile RequestCounts requestCounts = RequestCounts.EMPTY;
    private List<ClusterView.ServerHealth> heard = List.of();

    /** The token of the try that is under way. */
    private FencingToken tries;

    /**
     * @param servers null where none carries out requests
     * @param configApplier checks and takes the fleet's text; asked for when the fleet's part
     *     starts; null where nobody does
     * @param leave has this node leave as by the notice; returns at once
     */
    ClusterMembership(
            ParsedSettings parsedSettings,
            AjpExecutor servers,
            TimerService deadlines,
            Supplier<ConfigApplier> configApplier,
            Runnable leave,
            Log log) {
        this.deadlines = deadlines;
        this.servers = servers;
        settings = ClusterSettings.of(parsedSettings);
        locations = ClusterSettings.locations(parsedSettings);
        warmAfter =
                new NanoDuration(
                        parsedSettings.number("rules warm-after", BigDecimal.ZERO).longValue());
        fleet =
                new ClusterNode(
                        settings,
                        new ClusterNode.LocalNode(
                                () -> condition,
                                () -> leftOut,
                                () -> drained,
                                () -> uses,
                                () -> requestCounts,
                                () ->
                                        configApplier.get() == null
                                                ? ConfigApplier.NONE
                                                : configApplier.get(),
                                leave),
                        log);
    }

    void start() {
        fleet.start();
    }

    /** On the event loop thread. */
    void serve(RequestProcessor served) {
        processor = served;
        served.setResponseListener(counters);
        if (servers != null && !locations.isEmpty()) {
            shareServers();
        }
        if (servers != null) {
            servers.pool().setHealthChecker(new SharedHealthChecker());
            servers.markProbation(
                    () -> tries == null ? Map.of() : Map.of("X-Duty-Token", tries.toString()));
        }
        look();
    }

    /**
     * What may be out where: by the plan while its lease lasts, else by standing right; all that
     * isn't planned is as without.
     */
    private void shareServers() {
        ServerPool pool = servers.pool();
        Map<String, Location> planned = new TreeMap<>();
        locations.forEach(location -> planned.put(location.name(), location));
        int[] away = new int[pool.size()];
        for (int i = 0; i < away.length; i++) {
            Location location = planned.get(pool.serverName(i));
            away[i] = location == null ? 0 : location.distance(settings.site());
        }
        servers.share(
                away,
                server -> {
                    Location location = planned.get(pool.serverName(server));
                    if (location == null) {
                        return Integer.MAX_VALUE;
                    }
                    ClusterView.CapacityShare share = fleet.view().share();
                    int alone = location.unplannedSlots(settings.site());
                    return monotonic().isBefore(share.until())
                            ? Math.max(alone, share.slots().getOrDefault(location.name(), 0))
                            : alone;
                });
    }

    private List<NodeReport.LocationUse> uses() {
        ServerPool pool = servers.pool();
        List<NodeReport.LocationUse> reported = new ArrayList<>();
        for (int i = 0; i < pool.size(); i++) {
            reported.add(
                    new NodeReport.LocationUse(
                            pool.serverName(i),
                            pool.inFlightCount(i),
                            servers.offered(i),
                            servers.ended(i),
                            servers.failed(i),
                            servers.took(i),
                            pool.isEjected(i)));
        }
        return reported;
    }

    private static MonotonicTime monotonic() {
        return new MonotonicTime(System.nanoTime());
    }

    @SuppressWarnings("ReferenceEquality") // a new share is a new object
    private void look() {
        requestCounts = counters.tally();
        condition = processor.isWarm(warmAfter) ? NodeCondition.WARM : NodeCondition.COLD;
        if (servers != null) {
            ServerPool pool = servers.pool();
            leftOut = pool.ejectedServers();
            if (!fleet.view().cordons().equals(rests)) {
                rests = fleet.view().cordons();
                servers.rest(rests);
            }
            drained = pool.drainedServers();
            if (!locations.isEmpty()) {
                uses = uses();
                if (shared != fleet.view().share()) {
                    shared = fleet.view().share();
                    servers.shared();
                }
            }
            List<ClusterView.ServerHealth> found = fleet.view().found();
            if (found != heard) {
                heard = found;
                MonotonicTime now = monotonic();
                found.forEach(
                        one ->
                                pool.onHealthCheckResult(
                                        one.server(),
                                        one.well(),
                                        processor.now().minus(now.since(one.at())),
                                        processor.now()));
            }
        }
        deadlines.schedule(processor.now().plus(LOOK), this::look);
    }

    /** A configuration was taken over. */
    void reach(ParsedSettings parsedSettings) {
        fleet.updateVoterAddresses(ClusterSettings.of(parsedSettings).voters());
    }

    void leave() {
        fleet.leave();
    }

    void end() {
        fleet.end(LAST_WORD);
    }

    String figures() {
        return fleet.stateLogLine();
    }

    /**
     * One tries for all while the consensus group can be heard; without its word each node tries by
     * itself.
     */
    private final class SharedHealthChecker implements HealthChecker {
        @Override
        public boolean allowsProbe(String server) {
            ClusterView view = fleet.view();
            MonotonicTime now = monotonic();
            tries = view.tokenFor(DutyName.HEALTH_CHECK, now);
            return tries != null || !view.isConnected(now);
        }

        @Override
        public void onProbeResult(String server, boolean well) {
            if (tries != null) {
                fleet.recordHealthCheck(server, well, tries);
            }
        }
    }
}
