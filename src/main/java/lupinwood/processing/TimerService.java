package lupinwood.processing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import lupinwood.admission.MonotonicTime;

/**
 * All that is due later, soonest first and in the order given; the only such structure of the
 * request processor.
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
                    Comparator.<Timer, MonotonicTime>comparing(d -> d.at)
                            .thenComparingLong(d -> d.order));
    private long order;

    public Timer schedule(MonotonicTime time, Runnable job) {
        Timer deadline = new Timer(time, order++, job);
        queue.add(deadline);
        return deadline;
    }

    /** Nothing happens if it was done already, or is null. */
    public void cancel(Timer deadline) {
        if (deadline != null) {
            queue.remove(deadline);
        }
    }

    public int size() {
        return queue.size();
    }

    public MonotonicTime earliest() {
        return queue.isEmpty() ? MonotonicTime.NEVER : queue.first().at;
    }

    /** Does what is due now; what that adds waits for the next time, so this always ends. */
    public void runDue(MonotonicTime now) {
        List<Timer> due = new ArrayList<>();
        for (Timer deadline : queue) {
            if (now.isBefore(deadline.at)) {
                break;
            }
            due.add(deadline);
        }
        for (Timer deadline : due) {
            if (queue.remove(deadline)) {
                deadline.job.run();
            }
        }
    }
}
