package lupinwood.admission;

/**
 * The memory taken by open requests, running requests and idempotency records, in kilobytes of
 * 1,000 bytes, at the amounts that the settings give for each. A request is admitted and a run is
 * started only while at most {@link #USED_MEMORY_RATIO} of the machine's memory is used. Reserving
 * does not check this: an open request counts before it is checked, and a retry that is answered
 * from its original is never checked.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class MemoryBudget {
    /**
     * The part of the memory that is used; the rest is for what isn't counted: buffers and unread
     * requests.
     */
    private static final double USED_MEMORY_RATIO = 0.85;

    private final double budgetKb;
    private double usedKb;

    MemoryBudget(double memoryKb) {
        budgetKb = USED_MEMORY_RATIO * memoryKb;
    }

    void reserve(double kb) {
        usedKb += kb;
    }

    void release(double kb) {
        usedKb -= kb;
    }

    /** Whether this much more memory would still be within the budget. */
    boolean hasRoomFor(double kb) {
        return usedKb + kb <= budgetKb;
    }
}
