package lupinwood.rollout;

import lupinwood.cluster.NodeName;
import lupinwood.cluster.RequestCounts;
import lupinwood.cluster.Site;

/**
 * What one node did while a wave was observed.
 *
 * @param changed whether it was given the release and doesn't wait for a permit to restart with it
 * @param before its request counts over about {@link CanaryLimits#minWatch} before the first wave,
 *     with the previous version; null if unknown
 * @param after its request counts since the observation began
 * @param unpermittedRestarts restarts since the observation began; 0 before that, and while the
 *     node holds a disruption permit
 * @param isLost whether it has not been healthy (if changed: with the release) for at least the
 *     rejoin timeout
 */
public record NodeSample(
        NodeName node,
        Site site,
        boolean changed,
        RequestCounts before,
        RequestCounts after,
        int unpermittedRestarts,
        boolean isLost) {}
