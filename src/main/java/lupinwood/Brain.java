package lupinwood;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.TreeSet;
import lupinwood.node.Alarms;
import lupinwood.node.CallerId;
import lupinwood.node.Effect;
import lupinwood.node.Gauges;
import lupinwood.node.Handle;
import lupinwood.node.Histogram;
import lupinwood.node.Moment;
import lupinwood.node.Node;
import lupinwood.node.Outcome;
import lupinwood.node.Server;
import lupinwood.node.Settings;
import lupinwood.node.Span;
import lupinwood.node.Ticket;
import lupinwood.node.TicketId;
import lupinwood.node.Track;

/**
 * All decisions of one node: what it takes, runs, bounces and fails. The interface is package
 * lupinwood.node. A Brain is made for one life of one machine, from its settings. News comes in by
 * take, leave, wake and the calls on the handles that take returns; settle closes each moment.
 * Results leave through Server. Everything due later stands in one queue of alarms, with one
 * wake-up asked for at a time. Order of reading: take, Held (what happens to a ticket), settle
 * (what is turned away, run and called), then the guards and the advice.
 */
public final class Brain implements Node {
    private static final double MEMORY_OF = 32; // figures a histogram takes in before it is halved
    private static final double ENOUGH = 6; // figures without which no median is trusted
    private static final double SAFE =
            0.85; // the part of a hard ceiling (memory, crowd) that is used
    private static final double ROOMY =
            0.85; // the part of its time that an arrival may be reckoned to need
    private static final double EASY =
            0.15; // the part of it that tickets may wait before callers hear of it
    private static final double FIRST_GUESS =
            0.1; // the part of it that a ticket costs, before any measure
    private static final double SAVED_UP =
            6; // seconds over which a customer's share is reckoned, or more
    private static final double LEAST_CALLS =
            0.2; // the part of the told share used whatever calls take

    private enum State {
        HELD,
        RUNNING,
        WAITS_TO_CALL,
        CALLING,
        REUSING,
        OVER
    }

    /** What the settings say of a track, and what was measured of it. */
    private static final class TrackBook {
        Track says;
        final Histogram cost = new Histogram(MEMORY_OF);
        final Histogram calmCalls = new Histogram(MEMORY_OF);

        /**
         * How many tickets came to their first, second, ... call, how many ended it; halved with
         * time.
         */
        final double[] reached = new double[8];

        final double[] endedAt = new double[8];

        /**
         * How many tickets were asked for and how many satisfied in their agreed time; halved with
         * time.
         */
        double asked;

        double satisfied;

        TrackBook(Track says) {
            this.says = says;
        }

        double weight() {
            return Math.max(1, cost.weight());
        }

        double costNow(double speed) {
            return cost.weight() >= ENOUGH
                    ? cost.mean()
                    : says.agreed().seconds() * FIRST_GUESS / speed;
        }

        /** How many calls a ticket that calls makes, on average. */
        double callsEach() {
            return reached[0] > 0 ? Arrays.stream(reached).sum() / reached[0] : 1;
        }
    }

    /** One customer's share of this node in tickets a second, and what it has saved up of it. */
    private final class CustomerBook {
        double rate;
        double span;
        double saved;
        double came;
        double kept;
        double usual = 1;
        Moment seen = born;

        CustomerBook(int i) {
            read(i);
            saved = rate * SAVED_UP;
        }

        void read(int i) {
            rate =
                    settings.number("customers." + i + ".quota_rps", 0)
                            / Math.max(1, settings.number("group_size", 1));
            span = Math.max(SAVED_UP, MEMORY_OF / 2 / Math.max(1e-9, rate));
        }

        void bringUp() {
            double passed = server.now().since(seen).seconds();
            came *= Math.exp(-passed / span);
            kept *= Math.exp(-passed / span);
            saved = Math.min(rate * span * usual, saved + rate * usual * passed);
            seen = server.now();
        }

        /** So many tickets lately, as a multiple of the share. */
        double crowding(double tickets) {
            double past = 1 - Math.exp(-Math.max(SAVED_UP, seen.since(born).seconds()) / span);
            return tickets / Math.max(1e-9, rate * span * past);
        }

        /**
         * Whether one more ticket stays within the share; if so it is taken off. A node that
         * callers favour gets more of all, so the share grows with what is kept, not bounced, of
         * the middle customer.
         */
        boolean spend() {
            customers.forEach(CustomerBook::bringUp);
            came++;
            kept++;
            usual =
                    Math.max(
                            1,
                            customers.stream()
                                    .mapToDouble(book -> book.crowding(book.kept))
                                    .sorted()
                                    .skip((customers.size() - 1) / 2)
                                    .findFirst()
                                    .orElse(1));
            boolean within = saved >= 1;
            saved -= within ? 1 : 0;
            return within;
        }
    }

    private final Server server;
    private Settings settings;
    private final List<TrackBook> tracks = new ArrayList<>();
    private final List<CustomerBook> customers = new ArrayList<>();
    private final double cores;
    private final double memory;
    private final double entryKb;
    private final Moment born;
    private final Span step;
    private double meanAgreed;
    private final double
            toldShare; // of calls in hand; without a shared dependency only the limit binds
    private double callsAllowed;
    private Moment nextCall;
    private double usualCall;
    private final boolean canStop;
    private final Alarms alarms;
    private long order;

    private final TreeSet<Held> hold = new TreeSet<>(Held.BY_TIME); // held and not run
    private final TreeSet<Held> waitsToCall = new TreeSet<>(Held.BY_TIME);
    private double askedCredit;
    private int judged;
    private TrackBook worst;
    private final Map<TicketId, Held> remembered = new HashMap<>();
    private final TreeMap<Long, Held> open =
            new TreeMap<>(); // all that is owed an answer or takes memory
    private int onCores;
    private int callsInHand;
    private int callsOut; // of those, the ones whose tickets come back to the cores by themselves
    private int callsBack;
    private int count;
    private double usedKb;

    private double limit;
    private Moment leftAt;
    private Moment stopsAt;

    private double
            given; // seconds of core time given to each running ticket so far: the clock of all
    // cost
    private Moment givenAt;
    private double wanting = 1; // the part of those that run that wants a core and no disk

    /** The latest calls, fast to follow a change; unlike the calm median it takes in every one. */
    private final Histogram latestCalls = new Histogram(MEMORY_OF / 4);

    /** What was hinted, and what it cost; their means make the price of a hint here. */
    private final Histogram hints = new Histogram(MEMORY_OF);

    private final Histogram hintedCost = new Histogram(MEMORY_OF);
    private double advised = -1;
    private double unread; // how far through their agreed time the latest tickets were when read
    private double
            floor; // the rank below which callers are to send nothing, but for the best-paid band
    private final double mostFloor;
    private final Deque<CallerId> callers = new ArrayDeque<>();
    private double connections;
    private Span idle;

    public Brain(Server server, long seed, Map<String, String> map) {
        this.server = server;
        this.settings = new Settings(map);
        alarms = new Alarms(server);
        born = server.now();
        givenAt = born;
        nextCall = born;
        step = settings.span("step_ns");
        memory = SAFE * settings.number("domain.memory_kb", 1e12);
        entryKb = settings.number("domain.entry_kb", 0);
        cores = Math.max(1, settings.number("domain.cpus", 1));
        boolean shared = settings.is("domain.below", "one_for_all");
        toldShare = shared ? Math.max(1e-3, settings.number("domain.calls_out", 1e9)) : 1e9;
        callsAllowed =
                shared && settings.is("domain.cold", "true") ? Math.min(1, toldShare) : toldShare;
        canStop =
                settings.is("domain.stop_mode", "discard")
                        || settings.is("domain.stop_mode", "freeze");
        limit = Math.max(20, cores);
        for (int i = 0; i < settings.number("services.count", 0); i++) {
            tracks.add(new TrackBook(Track.read(settings, i)));
        }
        mostFloor = 1 - 1.0 / Math.max(1, tracks.size());
        for (int i = 0; i < settings.number("customers.count", 0); i++) {
            customers.add(new CustomerBook(i));
        }
        retune(map);
        idle = settings.span("domain.keepalive_max_ns");
        server.health(true, true);
        beat();
    }

    @Override
    public void retune(Map<String, String> map) {
        settings = new Settings(map);
        for (int i = 0; i < tracks.size(); i++) {
            tracks.get(i).says = Track.read(settings, i);
        }
        for (int i = 0; i < customers.size(); i++) {
            customers.get(i).read(i);
        }
        meanAgreed =
                tracks.stream()
                        .mapToDouble(track -> track.says.agreed().seconds())
                        .average()
                        .orElse(1);
    }

    // ---- arrival ----

    @Override
    public Handle take(Ticket ticket) {
        Held held = new Held(ticket);
        open.put(held.number, held);
        usedKb += ticket.memoryKb();
        held.chargeCustomer();
        held.track.asked++;
        judgeTracks();
        callers.add(ticket.caller());
        if (callers.size() > MEMORY_OF) {
            callers.remove();
        }
        unread +=
                (ticket.waited().seconds() / held.track.says.agreed().seconds() - unread)
                        / MEMORY_OF;
        Held original = ticket.original() == null ? null : remembered.get(ticket.original());
        if (held.track.says.effect() == Effect.RECEIPTED
                && ticket.original() != null
                && (original == null || original.ran || original.state != State.OVER)) {
            // Rule 2: some try of this ticket ran here, or may yet; it is never run again. Of one
            // that is no
            // longer remembered here the machine may still have the result.
            if (original != null && original.failed) {
                held.fail();
            } else {
                held.state = State.REUSING;
                server.reuse(ticket.id());
            }
        } else if (leavingFor(held)) {
            held.bounce("leaving", settings.span("bounds.max_retry_after_ns"));
        } else if (usedKb + (held.track.says.effect() == Effect.RECEIPTED ? entryKb : 0) > memory) {
            // Rule 4: a receipted ticket that could not be remembered is turned away like any
            // other.
            held.bounce("memory full", Span.ofSeconds(meanCost()));
        } else if (held.track.says.calls() && count >= Math.floor(limit) && !makeRoom(held)) {
            held.bounce("count at limit", Span.ofSeconds(meanCost()));
        } else {
            if (held.track.says.effect() == Effect.RECEIPTED) {
                held.remember();
            }
            held.countIn(true);
            hold.add(held);
        }
        if (held.state != State.OVER) {
            // Rules 1 and 3: whatever is under way, the answer goes out before the caller leaves,
            // or this
            // node: a repeat may come after the last call, and wait for a result.
            Moment last =
                    leftAt != null && lastCall().isBefore(held.lastAnswer)
                            ? lastCall()
                            : held.lastAnswer;
            alarms.at(last, () -> held.bounce("never got to run", Span.ZERO));
        }
        return held;
    }

    private void judgeTracks() {
        askedCredit = 0;
        double keep = ++judged % (MEMORY_OF * 4) == 0 ? 0.5 : 1;
        for (TrackBook track : tracks) {
            track.asked *= keep;
            track.satisfied *= keep;
            askedCredit += track.asked * track.says.credit();
            boolean worse =
                    worst == null || track.satisfied * worst.asked < worst.satisfied * track.asked;
            if (track.asked > 0 && worse) {
                worst = track;
            }
        }
    }

    /**
     * Exception: a burst fills the single count. At the limit one within a share replaces one
     * beyond.
     */
    private boolean makeRoom(Held held) {
        Optional<Held> beyond =
                held.overShare
                        ? Optional.empty()
                        : hold.descendingSet().stream()
                                .filter(h -> h.overShare && h.counted)
                                .findFirst();
        beyond.ifPresent(h -> h.bounce("over its share", Span.ofSeconds(meanCost())));
        return beyond.isPresent();
    }

    /**
     * Rule 3: nothing that came over the grace after the notice is run; half of it is kept as a
     * margin.
     */
    private boolean leavingFor(Held held) {
        return leftAt != null
                && (!held.reached.isBefore(
                                leftAt.plus(settings.span("rules.drain_grace_ns").times(0.5)))
                        || !server.now().isBefore(lastCall()));
    }

    // ---- a ticket and its life ----

    private final class Held implements Handle {
        static final Comparator<Held> BY_TIME =
                Comparator.<Held, Moment>comparing(h -> h.due).thenComparing(h -> h.number);

        final Ticket ticket;
        final TrackBook track;
        final long number;
        final Moment reached;

        /** The agreed time, or the last moment for an answer where that is sooner. */
        final Moment due;

        final Moment lastAnswer;
        State state = State.HELD;
        boolean ran;
        boolean answered;
        boolean failed;
        boolean neverRan;
        boolean counted;
        boolean cut;
        double startedAt;
        double got;
        int calls;
        Moment calledAt;
        int backBefore; // calls that may come back without having been made later than this one's
        int triesOfCall;
        boolean calmCall;
        CustomerBook customer;
        boolean overShare;

        /** What it adds for its cost, as reckoned when the hold was last gone through. */
        double worth;

        Held(Ticket ticket) {
            this.ticket = ticket;
            track = tracks.get(ticket.track().number());
            number = order++;
            reached = server.now().minus(ticket.waited());
            lastAnswer =
                    (ticket.patience().isPositive()
                                    ? server.now().plus(ticket.patience())
                                    : reached.plus(track.says.abandon()))
                            .minus(step.plus(step));
            Moment agreedAt =
                    reached.plus(track.says.agreed())
                            .plus(ticket.work().times(track.says.agreedStretch()));
            due = agreedAt.isBefore(lastAnswer) ? agreedAt : lastAnswer;
        }

        double cost() {
            double hint = ticket.work().seconds();
            return hint > 0 ? hint * slowness() : track.costNow(speedNow());
        }

        /**
         * What satisfying this one adds to the goal: its credit, and more while its track is worst.
         */
        double gain() {
            double gain =
                    (1 - settings.number("goal.worst_class", 0)) * track.says.credit() / askedCredit
                            + (track == worst
                                    ? settings.number("goal.worst_class", 0) / track.asked
                                    : 0);
            return gain * (overShare ? settings.number("over_share_worth", 1) : 1);
        }

        /** Whether it came too late for its work here, and not just because its work is large. */
        boolean tooOld() {
            double left = due.since(server.now()).seconds();
            return left < Math.min(cost(), due.since(reached).seconds() / 2);
        }

        /**
         * The nearer a ticket is to its last call, the less of what lies below its gain still
         * takes.
         */
        double gainEachCall() {
            return gain() / Math.max(1, track.callsEach() - calls);
        }

        /** Counts this ticket against its customer's share; what goes beyond is worth little. */
        void chargeCustomer() {
            int place = ticket.customer().number();
            if (place < customers.size() && customers.get(place).rate > 0) {
                customer = customers.get(place);
                overShare = !customer.spend();
            }
        }

        /** What never ran took nothing of it. */
        void unchargeCustomer() {
            if (customer != null) {
                customer.kept = Math.max(0, customer.kept - 1);
                customer.saved += overShare ? 0 : 1;
            }
        }

        /**
         * How long a call may take: while it can earn anything, or leaves time to go on without it.
         */
        Span callCap() {
            Span left = due.since(server.now());
            Span cap = track.says.lateValue() > 0 ? lastAnswer.since(server.now()) : left;
            if (track.says.skipWorth() > 0) {
                cap =
                        left.minus(Span.ofSeconds(Math.max(0, cost() - got)))
                                .max(left.times(0.5))
                                .max(step);
            }
            // Of a share that lingering alone uses up half is left, or no call would ever come
            // back; the
            // pause keeps it.
            Span share = settings.span("domain.calls_over_ns").times(toldShare / 2);
            Span own =
                    share.minus(settings.span("domain.linger_ns")).max(share.times(0.5)).max(step);
            return toldShare < 1 && share.isPositive() ? cap.min(own) : cap;
        }

        void remember() {
            // Rule 2: a window that went by unread still has tries in it that are unread too.
            Span left = reached.plus(track.says.window()).since(server.now()).max(Span.ZERO);
            usedKb += entryKb;
            remembered.put(ticket.id(), this);
            server.remember(ticket.id(), left.plus(step));
            alarms.in(left.plus(step).plus(step), this::unremember);
        }

        boolean unremember() {
            boolean known = remembered.remove(ticket.id(), this);
            usedKb -= known ? entryKb : 0;
            return known;
        }

        void countIn(boolean in) {
            if (counted != in && track.says.calls()) {
                counted = in;
                count += in ? 1 : -1;
            }
        }

        void run() {
            hold.remove(this);
            ran = true;
            usedKb += runKb();
            enterCores();
            server.run(ticket.id());
        }

        /** What running takes beyond being held. */
        double runKb() {
            return ticket.memoryKb() * (settings.number("domain.run_mem_factor", 1) - 1);
        }

        void enterCores() {
            advanceGiven();
            state = State.RUNNING;
            startedAt = given;
            onCores++;
        }

        void leaveCores() {
            if (state == State.RUNNING) {
                advanceGiven();
                got += given - startedAt;
                onCores--;
                state = State.WAITS_TO_CALL;
            }
        }

        void bounce(String why, Span comeBackAfter) {
            // Rule 2: what ran, here or as its original, is not turned away.
            if (ran || answered || state == State.REUSING) {
                fail();
                return;
            }
            server.log("bounce " + ticket.id().number() + ": " + why);
            // What is past its share, or too old, is worth little anywhere, and each node that
            // reads it pays.
            // Where tickets have had to wait for long, the others are likely as crowded, unless
            // slow here.
            boolean worthless =
                    overShare || tooOld() || (floor > mostFloor / 2 && slowness() < 1 / SAFE);
            // A burst's ticket asks nobody to stay away: its dispatcher carries the other customers
            // too.
            boolean burst = overShare && customer.crowding(customer.came) > 2 * customer.usual;
            Span pause =
                    burst
                            ? Span.ZERO
                            : comeBackAfter.min(settings.span("bounds.max_retry_after_ns"));
            server.bounce(ticket.id(), worthless, pause);
            answered = true;
            unchargeCustomer();
            over();
        }

        void fail() {
            if (answered) {
                return;
            }
            answered = true;
            failed = true;
            server.fail(ticket.id());
            if (state == State.CALLING) {
                callGivenUp();
            } else if (state != State.RUNNING) {
                over();
            } else if (canStop) {
                server.stop(ticket.id());
            }
        }

        void over() {
            leaveCores();
            hold.remove(this);
            waitsToCall.remove(this);
            state = State.OVER;
            open.remove(number);
            if ((!ran || neverRan) && unremember()) {
                server.forget(ticket.id());
            }
            usedKb -= ticket.memoryKb() + (ran ? runKb() : 0);
            countIn(false);
            server.over(ticket.id());
        }

        @Override
        public boolean isOver() {
            return state == State.OVER;
        }

        @Override
        public void ended(Outcome outcome, Span took) {
            boolean wasRunning = state == State.RUNNING;
            if (state == State.CALLING) {
                callGivenUp();
            }
            leaveCores();
            track.satisfied +=
                    outcome == Outcome.OK && !answered && !due.isBefore(server.now()) ? 1 : 0;
            if (outcome == Outcome.OK && wasRunning) {
                track.cost.add(got);
                if (ticket.work().isPositive()) {
                    hints.add(ticket.work().seconds());
                    hintedCost.add(got);
                }
            }
            failed |= outcome != Outcome.OK;
            neverRan = outcome.provesNeverRan();
            answered = true;
            over();
        }

        @Override
        public void needsCall() {
            leaveCores();
            countIn(true);
            track.reached[Math.min(calls, 7)]++;
            Span target = target(track);
            if (track.says.skipWorth() > 0 && target != null && callTime().compareTo(target) > 0) {
                skipOrFail();
            } else {
                waitsToCall.add(this);
            }
        }

        void makeCall() {
            waitsToCall.remove(this);
            state = State.CALLING;
            // Those that wait for their turn to call load nothing below: while that turn is one
            // call at a
            // time, since no median is known yet, they must not keep it from ever being known.
            calmCall = (count - (knowsNoCalm() ? waitsToCall.size() : 0)) * 2 < limit;
            callsInHand++;
            callsOut++;
            calledAt = server.now();
            backBefore = callsBack + callsInHand;
            Span cap = callCap();
            server.call(ticket.id(), cap);
            Moment thisCall = calledAt;
            Span target = target(track);
            if (target != null && target.compareTo(cap) < 0) {
                alarms.in(target, () -> watchCall(thisCall, target));
            }
            cut = false;
        }

        /**
         * Exception: a call past TARGET that enough made later have overtaken is lost, not slow. It
         * would keep its place to the end; so its ticket fails at once, or calls anew where that
         * does no harm.
         */
        @SuppressWarnings("ReferenceEquality") // the moment's object stands for this one call
        private void watchCall(Moment thisCall, Span target) {
            if (state != State.CALLING || calledAt != thisCall) {
                return;
            }
            cut();
            if (answered || callsBack - backBefore < MEMORY_OF / 2 || track.says.skipWorth() > 0) {
                alarms.in(target, () -> watchCall(thisCall, target));
            } else if (track.says.effect() != Effect.PURE || ++triesOfCall >= 3) {
                fail();
            } else {
                callGivenUp();
                makeCall();
            }
        }

        /**
         * The limit comes down once a call: past TARGET while it is out, or when it ends as a drop.
         */
        void cut() {
            if (!cut && target(track) != null) {
                cut = true;
                limit = Math.max(Math.max(5, cores), limit * 0.9);
                server.log(String.format(Locale.ROOT, "limit cut to %.1f", limit));
            }
        }

        @Override
        public void callEnded(Outcome outcome, Span took) {
            if (state != State.CALLING) {
                return;
            }
            callsOut--;
            latestCalls.add(took.seconds());
            boolean crowded = crowdedBelow(took, track.calmCalls);
            if (outcome == Outcome.OK) {
                callsBack++;
                callOutOfHand();
                Span target = target(track);
                if (target == null || took.compareTo(target) <= 0) {
                    if (count * 2 >= limit) {
                        limit = Math.min(200, limit + 1);
                    }
                    // Of slow calls few count as calm, or the median would follow the crowd.
                    if (calmCall && (!crowded || number % 8 == 0)) {
                        track.calmCalls.add(took.seconds());
                    }
                } else {
                    cut();
                }
                track.endedAt[Math.min(calls, 7)]++;
                calls++;
                triesOfCall = 0;
                if (!anotherCallLikely()) {
                    countIn(false);
                }
                enterCores();
                return;
            }
            cut();
            state = State.WAITS_TO_CALL;
            if (outcome == Outcome.TIMED_OUT) {
                callGivenUp();
                skipOrFail();
                return;
            }
            callOutOfHand();
            triesOfCall++;
            if (triesOfCall < 3
                    && (track.says.effect() == Effect.PURE || outcome.provesNeverRan())) {
                alarms.in(
                        Span.ofSeconds(meanCost() * triesOfCall),
                        () -> {
                            if (state == State.WAITS_TO_CALL && !answered) {
                                waitsToCall.add(this);
                            }
                        });
            } else {
                skipOrFail();
            }
        }

        /**
         * Exception to failing: where the settings pay for an answer without its call, that is
         * given when the call timed out or failed, in time for it, and at once while calls below
         * take longer than TARGET.
         */
        private void skipOrFail() {
            if (track.says.skipWorth() > 0 && !answered) {
                server.skipCall(ticket.id());
                enterCores();
            } else {
                fail();
            }
        }

        private boolean anotherCallLikely() {
            double ended = track.endedAt[Math.min(calls, 7) - 1];
            for (int i = 0; ended > MEMORY_OF && i < track.reached.length; i++) {
                track.reached[i] /= 2;
                track.endedAt[i] /= 2;
            }
            return calls < 7 && track.reached[calls] * 2 > track.endedAt[calls - 1];
        }

        /** Rule 4: a call that was given up stays in the hands of what lies below for a while. */
        private void callGivenUp() {
            alarms.in(settings.span("domain.linger_ns"), this::callOutOfHand);
            callsOut -= state == State.CALLING ? 1 : 0;
            state = State.WAITS_TO_CALL;
        }

        /**
         * Rule 4: less than one call is kept by a pause after each: by its own length for the
         * share, by what calls took lately for what is allowed of it. With the cap of a call all
         * nodes stay under the sum.
         */
        private void callOutOfHand() {
            callsInHand--;
            double took = server.now().since(calledAt).seconds();
            usualCall = usualCall > 0 ? Math.sqrt(usualCall * took) : took;
            if (callsAllowed < 1) {
                double pause = Math.max(took / Math.min(1, toldShare), usualCall / callsAllowed);
                nextCall = calledAt.plus(Span.ofSeconds(pause));
                alarms.at(nextCall, () -> {});
            }
        }

        @Override
        public void left() {
            answered = true;
            if (state == State.RUNNING && canStop) {
                server.stop(ticket.id());
            } else if (!ran) {
                // Whoever leaves before the agreed time has asked for nothing: a client gone wild
                // may send
                // and withdraw hundreds, which are neither its customer's share nor a track served
                // badly.
                if (server.now().isBefore(due)) {
                    unchargeCustomer();
                    track.asked = Math.max(0, track.asked - 1);
                }
                over();
            }
        }
    }

    // ---- deciding ----

    @Override
    public void settle() {
        advanceGiven();
        turnAway();
        startRuns();
        startCalls();
        alarms.arm();
    }

    /**
     * By agreed time; the moment one can't be met, the one so far that earns least for its cost
     * goes.
     */
    private void turnAway() {
        double ahead = 0;
        PriorityQueue<Held> soFar =
                new PriorityQueue<>(
                        Comparator.<Held>comparingDouble(held -> held.worth)
                                .thenComparingLong(held -> -held.number));
        List<Held> gone = new ArrayList<>();
        double running = onCores * meanCost() / 2;
        // A free core always tries what is not old, unless tickets wait to call: else a wrong
        // estimate
        // of cost could never be put right. What was read too late leaves the cores to reading, to
        // catch up.
        double free = cores - onCores;
        for (Held held : hold) {
            boolean waits =
                    held.track.says.calls()
                            && !waitsToCall.isEmpty()
                            && callsAllowed < toldShare / 2;
            if (free-- >= 1 && !held.tooOld() && !waits) {
                continue;
            }
            held.worth = held.gain() / held.cost();
            soFar.add(held);
            ahead += held.cost();
            double needs = (running + ahead) / cores + held.cost();
            long before =
                    !waits
                            ? 0
                            : waitsToCall.stream()
                                    .filter(other -> other.gain() >= held.gain())
                                    .count();
            double below =
                    !waits
                            ? 0
                            : callTime().seconds()
                                    * held.track.callsEach()
                                    * (1 + before / callsAllowed);
            double left = held.due.since(server.now()).seconds();
            left *= left > held.due.since(held.reached).seconds() * 0.9 ? ROOMY : 1;
            if (needs + below > left) {
                Held least =
                        needs > left
                                ? soFar.peek()
                                : held; // not another where only calls are short
                soFar.remove(least);
                ahead -= least.cost();
                gone.add(least);
            }
        }
        for (Held held : gone) {
            held.bounce("would wait in vain", Span.ofSeconds((ahead / 2 + meanCost()) / cores));
        }
    }

    private void startRuns() {
        // One for each core, and where runs wait for a disk, enough to cover their waits.
        // Reading shares the cores with what runs: a node behind in its reading runs fewer, to
        // catch up.
        double behind = Math.max(0.25, 1 - unread);
        double room = Math.min(cores * (2 / wanting - 1) * behind, Math.floor(crowdCeiling()));
        while (!hold.isEmpty()
                && onCores < room
                && crowdHasRoom()
                && usedKb + hold.first().runKb() <= memory) {
            hold.first().run();
        }
    }

    /** Rule 4: the crowd on the cores that this machine survives just now, with a margin. */
    private double crowdCeiling() {
        return Math.max(1, crowdSurvived() * SAFE);
    }

    private double crowdSurvived() {
        return cores * (1 + (settings.number("rules.fall_multiple", 3) - 1) * speedNow());
    }

    /**
     * Rule 4: all that call come back to the cores unasked, perhaps at once; it must survive that
     * too.
     */
    private boolean crowdHasRoom() {
        return onCores + callsOut + 1 <= Math.max(1, crowdSurvived());
    }

    /** The share of its speed that a machine has for certain: it starts cold and rises evenly. */
    private double speedNow() {
        double ramp = settings.number("rules.ramp_time_ns", 0);
        double from =
                settings.is("domain.cold", "true") ? settings.number("rules.cold_share", 1) : 1;
        return Math.min(
                1, from + (1 - from) * server.now().since(born).nanos() / Math.max(1, ramp));
    }

    /** What a second of work on a standard core takes here: more on slow and cold machines. */
    private double slowness() {
        return hints.weight() >= ENOUGH ? hintedCost.mean() / hints.mean() : 1 / speedNow();
    }

    private void startCalls() {
        Moment soonest = (pausing() ? nextCall : server.now()).plus(callTime());
        for (Held waiting : List.copyOf(waitsToCall)) {
            if (waiting.answered || waiting.due.isBefore(soonest)) {
                waitsToCall.remove(waiting);
                waiting.skipOrFail();
            }
        }
        while (!pausing()
                && !waitsToCall.isEmpty()
                && crowdHasRoom()
                && callsInHand + 1 <= Math.max(1, callsAllowed)) {
            waitsToCall.stream()
                    .max(Comparator.comparing(Held::gainEachCall))
                    .ifPresent(Held::makeCall);
        }
    }

    /**
     * A shared dependency slows down long before its told share. So the calls in hand allowed
     * shrink, to a fifth, by as much as a call takes longer than three calm medians.
     */
    private boolean crowdedBelow(Span took, Histogram calm) {
        double least = toldShare * LEAST_CALLS;
        double slack =
                calm.weight() < ENOUGH ? 1 : 3 * calm.median() / Math.max(1e-9, took.seconds());
        callsAllowed =
                slack < 1
                        ? Math.max(least, callsAllowed * slack)
                        : knowsNoCalm()
                                ? callsAllowed
                                : Math.min(toldShare, callsAllowed + least * least / callsAllowed);
        return slack < 1;
    }

    /** Whether no track's calls have a calm median yet. */
    private boolean knowsNoCalm() {
        return tracks.stream().allMatch(track -> track.calmCalls.weight() < ENOUGH);
    }

    /** What a call takes just now; while none is out nothing is known, and one is always tried. */
    private Span callTime() {
        return (callsInHand > 0 || pausing()) && latestCalls.weight() > 0
                ? Span.ofSeconds(latestCalls.median())
                : step;
    }

    private boolean pausing() {
        return server.now().isBefore(nextCall);
    }

    /**
     * TARGET: half the agreed time or three calm medians, whichever is more; none before a median.
     */
    private static Span target(TrackBook track) {
        return track.calmCalls.weight() < ENOUGH
                ? null
                : track.says.agreed().times(0.5).max(Span.ofSeconds(3 * track.calmCalls.median()));
    }

    private void advanceGiven() {
        double passed = server.now().since(givenAt).seconds();
        given += passed * Math.min(1, cores / Math.max(1e-9, onCores * wanting));
        givenAt = server.now();
    }

    private double meanCost() {
        double weight = tracks.stream().mapToDouble(TrackBook::weight).sum();
        double sum =
                tracks.stream()
                        .mapToDouble(track -> track.weight() * track.costNow(speedNow()))
                        .sum();
        return weight > 0 ? sum / weight : 1;
    }

    // ---- leaving, waking, advice ----

    @Override
    public void leave(Span until) {
        leftAt = server.now();
        stopsAt = leftAt.plus(until);
        server.health(false, true);
        alarms.at(
                lastCall(),
                () ->
                        List.copyOf(open.values())
                                .forEach(held -> held.bounce("leaving", Span.ZERO)));
        advise();
    }

    /** Rule 3: by now, a little before the stop, all that was read is answered. */
    private Moment lastCall() {
        return stopsAt.minus(stopsAt.since(leftAt).times(0.05).max(step.times(4)));
    }

    @Override
    public void wake(Gauges gauges) {
        advanceGiven();
        boolean seen = onCores > 0 && !Double.isNaN(gauges.wantingCore());
        double part = seen ? Math.max(0.3, Math.min(1, gauges.wantingCore() / onCores)) : wanting;
        wanting += (part - wanting) / MEMORY_OF;
        connections = gauges.connections();
        alarms.ring();
    }

    /**
     * Now and then, at a twentieth of the time over which a crowd is averaged: the advice is set
     * anew.
     */
    private void beat() {
        advise();
        Span pause =
                settings.span("rules.fall_ns")
                        .times(0.05)
                        .max(step)
                        .max(Span.ofSeconds(meanAgreed / 100));
        // The part of a ticket's time to the agreed time that goes by before it runs, unread and in
        // the hold.
        double work = hold.stream().filter(held -> !held.overShare).mapToDouble(Held::cost).sum();
        double standing = work / cores / meanAgreed + unread;
        trimIdle(unread > EASY);
        floor = Math.max(0, Math.min(mostFloor, floor + pause.seconds() * (standing - EASY)));
        alarms.in(pause, this::beat);
    }

    /**
     * Open connections take from the cores and a full table lets nobody in. With more than some
     * times what the cores finish in the agreed time (eight, or nearly none where no caller comes
     * back), idle ones are closed sooner. A node behind in its reading lets them stand: a full
     * table refuses for nothing.
     */
    private void trimIdle(boolean crowded) {
        Span longest = settings.span("domain.keepalive_max_ns");
        double back =
                callers.isEmpty() ? 1 : 1 - new HashSet<>(callers).size() / (callers.size() + 1.0);
        double full = connections * meanCost() / (8 * back * cores * meanAgreed);
        Span wanted =
                crowded || full < 0.5
                        ? idle.times(1.1).min(longest)
                        : full > 1 ? idle.times(0.9).max(longest.times(0.01)) : idle;
        if (!wanted.equals(idle)) {
            idle = wanted;
            server.closeIdle(idle);
        }
    }

    private void advise() {
        boolean leaving = leftAt != null;
        double level =
                switch (settings.text("domain.advert")) {
                    // What can be finished within half the mean agreed time, split among the
                    // callers.
                    case "allowance" ->
                            leaving
                                    ? 0
                                    : cores
                                            * Math.max(
                                                    1, meanAgreed / 2 / Math.max(1e-9, meanCost()))
                                            / Math.max(1, settings.number("domain.upstreams", 1));
                    case "floor" -> leaving ? 1 : Math.round(floor * 100) / 100.0;
                    case "weight" -> leaving ? 0 : 1;
                    default -> -1;
                };
        if (level >= 0 && Math.abs(level - advised) > advised / MEMORY_OF) {
            advised = level;
            server.advise(level);
        }
    }
}
