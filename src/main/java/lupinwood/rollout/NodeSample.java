package lupinwood.rollout;

import lupinwood.cluster.NodeName;
import lupinwood.cluster.RequestCounts;
import lupinwood.cluster.Site;

/**
 * One node over a watch.
 *
 * @param changed whether it has what is released
 * @param before what it answered over as long a time before the wave, on the old; null where that
 *     isn't known
 * @param after what it answered during the watch
 * @param restarts how often it was started anew during the watch without having been let go
 * @param lost whether it isn't well, and hasn't been for a while
 */
public record NodeSample(
        NodeName node,
        Site site,
        boolean changed,
        RequestCounts before,
        RequestCounts after,
        int restarts,
        boolean lost) {}
