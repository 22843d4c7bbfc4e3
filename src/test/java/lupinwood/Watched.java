package lupinwood;

import java.util.Map;
import java.util.function.Consumer;
import lupinwood.node.Gauges;
import lupinwood.node.Handle;
import lupinwood.node.Node;
import lupinwood.node.Span;
import lupinwood.node.Ticket;

/**
 * A node with somebody beside it: told of each ticket before it, and of the end of each round after
 * it.
 */
public record Watched(Node node, Consumer<Ticket> taken, Runnable settled) implements Node {
    @Override
    public Handle take(Ticket ticket) {
        taken.accept(ticket);
        return node.take(ticket);
    }

    @Override
    public void settle() {
        node.settle();
        settled.run();
    }

    @Override
    public void leave(Span until) {
        node.leave(until);
    }

    @Override
    public void wake(Gauges gauges) {
        node.wake(gauges);
    }

    @Override
    public void retune(Map<String, String> settings) {
        node.retune(settings);
    }
}
