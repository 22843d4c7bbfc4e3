package lupinwood.processing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import lupinwood.admission.MonotonicTime;

/**
 * The timers of the request processor, ordered by due time and then by when they were scheduled. It
 * is the processor's only timer queue.
 *
 * <p>Owned by the event loop thread.
 */
public final class TimerService {
    /** A scheduled action; it can be cancelled. */
    public static final class Timer {
        private final MonotonicTime dueAt;
        private final long sequence;
        private final Runnable action;

        private Timer(MonotonicTime dueAt, long sequence, Runnable action) {
            this.dueAt = dueAt;
            this.sequence = sequence;
            this.action = action;
        }
    }

    private final TreeSet<Timer> queue =
            new TreeSet<>(
                    Comparator.<Timer, MonotonicTime>comparing(timer -> timer.dueAt)
                            .thenComparingLong(timer -> timer.sequence));
    private long sequence;

    /** Schedules an action for this time. */
    public Timer schedule(MonotonicTime time, Runnable action) {
        Timer timer = new Timer(time, sequence++, action);
        queue.add(timer);
        return timer;
    }

    /** Cancels a timer; ignored if it has fired already or is null. */
    public void cancel(Timer timer) {
        if (timer != null) {
            queue.remove(timer);
        }
    }

    /** The number of scheduled timers. */
    public int size() {
        return queue.size();
    }

    /** When the first timer is due; {@link MonotonicTime#NEVER} if there is none. */
    public MonotonicTime earliest() {
        return queue.isEmpty() ? MonotonicTime.NEVER : queue.first().dueAt;
    }

    /**
     * Fires the timers that are due. Timers that their actions schedule wait for the next call, so
     * this always ends.
     */
    public void runDue(MonotonicTime now) {
        List<Timer> due = new ArrayList<>();
        for (Timer timer : queue) {
            if (now.isBefore(timer.dueAt)) {
                break;
            }
            due.add(timer);
        }
        for (Timer timer : due) {
            if (queue.remove(timer)) {
                timer.action.run();
            }
        }
    }
}
