package lupinwood.admission;

/** Identifies the upstream load balancer that sent a request. */
public record UpstreamId(int number) {}
