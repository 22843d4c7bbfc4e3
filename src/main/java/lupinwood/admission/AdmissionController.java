package lupinwood.admission;

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

/**
 * All decisions of one node: what it takes, runs, rejects and fails. The interface is package
 * lupinwood.admission. A AdmissionController is made for one life of one machine, from its
 * settings. News comes in by take, leave, wake and the calls on the handles that take returns;
 * settle closes each moment. Results leave through Server. Everything due later stands in one queue
 * of alarms, with one wake-up asked for at a time. Order of reading: take, Held (what happens to a
 * request), settle (what is turned away, run and called), then the guards and the advice.
 */
public final class AdmissionController implements AdmissionPolicy {
    private static final double MEMORY_OF = 32; // figures a histogram takes in before it is halved
    private static final double ENOUGH = 6; // figures without which no median is trusted
    private static final double SAFE =
            0.85; // the part of a hard ceiling (memory, crowd) that is used
    private static final double ROOMY =
            0.85; // the part of its time that an arrival may be reckoned to need
    private static final double EASY =
            0.15; // the part of it that requests may wait before callers hear of it
    private static final double FIRST_GUESS =
            0.1; // the part of it that a request costs, before any measure
    private static final double SAVED_UP =
            6; // seconds over which a tenant's share is reckoned, or more
    private static final double LEAST_CALLS = 0.2; // the part of the quota used whatever calls take

    private enum RequestState {
        QUEUED,
        RUNNING,
        WAITS_TO_CALL,
        CALLING,
        REUSING,
        OVER
    }

    /** What the settings say of a request class, and what was measured of it. */
    private static final class ClassStatistics {
        RequestClass says;
        final Histogram cost = new Histogram(MEMORY_OF);
        final Histogram baselineCalls = new Histogram(MEMORY_OF);

        /**
         * How many requests came to their first, second, ... call, how many ended it; halved with
         * time.
         */
        final double[] reached = new double[8];

        final double[] endedAt = new double[8];

        /**
         * How many requests were asked for and how many served in their latency objective; halved
         * with time.
         */
        double offered;

        double served;

        ClassStatistics(RequestClass says) {
            this.says = says;
        }

        double weight() {
            return Math.max(1, cost.weight());
        }

        double costNow(double speed) {
            return cost.weight() >= ENOUGH
                    ? cost.mean()
                    : says.latencyObjective().seconds() * FIRST_GUESS / speed;
        }

        /** How many calls a request that calls makes, on average. */
        double callsEach() {
            return reached[0] > 0 ? Arrays.stream(reached).sum() / reached[0] : 1;
        }
    }

    /** One tenant's share of this node in requests a second, and what it has saved up of it. */
    private final class TenantBook {
        double rate;
        double averagingSeconds;
        double saved;
        double came;
        double admitted;
        double usual = 1;
        MonotonicTime observed = born;

        TenantBook(int i) {
            read(i);
            saved = rate * SAVED_UP;
        }

        void read(int i) {
            rate =
                    settings.number("customers." + i + ".quota_rps", 0)
                            / Math.max(1, settings.number("group_size", 1));
            averagingSeconds = Math.max(SAVED_UP, MEMORY_OF / 2 / Math.max(1e-9, rate));
        }

        void bringUp() {
            double passed = server.now().since(observed).seconds();
            came *= Math.exp(-passed / averagingSeconds);
            admitted *= Math.exp(-passed / averagingSeconds);
            saved = Math.min(rate * averagingSeconds * usual, saved + rate * usual * passed);
            observed = server.now();
        }

        /** So many requests lately, as a multiple of the share. */
        double crowding(double requests) {
            double past =
                    1
                            - Math.exp(
                                    -Math.max(SAVED_UP, observed.since(born).seconds())
                                            / averagingSeconds);
            return requests / Math.max(1e-9, rate * averagingSeconds * past);
        }

        /**
         * Whether one more request stays within the share; if so it is taken off. A node that
         * callers favour gets more of all, so the share grows with what is kept, not rejected, of
         * the middle tenant.
         */
        boolean spend() {
            tenants.forEach(TenantBook::bringUp);
            came++;
            admitted++;
            usual =
                    Math.max(
                            1,
                            tenants.stream()
                                    .mapToDouble(book -> book.crowding(book.admitted))
                                    .sorted()
                                    .skip((tenants.size() - 1) / 2)
                                    .findFirst()
                                    .orElse(1));
            boolean within = saved >= 1;
            saved -= within ? 1 : 0;
            return within;
        }
    }

    private final ServerActions server;
    private SettingsMap settings;
    private final List<ClassStatistics> requestClasses = new ArrayList<>();
    private final List<TenantBook> tenants = new ArrayList<>();
    private final double cores;
    private final double memory;
    private final double entryKb;
    private final MonotonicTime born;
    private final NanoDuration step;
    private double meanLatencyObjective;
    private final double
            dependencyQuota; // of calls in hand; without a shared dependency only the limit binds
    private double callsAllowed;
    private MonotonicTime nextCall;
    private double usualCall;
    private final boolean canStop;
    private final TimerQueue timers;
    private long order;

    private final TreeSet<QueuedRequest> queue =
            new TreeSet<>(QueuedRequest.BY_TIME); // held and not run
    private final TreeSet<QueuedRequest> waitsToCall = new TreeSet<>(QueuedRequest.BY_TIME);
    private double offeredWeight;
    private int judged;
    private ClassStatistics worst;
    private final Map<RequestId, QueuedRequest> remembered = new HashMap<>();
    private final TreeMap<Long, QueuedRequest> open =
            new TreeMap<>(); // all that is owed an answer or takes memory
    private int onCores;
    private int callsInHand;
    private int callsOut; // of those, the ones whose requests come back to the cores by themselves
    private int callsBack;
    private int count;
    private double usedKb;

    private double limit;
    private MonotonicTime leftAt;
    private MonotonicTime stopsAt;

    private double
            given; // seconds of core time given to each running request so far: the clock of all
    // cost
    private MonotonicTime givenAt;
    private double wanting = 1; // the part of those that run that wants a core and no disk

    /**
     * The latest calls, fast to follow a change; unlike the baseline median it takes in every one.
     */
    private final Histogram latestCalls = new Histogram(MEMORY_OF / 4);

    /** What was hinted, and what it cost; their means make the price of a hint here. */
    private final Histogram hints = new Histogram(MEMORY_OF);

    private final Histogram hintedCost = new Histogram(MEMORY_OF);
    private double reportedCapacity = -1;
    private double
            unread; // how far through their latency objective the latest requests were when read
    private double
            floor; // the rank below which callers are to send nothing, but for the best-paid band
    private final double mostFloor;
    private final Deque<UpstreamId> callers = new ArrayDeque<>();
    private double connections;
    private NanoDuration idle;

    public AdmissionController(ServerActions server, long seed, Map<String, String> map) {
        this.server = server;
        this.settings = new SettingsMap(map);
        timers = new TimerQueue(server);
        born = server.now();
        givenAt = born;
        nextCall = born;
        step = settings.duration("step_ns");
        memory = SAFE * settings.number("domain.memory_kb", 1e12);
        entryKb = settings.number("domain.entry_kb", 0);
        cores = Math.max(1, settings.number("domain.cpus", 1));
        boolean shared = settings.is("domain.below", "one_for_all");
        dependencyQuota = shared ? Math.max(1e-3, settings.number("domain.calls_out", 1e9)) : 1e9;
        callsAllowed =
                shared && settings.is("domain.cold", "true")
                        ? Math.min(1, dependencyQuota)
                        : dependencyQuota;
        canStop =
                settings.is("domain.stop_mode", "discard")
                        || settings.is("domain.stop_mode", "freeze");
        limit = Math.max(20, cores);
        for (int i = 0; i < settings.number("services.count", 0); i++) {
            requestClasses.add(new ClassStatistics(RequestClass.read(settings, i)));
        }
        mostFloor = 1 - 1.0 / Math.max(1, requestClasses.size());
        for (int i = 0; i < settings.number("customers.count", 0); i++) {
            tenants.add(new TenantBook(i));
        }
        updateSettings(map);
        idle = settings.duration("domain.keepalive_max_ns");
        server.reportHealth(true, true);
        refreshPeriodically();
    }

    @Override
    public void updateSettings(Map<String, String> map) {
        settings = new SettingsMap(map);
        for (int i = 0; i < requestClasses.size(); i++) {
            requestClasses.get(i).says = RequestClass.read(settings, i);
        }
        for (int i = 0; i < tenants.size(); i++) {
            tenants.get(i).read(i);
        }
        meanLatencyObjective =
                requestClasses.stream()
                        .mapToDouble(
                                classStatistics ->
                                        classStatistics.says.latencyObjective().seconds())
                        .average()
                        .orElse(1);
    }

    // ---- arrival ----

    @Override
    public RequestListener admit(Request request) {
        QueuedRequest queued = new QueuedRequest(request);
        open.put(queued.number, queued);
        usedKb += request.memoryKb();
        queued.chargeTenant();
        queued.classStatistics.offered++;
        findWorstClass();
        callers.add(request.upstreamId());
        if (callers.size() > MEMORY_OF) {
            callers.remove();
        }
        unread +=
                (request.waited().seconds()
                                        / queued.classStatistics.says.latencyObjective().seconds()
                                - unread)
                        / MEMORY_OF;
        QueuedRequest original =
                request.original() == null ? null : remembered.get(request.original());
        if (queued.classStatistics.says.idempotency() == Idempotency.IDEMPOTENT
                && request.original() != null
                && (original == null || original.ran || original.state != RequestState.OVER)) {
            // Rule 2: some try of this request ran here, or may yet; it is never run again. Of one
            // that is no
            // longer remembered here the machine may still have the result.
            if (original != null && original.failed) {
                queued.fail();
            } else {
                queued.state = RequestState.REUSING;
                server.answerFromOriginal(request.id());
            }
        } else if (leavingFor(queued)) {
            queued.reject("leaving", settings.duration("bounds.max_retry_after_ns"));
        } else if (usedKb
                        + (queued.classStatistics.says.idempotency() == Idempotency.IDEMPOTENT
                                ? entryKb
                                : 0)
                > memory) {
            // Rule 4: an idempotent request that could not be remembered is turned away like any
            // other.
            queued.reject("memory full", NanoDuration.ofSeconds(meanCost()));
        } else if (queued.classStatistics.says.calls()
                && count >= Math.floor(limit)
                && !makeRoom(queued)) {
            queued.reject("count at limit", NanoDuration.ofSeconds(meanCost()));
        } else {
            if (queued.classStatistics.says.idempotency() == Idempotency.IDEMPOTENT) {
                queued.remember();
            }
            queued.countIn(true);
            queue.add(queued);
        }
        if (queued.state != RequestState.OVER) {
            // Rules 1 and 3: whatever is under way, the answer goes out before the caller leaves,
            // or this
            // node: a repeat may come after the last call, and wait for a result.
            MonotonicTime last =
                    leftAt != null && lastCall().isBefore(queued.lastAnswer)
                            ? lastCall()
                            : queued.lastAnswer;
            timers.scheduleAt(last, () -> queued.reject("never got to run", NanoDuration.ZERO));
        }
        return queued;
    }

    private void findWorstClass() {
        offeredWeight = 0;
        double keep = ++judged % (MEMORY_OF * 4) == 0 ? 0.5 : 1;
        for (ClassStatistics classStatistics : requestClasses) {
            classStatistics.offered *= keep;
            classStatistics.served *= keep;
            offeredWeight += classStatistics.offered * classStatistics.says.priorityWeight();
            boolean worse =
                    worst == null
                            || classStatistics.served * worst.offered
                                    < worst.served * classStatistics.offered;
            if (classStatistics.offered > 0 && worse) {
                worst = classStatistics;
            }
        }
    }

    /**
     * Exception: a burst fills the single count. At the limit one within a share replaces one
     * beyond.
     */
    private boolean makeRoom(QueuedRequest request) {
        Optional<QueuedRequest> beyond =
                request.overShare
                        ? Optional.empty()
                        : queue.descendingSet().stream()
                                .filter(h -> h.overShare && h.counted)
                                .findFirst();
        beyond.ifPresent(h -> h.reject("over its share", NanoDuration.ofSeconds(meanCost())));
        return beyond.isPresent();
    }

    /**
     * Rule 3: nothing that came over the grace after the notice is run; half of it is kept as a
     * margin.
     */
    private boolean leavingFor(QueuedRequest request) {
        return leftAt != null
                && (!request.reached.isBefore(
                                leftAt.plus(settings.duration("rules.drain_grace_ns").times(0.5)))
                        || !server.now().isBefore(lastCall()));
    }

    // ---- a request and its life ----

    private final class QueuedRequest implements RequestListener {
        static final Comparator<QueuedRequest> BY_TIME =
                Comparator.<QueuedRequest, MonotonicTime>comparing(h -> h.due)
                        .thenComparing(h -> h.number);

        final Request request;
        final ClassStatistics classStatistics;
        final long number;
        final MonotonicTime reached;

        /** The latency objective, or the last moment for an answer where that is sooner. */
        final MonotonicTime due;

        final MonotonicTime lastAnswer;
        RequestState state = RequestState.QUEUED;
        boolean ran;
        boolean answered;
        boolean failed;
        boolean neverRan;
        boolean counted;
        boolean cut;
        double startedAt;
        double got;
        int calls;
        MonotonicTime calledAt;
        int backBefore; // calls that may come back without having been made later than this one's
        int triesOfCall;
        boolean baselineCall;
        TenantBook tenant;
        boolean overShare;

        /** What it adds for its cost, as reckoned when the hold was last gone through. */
        double worth;

        QueuedRequest(Request request) {
            this.request = request;
            classStatistics = requestClasses.get(request.classId().number());
            number = order++;
            reached = server.now().minus(request.waited());
            lastAnswer =
                    (request.clientTimeout().isPositive()
                                    ? server.now().plus(request.clientTimeout())
                                    : reached.plus(classStatistics.says.timeout()))
                            .minus(step.plus(step));
            MonotonicTime latencyObjectiveAt =
                    reached.plus(classStatistics.says.latencyObjective())
                            .plus(request.work().times(classStatistics.says.objectiveStretch()));
            due = latencyObjectiveAt.isBefore(lastAnswer) ? latencyObjectiveAt : lastAnswer;
        }

        double cost() {
            double hint = request.work().seconds();
            return hint > 0 ? hint * slowness() : classStatistics.costNow(speedNow());
        }

        /**
         * What serving this one adds to the goal: its credit, and more while its request class is
         * worst.
         */
        double gain() {
            double gain =
                    (1 - settings.number("goal.worst_class", 0))
                                    * classStatistics.says.priorityWeight()
                                    / offeredWeight
                            + (classStatistics == worst
                                    ? settings.number("goal.worst_class", 0)
                                            / classStatistics.offered
                                    : 0);
            return gain * (overShare ? settings.number("over_share_worth", 1) : 1);
        }

        /** Whether it came too late for its work here, and not just because its work is large. */
        boolean tooOld() {
            double left = due.since(server.now()).seconds();
            return left < Math.min(cost(), due.since(reached).seconds() / 2);
        }

        /**
         * The nearer a request is to its last call, the less of what lies below its gain still
         * takes.
         */
        double gainEachCall() {
            return gain() / Math.max(1, classStatistics.callsEach() - calls);
        }

        /** Counts this request against its tenant's share; what goes beyond is worth little. */
        void chargeTenant() {
            int place = request.tenantId().number();
            if (place < tenants.size() && tenants.get(place).rate > 0) {
                tenant = tenants.get(place);
                overShare = !tenant.spend();
            }
        }

        /** What never ran took nothing of it. */
        void unchargeTenant() {
            if (tenant != null) {
                tenant.admitted = Math.max(0, tenant.admitted - 1);
                tenant.saved += overShare ? 0 : 1;
            }
        }

        /**
         * How long a call may take: while it can earn anything, or leaves time to go on without it.
         */
        NanoDuration callCap() {
            NanoDuration left = due.since(server.now());
            NanoDuration cap =
                    classStatistics.says.lateValue() > 0 ? lastAnswer.since(server.now()) : left;
            if (classStatistics.says.skippedCallValue() > 0) {
                cap =
                        left.minus(NanoDuration.ofSeconds(Math.max(0, cost() - got)))
                                .max(left.times(0.5))
                                .max(step);
            }
            // Of a share that lingering alone uses up half is left, or no call would ever come
            // back; the
            // pause keeps it.
            NanoDuration share =
                    settings.duration("domain.calls_over_ns").times(dependencyQuota / 2);
            NanoDuration own =
                    share.minus(settings.duration("domain.linger_ns"))
                            .max(share.times(0.5))
                            .max(step);
            return dependencyQuota < 1 && share.isPositive() ? cap.min(own) : cap;
        }

        void remember() {
            // Rule 2: a window that went by unread still has tries in it that are unread too.
            NanoDuration left =
                    reached.plus(classStatistics.says.window())
                            .since(server.now())
                            .max(NanoDuration.ZERO);
            usedKb += entryKb;
            remembered.put(request.id(), this);
            server.remember(request.id(), left.plus(step));
            timers.scheduleAfter(left.plus(step).plus(step), this::unremember);
        }

        boolean unremember() {
            boolean known = remembered.remove(request.id(), this);
            usedKb -= known ? entryKb : 0;
            return known;
        }

        void countIn(boolean in) {
            if (counted != in && classStatistics.says.calls()) {
                counted = in;
                count += in ? 1 : -1;
            }
        }

        void run() {
            queue.remove(this);
            ran = true;
            usedKb += runKb();
            enterCores();
            server.run(request.id());
        }

        /** What running takes beyond being held. */
        double runKb() {
            return request.memoryKb() * (settings.number("domain.run_mem_factor", 1) - 1);
        }

        void enterCores() {
            advanceGiven();
            state = RequestState.RUNNING;
            startedAt = given;
            onCores++;
        }

        void leaveCores() {
            if (state == RequestState.RUNNING) {
                advanceGiven();
                got += given - startedAt;
                onCores--;
                state = RequestState.WAITS_TO_CALL;
            }
        }

        void reject(String why, NanoDuration retryAfter) {
            // Rule 2: what ran, here or as its original, is not turned away.
            if (ran || answered || state == RequestState.REUSING) {
                fail();
                return;
            }
            server.log("bounce " + request.id().number() + ": " + why);
            // What is past its share, or too old, is worth little anywhere, and each node that
            // reads it pays.
            // Where requests have had to wait for long, the others are likely as crowded, unless
            // slow here.
            boolean worthless =
                    overShare || tooOld() || (floor > mostFloor / 2 && slowness() < 1 / SAFE);
            // A burst's request asks nobody to stay away: its upstream load balancer carries the
            // other tenants
            // too.
            boolean burst = overShare && tenant.crowding(tenant.came) > 2 * tenant.usual;
            NanoDuration pause =
                    burst
                            ? NanoDuration.ZERO
                            : retryAfter.min(settings.duration("bounds.max_retry_after_ns"));
            server.reject(request.id(), worthless, pause);
            answered = true;
            unchargeTenant();
            over();
        }

        void fail() {
            if (answered) {
                return;
            }
            answered = true;
            failed = true;
            server.fail(request.id());
            if (state == RequestState.CALLING) {
                callGivenUp();
            } else if (state != RequestState.RUNNING) {
                over();
            } else if (canStop) {
                server.stop(request.id());
            }
        }

        void over() {
            leaveCores();
            queue.remove(this);
            waitsToCall.remove(this);
            state = RequestState.OVER;
            open.remove(number);
            if ((!ran || neverRan) && unremember()) {
                server.forget(request.id());
            }
            usedKb -= request.memoryKb() + (ran ? runKb() : 0);
            countIn(false);
            server.release(request.id());
        }

        @Override
        public boolean isFinished() {
            return state == RequestState.OVER;
        }

        @Override
        public void onCompleted(Outcome outcome, NanoDuration took) {
            boolean wasRunning = state == RequestState.RUNNING;
            if (state == RequestState.CALLING) {
                callGivenUp();
            }
            leaveCores();
            classStatistics.served +=
                    outcome == Outcome.OK && !answered && !due.isBefore(server.now()) ? 1 : 0;
            if (outcome == Outcome.OK && wasRunning) {
                classStatistics.cost.add(got);
                if (request.work().isPositive()) {
                    hints.add(request.work().seconds());
                    hintedCost.add(got);
                }
            }
            failed |= outcome != Outcome.OK;
            neverRan = outcome.provesNeverRan();
            answered = true;
            over();
        }

        @Override
        public void onCallNeeded() {
            leaveCores();
            countIn(true);
            classStatistics.reached[Math.min(calls, 7)]++;
            NanoDuration target = target(classStatistics);
            if (classStatistics.says.skippedCallValue() > 0
                    && target != null
                    && callTime().compareTo(target) > 0) {
                skipOrFail();
            } else {
                waitsToCall.add(this);
            }
        }

        void makeCall() {
            waitsToCall.remove(this);
            state = RequestState.CALLING;
            // Those that wait for their turn to call load nothing below: while that turn is one
            // call at a
            // time, since no median is known yet, they must not keep it from ever being known.
            baselineCall = (count - (hasNoBaseline() ? waitsToCall.size() : 0)) * 2 < limit;
            callsInHand++;
            callsOut++;
            calledAt = server.now();
            backBefore = callsBack + callsInHand;
            NanoDuration cap = callCap();
            server.call(request.id(), cap);
            MonotonicTime thisCall = calledAt;
            NanoDuration target = target(classStatistics);
            if (target != null && target.compareTo(cap) < 0) {
                timers.scheduleAfter(target, () -> watchCall(thisCall, target));
            }
            cut = false;
        }

        /**
         * Exception: a call past TARGET that enough made later have overtaken is lost, not slow. It
         * would keep its place to the end; so its request fails at once, or calls anew where that
         * does no harm.
         */
        @SuppressWarnings("ReferenceEquality") // the moment's object stands for this one call
        private void watchCall(MonotonicTime thisCall, NanoDuration target) {
            if (state != RequestState.CALLING || calledAt != thisCall) {
                return;
            }
            cut();
            if (answered
                    || callsBack - backBefore < MEMORY_OF / 2
                    || classStatistics.says.skippedCallValue() > 0) {
                timers.scheduleAfter(target, () -> watchCall(thisCall, target));
            } else if (classStatistics.says.idempotency() != Idempotency.SAFE
                    || ++triesOfCall >= 3) {
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
            if (!cut && target(classStatistics) != null) {
                cut = true;
                limit = Math.max(Math.max(5, cores), limit * 0.9);
                server.log(String.format(Locale.ROOT, "limit cut to %.1f", limit));
            }
        }

        @Override
        public void onCallCompleted(Outcome outcome, NanoDuration took) {
            if (state != RequestState.CALLING) {
                return;
            }
            callsOut--;
            latestCalls.add(took.seconds());
            boolean overloaded = isDependencySlow(took, classStatistics.baselineCalls);
            if (outcome == Outcome.OK) {
                callsBack++;
                callOutOfHand();
                NanoDuration target = target(classStatistics);
                if (target == null || took.compareTo(target) <= 0) {
                    if (count * 2 >= limit) {
                        limit = Math.min(200, limit + 1);
                    }
                    // Of slow calls few count as calm, or the median would follow the crowd.
                    if (baselineCall && (!overloaded || number % 8 == 0)) {
                        classStatistics.baselineCalls.add(took.seconds());
                    }
                } else {
                    cut();
                }
                classStatistics.endedAt[Math.min(calls, 7)]++;
                calls++;
                triesOfCall = 0;
                if (!anotherCallLikely()) {
                    countIn(false);
                }
                enterCores();
                return;
            }
            cut();
            state = RequestState.WAITS_TO_CALL;
            if (outcome == Outcome.TIMED_OUT) {
                callGivenUp();
                skipOrFail();
                return;
            }
            callOutOfHand();
            triesOfCall++;
            if (triesOfCall < 3
                    && (classStatistics.says.idempotency() == Idempotency.SAFE
                            || outcome.provesNeverRan())) {
                timers.scheduleAfter(
                        NanoDuration.ofSeconds(meanCost() * triesOfCall),
                        () -> {
                            if (state == RequestState.WAITS_TO_CALL && !answered) {
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
            if (classStatistics.says.skippedCallValue() > 0 && !answered) {
                server.skipCall(request.id());
                enterCores();
            } else {
                fail();
            }
        }

        private boolean anotherCallLikely() {
            double ended = classStatistics.endedAt[Math.min(calls, 7) - 1];
            for (int i = 0; ended > MEMORY_OF && i < classStatistics.reached.length; i++) {
                classStatistics.reached[i] /= 2;
                classStatistics.endedAt[i] /= 2;
            }
            return calls < 7
                    && classStatistics.reached[calls] * 2 > classStatistics.endedAt[calls - 1];
        }

        /** Rule 4: a call that was given up stays in the hands of what lies below for a while. */
        private void callGivenUp() {
            timers.scheduleAfter(settings.duration("domain.linger_ns"), this::callOutOfHand);
            callsOut -= state == RequestState.CALLING ? 1 : 0;
            state = RequestState.WAITS_TO_CALL;
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
                double pause =
                        Math.max(took / Math.min(1, dependencyQuota), usualCall / callsAllowed);
                nextCall = calledAt.plus(NanoDuration.ofSeconds(pause));
                timers.scheduleAt(nextCall, () -> {});
            }
        }

        @Override
        public void onClientGone() {
            answered = true;
            if (state == RequestState.RUNNING && canStop) {
                server.stop(request.id());
            } else if (!ran) {
                // Whoever leaves before the latency objective has asked for nothing: a client gone
                // wild
                // may send
                // and withdraw hundreds, which are neither its tenant's share nor a request class
                // served
                // badly.
                if (server.now().isBefore(due)) {
                    unchargeTenant();
                    classStatistics.offered = Math.max(0, classStatistics.offered - 1);
                }
                over();
            }
        }
    }

    // ---- deciding ----

    @Override
    public void decide() {
        advanceGiven();
        turnAway();
        startRuns();
        startCalls();
        timers.requestWakeUp();
    }

    /**
     * By latency objective; the moment one can't be met, the one so far that earns least for its
     * cost goes.
     */
    private void turnAway() {
        double ahead = 0;
        PriorityQueue<QueuedRequest> soFar =
                new PriorityQueue<>(
                        Comparator.<QueuedRequest>comparingDouble(request -> request.worth)
                                .thenComparingLong(request -> -request.number));
        List<QueuedRequest> gone = new ArrayList<>();
        double running = onCores * meanCost() / 2;
        // A free core always tries what is not old, unless requests wait to call: else a wrong
        // estimate
        // of cost could never be put right. What was read too late leaves the cores to reading, to
        // catch up.
        double free = cores - onCores;
        for (QueuedRequest request : queue) {
            boolean waits =
                    request.classStatistics.says.calls()
                            && !waitsToCall.isEmpty()
                            && callsAllowed < dependencyQuota / 2;
            if (free-- >= 1 && !request.tooOld() && !waits) {
                continue;
            }
            request.worth = request.gain() / request.cost();
            soFar.add(request);
            ahead += request.cost();
            double needs = (running + ahead) / cores + request.cost();
            long before =
                    !waits
                            ? 0
                            : waitsToCall.stream()
                                    .filter(other -> other.gain() >= request.gain())
                                    .count();
            double downstream =
                    !waits
                            ? 0
                            : callTime().seconds()
                                    * request.classStatistics.callsEach()
                                    * (1 + before / callsAllowed);
            double left = request.due.since(server.now()).seconds();
            left *= left > request.due.since(request.reached).seconds() * 0.9 ? ROOMY : 1;
            if (needs + downstream > left) {
                QueuedRequest least =
                        needs > left
                                ? soFar.peek()
                                : request; // not another where only calls are short
                soFar.remove(least);
                ahead -= least.cost();
                gone.add(least);
            }
        }
        for (QueuedRequest request : gone) {
            request.reject(
                    "would wait in vain", NanoDuration.ofSeconds((ahead / 2 + meanCost()) / cores));
        }
    }

    private void startRuns() {
        // One for each core, and where runs wait for a disk, enough to cover their waits.
        // Reading shares the cores with what runs: a node behind in its reading runs fewer, to
        // catch up.
        double behind = Math.max(0.25, 1 - unread);
        double room = Math.min(cores * (2 / wanting - 1) * behind, Math.floor(maxConcurrency()));
        while (!queue.isEmpty()
                && onCores < room
                && hasConcurrencyHeadroom()
                && usedKb + queue.first().runKb() <= memory) {
            queue.first().run();
        }
    }

    /** Rule 4: the crowd on the cores that this machine survives just now, with a margin. */
    private double maxConcurrency() {
        return Math.max(1, survivableConcurrency() * SAFE);
    }

    private double survivableConcurrency() {
        return cores * (1 + (settings.number("rules.fall_multiple", 3) - 1) * speedNow());
    }

    /**
     * Rule 4: all that call come back to the cores unasked, perhaps at once; it must survive that
     * too.
     */
    private boolean hasConcurrencyHeadroom() {
        return onCores + callsOut + 1 <= Math.max(1, survivableConcurrency());
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
        MonotonicTime soonest = (pausing() ? nextCall : server.now()).plus(callTime());
        for (QueuedRequest waiting : List.copyOf(waitsToCall)) {
            if (waiting.answered || waiting.due.isBefore(soonest)) {
                waitsToCall.remove(waiting);
                waiting.skipOrFail();
            }
        }
        while (!pausing()
                && !waitsToCall.isEmpty()
                && hasConcurrencyHeadroom()
                && callsInHand + 1 <= Math.max(1, callsAllowed)) {
            waitsToCall.stream()
                    .max(Comparator.comparing(QueuedRequest::gainEachCall))
                    .ifPresent(QueuedRequest::makeCall);
        }
    }

    /**
     * A shared dependency slows down long before its quota. So the calls in hand allowed shrink, to
     * a fifth, by as much as a call takes longer than three baseline median.
     */
    private boolean isDependencySlow(NanoDuration took, Histogram baseline) {
        double least = dependencyQuota * LEAST_CALLS;
        double slack =
                baseline.weight() < ENOUGH
                        ? 1
                        : 3 * baseline.median() / Math.max(1e-9, took.seconds());
        callsAllowed =
                slack < 1
                        ? Math.max(least, callsAllowed * slack)
                        : hasNoBaseline()
                                ? callsAllowed
                                : Math.min(
                                        dependencyQuota,
                                        callsAllowed + least * least / callsAllowed);
        return slack < 1;
    }

    /** Whether no request class's calls have a baseline median yet. */
    private boolean hasNoBaseline() {
        return requestClasses.stream()
                .allMatch(classStatistics -> classStatistics.baselineCalls.weight() < ENOUGH);
    }

    /** What a call takes just now; while none is out nothing is known, and one is always tried. */
    private NanoDuration callTime() {
        return (callsInHand > 0 || pausing()) && latestCalls.weight() > 0
                ? NanoDuration.ofSeconds(latestCalls.median())
                : step;
    }

    private boolean pausing() {
        return server.now().isBefore(nextCall);
    }

    /**
     * TARGET: half the latency objective or three baseline median, whichever is more; none before a
     * median.
     */
    private static NanoDuration target(ClassStatistics classStatistics) {
        return classStatistics.baselineCalls.weight() < ENOUGH
                ? null
                : classStatistics
                        .says
                        .latencyObjective()
                        .times(0.5)
                        .max(NanoDuration.ofSeconds(3 * classStatistics.baselineCalls.median()));
    }

    private void advanceGiven() {
        double passed = server.now().since(givenAt).seconds();
        given += passed * Math.min(1, cores / Math.max(1e-9, onCores * wanting));
        givenAt = server.now();
    }

    private double meanCost() {
        double weight = requestClasses.stream().mapToDouble(ClassStatistics::weight).sum();
        double sum =
                requestClasses.stream()
                        .mapToDouble(
                                classStatistics ->
                                        classStatistics.weight()
                                                * classStatistics.costNow(speedNow()))
                        .sum();
        return weight > 0 ? sum / weight : 1;
    }

    // ---- leaving, waking, advice ----

    @Override
    public void drain(NanoDuration until) {
        leftAt = server.now();
        stopsAt = leftAt.plus(until);
        server.reportHealth(false, true);
        timers.scheduleAt(
                lastCall(),
                () ->
                        List.copyOf(open.values())
                                .forEach(request -> request.reject("leaving", NanoDuration.ZERO)));
        reportLoad();
    }

    /** Rule 3: by now, a little before the stop, all that was read is answered. */
    private MonotonicTime lastCall() {
        return stopsAt.minus(stopsAt.since(leftAt).times(0.05).max(step.times(4)));
    }

    @Override
    public void wake(ResourceUsage resourceUsage) {
        advanceGiven();
        boolean observed = onCores > 0 && !Double.isNaN(resourceUsage.wantingCore());
        double part =
                observed
                        ? Math.max(0.3, Math.min(1, resourceUsage.wantingCore() / onCores))
                        : wanting;
        wanting += (part - wanting) / MEMORY_OF;
        connections = resourceUsage.connections();
        timers.runDue();
    }

    /**
     * Now and then, at a twentieth of the time over which a crowd is averaged: the advice is set
     * anew.
     */
    private void refreshPeriodically() {
        reportLoad();
        NanoDuration pause =
                settings.duration("rules.fall_ns")
                        .times(0.05)
                        .max(step)
                        .max(NanoDuration.ofSeconds(meanLatencyObjective / 100));
        // The part of a request's time to the latency objective that goes by before it runs, unread
        // and in
        // the hold.
        double work =
                queue.stream()
                        .filter(request -> !request.overShare)
                        .mapToDouble(QueuedRequest::cost)
                        .sum();
        double standing = work / cores / meanLatencyObjective + unread;
        trimIdle(unread > EASY);
        floor = Math.max(0, Math.min(mostFloor, floor + pause.seconds() * (standing - EASY)));
        timers.scheduleAfter(pause, this::refreshPeriodically);
    }

    /**
     * Open connections take from the cores and a full table lets nobody in. With more than some
     * times what the cores finish in the latency objective (eight, or nearly none where no caller
     * comes back), idle ones are closed sooner. A node behind in its reading lets them stand: a
     * full table refuses for nothing.
     */
    private void trimIdle(boolean overloaded) {
        NanoDuration longest = settings.duration("domain.keepalive_max_ns");
        double back =
                callers.isEmpty() ? 1 : 1 - new HashSet<>(callers).size() / (callers.size() + 1.0);
        double full = connections * meanCost() / (8 * back * cores * meanLatencyObjective);
        NanoDuration wanted =
                overloaded || full < 0.5
                        ? idle.times(1.1).min(longest)
                        : full > 1 ? idle.times(0.9).max(longest.times(0.01)) : idle;
        if (!wanted.equals(idle)) {
            idle = wanted;
            server.closeIdleConnections(idle);
        }
    }

    private void reportLoad() {
        boolean leaving = leftAt != null;
        double level =
                switch (settings.text("domain.advert")) {
                    // What can be finished within half the mean latency objective, split among the
                    // callers.
                    case "allowance" ->
                            leaving
                                    ? 0
                                    : cores
                                            * Math.max(
                                                    1,
                                                    meanLatencyObjective
                                                            / 2
                                                            / Math.max(1e-9, meanCost()))
                                            / Math.max(1, settings.number("domain.upstreams", 1));
                    case "floor" -> leaving ? 1 : Math.round(floor * 100) / 100.0;
                    case "weight" -> leaving ? 0 : 1;
                    default -> -1;
                };
        if (level >= 0 && Math.abs(level - reportedCapacity) > reportedCapacity / MEMORY_OF) {
            reportedCapacity = level;
            server.reportAvailableCapacity(level);
        }
    }
}
