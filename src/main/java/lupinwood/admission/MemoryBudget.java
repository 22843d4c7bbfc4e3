package lupinwood.admission;

/**
 * The memory that admitted requests, running requests and idempotency records take, in kilobytes of
 * 1,000 bytes, as the settings price them.
 *
 * <p>Rule 4 of the conventions: memory is used up to {@link #USED_SHARE} of what the machine has.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class MemoryBudget {
    /** What is left free covers what isn't priced: buffers, and requests not read yet. */
    private static final double USED_SHARE = 0.85;

    private final double budgetKb;
    private double usedKb;

    MemoryBudget(double memoryKb) {
        budgetKb = USED_SHARE * memoryKb;
    }

    void reserve(double kb) {
        usedKb += kb;
    }

    void release(double kb) {
        usedKb -= kb;
    }

    /** Whether so much more would still be within the budget. */
    boolean hasRoomFor(double kb) {
        return usedKb + kb <= budgetKb;
    }
}
