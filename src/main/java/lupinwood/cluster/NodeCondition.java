package lupinwood.cluster;

/** The condition that a node reports of itself. */
public enum NodeCondition {
    /** Warming up. */
    COLD,
    /** Warm. */
    WARM,
    /** Draining, before it stops. */
    LEAVING,
    /** Stopped; only in the last heartbeat. */
    GONE
}
