package lupinwood.core;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import lupinwood.node.Gauges;
import lupinwood.node.Moment;
import lupinwood.node.Span;

/**
 * The node's wake-ups, each with gauges just read, or read anew where the executor gives them in
 * time.
 */
final class WakeUps {
    /** A wake-up waits so long for gauges before it does without. */
    private static final Span GAUGES_WAIT = Span.ofSeconds(0.02);

    /**
     * Gauges count as just read for as long: each reading costs two messages and two rounds of
     * deciding.
     */
    private static final Span FRESH = Span.ofSeconds(0.02);

    private final List<String> names;
    private final Deadlines deadlines;
    private final Executor executor;
    private final Tags tags;
    private final Supplier<Moment> clock;
    private final Consumer<Gauges> wake;

    /** The tag under which gauges were asked for a wake-up, or 0. */
    private long asked;

    private boolean leaving;
    private Deadlines.Deadline next;
    private Deadlines.Deadline anyway;
    private Gauges gauges = Gauges.UNKNOWN;
    private Moment readAt = new Moment(0);

    WakeUps(
            List<String> names,
            Deadlines deadlines,
            Executor executor,
            Tags tags,
            Supplier<Moment> clock,
            Consumer<Gauges> wake) {
        this.names = names;
        this.deadlines = deadlines;
        this.executor = executor;
        this.tags = tags;
        this.clock = clock;
        this.wake = wake;
    }

    /** The node asks for one wake-up at a time; a later word replaces the one before. */
    void at(Moment moment) {
        deadlines.callOff(next);
        next = deadlines.at(moment, this::due);
    }

    /**
     * From now on wake-ups wait for no gauges, which are read beside them. Guards against the last
     * answers of a node that leaves: what comes after them by its own deadline, as the wish to send
     * no more, must not overtake them in a stall.
     */
    void leave() {
        leaving = true;
    }

    private void due() {
        // Where the settings name no gauges there are none to wait for, and an answer that is due
        // must not wait.
        if (leaving && !names.isEmpty()) {
            executor.askGauges(tags.next());
        }
        if (names.isEmpty() || leaving || clock.get().since(readAt).compareTo(FRESH) < 0) {
            wake.accept(gauges);
        } else if (asked == 0) {
            asked = tags.next();
            // Guards against a link that is lost or slow: the node's alarms must not wait for it.
            anyway =
                    deadlines.at(
                            clock.get().plus(GAUGES_WAIT),
                            () ->
                                    ring(
                                            new Gauges(
                                                    Double.NaN,
                                                    Double.NaN,
                                                    gauges.memoryShare(),
                                                    gauges.connections())));
            executor.askGauges(asked);
        }
    }

    void read(long tag, double[] values) {
        gauges = Gauges.named(names, values);
        readAt = clock.get();
        if (tag == asked) {
            ring(gauges);
        }
    }

    private void ring(Gauges known) {
        asked = 0;
        deadlines.callOff(anyway);
        wake.accept(known);
    }
}
