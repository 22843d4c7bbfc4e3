package lupinwood.core;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import lupinwood.node.Moment;
import lupinwood.node.Span;

/** Health checks under way by real work, and what the others hear. */
final class HealthChecks {
    /** Says what a check hears. */
    interface Reply {
        void say(ConnectionId connection, long tag, boolean well);
    }

    private record Deep(ConnectionId connection, long tag, Deadlines.Deadline deadline) {}

    /** A dispatcher that asked for a deep check hears by then at the latest. */
    private static final Span DEEP_WAIT = Span.ofSeconds(1);

    private static final int MOST_DEEP = 64;

    private final Deadlines deadlines;
    private final Executor executor;
    private final Tags tags;
    private final Supplier<Moment> clock;
    private final Reply reply;
    private final Map<Long, Deep> deep = new HashMap<>();

    /** Until there is a node, none is well. */
    private boolean good;

    private boolean fromStore = true;

    HealthChecks(
            Deadlines deadlines,
            Executor executor,
            Tags tags,
            Supplier<Moment> clock,
            Reply reply) {
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
        long asked = tags.next();
        Deadlines.Deadline late =
                deadlines.at(clock.get().plus(DEEP_WAIT), () -> diagnosed(asked, false));
        deep.put(asked, new Deep(connection, tag, late));
        executor.checkDeep(asked);
    }

    void diagnosed(long tag, boolean well) {
        Deep check = deep.remove(tag);
        if (check != null) {
            deadlines.callOff(check.deadline());
            reply.say(check.connection(), check.tag(), well && good);
        }
    }

    boolean isIdle() {
        return deep.isEmpty();
    }
}
