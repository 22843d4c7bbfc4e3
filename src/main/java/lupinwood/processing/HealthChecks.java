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
    /** Says what a check hears. */
    interface Responder {
        void say(ConnectionId connection, long tag, boolean well);
    }

    private record DeepCheck(ConnectionId connection, long tag, TimerService.Timer deadline) {}

    /** An upstream load balancer that asked for a deep check hears by then at the latest. */
    private static final NanoDuration DEEP_WAIT = NanoDuration.ofSeconds(1);

    private static final int MOST_DEEP = 64;

    private final TimerService deadlines;
    private final Executor executor;
    private final TagSequence tags;
    private final Supplier<MonotonicTime> clock;
    private final Responder reply;
    private final Map<Long, DeepCheck> deep = new HashMap<>();

    /** Until there is a node, none is well. */
    private boolean good;

    private boolean fromStore = true;

    HealthChecks(
            TimerService deadlines,
            Executor executor,
            TagSequence tags,
            Supplier<MonotonicTime> clock,
            Responder reply) {
        this.deadlines = deadlines;
        this.executor = executor;
        this.tags = tags;
        this.clock = clock;
        this.reply = reply;
    }

    void set(boolean isGood, boolean isFromStore) {
        good = isGood;
        fromStore = isFromStore;
    }

    void check(ConnectionId connection, long tag, boolean real) {
        if (!real || fromStore || deep.size() >= MOST_DEEP) {
            reply.say(connection, tag, good);
            return;
        }
        long requested = tags.next();
        TimerService.Timer late =
                deadlines.schedule(clock.get().plus(DEEP_WAIT), () -> diagnosed(requested, false));
        deep.put(requested, new DeepCheck(connection, tag, late));
        executor.checkDeep(requested);
    }

    void diagnosed(long tag, boolean well) {
        DeepCheck check = deep.remove(tag);
        if (check != null) {
            deadlines.cancel(check.deadline());
            reply.say(check.connection(), check.tag(), well && good);
        }
    }

    boolean isIdle() {
        return deep.isEmpty();
    }
}
