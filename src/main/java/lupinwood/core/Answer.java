package lupinwood.core;

import lupinwood.node.Span;

/**
 * What a dispatcher hears about a ticket or a health check.
 *
 * @param advice the free value, below zero for none
 * @param comeBackAfter zero for no such advice
 * @param result the bytes as the executor gave them
 */
@SuppressWarnings("ArrayRecordComponent") // handed over once and never compared
public record Answer(
        Word word, double advice, Span comeBackAfter, boolean askNoOther, byte[] result) {
    /** The kinds of answer. */
    public enum Word {
        SATISFIED,
        BOUNCED,
        ABANDONED,
        GOOD,
        NOT_GOOD
    }

    private static final byte[] NOTHING = {};

    static Answer plain(Word word, double advice) {
        return new Answer(word, advice, Span.ZERO, false, NOTHING);
    }

    static Answer satisfied(double advice, byte[] result) {
        return new Answer(Word.SATISFIED, advice, Span.ZERO, false, result);
    }

    static Answer bounced(double advice, Span comeBackAfter, boolean askNoOther) {
        return new Answer(Word.BOUNCED, advice, comeBackAfter, askNoOther, NOTHING);
    }
}
