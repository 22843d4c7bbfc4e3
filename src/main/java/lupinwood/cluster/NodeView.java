package lupinwood.cluster;

import lupinwood.admission.NanoDuration;

/**
 * One node in the fleet's picture.
 *
 * @param heard how long ago it was heard; null where this leader never heard it
 * @param report null where it told none
 */
public record NodeView(
        NodeName name,
        Incarnation incarnation,
        Site site,
        NodeStatus status,
        NanoDuration heard,
        NodeReport report) {}
