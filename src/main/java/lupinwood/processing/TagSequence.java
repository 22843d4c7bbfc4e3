package lupinwood.processing;

/**
 * The tags by which answers of the executor are told apart; a later question has a higher one.
 *
 * <p>Owned by the event loop thread.
 */
final class TagSequence {
    private long last;

    long next() {
        return ++last;
    }

    long last() {
        return last;
    }
}
