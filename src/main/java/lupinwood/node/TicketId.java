package lupinwood.node;

/** One try of one ticket, as the machine numbers it; never used again in the same life. */
public record TicketId(long number) {}
