package lupinwood.cluster;

/**
 * Permission for a node to be unavailable. It counts from when it is in the cluster state, before
 * the node learns of it, until the node is healthy again under another incarnation, an operator
 * declares the node gone, or the permit stayed unused for too long.
 *
 * @param number identifies the permit; increases with each one
 * @param incarnation of the node when the permit was granted; once another one is healthy the
 *     permit is returned
 * @param by who ordered it
 */
public record DisruptionPermit(
        long number, NodeName node, Incarnation incarnation, Site site, String by) {}
