package lupinwood.core;

import lupinwood.node.Span;

/** Hears of each final answer to a ticket that was taken in or bounced at the door. */
public interface Answers {
    /**
     * One was given.
     *
     * @param took since the ticket came to the machine
     * @param late whether that is past its agreed time
     */
    void answered(String track, Answer.Word word, Span took, boolean late);
}
