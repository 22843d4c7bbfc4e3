package lupinwood.processing;

/** An upstream load balancer's connection, as its slot and the slot's generation. */
public record ConnectionId(long number) {}
