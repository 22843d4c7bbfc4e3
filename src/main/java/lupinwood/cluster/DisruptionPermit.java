package lupinwood.cluster;

/**
 * Permission for a node to be unavailable. It is in force as soon as it is in the cluster state,
 * even before the node learns of it. It ends when another incarnation of the node has been healthy
 * for a while, an operator removes the node, or the permit stays unused for too long.
 *
 * @param number identifies the permit; increases with each permit
 * @param incarnation of the node when the permit was granted; once another one is healthy, the
 *     permit is returned
 * @param by who ordered it
 */
public record DisruptionPermit(
        long number, NodeName node, Incarnation incarnation, Site site, String by) {}
