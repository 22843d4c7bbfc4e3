package lupinwood.experiment;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * What happens when, in made-up time: the soonest first, what is at once in the order it was told.
 */
final class SimulatedTime {
    private record Event(long at, long order, Runnable job) {}

    private final PriorityQueue<Event> queue =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private long now;
    private long order;

    /** In nanoseconds since the start. */
    long now() {
        return now;
    }

    void at(long nanos, Runnable job) {
        queue.add(new Event(Math.max(now, nanos), order++, job));
    }

    void after(double seconds, Runnable job) {
        at(now + Math.round(seconds * 1e9), job);
    }

    /** Plays until then. */
    void playUntil(double seconds) {
        long end = Math.round(seconds * 1e9);
        while (!queue.isEmpty() && queue.peek().at() <= end) {
            Event event = queue.poll();
            now = event.at();
            event.job().run();
        }
        now = end;
    }
}
