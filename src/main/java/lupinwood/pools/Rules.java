package lupinwood.pools;

import lupinwood.node.Span;

/**
 * What a pool goes by.
 *
 * @param mostOut how many may be out to one server at the most
 * @param failures so many in a row leave a server out
 * @param leftOutFirst how long a server is left out the first time; twice as long each time after,
 *     until it does well
 * @param leftOutMost and no longer than this
 * @param repeatShare tries made again, for each first one
 */
public record Rules(
        int mostOut, int failures, Span leftOutFirst, Span leftOutMost, double repeatShare) {
    public static final Rules USUAL =
            new Rules(32, 4, Span.ofSeconds(0.5), Span.ofSeconds(30), 0.1);
}
