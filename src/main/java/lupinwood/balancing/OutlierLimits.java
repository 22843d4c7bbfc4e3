package lupinwood.balancing;

import lupinwood.admission.NanoDuration;

/**
 * Bounds of a server pool.
 *
 * @param maxInFlight upper bound of a server's in-flight limit
 * @param consecutiveFailures number of failures in a row after which a server is ejected; on
 *     probation a single failure suffices
 * @param baseEjectionTime mean duration of the first ejection (jitter is at most a quarter of it);
 *     each further one lasts twice as long; each success that isn't slow takes back one doubling
 * @param maxEjectionTime upper bound of an ejection
 * @param retryRatio retries allowed for each first attempt
 */
public record OutlierLimits(
        int maxInFlight,
        int consecutiveFailures,
        NanoDuration baseEjectionTime,
        NanoDuration maxEjectionTime,
        double retryRatio) {
    public static final OutlierLimits DEFAULTS =
            new OutlierLimits(32, 4, NanoDuration.ofSeconds(0.5), NanoDuration.ofSeconds(30), 0.1);
}
