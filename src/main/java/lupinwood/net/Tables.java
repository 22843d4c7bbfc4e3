package lupinwood.net;

/**
 * How much a node keeps, by the memory that the JVM may use: a fifth for tickets, a fifth for
 * receipts and a fifth for the bodies and results that these remember.
 *
 * @param tickets held at once
 * @param receipts remembered at once
 * @param receiptBytes of bodies and results, in bytes
 */
record Tables(int tickets, int receipts, long receiptBytes) {
    /** A ticket was seen to take 600 bytes beside its body and what the decisions keep of it. */
    private static final int TICKET_BYTES = 1024;

    /** A receipt was seen to take 400 bytes beside its body and its result. */
    private static final int RECEIPT_BYTES = 512;

    private static final int PARTS = 5;

    /** As many as a table of tickets can number. */
    private static final int MOST = 1 << 20;

    /**
     * @param memory that the JVM may use for objects, in bytes
     */
    static Tables of(long memory) {
        long part = memory / PARTS;
        return new Tables(
                (int) Math.min(MOST, Math.max(1, part / TICKET_BYTES)),
                (int) Math.min(Integer.MAX_VALUE, Math.max(1, part / RECEIPT_BYTES)),
                part);
    }

    /** Such a share of what the JVM may use, in bytes. */
    static long share(double of) {
        return (long) (Runtime.getRuntime().maxMemory() * of);
    }
}
