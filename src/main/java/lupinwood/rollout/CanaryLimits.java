package lupinwood.rollout;

import lupinwood.admission.NanoDuration;

/**
 * Bounds of a rollout.
 *
 * @param minWatch how long each wave is observed at least; also the length of the baseline before
 *     the first wave
 * @param maxWatch how long a wave may be observed while canary analysis is inconclusive; then the
 *     rollout halts. Also how long the nodes may take to accept the release, which is refused then;
 *     and, with the rejoin timeout added, how long the nodes with the release may take to be
 *     healthy, before the rollout halts
 * @param maxHarmRatio by how much the share of requests that were not served in time may grow over
 *     that of unchanged nodes; from 0 to 1
 * @param maxSlowdownRatio by how much the mean time to respond may grow, as a share of it
 * @param minHealthyTime how long a changed node has to be healthy before it counts as healthy
 * @param rejoinTimeout how long a node may take until it runs what it was given, without the time
 *     that it waits for its disruption permit
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
