package lupinwood.net;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import lupinwood.core.Deadlines;
import lupinwood.core.Host;
import lupinwood.council.Fleet;
import lupinwood.council.FleetSettings;
import lupinwood.council.FleetView;
import lupinwood.council.Hands;
import lupinwood.failover.Place;
import lupinwood.fleet.Condition;
import lupinwood.fleet.DutyName;
import lupinwood.fleet.Report;
import lupinwood.fleet.Tally;
import lupinwood.fleet.Token;
import lupinwood.log.Log;
import lupinwood.node.Moment;
import lupinwood.node.Span;
import lupinwood.pools.Pool;
import lupinwood.pools.Trials;
import lupinwood.settings.Meaning;

/**
 * The fleet as the node sees it: what the node is, told to the fleet; what the fleet found, told to
 * the pool of servers. The deciding thread reads a ready picture; it never waits for the fleet, and
 * without one all is as alone.
 */
final class FleetPart {
    private static final Span LOOK = Span.ofSeconds(0.1);
    private static final Span LAST_WORD = Span.ofSeconds(0.1);

    private final Fleet fleet;
    private final Deadlines deadlines;
    private final Span warmAfter;
    private final AjpServers servers;
    private Host host;
    private volatile Condition condition = Condition.COLD;
    private volatile List<String> leftOut = List.of();
    private volatile List<String> emptied = List.of();
    private List<String> rests = List.of();
    private final FleetSettings settings;
    private final List<Place> places;
    private volatile List<Report.Use> uses = List.of();
    private FleetView.Share shared;
    private final Counts counts = new Counts();
    private volatile Tally tally = Tally.NOTHING;
    private List<FleetView.Found> heard = List.of();

    /** The token of the try that is under way. */
    private Token tries;

    /**
     * @param servers null where none carries out tickets
     * @param hands checks and takes the fleet's text; asked for when the fleet's part starts; null
     *     where nobody does
     * @param leave has this node leave as by the notice; returns at once
     */
    FleetPart(
            Meaning meaning,
            AjpServers servers,
            Deadlines deadlines,
            Supplier<Hands> hands,
            Runnable leave,
            Log log) {
        this.deadlines = deadlines;
        this.servers = servers;
        settings = FleetSettings.of(meaning);
        places = FleetSettings.places(meaning);
        warmAfter = new Span(meaning.number("rules warm-after", BigDecimal.ZERO).longValue());
        fleet =
                new Fleet(
                        settings,
                        new Fleet.Self(
                                () -> condition,
                                () -> leftOut,
                                () -> emptied,
                                () -> uses,
                                () -> tally,
                                () -> hands.get() == null ? Hands.NONE : hands.get(),
                                leave),
                        log);
    }

    void start() {
        fleet.start();
    }

    /** On the deciding thread. */
    void serve(Host served) {
        host = served;
        served.answersTo(counts);
        if (servers != null && !places.isEmpty()) {
            shareServers();
        }
        if (servers != null) {
            servers.pool().trialsBy(new InCommon());
            servers.markTrials(
                    () -> tries == null ? Map.of() : Map.of("X-Duty-Token", tries.toString()));
        }
        look();
    }

    /**
     * What may be out where: by the plan while its lease lasts, else by standing right; all that
     * isn't planned is as without.
     */
    private void shareServers() {
        Pool pool = servers.pool();
        Map<String, Place> planned = new TreeMap<>();
        places.forEach(place -> planned.put(place.name(), place));
        int[] away = new int[pool.size()];
        for (int i = 0; i < away.length; i++) {
            Place place = planned.get(pool.name(i));
            away[i] = place == null ? 0 : place.distance(settings.site());
        }
        servers.share(
                away,
                server -> {
                    Place place = planned.get(pool.name(server));
                    if (place == null) {
                        return Integer.MAX_VALUE;
                    }
                    FleetView.Share share = fleet.view().share();
                    int alone = place.alone(settings.site());
                    return monotonic().isBefore(share.until())
                            ? Math.max(alone, share.slots().getOrDefault(place.name(), 0))
                            : alone;
                });
    }

    private List<Report.Use> uses() {
        Pool pool = servers.pool();
        List<Report.Use> told = new ArrayList<>();
        for (int i = 0; i < pool.size(); i++) {
            told.add(
                    new Report.Use(
                            pool.name(i),
                            pool.out(i),
                            servers.asked(i),
                            servers.ended(i),
                            servers.failed(i),
                            servers.took(i),
                            pool.isLeftOut(i)));
        }
        return told;
    }

    private static Moment monotonic() {
        return new Moment(System.nanoTime());
    }

    @SuppressWarnings("ReferenceEquality") // a new share is a new object
    private void look() {
        tally = counts.tally();
        condition = host.isWarm(warmAfter) ? Condition.WARM : Condition.COLD;
        if (servers != null) {
            Pool pool = servers.pool();
            leftOut = pool.leftOut();
            if (!fleet.view().rests().equals(rests)) {
                rests = fleet.view().rests();
                servers.rest(rests);
            }
            emptied = pool.emptied();
            if (!places.isEmpty()) {
                uses = uses();
                if (shared != fleet.view().share()) {
                    shared = fleet.view().share();
                    servers.shared();
                }
            }
            List<FleetView.Found> found = fleet.view().found();
            if (found != heard) {
                heard = found;
                Moment now = monotonic();
                found.forEach(
                        one ->
                                pool.told(
                                        one.server(),
                                        one.well(),
                                        host.now().minus(now.since(one.at())),
                                        host.now()));
            }
        }
        deadlines.at(host.now().plus(LOOK), this::look);
    }

    /** A configuration was taken over. */
    void reach(Meaning meaning) {
        fleet.reach(FleetSettings.of(meaning).voters());
    }

    void leave() {
        fleet.leave();
    }

    void end() {
        fleet.end(LAST_WORD);
    }

    String figures() {
        return fleet.figures();
    }

    /**
     * One tries for all while the council can be heard; without its word each node tries by itself.
     */
    private final class InCommon implements Trials {
        @Override
        public boolean mayTry(String server) {
            FleetView view = fleet.view();
            Moment now = monotonic();
            tries = view.mayAct(DutyName.TRIAL, now);
            return tries != null || !view.isInTouch(now);
        }

        @Override
        public void tried(String server, boolean well) {
            if (tries != null) {
                fleet.found(server, well, tries);
            }
        }
    }
}
