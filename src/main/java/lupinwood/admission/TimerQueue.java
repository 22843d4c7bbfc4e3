package lupinwood.admission;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Timers of the decisions: jobs that are due later run earliest first, and in the order given where
 * they are due together. One wake-up of the machine is asked for at a time.
 *
 * <p>Owned by the thread of the {@link AdmissionPolicy}.
 */
public final class TimerQueue {
    private record Timer(MonotonicTime at, long order, Runnable job) {}

    private final PriorityQueue<Timer> queue =
            new PriorityQueue<>(Comparator.comparing(Timer::at).thenComparing(Timer::order));
    private final ServerActions server;
    private long order;
    private MonotonicTime requested = MonotonicTime.NEVER;

    /** An empty queue that asks this machine for its wake-ups. */
    public TimerQueue(ServerActions server) {
        this.server = server;
    }

    /** Runs the job at this time, or with the next wake-up after it. */
    public void scheduleAt(MonotonicTime time, Runnable job) {
        queue.add(new Timer(time, order++, job));
    }

    /** Runs the job so long from now. */
    public void scheduleAfter(NanoDuration duration, Runnable job) {
        scheduleAt(server.now().plus(duration), job);
    }

    /**
     * Runs all jobs that are due, also those that become due by them. A coarse clock may wake a
     * trifle early: the wake-up that was asked for is spent all the same.
     */
    public void runDue() {
        requested = MonotonicTime.NEVER;
        while (!queue.isEmpty() && !server.now().isBefore(queue.peek().at())) {
            queue.poll().job().run();
        }
    }

    /**
     * Asks for a wake-up if the earliest timer is due before the one asked for. What is due already
     * is asked for at the next moment: no machine hears of a wake-up in the past.
     */
    public void requestWakeUp() {
        Timer next = queue.peek();
        MonotonicTime soonest = server.now().plus(new NanoDuration(1));
        if (next != null && soonest.isBefore(next.at())) {
            soonest = next.at();
        }
        if (next != null && soonest.isBefore(requested)) {
            requested = soonest;
            server.wakeAt(requested);
        }
    }
}
