package lupinwood.net;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The memory that incomplete messages of all connections may take together. While they take more
 * than that, a connection whose own message takes more than an equal share of it may not go on. So
 * many clients that stop in the middle of large messages end themselves, and a message within its
 * share is always completed. Together they take less than twice the budget:
 *
 * <pre>budget + connections * (budget / connections)</pre>
 *
 * <p>Thread-safe.
 */
final class IncompleteMessageBudget {
    private final long maxBytes;
    private final AtomicLong usedBytes = new AtomicLong();
    private volatile long shareBytes;

    /**
     * Creates a budget for one connection.
     *
     * @param maxBytes of all incomplete messages
     */
    IncompleteMessageBudget(long maxBytes) {
        this.maxBytes = maxBytes;
        shareBytes = maxBytes;
    }

    /** Sets how many connections share the budget; at least one. */
    void divideAmong(int connections) {
        shareBytes = maxBytes / Math.max(1, connections);
    }

    /**
     * Changes how much a connection's incomplete message takes, in bytes. Returns false if the
     * connection may not go on; the change counts all the same.
     */
    boolean change(int bytesBefore, int bytesNow) {
        long used = usedBytes.addAndGet((long) bytesNow - bytesBefore);
        return used <= maxBytes || bytesNow <= shareBytes;
    }

    /** What all incomplete messages take, in bytes. */
    long usedBytes() {
        return usedBytes.get();
    }
}
