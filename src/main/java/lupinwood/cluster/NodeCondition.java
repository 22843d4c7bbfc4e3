package lupinwood.cluster;

/** The condition that a node reports of itself; GONE is in its last heartbeat. */
public enum NodeCondition {
    COLD,
    WARM,
    LEAVING,
    GONE
}
