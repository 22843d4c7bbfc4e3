package lupinwood.net;

/**
 * How much a node keeps, by the memory that the JVM may use: a fifth for requests, a fifth for
 * idempotency records and a fifth for the bodies and results that these remember.
 *
 * @param requests held at once
 * @param idempotencyRecords remembered at once
 * @param idempotencyBytes of bodies and results, in bytes
 */
record TableSizes(int requests, int idempotencyRecords, long idempotencyBytes) {
    /** A request was seen to take 600 bytes beside its body and what the decisions keep of it. */
    private static final int REQUEST_BYTES = 1024;

    /** An idempotency record was seen to take 400 bytes beside its body and its result. */
    private static final int IDEMPOTENCY_RECORD_BYTES = 512;

    private static final int PARTS = 5;

    /** As many as a table of requests can number. */
    private static final int MOST = 1 << 20;

    /**
     * @param memory that the JVM may use for objects, in bytes
     */
    static TableSizes of(long memory) {
        long part = memory / PARTS;
        return new TableSizes(
                (int) Math.min(MOST, Math.max(1, part / REQUEST_BYTES)),
                (int) Math.min(Integer.MAX_VALUE, Math.max(1, part / IDEMPOTENCY_RECORD_BYTES)),
                part);
    }

    /** Such a share of what the JVM may use, in bytes. */
    static long share(double of) {
        return (long) (Runtime.getRuntime().maxMemory() * of);
    }
}
