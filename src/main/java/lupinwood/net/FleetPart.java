package lupinwood.net;

import java.math.BigDecimal;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import lupinwood.core.Deadlines;
import lupinwood.core.Host;
import lupinwood.council.Fleet;
import lupinwood.council.FleetSettings;
import lupinwood.council.FleetView;
import lupinwood.council.Hands;
import lupinwood.fleet.Condition;
import lupinwood.fleet.DutyName;
import lupinwood.fleet.Tally;
import lupinwood.fleet.Token;
import lupinwood.log.Log;
import lupinwood.node.Moment;
import lupinwood.node.Span;
import lupinwood.pools.Pool;
import lupinwood.pools.Trials;
import lupinwood.settings.Meaning;

/**
 * The fleet as the node sees it: what the node is, told to the fleet; what the fleet found, told to the pool of servers.
 * The deciding thread reads a ready picture; it never waits for the fleet, and without one all is as alone.
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
    private final Counts counts = new Counts();
    private volatile Tally tally = Tally.NOTHING;
    private List<FleetView.Found> heard = List.of();
    /** The token of the try that is under way. */
    private Token tries;

    /**
     * @param servers null where none carries out tickets
     * @param hands checks and takes the fleet's text; asked for when the fleet's part starts; null where nobody does
     * @param leave has this node leave as by the notice; returns at once
     */
    FleetPart(Meaning meaning, AjpServers servers, Deadlines deadlines, Supplier<Hands> hands, Runnable leave, Log log) {
        this.deadlines = deadlines;
        this.servers = servers;
        warmAfter = new Span(meaning.number("rules warm-after", BigDecimal.ZERO).longValue());
        fleet = new Fleet(FleetSettings.of(meaning), new Fleet.Self(() -> condition, () -> leftOut, () -> emptied, () -> tally,
                () -> hands.get() == null ? Hands.NONE : hands.get(), leave),
                log);
    }

    void start() {
        fleet.start();
    }

    /** On the deciding thread. */
    void serve(Host served) {
        host = served;
        served.answersTo(counts);
        if (servers != null) {
            servers.pool().trialsBy(new InCommon());
            servers.markTrials(() -> tries == null ? Map.of() : Map.of("X-Duty-Token", tries.toString()));
        }
        look();
    }

    private static Moment monotonic() {
        return new Moment(System.nanoTime());
    }

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
            List<FleetView.Found> found = fleet.view().found();
            if (found != heard) {
                heard = found;
                Moment now = monotonic();
                found.forEach(one -> pool.told(one.server(), one.well(), host.now().minus(now.since(one.at())), host.now()));
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

    /** One tries for all while the council can be heard; without its word each node tries by itself. */
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
