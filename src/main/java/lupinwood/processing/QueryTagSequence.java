package lupinwood.processing;

/**
 * Generates the tags that match the executor's replies to queries. Tags increase with each query.
 *
 * <p>Owned by the event loop thread.
 */
final class QueryTagSequence {
    private long last;

    long next() {
        return ++last;
    }

    long last() {
        return last;
    }
}
