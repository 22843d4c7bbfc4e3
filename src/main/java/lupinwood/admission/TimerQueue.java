package lupinwood.admission;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The timers of the decisions. Due tasks run in order of time, and in the order of scheduling where
 * times are equal. At most one wake-up of the node is requested at a time.
 *
 * <p>Owned by the thread of the {@link AdmissionPolicy}.
 */
public final class TimerQueue {
    private record Timer(MonotonicTime dueAt, long sequence, Runnable task) {}

    private final PriorityQueue<Timer> queue =
            new PriorityQueue<>(Comparator.comparing(Timer::dueAt).thenComparing(Timer::sequence));
    private final ServerActions server;
    private long sequence;
    private MonotonicTime requestedWakeUp = MonotonicTime.NEVER;

    /** Creates an empty queue that requests its wake-ups from this server. */
    public TimerQueue(ServerActions server) {
        this.server = server;
    }

    /** Runs the task at this time, or with the first wake-up after it. */
    public void scheduleAt(MonotonicTime time, Runnable task) {
        queue.add(new Timer(time, sequence++, task));
    }

    /** Runs the task after this duration. */
    public void scheduleAfter(NanoDuration duration, Runnable task) {
        scheduleAt(server.now().plus(duration), task);
    }

    /**
     * Runs all tasks that are due, including those that become due meanwhile. A coarse clock may
     * wake the node slightly early; that wake-up no longer counts as pending, so {@link
     * #requestWakeUp} requests another.
     */
    public void runDue() {
        requestedWakeUp = MonotonicTime.NEVER;
        while (!queue.isEmpty() && !server.now().isBefore(queue.peek().dueAt())) {
            queue.poll().task().run();
        }
    }

    /**
     * Requests a wake-up if the earliest timer is due before the wake-up requested already. For a
     * timer that is due already the wake-up is requested one nanosecond from now, since one in the
     * past would never come.
     */
    public void requestWakeUp() {
        Timer next = queue.peek();
        MonotonicTime wakeUpAt = server.now().plus(new NanoDuration(1));
        if (next != null && wakeUpAt.isBefore(next.dueAt())) {
            wakeUpAt = next.dueAt();
        }
        if (next != null && wakeUpAt.isBefore(requestedWakeUp)) {
            requestedWakeUp = wakeUpAt;
            server.wakeAt(requestedWakeUp);
        }
    }
}
