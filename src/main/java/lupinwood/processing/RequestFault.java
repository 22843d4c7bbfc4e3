package lupinwood.processing;

/** Why an arriving request fails before the admission policy sees it. */
enum RequestFault {
    /** The request can't be parsed. */
    MALFORMED("malformed_request", Kind.PROTOCOL_VIOLATION),
    /** The settings have no such request class. */
    UNKNOWN_CLASS("unknown_request_class", Kind.PROTOCOL_VIOLATION),
    /** The settings name tenants, but not this one. */
    UNKNOWN_TENANT("unknown_tenant", Kind.PROTOCOL_VIOLATION),
    /**
     * Another request in the request table has the same attempt id, or an unsafe one had it that
     * may have run.
     */
    ATTEMPT_ID_IN_USE("attempt_id_in_use", Kind.CONFLICT),
    /**
     * It has an idempotency key but its request class is not idempotent, or it has none but its
     * request class is.
     */
    IDEMPOTENCY_KEY_MISMATCH("idempotency_key_mismatch", Kind.PROTOCOL_VIOLATION),
    /** Its idempotency key is remembered with another body. */
    IDEMPOTENCY_KEY_REUSED("idempotency_key_reused", Kind.CONFLICT),
    /** Its arrival time is further ahead than two clocks of one host can differ. */
    ARRIVAL_TIME_IN_FUTURE("arrival_time_in_future", Kind.PROTOCOL_VIOLATION),
    /** Its client timeout or its cost hint is not a valid positive duration. */
    INVALID_DURATION("invalid_timeout_or_cost_hint", Kind.INVALID_DURATION),
    /** Its deadline passed before it was read. */
    PAST_DEADLINE("deadline_passed", Kind.LATE),
    /** Its memory, rank or body length is outside the protocol's bounds. */
    OUT_OF_BOUNDS("out_of_bounds", Kind.PROTOCOL_VIOLATION),
    /** Its connection was asked to close long before. */
    CONNECTION_CLOSE_REQUESTED("connection_close_requested", Kind.PROTOCOL_VIOLATION);

    /** The origin of the fault, which decides how it is counted against the connection. */
    enum Kind {
        /** The upstream violates the protocol. */
        PROTOCOL_VIOLATION,
        /**
         * It conflicts with another request, which another upstream may have sent. Either of the
         * two may be the one that violates the protocol.
         */
        CONFLICT,
        /**
         * One duration of this request only; the upstream may comply with the protocol otherwise.
         */
        INVALID_DURATION,
        /**
         * The request was read late, perhaps because this host paused or the listener's backlog was
         * long: not necessarily the upstream's fault.
         */
        LATE
    }

    private final String logReason;
    private final Kind kind;

    RequestFault(String logReason, Kind kind) {
        this.logReason = logReason;
        this.kind = kind;
    }

    /** The reason in the log line about the failed request. */
    String logReason() {
        return logReason;
    }

    Kind kind() {
        return kind;
    }
}
