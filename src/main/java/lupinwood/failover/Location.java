package lupinwood.failover;

import lupinwood.cluster.Site;

/**
 * A group of downstream servers.
 *
 * @param capacity its capacity in concurrent requests, as configured by the operator
 * @param nearSlots how many requests a node of the same zone may have in flight there without a
 *     plan
 * @param farSlots how many any other node may have in flight there without a plan
 * @param staysInRegion whether nodes of other regions may never send requests there
 */
public record Location(
        String name, Site site, int capacity, int nearSlots, int farSlots, boolean staysInRegion) {
    /** How many requests a node of the given site may have in flight here without a plan. */
    public int unplannedSlots(Site nodeSite) {
        return nodeSite.equals(site) ? nearSlots : canReach(nodeSite) ? farSlots : 0;
    }

    /** Whether nodes of the given site may send requests here at all. */
    public boolean canReach(Site nodeSite) {
        return !staysInRegion || nodeSite.region().equals(site.region());
    }

    /** 0 in the same zone, 1 in the same region, 2 elsewhere. */
    public int distance(Site nodeSite) {
        return nodeSite.equals(site) ? 0 : nodeSite.region().equals(site.region()) ? 1 : 2;
    }
}
