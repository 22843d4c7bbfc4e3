package lupinwood.admission;

/** Why a request is rejected without having run; written to the log. */
enum RejectionReason {
    /** The node is draining, and the request came too late to be run. */
    DRAINING("draining"),
    /** The memory budget has no room for the request. */
    MEMORY_FULL("memory_full"),
    /** The in-flight limit on requests that may call downstream is reached. */
    IN_FLIGHT_LIMIT("in_flight_limit"),
    /**
     * Its tenant is over its quota, and a request within another tenant's quota takes its place.
     */
    OVER_QUOTA("over_quota"),
    /**
     * Some queued request cannot be done in time, and this request, not necessarily the same, adds
     * the least utility for its cost among those due no later.
     */
    CANNOT_FINISH_IN_TIME("cannot_finish_in_time"),
    /** Its answer deadline passed before it was run. */
    DEADLINE_PASSED("deadline_passed");

    private final String logName;

    RejectionReason(String logName) {
        this.logName = logName;
    }

    String logName() {
        return logName;
    }
}
