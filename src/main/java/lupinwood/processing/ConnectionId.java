package lupinwood.processing;

/**
 * Identifies a connection of an upstream load balancer. The number holds the slot in the connection
 * table and the slot's generation.
 */
public record ConnectionId(long number) {}
