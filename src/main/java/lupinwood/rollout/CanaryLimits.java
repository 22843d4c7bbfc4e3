package lupinwood.rollout;

import lupinwood.admission.NanoDuration;

/**
 * What a release goes by.
 *
 * @param watch how long a wave is watched at the least
 * @param watchMost how long it may be watched while it isn't sure; then the release halts
 * @param harm a share of requests that may not go wrong beside what goes wrong anyway; from 0 to 1
 * @param slower by how much the mean time to answer may not grow, as a share
 * @param well how long a node that got it has to be well before it counts
 * @param rejoin how long a node may take to run what it got, beside the time it waits for its
 *     permit
 */
public record CanaryLimits(
        NanoDuration watch,
        NanoDuration watchMost,
        double harm,
        double slower,
        NanoDuration well,
        NanoDuration rejoin) {
    /**
     * Makes the limits that follow from the settings.
     *
     * @param lease the fleet's, which some follow from
     */
    public static CanaryLimits of(
            NanoDuration watch, NanoDuration watchMost, double harm, NanoDuration lease) {
        return new CanaryLimits(watch, watchMost, harm, 0.5, lease, lease.times(10).max(watch));
    }
}
