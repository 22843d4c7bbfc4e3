package lupinwood.cluster;

import lupinwood.admission.NanoDuration;

/**
 * What the holder of the duty trial found at a server that others may have left out.
 *
 * @param server as the operator's file names it
 * @param token under which it was tried
 * @param age how long ago, when it was told
 */
public record HealthCheckResult(String server, boolean well, FencingToken token, NanoDuration age) {
    HealthCheckResult aged(NanoDuration more) {
        return new HealthCheckResult(server, well, token, age.plus(more));
    }
}
