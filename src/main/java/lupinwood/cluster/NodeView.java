package lupinwood.cluster;

import lupinwood.admission.NanoDuration;

/**
 * One node as the leader sees it.
 *
 * @param sinceHeartbeat time since the last heartbeat; null where this leader got none from this
 *     incarnation
 * @param report null where the node sent none
 */
public record NodeView(
        NodeName name,
        Incarnation incarnation,
        Site site,
        NodeStatus status,
        NanoDuration sinceHeartbeat,
        NodeReport report) {}
