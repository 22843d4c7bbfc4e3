package lupinwood.cluster;

import lupinwood.admission.NanoDuration;

/**
 * One node as the leader sees it.
 *
 * @param heard time since the last heartbeat; null where this leader got none from this incarnation
 * @param report null where the node sent none
 */
public record NodeView(
        NodeName name,
        Incarnation incarnation,
        Site site,
        NodeStatus status,
        NanoDuration heard,
        NodeReport report) {}
