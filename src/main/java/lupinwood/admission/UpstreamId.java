package lupinwood.admission;

/** The upstream load balancer that sent a request. */
public record UpstreamId(int number) {}
