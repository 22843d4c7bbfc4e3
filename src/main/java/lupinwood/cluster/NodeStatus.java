package lupinwood.cluster;

/** What the fleet knows of a node. */
public enum NodeStatus {
    /** Heard lately, and not yet warm. */
    UP,
    /** Heard lately, and warm. */
    WARM,
    /** Heard lately, and on its way out. */
    LEAVING,
    /** It said that it went, or an operator said so. */
    OUT,
    /** Not heard lately: it may be dead, stopped, or cut off. */
    UNKNOWN
}
