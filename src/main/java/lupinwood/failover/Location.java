package lupinwood.failover;

import lupinwood.cluster.Site;

/**
 * Something below that carries out requests.
 *
 * @param bears how many requests at once it can bear, as the operator says
 * @param near how many a node of its own zone may have there without a plan
 * @param far how many any other node may
 * @param staysInRegion whether nodes of other regions may never send there
 */
public record Location(
        String name, Site site, int bears, int near, int far, boolean staysInRegion) {
    /** What a node there may have without a plan. */
    public int alone(Site node) {
        return node.equals(site) ? near : mayReach(node) ? far : 0;
    }

    /** Whether a node there may ever send to it. */
    public boolean mayReach(Site node) {
        return !staysInRegion || node.region().equals(site.region());
    }

    /** 0 in the same zone, 1 in the same region, 2 elsewhere. */
    public int distance(Site node) {
        return node.equals(site) ? 0 : node.region().equals(site.region()) ? 1 : 2;
    }
}
