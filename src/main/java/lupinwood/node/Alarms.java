package lupinwood.node;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Jobs due at moments to come, soonest first and in the order given; one wake-up is asked for at a time. */
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

    /** Does what is due. */
    public void ring() {
        if (!server.now().isBefore(asked)) {
            asked = Moment.NEVER;
        }
        while (!queue.isEmpty() && !server.now().isBefore(queue.peek().at())) {
            queue.poll().job().run();
        }
    }

    /** Asks for a wake-up if the soonest alarm is due before the one asked for. */
    public void arm() {
        Alarm next = queue.peek();
        if (next != null && next.at().isBefore(asked)) {
            asked = next.at();
            server.wakeAt(asked);
        }
    }
}
