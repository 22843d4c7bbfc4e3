package lupinwood.admission;

/**
 * The meaning of the load report value that is sent to upstream load balancers with every answer.
 */
enum LoadSignal {
    /** No value is sent. */
    NONE,
    /** The number of requests that each upstream may have in flight at this node. */
    ALLOWANCE,
    /** The rank below which upstreams are to send nothing. */
    FLOOR,
    /** 0 while draining, although requests are admitted for a part of the drain; otherwise 1. */
    WEIGHT
}
