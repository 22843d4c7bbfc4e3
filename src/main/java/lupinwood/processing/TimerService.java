package lupinwood.processing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import lupinwood.admission.MonotonicTime;

/**
 * All that is due later, soonest first and in the order given; the only such structure of the
 * request processor.
 *
 * <p>Owned by the event loop thread.
 */
public final class TimerService {
    /** One job due; it can be called off. */
    public static final class Timer {
        private final MonotonicTime at;
        private final long order;
        private final Runnable job;

        private Timer(MonotonicTime at, long order, Runnable job) {
            this.at = at;
            this.order = order;
            this.job = job;
        }
    }

    private final TreeSet<Timer> queue =
            new TreeSet<>(
                    Comparator.<Timer, MonotonicTime>comparing(timer -> timer.at)
                            .thenComparingLong(timer -> timer.order));
    private long order;

    /** Has a job done once its time has come. */
    public Timer schedule(MonotonicTime time, Runnable job) {
        Timer timer = new Timer(time, order++, job);
        queue.add(timer);
        return timer;
    }

    /** Nothing happens if it was done already, or is null. */
    public void cancel(Timer timer) {
        if (timer != null) {
            queue.remove(timer);
        }
    }

    /** How many jobs are due later. */
    public int size() {
        return queue.size();
    }

    /** When the first job is due, or {@link MonotonicTime#NEVER}. */
    public MonotonicTime earliest() {
        return queue.isEmpty() ? MonotonicTime.NEVER : queue.first().at;
    }

    /** Does what is due now; what that adds waits for the next time, so this always ends. */
    public void runDue(MonotonicTime now) {
        List<Timer> due = new ArrayList<>();
        for (Timer timer : queue) {
            if (now.isBefore(timer.at)) {
                break;
            }
            due.add(timer);
        }
        for (Timer timer : due) {
            if (queue.remove(timer)) {
                timer.job.run();
            }
        }
    }
}
