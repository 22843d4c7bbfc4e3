package lupinwood.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/**
 * Scheduled actions, ordered by due time and, where times are equal, by when they were scheduled.
 * Adding, removing and finding the first take O(log n). A removed timer holds nothing any more, so
 * the size is that of what is still to be done.
 *
 * <p>Not thread-safe: owned by the thread of its owner.
 */
public final class TimerSet {
    /** A scheduled action. */
    public static final class Timer {
        private final MonotonicTime dueAt;
        private final long sequence;
        private final Runnable action;

        private Timer(MonotonicTime dueAt, long sequence, Runnable action) {
            this.dueAt = dueAt;
            this.sequence = sequence;
            this.action = action;
        }

        /** When the action is due. */
        public MonotonicTime dueAt() {
            return dueAt;
        }

        /** Whether the action is due at this time. */
        public boolean isDue(MonotonicTime now) {
            return !now.isBefore(dueAt);
        }

        /** Performs the action. */
        public void run() {
            action.run();
        }
    }

    private final TreeSet<Timer> timers =
            new TreeSet<>(
                    Comparator.<Timer, MonotonicTime>comparing(timer -> timer.dueAt)
                            .thenComparingLong(timer -> timer.sequence));
    private long sequence;

    /** Adds an action that is due at this time. */
    public Timer add(MonotonicTime dueAt, Runnable action) {
        Timer timer = new Timer(dueAt, sequence++, action);
        timers.add(timer);
        return timer;
    }

    /** Removes a timer; false if it is null or was removed before. */
    public boolean remove(Timer timer) {
        return timer != null && timers.remove(timer);
    }

    /** The timer that is due first; null if there is none. */
    public Timer first() {
        return timers.isEmpty() ? null : timers.first();
    }

    /** The timers that are due at this time, in their order. */
    public List<Timer> dueBy(MonotonicTime now) {
        List<Timer> due = new ArrayList<>();
        for (Timer timer : timers) {
            if (!timer.isDue(now)) {
                break;
            }
            due.add(timer);
        }
        return due;
    }

    /** The number of timers. */
    public int size() {
        return timers.size();
    }
}
