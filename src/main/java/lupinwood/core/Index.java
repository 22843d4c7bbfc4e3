package lupinwood.core;

import lupinwood.node.Span;

/** What the host asks of the index that all nodes share. */
public interface Index {
    void call(TryId id, Span cap, byte[] body);

    void giveUp(TryId id);
}
