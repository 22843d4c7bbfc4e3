package lupinwood.cluster;

/** The status of a node as the leader sees it. */
public enum NodeStatus {
    /** Heard recently, and not yet warm. */
    UP,
    /** Heard recently, and warm. */
    WARM,
    /** Heard recently, and shutting down. */
    LEAVING,
    /** Left the cluster: it reported so. */
    OUT,
    /** Not heard recently: it may be dead, paused or cut off by the network. */
    UNKNOWN
}
