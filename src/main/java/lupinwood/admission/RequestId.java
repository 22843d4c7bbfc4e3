package lupinwood.admission;

/** One try of one request, as the machine numbers it; never used again in the same life. */
public record RequestId(long number) {}
