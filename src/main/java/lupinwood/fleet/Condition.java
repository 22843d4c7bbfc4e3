package lupinwood.fleet;

/** How a node finds itself; GONE is the last that it says. */
public enum Condition {
    COLD,
    WARM,
    LEAVING,
    GONE
}
