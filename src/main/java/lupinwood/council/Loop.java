package lupinwood.council;

import lupinwood.node.Moment;
import lupinwood.node.Span;

/** The one thread on which a node's part in the fleet happens, and its monotonic clock. */
public interface Loop {
    void execute(Runnable job);

    void after(Span span, Runnable job);

    Moment now();
}
