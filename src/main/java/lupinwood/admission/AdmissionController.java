package lupinwood.admission;

import java.util.Map;

/**
 * Makes all decisions of one node: which requests it admits, runs, rejects and fails. This class
 * defines the order of the checks; each rule is a class of its own.
 *
 * <ul>
 *   <li>{@link #admit}: whether a request is admitted ({@link IdempotencyGuard}, {@link
 *       DrainPolicy}, {@link MemoryBudget}, {@link InFlightLimiter} with {@link AimdLimit})
 *   <li>{@link #decide}: which queued requests are rejected ({@link DeadlineQueue}), which run
 *       ({@link ExecutorConcurrency}) and which call downstream ({@link DependencyLimiter}, {@link
 *       CallQueue})
 *   <li>{@link RequestLifecycle}: what happens to a request after that
 * </ul>
 *
 * <p>One instance serves one incarnation of a node, built from its settings. It does no I/O and
 * reads the time from {@link ServerActions#now()} alone. Not thread-safe: one thread makes all
 * calls, including those on the listeners that it returns.
 */
public final class AdmissionController implements AdmissionPolicy {
    /**
     * The periodic refresh interval, as a part of the time for which the node survives an overload.
     */
    private static final double REFRESH_INTERVAL_RATIO = 0.05;

    /** The most periodic refreshes within one mean latency objective. */
    private static final double MAX_REFRESHES_PER_OBJECTIVE = 100;

    private final ServerActions server;
    private final AdmissionRules rules;
    private final RequestLifecycle lifecycle;
    private PolicySettings settings;
    private long arrivalCount;

    /**
     * Starts the decisions of a node.
     *
     * @param server carries out the decisions
     * @param seed unused: no decision is random
     * @param settings settings by the names that the entries have in the configuration, see {@link
     *     PolicySettingsMapper}
     * @throws NumberFormatException if a numeric setting cannot be parsed
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
    public void updateSettings(Map<String, String> newSettings) {
        settings = PolicySettingsMapper.read(newSettings, settings);
        rules.update(settings);
        lifecycle.update(settings);
    }

    @Override
    public RequestListener admit(Request received) {
        ClassState classState = rules.classes.get(received.classId().number());
        AdmittedRequest request =
                new AdmittedRequest(
                        received,
                        classState,
                        arrivalCount++,
                        server.now(),
                        settings.machine().tick());
        lifecycle.register(request);
        recordArrival(request);
        checkArrival(request);
        if (!request.isFinished()) {
            // Whatever state the request is in, it is answered before its client times out or this
            // node stops. The timer is set even after a drain's last answers, since a retry
            // admitted then may wait for its original's result.
            request.setDeadlineTimer(
                    rules.timers.scheduleAt(
                            rules.drain.answerDeadline(request),
                            () ->
                                    lifecycle.reject(
                                            request,
                                            RejectionReason.DEADLINE_PASSED,
                                            NanoDuration.ZERO)));
        }
        return listener(request);
    }

    private void recordArrival(AdmittedRequest request) {
        rules.tenants.charge(request, server.now());
        rules.utility.onOffered(request.classIndex());
        rules.idleConnections.onRequest(request.received().upstreamId());
        rules.load.onRead(request);
    }

    /** Applies the checks of an arriving request, in order. */
    private void checkArrival(AdmittedRequest request) {
        switch (rules.idempotency.check(request)) {
            case FAIL -> lifecycle.fail(request);
            case ANSWER_FROM_ORIGINAL -> lifecycle.answerFromOriginal(request);
            case MAY_RUN -> {
                if (rules.drain.rejects(request, server.now())) {
                    lifecycle.reject(request, RejectionReason.DRAINING, settings.maxRetryAfter());
                } else if (!rules.memory.hasRoomFor(rules.idempotency.memoryKb(request))) {
                    lifecycle.reject(request, RejectionReason.MEMORY_FULL, meanCostDuration());
                } else if (rules.inFlight.isFullFor(request)
                        && !displaceRequestOverQuota(request)) {
                    lifecycle.reject(request, RejectionReason.IN_FLIGHT_LIMIT, meanCostDuration());
                } else {
                    lifecycle.enqueue(request);
                }
            }
        }
    }

    /**
     * Rejects a queued request over its tenant's quota in favour of one that is not over a quota.
     * Otherwise a burst of one tenant would fill the in-flight limit, which all tenants share.
     */
    private boolean displaceRequestOverQuota(AdmittedRequest request) {
        if (request.isOverQuota()) {
            return false;
        }
        var displaced = rules.queue.lastOverQuota();
        displaced.ifPresent(
                other -> lifecycle.reject(other, RejectionReason.OVER_QUOTA, meanCostDuration()));
        return displaced.isPresent();
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
        boolean callsRestricted =
                !rules.callQueue.isEmpty() && rules.dependency.areCallsRestricted();
        DeadlineQueue.Overflow overflow =
                rules.queue.overflow(
                        new DeadlineQueue.Capacity(
                                settings.machine().cores(),
                                rules.concurrency.running(),
                                rules.cost.meanCoreSeconds(now),
                                new DeadlineQueue.CallCapacity(
                                        callsRestricted,
                                        rules.dependency.allowedCalls(),
                                        rules.dependency.callTime(now),
                                        rules.callQueue),
                                now));
        for (AdmittedRequest request : overflow.requests()) {
            double retryAfterSeconds =
                    (overflow.coreSecondsAhead() / 2 + rules.cost.meanCoreSeconds(now))
                            / settings.machine().cores();
            lifecycle.reject(
                    request,
                    RejectionReason.CANNOT_FINISH_IN_TIME,
                    NanoDuration.ofSeconds(retryAfterSeconds));
        }
    }

    private void startRuns() {
        MonotonicTime now = server.now();
        double limit =
                rules.concurrency.runLimit(
                        rules.coreTime.runnableRatio(), rules.load.unreadRatio(), now);
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
                rules.callQueue.expired(rules.dependency.earliestReturn(now))) {
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
    public void drain(NanoDuration timeUntilStop) {
        rules.drain.begin(server.now(), timeUntilStop);
        server.reportHealth(false, true);
        rules.timers.scheduleAt(
                rules.drain.lastAnswersDeadline(),
                () -> lifecycle.rejectAll(RejectionReason.DRAINING));
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

    /**
     * Refreshes the load report, its floor and the idle timeout, and schedules the next refresh.
     */
    private void refreshPeriodically() {
        MonotonicTime now = server.now();
        reportLoad();
        NanoDuration interval =
                settings.overloadWindow()
                        .times(REFRESH_INTERVAL_RATIO)
                        .max(settings.machine().tick())
                        .max(
                                NanoDuration.ofSeconds(
                                        settings.meanObjectiveSeconds()
                                                / MAX_REFRESHES_PER_OBJECTIVE));
        double queuedRatio =
                rules.queue.coreSecondsWithinQuotas(now)
                        / settings.machine().cores()
                        / settings.meanObjectiveSeconds();
        rules.idleConnections.adjust(
                rules.cost.meanCoreSeconds(now), rules.load.isBehindWithReading());
        rules.load.adjustFloor(queuedRatio, interval);
        rules.timers.scheduleAfter(interval, this::refreshPeriodically);
    }

    /** The number of timers that are scheduled. */
    int timerCount() {
        return rules.timers.size();
    }

    private void reportLoad() {
        rules.load.report(rules.cost.meanCoreSeconds(server.now()), rules.drain.isDraining());
    }

    private NanoDuration meanCostDuration() {
        return NanoDuration.ofSeconds(rules.cost.meanCoreSeconds(server.now()));
    }

    private RequestListener listener(AdmittedRequest request) {
        return new RequestListener() {
            @Override
            public void onCompleted(Outcome outcome, NanoDuration duration) {
                lifecycle.onCompleted(request, outcome);
            }

            @Override
            public void onCallNeeded() {
                lifecycle.onCallNeeded(request);
            }

            @Override
            public void onCallCompleted(Outcome outcome, NanoDuration duration) {
                lifecycle.onCallCompleted(request, outcome, duration);
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
