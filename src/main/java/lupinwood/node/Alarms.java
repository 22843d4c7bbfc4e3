package lupinwood.node;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Jobs due at moments to come, soonest first and in the order given; one wake-up is asked for at a
 * time.
 */
public final class Alarms {
    private record Alarm(Moment at, long order, Runnable job) {}

    private final PriorityQueue<Alarm> queue =
            new PriorityQueue<>(Comparator.comparing(Alarm::at).thenComparing(Alarm::order));
    private final Server server;
    private long order;
    private Moment asked = Moment.NEVER;

    public Alarms(Server server) {
        this.server = server;
    }

    public void at(Moment moment, Runnable job) {
        queue.add(new Alarm(moment, order++, job));
    }

    public void in(Span span, Runnable job) {
        at(server.now().plus(span), job);
    }

    /** Does what is due. A coarse clock may wake a trifle early; what was asked for is spent. */
    public void ring() {
        asked = Moment.NEVER;
        while (!queue.isEmpty() && !server.now().isBefore(queue.peek().at())) {
            queue.poll().job().run();
        }
    }

    /**
     * Asks for a wake-up if the soonest alarm is due before the one asked for. What is due already
     * is asked for at the next moment: no machine hears of a wake-up in the past.
     */
    public void arm() {
        Alarm next = queue.peek();
        Moment soonest = server.now().plus(new Span(1));
        if (next != null && soonest.isBefore(next.at())) {
            soonest = next.at();
        }
        if (next != null && soonest.isBefore(asked)) {
            asked = soonest;
            server.wakeAt(asked);
        }
    }
}
