package lupinwood.balancing;

/**
 * Limits retries to a small share of first attempts at any load, with a small reserve for quiet
 * times. When all servers fail, retries stay at that share and cause no retry storm.
 */
public final class RetryBudget {
    private final double retriesPerAttempt;
    private final double maxReserve;
    private double reserve;
    private long firstAttempts;
    private long retries;

    /**
     * @param retriesPerAttempt retries allowed for each first attempt, from 0 to 1
     * @param maxReserve how many unused retries may accumulate
     */
    public RetryBudget(double retriesPerAttempt, double maxReserve) {
        this.retriesPerAttempt = retriesPerAttempt;
        this.maxReserve = maxReserve;
        reserve = maxReserve;
    }

    /** Records the first attempt of a request. */
    public void recordFirstAttempt() {
        firstAttempts++;
        reserve = Math.min(maxReserve, reserve + retriesPerAttempt);
    }

    /** Whether a retry is allowed; if so, it is taken from the budget. */
    public boolean tryAcquireRetry() {
        if (reserve < 1) {
            return false;
        }
        reserve--;
        retries++;
        return true;
    }

    public long firstAttempts() {
        return firstAttempts;
    }

    public long retries() {
        return retries;
    }
}
