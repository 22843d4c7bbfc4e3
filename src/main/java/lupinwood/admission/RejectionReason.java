package lupinwood.admission;

/**
 * Why the admission policy rejects a request that has not run; written to the log. The reasons for
 * which a request is rejected before the policy sees it are not listed here; they are in {@code
 * processing.RequestIntake}.
 */
enum RejectionReason {
    /**
     * The node is draining, and the request came too late to be run or was still queued when the
     * last answers were due.
     */
    DRAINING("draining"),
    /** The memory budget has no room for the request. */
    MEMORY_FULL("memory_full"),
    /** The in-flight limit on requests that may call downstream is reached. */
    IN_FLIGHT_LIMIT("in_flight_limit"),
    /**
     * Its tenant had used up its quota when the request arrived, and a request that is not over a
     * quota takes its place.
     */
    OVER_QUOTA("over_quota"),
    /**
     * A queued request cannot finish by its due time. Of the queued requests due no later than that
     * one, the rejected request has the least utility per core second (it may be the late one
     * itself); where only restricted calls make a request late, that request is rejected.
     */
    CANNOT_FINISH_IN_TIME("cannot_finish_in_time"),
    /** Its answer deadline, or that of a drain if earlier, passed before it was run. */
    DEADLINE_PASSED("deadline_passed");

    private final String logName;

    RejectionReason(String logName) {
        this.logName = logName;
    }

    String logName() {
        return logName;
    }
}
