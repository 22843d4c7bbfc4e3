package lupinwood.admission;

/** Why a request is answered at once, unrun; the log names it. */
enum RejectionReason {
    /** The node is shutting down, and the request came too late to be run. */
    DRAINING("draining"),
    /** The memory budget has no room for the request. */
    MEMORY_FULL("memory_full"),
    /** As many requests that may call downstream are in flight as the limit allows. */
    IN_FLIGHT_LIMIT("in_flight_limit"),
    /** Its tenant is over its quota, and a request within another's quota needs the place. */
    OVER_QUOTA("over_quota"),
    /**
     * Some queued request can't be done in time, and this one, perhaps another, adds least utility
     * for its cost among those due no later.
     */
    CANNOT_FINISH_IN_TIME("cannot_finish_in_time"),
    /** The last moment for an answer came while it was still queued. */
    DEADLINE_PASSED("deadline_passed");

    private final String logName;

    RejectionReason(String logName) {
        this.logName = logName;
    }

    String logName() {
        return logName;
    }
}
