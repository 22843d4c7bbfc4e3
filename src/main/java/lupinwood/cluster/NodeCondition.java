package lupinwood.cluster;

/** How a node finds itself; GONE is the last that it says. */
public enum NodeCondition {
    COLD,
    WARM,
    LEAVING,
    GONE
}
