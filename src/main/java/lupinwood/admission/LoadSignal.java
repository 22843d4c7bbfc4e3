package lupinwood.admission;

/** What the value that goes along with every answer tells upstream load balancers. */
enum LoadSignal {
    /** No value is sent. */
    NONE,
    /** How many requests each upstream may have in flight here. */
    ALLOWANCE,
    /** The rank below which upstreams are to send nothing. */
    FLOOR,
    /** 1 while requests are welcome, 0 while draining. */
    WEIGHT
}
