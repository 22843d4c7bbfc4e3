package lupinwood.admission;

import java.util.ArrayList;
import java.util.List;

/**
 * The rules of one node, wired for the {@link AdmissionController}. Each rule owns its state; a
 * rule that needs another's state calls that rule's methods.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class AdmissionRules {
    final List<ClassState> classes = new ArrayList<>();
    final TimerQueue timers;
    final SpeedRamp ramp;
    final CostEstimator cost;
    final CoreTimeClock coreTime;
    final ExecutorConcurrency concurrency;
    final UtilityModel utility;
    final TenantQuota tenants;
    final MemoryBudget memory;
    final IdempotencyGuard idempotency;
    final InFlightLimiter inFlight;
    final DependencyLimiter dependency;
    final CallTimeoutPolicy callTimeout;
    final RetryPolicy retryPolicy = new RetryPolicy();
    final DeadlineQueue queue;
    final CallQueue callQueue;
    final DrainPolicy drain;
    final LoadReporter load;
    final IdleConnectionPolicy idleConnections;
    final RejectionPolicy rejections;

    AdmissionRules(ServerActions server, PolicySettings settings) {
        MonotonicTime now = server.now();
        double cores = settings.machine().cores();
        settings.classes().forEach(each -> classes.add(new ClassState(each)));
        timers = new TimerQueue(server);
        ramp = new SpeedRamp(now, settings);
        cost = new CostEstimator(classes, ramp);
        coreTime = new CoreTimeClock(cores, now);
        concurrency = new ExecutorConcurrency(cores, ramp, settings);
        utility = new UtilityModel(classes, settings);
        tenants = new TenantQuota(now, settings);
        memory = new MemoryBudget(settings.machine().memoryKb());
        idempotency = new IdempotencyGuard(server, timers, memory, settings);
        inFlight = new InFlightLimiter(new AimdLimit(cores));
        dependency = new DependencyLimiter(settings, now);
        callTimeout = new CallTimeoutPolicy(cost, dependency.dependencyQuota(), settings);
        queue = new DeadlineQueue(cost, utility);
        callQueue = new CallQueue(utility);
        drain = new DrainPolicy(settings);
        load = new LoadReporter(server, cores, settings);
        idleConnections = new IdleConnectionPolicy(server, cores, settings);
        rejections = new RejectionPolicy(cost, load, settings);
    }

    /** Applies changed settings; measured values are kept. */
    void update(PolicySettings settings) {
        for (int i = 0; i < classes.size(); i++) {
            classes.get(i).update(settings.classes().get(i));
        }
        ramp.update(settings);
        concurrency.update(settings);
        utility.update(settings);
        tenants.update(settings);
        callTimeout.update(settings);
        drain.update(settings);
        load.update(settings);
        idleConnections.update(settings);
        rejections.update(settings);
    }

    /** Whether no request class has a known baseline latency yet. */
    boolean hasNoBaseline() {
        return classes.stream().noneMatch(each -> each.baseline().isKnown());
    }
}
