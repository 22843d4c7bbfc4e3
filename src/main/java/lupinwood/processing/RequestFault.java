package lupinwood.processing;

/** Why a request that arrived is refused before the admission policy hears of it. */
enum RequestFault {
    /** No request could be parsed from what was sent. */
    UNREADABLE("that can't be read", Kind.CALLER),
    /** The settings name no such request class. */
    UNKNOWN_CLASS("of no known track", Kind.CALLER),
    /** The settings name tenants, and not this one. */
    UNKNOWN_TENANT("of no known customer", Kind.CALLER),
    /** Another request in the table has the same attempt id. */
    ATTEMPT_ID_IN_USE("named like another", Kind.CALLER),
    /** It has an idempotency key and its class is not idempotent, or the other way round. */
    IDEMPOTENCY_KEY_MISMATCH("with a mark on the wrong track, or without one", Kind.CALLER),
    /** Its idempotency key was remembered with another body. */
    IDEMPOTENCY_KEY_REUSED("with the mark of another", Kind.CALLER),
    /** Its time of arrival lies further ahead than clocks of one machine differ. */
    FROM_THE_FUTURE("from the future", Kind.CALLER),
    /** Its client timeout or its cost hint is no positive duration. */
    INVALID_DURATION("with a time to wait or a hint that is none", Kind.INVALID_DURATION),
    /** Its deadline passed before it was read. */
    PAST_DEADLINE("past its abandon time", Kind.LATE),
    /** Its memory, rank or body length is outside the protocol's bounds. */
    OUT_OF_BOUNDS("out of bounds", Kind.CALLER),
    /** Its connection was asked to close long ago. */
    CONNECTION_CLOSE_REQUESTED("on a connection asked to close", Kind.CALLER);

    /** Who is to blame, which decides what the fault costs the connection. */
    enum Kind {
        /** The caller doesn't know the protocol. */
        CALLER,
        /** One duration of this request alone; the caller may well know the protocol otherwise. */
        INVALID_DURATION,
        /** Perhaps this side: a pause, or a queue in front of the listener. */
        LATE
    }

    private final String logText;
    private final Kind kind;

    RequestFault(String logText, Kind kind) {
        this.logText = logText;
        this.kind = kind;
    }

    /** The end of the log line about a refused request. */
    String logText() {
        return logText;
    }

    Kind kind() {
        return kind;
    }
}
