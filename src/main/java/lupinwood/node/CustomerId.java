package lupinwood.node;

/** A customer, by its place in the settings. */
public record CustomerId(int number) {}
