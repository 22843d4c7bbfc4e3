package lupinwood.cluster;

/**
 * A node's leave to be out. It counts from when it is in the cluster state, before the node is
 * told, until the node is seen well under another life, an operator says that it is gone, or it was
 * never used.
 *
 * @param number counts up; names it
 * @param incarnation under which the node was when it was given; another life that is well gives it
 *     back
 * @param by who asked
 */
public record DisruptionPermit(
        long number, NodeName node, Incarnation incarnation, Site site, String by) {}
