package lupinwood.rollout;

import lupinwood.cluster.NodeName;
import lupinwood.cluster.RequestCounts;
import lupinwood.cluster.Site;

/**
 * What one node did while a wave was observed.
 *
 * @param changed whether it has the release
 * @param before its request counts over an equally long time before the rollout, with the previous
 *     version; null if unknown
 * @param after its request counts since the observation began
 * @param unpermittedRestarts restarts during the observation without a disruption permit
 * @param isLost whether it has not been healthy for a while
 */
public record NodeSample(
        NodeName node,
        Site site,
        boolean changed,
        RequestCounts before,
        RequestCounts after,
        int unpermittedRestarts,
        boolean isLost) {}
