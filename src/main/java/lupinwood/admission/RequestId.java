package lupinwood.admission;

/** Identifies one attempt of one request; never reused within an incarnation of the node. */
public record RequestId(long number) {}
