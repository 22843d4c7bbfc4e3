package lupinwood.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import lupinwood.node.Moment;

/**
 * All that is due later, soonest first and in the order given; the only such structure of the host.
 */
public final class Deadlines {
    /** One job due; it can be called off. */
    public static final class Deadline {
        private final Moment at;
        private final long order;
        private final Runnable job;

        private Deadline(Moment at, long order, Runnable job) {
            this.at = at;
            this.order = order;
            this.job = job;
        }
    }

    private final TreeSet<Deadline> queue =
            new TreeSet<>(
                    Comparator.<Deadline, Moment>comparing(d -> d.at)
                            .thenComparingLong(d -> d.order));
    private long order;

    public Deadline at(Moment moment, Runnable job) {
        Deadline deadline = new Deadline(moment, order++, job);
        queue.add(deadline);
        return deadline;
    }

    /** Nothing happens if it was done already, or is null. */
    public void callOff(Deadline deadline) {
        if (deadline != null) {
            queue.remove(deadline);
        }
    }

    public int size() {
        return queue.size();
    }

    public Moment soonest() {
        return queue.isEmpty() ? Moment.NEVER : queue.first().at;
    }

    /** Does what is due now; what that adds waits for the next time, so this always ends. */
    public void ring(Moment now) {
        List<Deadline> due = new ArrayList<>();
        for (Deadline deadline : queue) {
            if (now.isBefore(deadline.at)) {
                break;
            }
            due.add(deadline);
        }
        for (Deadline deadline : due) {
            if (queue.remove(deadline)) {
                deadline.job.run();
            }
        }
    }
}
