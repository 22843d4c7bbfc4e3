package lupinwood.admission;

import java.util.Map;

/**
 * All decisions of one node: what it admits, runs, rejects and fails. This class shows the order of
 * the checks; each rule stands in a class of its own.
 *
 * <ul>
 *   <li>{@link #admit}: whether a request may come in ({@link IdempotencyGuard}, {@link
 *       DrainPolicy}, {@link MemoryBudget}, {@link InFlightLimiter} with {@link AimdLimit})
 *   <li>{@link #decide}: who gives way ({@link DeadlineQueue}), who runs ({@link
 *       ExecutorConcurrency}), who calls ({@link DependencyLimiter}, {@link CallQueue})
 *   <li>{@link RequestLifecycle}: what happens to a request after that
 * </ul>
 *
 * <p>Made for one life of one machine, from its settings. It does no I/O and knows no time but
 * {@link ServerActions#now()}. Not thread-safe: all calls, also on the listeners that it returns,
 * come from the one thread that owns it.
 */
public final class AdmissionController implements AdmissionPolicy {
    /** The periodic work comes at this part of the time that an overload is survived. */
    private static final double REFRESH_SHARE_OF_OVERLOAD_WINDOW = 0.05;

    /** The periodic work comes no more often than so many times in a mean latency objective. */
    private static final double REFRESHES_PER_OBJECTIVE = 100;

    private final ServerActions server;
    private final AdmissionRules rules;
    private final RequestLifecycle lifecycle;
    private PolicySettings settings;
    private long requestsRead;

    /**
     * Makes the decisions of a machine that starts.
     *
     * @param server carries out what is decided
     * @param seed unused: no decision is drawn
     * @param settings the platform's, by its own names
     * @throws NumberFormatException for a number that can't be read
     */
    public AdmissionController(ServerActions server, long seed, Map<String, String> settings) {
        this.server = server;
        this.settings = PolicySettingsMapper.read(settings);
        rules = new AdmissionRules(server, this.settings);
        lifecycle = new RequestLifecycle(server, rules, this.settings);
        server.reportHealth(true, true);
        refreshPeriodically();
    }

    @Override
    public void updateSettings(Map<String, String> changed) {
        settings = PolicySettingsMapper.read(changed, settings);
        rules.update(settings);
        lifecycle.update(settings);
    }

    @Override
    public RequestListener admit(Request read) {
        ClassState classState = rules.classes.get(read.classId().number());
        AdmittedRequest request =
                new AdmittedRequest(
                        read, classState, requestsRead++, server.now(), settings.machine().tick());
        lifecycle.open(request);
        learnFrom(request);
        check(request);
        if (!request.isFinished()) {
            // Rules 1 and 3: whatever is under way, the answer goes out before the client leaves,
            // or this node: a retry may come after the last answers, and wait for a result.
            rules.timers.scheduleAt(
                    rules.drain.answerBy(request),
                    () ->
                            lifecycle.reject(
                                    request, RejectionReason.DEADLINE_PASSED, NanoDuration.ZERO));
        }
        return listener(request);
    }

    private void learnFrom(AdmittedRequest request) {
        rules.tenants.charge(request, server.now());
        rules.utility.onOffered(request.classIndex());
        rules.idleConnections.onRequest(request.request().upstreamId());
        rules.load.onRead(request);
    }

    /** The checks of an arrival, in their order. */
    private void check(AdmittedRequest request) {
        switch (rules.idempotency.judge(request)) {
            case FAIL -> lifecycle.fail(request);
            case ANSWER_FROM_ORIGINAL -> lifecycle.answerFromOriginal(request);
            case MAY_RUN -> {
                if (rules.drain.rejects(request, server.now())) {
                    lifecycle.reject(request, RejectionReason.DRAINING, settings.maxRetryAfter());
                } else if (!rules.memory.hasRoomFor(rules.idempotency.memoryKb(request))) {
                    lifecycle.reject(request, RejectionReason.MEMORY_FULL, meanCost());
                } else if (rules.inFlight.isFullFor(request) && !makeRoom(request)) {
                    lifecycle.reject(request, RejectionReason.IN_FLIGHT_LIMIT, meanCost());
                } else {
                    lifecycle.enqueue(request);
                }
            }
        }
    }

    /**
     * Exception: a tenant's burst fills the single count. At the limit a request within its quota
     * replaces one beyond.
     */
    private boolean makeRoom(AdmittedRequest request) {
        if (request.isOverQuota()) {
            return false;
        }
        var replaced = rules.queue.lastOverQuota();
        replaced.ifPresent(
                other -> lifecycle.reject(other, RejectionReason.OVER_QUOTA, meanCost()));
        return replaced.isPresent();
    }

    @Override
    public void decide() {
        rules.coreTime.advance(server.now(), rules.concurrency.running());
        rejectOverflow();
        startRuns();
        startCalls();
        rules.timers.requestWakeUp();
    }

    private void rejectOverflow() {
        if (rules.queue.isEmpty()) {
            return;
        }
        MonotonicTime now = server.now();
        boolean callsShort = !rules.callQueue.isEmpty() && rules.dependency.isRestricted();
        DeadlineQueue.Overflow overflow =
                rules.queue.overflow(
                        new DeadlineQueue.Capacity(
                                settings.machine().cores(),
                                rules.concurrency.running(),
                                rules.cost.meanCost(now),
                                new DeadlineQueue.CallCapacity(
                                        callsShort,
                                        rules.dependency.allowed(),
                                        rules.dependency.callTime(now),
                                        rules.callQueue),
                                now));
        for (AdmittedRequest request : overflow.requests()) {
            double untilDone =
                    (overflow.coreSecondsAhead() / 2 + rules.cost.meanCost(now))
                            / settings.machine().cores();
            lifecycle.reject(
                    request,
                    RejectionReason.CANNOT_FINISH_IN_TIME,
                    NanoDuration.ofSeconds(untilDone));
        }
    }

    private void startRuns() {
        MonotonicTime now = server.now();
        double limit =
                rules.concurrency.runLimit(
                        rules.coreTime.wantingCore(), rules.load.unreadShare(), now);
        while (!rules.queue.isEmpty()
                && rules.concurrency.running() < limit
                && rules.concurrency.hasRoom(now)
                && rules.memory.hasRoomFor(lifecycle.runMemoryKb(rules.queue.first()))) {
            lifecycle.run(rules.queue.first());
        }
    }

    private void startCalls() {
        MonotonicTime now = server.now();
        for (AdmittedRequest request :
                rules.callQueue.hopeless(rules.dependency.soonestReturn(now))) {
            rules.callQueue.remove(request);
            lifecycle.skipCallOrFail(request);
        }
        while (!rules.callQueue.isEmpty()
                && rules.dependency.hasRoom(now)
                && rules.concurrency.hasRoom(now)) {
            rules.callQueue.next().ifPresent(lifecycle::call);
        }
    }

    @Override
    public void drain(NanoDuration untilStop) {
        rules.drain.begin(server.now(), untilStop);
        server.reportHealth(false, true);
        rules.timers.scheduleAt(
                rules.drain.lastAnswersAt(), () -> lifecycle.rejectAll(RejectionReason.DRAINING));
        reportLoad();
    }

    @Override
    public void wake(ResourceUsage usage) {
        int running = rules.concurrency.running();
        rules.coreTime.advance(server.now(), running);
        rules.coreTime.onUsageRead(usage.wantingCore(), running);
        rules.idleConnections.onConnectionsRead(usage.connections());
        rules.timers.runDue();
    }

    /** Sets anew, now and then, what the node tells its upstreams. */
    private void refreshPeriodically() {
        MonotonicTime now = server.now();
        reportLoad();
        NanoDuration pause =
                settings.overloadWindow()
                        .times(REFRESH_SHARE_OF_OVERLOAD_WINDOW)
                        .max(settings.machine().tick())
                        .max(
                                NanoDuration.ofSeconds(
                                        settings.meanObjectiveSeconds() / REFRESHES_PER_OBJECTIVE));
        double queuedShare =
                rules.queue.workWithinQuotas(now)
                        / settings.machine().cores()
                        / settings.meanObjectiveSeconds();
        rules.idleConnections.adjust(rules.cost.meanCost(now), rules.load.isBehindWithReading());
        rules.load.moveFloor(queuedShare, pause);
        rules.timers.scheduleAfter(pause, this::refreshPeriodically);
    }

    private void reportLoad() {
        rules.load.report(rules.cost.meanCost(server.now()), rules.drain.isDraining());
    }

    private NanoDuration meanCost() {
        return NanoDuration.ofSeconds(rules.cost.meanCost(server.now()));
    }

    private RequestListener listener(AdmittedRequest request) {
        return new RequestListener() {
            @Override
            public void onCompleted(Outcome outcome, NanoDuration took) {
                lifecycle.onCompleted(request, outcome);
            }

            @Override
            public void onCallNeeded() {
                lifecycle.onCallNeeded(request);
            }

            @Override
            public void onCallCompleted(Outcome outcome, NanoDuration took) {
                lifecycle.onCallCompleted(request, outcome, took);
            }

            @Override
            public boolean isFinished() {
                return request.isFinished();
            }

            @Override
            public void onClientGone() {
                lifecycle.onClientGone(request);
            }
        };
    }
}
