package lupinwood.processing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;

/**
 * Health checks under way by real work, and what the others hear.
 *
 * <p>Owned by the event loop thread.
 */
final class HealthChecks {
    /** Answers a check. */
    interface Responder {
        void answer(ConnectionId connection, long tag, boolean healthy);
    }

    private record DeepCheck(ConnectionId connection, long tag, TimerService.Timer timer) {}

    /** An upstream load balancer that asked for a deep check hears by then at the latest. */
    private static final NanoDuration DEEP_CHECK_TIMEOUT = NanoDuration.ofSeconds(1);

    private static final int MAX_DEEP_CHECKS = 64;

    private final TimerService timers;
    private final Executor executor;
    private final TagSequence tags;
    private final Supplier<MonotonicTime> clock;
    private final Responder responder;
    private final Map<Long, DeepCheck> deepChecks = new HashMap<>();

    /** Until there is a node, none is well. */
    private boolean good;

    private boolean fromStore = true;

    HealthChecks(
            TimerService timers,
            Executor executor,
            TagSequence tags,
            Supplier<MonotonicTime> clock,
            Responder responder) {
        this.timers = timers;
        this.executor = executor;
        this.tags = tags;
        this.clock = clock;
        this.responder = responder;
    }

    void set(boolean isGood, boolean isFromStore) {
        good = isGood;
        fromStore = isFromStore;
    }

    void check(ConnectionId connection, long tag, boolean real) {
        if (!real || fromStore || deepChecks.size() >= MAX_DEEP_CHECKS) {
            responder.answer(connection, tag, good);
            return;
        }
        long requested = tags.next();
        TimerService.Timer timer =
                timers.schedule(
                        clock.get().plus(DEEP_CHECK_TIMEOUT), () -> diagnosed(requested, false));
        deepChecks.put(requested, new DeepCheck(connection, tag, timer));
        executor.checkDeep(requested);
    }

    void diagnosed(long tag, boolean healthy) {
        DeepCheck check = deepChecks.remove(tag);
        if (check != null) {
            timers.cancel(check.timer());
            responder.answer(check.connection(), check.tag(), healthy && good);
        }
    }

    boolean isIdle() {
        return deepChecks.isEmpty();
    }
}
