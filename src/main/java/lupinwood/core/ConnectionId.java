package lupinwood.core;

/** A dispatcher's connection, as its slot and the slot's generation. */
public record ConnectionId(long number) {}
