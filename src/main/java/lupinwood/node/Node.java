package lupinwood.node;

import java.util.Map;

/**
 * The deciding side of one machine. News comes in by these calls, results leave through {@link
 * Server}.
 */
public interface Node {
    /** A ticket was read and is now held; it is owed one final answer. */
    Handle take(Ticket ticket);

    /**
     * The settings changed, in entries that may change while the node runs. Tickets in hand keep
     * the times that they came under.
     */
    void retune(Map<String, String> settings);

    /** Notice that the machine will be stopped after this long. */
    void leave(Span until);

    /** A wake-up asked for is due, or the gauges were read anew. */
    void wake(Gauges gauges);

    /** All that came in at this moment has been told: decide. */
    void settle();
}
