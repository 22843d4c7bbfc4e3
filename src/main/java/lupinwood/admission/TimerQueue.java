package lupinwood.admission;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Jobs due at moments to come, soonest first and in the order given; one wake-up is asked for at a
 * time.
 */
public final class TimerQueue {
    private record Timer(MonotonicTime at, long order, Runnable job) {}

    private final PriorityQueue<Timer> queue =
            new PriorityQueue<>(Comparator.comparing(Timer::at).thenComparing(Timer::order));
    private final ServerActions server;
    private long order;
    private MonotonicTime requested = MonotonicTime.NEVER;

    public TimerQueue(ServerActions server) {
        this.server = server;
    }

    public void scheduleAt(MonotonicTime time, Runnable job) {
        queue.add(new Timer(time, order++, job));
    }

    public void scheduleAfter(NanoDuration duration, Runnable job) {
        scheduleAt(server.now().plus(duration), job);
    }

    /** Does what is due. A coarse clock may wake a trifle early; what was asked for is spent. */
    public void runDue() {
        requested = MonotonicTime.NEVER;
        while (!queue.isEmpty() && !server.now().isBefore(queue.peek().at())) {
            queue.poll().job().run();
        }
    }

    /**
     * Asks for a wake-up if the soonest alarm is due before the one asked for. What is due already
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
