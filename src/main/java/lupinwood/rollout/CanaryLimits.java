package lupinwood.rollout;

import lupinwood.admission.NanoDuration;

/**
 * Bounds of a rollout.
 *
 * @param minWatch how long each wave is observed at least; also the length of the baseline before
 *     the first wave
 * @param maxWatch how long a wave may be observed while canary analysis is inconclusive; then the
 *     rollout halts. Also how long the nodes may take to accept the release before it is refused;
 *     and, plus the rejoin timeout, how long the nodes with the release may take to become healthy
 *     before the rollout halts
 * @param maxHarmRatio the growth of the share of requests that were not served in time, over that
 *     of unchanged nodes, that must be ruled out before the next wave; from 0 to 1. The rollout is
 *     stopped once more than half of it is observed and more than a tenth of it is shown with high
 *     confidence
 * @param maxSlowdownRatio the growth of the mean time to respond, as a share of that of unchanged
 *     nodes, that must be ruled out before the next wave. The rollout is stopped as for {@code
 *     maxHarmRatio}, by the logarithm of the growth: half of 50% is about 22%
 * @param minHealthyTime how long a changed node has to be healthy before it counts as healthy
 * @param rejoinTimeout how long a changed node may be without having been healthy for {@code
 *     minHealthyTime} with the version that it is to run, not counting the wait for its disruption
 *     permit; and how long an unchanged node may be unhealthy. After that it counts as lost; in a
 *     rollback, the rollout halts
 */
public record CanaryLimits(
        NanoDuration minWatch,
        NanoDuration maxWatch,
        double maxHarmRatio,
        double maxSlowdownRatio,
        NanoDuration minHealthyTime,
        NanoDuration rejoinTimeout) {
    /**
     * Returns the limits that follow from the settings; the tolerated slowdown is fixed.
     *
     * @param lease the cluster's lease, from which the healthy time and the rejoin timeout follow
     */
    public static CanaryLimits of(
            NanoDuration minWatch, NanoDuration maxWatch, double maxHarmRatio, NanoDuration lease) {
        return new CanaryLimits(
                minWatch, maxWatch, maxHarmRatio, 0.5, lease, lease.times(10).max(minWatch));
    }
}
