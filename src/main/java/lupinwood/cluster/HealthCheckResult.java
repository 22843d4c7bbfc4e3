package lupinwood.cluster;

import lupinwood.admission.NanoDuration;

/**
 * What the holder of the health check duty found at a server that other nodes may have ejected.
 *
 * @param server its name in the operator's configuration
 * @param passed whether the check passed
 * @param token the one under which the check was made
 * @param age time from the check until the heartbeat or reply that contains it was sent
 */
public record HealthCheckResult(
        String server, boolean passed, FencingToken token, NanoDuration age) {
    HealthCheckResult agedBy(NanoDuration elapsed) {
        return new HealthCheckResult(server, passed, token, age.plus(elapsed));
    }
}
