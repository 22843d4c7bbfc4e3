package lupinwood.node;

/** The dispatcher that sent a ticket. */
public record CallerId(int number) {}
