package lupinwood.processing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.TimerSet;

/**
 * Answers health checks: from the last reported health, or after a deep check that does real work
 * at the executor.
 *
 * <p>Owned by the event loop thread.
 */
final class HealthChecks {
    /** Writes the response to a health check. */
    interface Responder {
        void answer(ConnectionId connection, long tag, boolean healthy);
    }

    private record DeepCheck(ConnectionId connection, long tag, TimerSet.Timer timer) {}

    /** A deep check that takes longer than this fails. */
    private static final NanoDuration DEEP_CHECK_TIMEOUT = NanoDuration.ofSeconds(1);

    private static final int MAX_DEEP_CHECKS = 64;

    private final TimerService timers;
    private final Executor executor;
    private final QueryTagSequence queryTags;
    private final Supplier<MonotonicTime> clock;
    private final Responder responder;
    private final Map<Long, DeepCheck> deepChecks = new HashMap<>();

    /** Whether the admission policy reports the node as healthy; false until there is a policy. */
    private boolean healthy;

    /** Whether every check is answered at once from {@link #healthy}. */
    private boolean answersAtOnce = true;

    HealthChecks(
            TimerService timers,
            Executor executor,
            QueryTagSequence queryTags,
            Supplier<MonotonicTime> clock,
            Responder responder) {
        this.timers = timers;
        this.executor = executor;
        this.queryTags = queryTags;
        this.clock = clock;
        this.responder = responder;
    }

    void setHealth(boolean isHealthy, boolean isAnsweredAtOnce) {
        healthy = isHealthy;
        answersAtOnce = isAnsweredAtOnce;
    }

    void check(ConnectionId connection, long tag, boolean deep) {
        if (!deep || answersAtOnce || deepChecks.size() >= MAX_DEEP_CHECKS) {
            responder.answer(connection, tag, healthy);
            return;
        }
        long queryTag = queryTags.next();
        TimerSet.Timer timer =
                timers.schedule(
                        clock.get().plus(DEEP_CHECK_TIMEOUT),
                        () -> onDeepCheckCompleted(queryTag, false));
        deepChecks.put(queryTag, new DeepCheck(connection, tag, timer));
        executor.checkDeep(queryTag);
    }

    void onDeepCheckCompleted(long queryTag, boolean checkPassed) {
        DeepCheck deepCheck = deepChecks.remove(queryTag);
        if (deepCheck != null) {
            timers.cancel(deepCheck.timer());
            responder.answer(deepCheck.connection(), deepCheck.tag(), checkPassed && healthy);
        }
    }

    boolean isIdle() {
        return deepChecks.isEmpty();
    }
}
