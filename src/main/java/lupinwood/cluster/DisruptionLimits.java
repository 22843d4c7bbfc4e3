package lupinwood.cluster;

import java.util.List;

/**
 * How many nodes of a fleet may be unavailable at once.
 *
 * @param most the highest number of unavailable nodes in the whole fleet
 * @param share the highest unavailable share of the whole fleet, from 0 to 1
 * @param zoneMost the highest number of unavailable nodes in one zone
 * @param zoneShare the highest unavailable share of one zone, from 0 to 1; each share permits at
 *     least one unavailable node, if the other limits allow it
 * @param leastIn nodes of the whole fleet that must remain available
 * @param voters the voters; a majority of them must remain available, or the consensus group could
 *     decide nothing
 */
public record DisruptionLimits(
        int most,
        double share,
        int zoneMost,
        double zoneShare,
        int leastIn,
        List<NodeName> voters) {
    public static final DisruptionLimits DEFAULT =
            new DisruptionLimits(Integer.MAX_VALUE, 0.1, Integer.MAX_VALUE, 0.34, 1);

    public DisruptionLimits(int most, double share, int zoneMost, double zoneShare, int leastIn) {
        this(most, share, zoneMost, zoneShare, leastIn, List.of());
    }

    /**
     * How many nodes of the fleet may be unavailable at once.
     *
     * @param total nodes in the fleet
     */
    public int maxUnavailable(int total) {
        return Math.min(most, Math.max(1, (int) Math.floor(share * total + 1e-9)));
    }

    int maxUnavailableInZone(int total) {
        return Math.min(zoneMost, Math.max(1, (int) Math.floor(zoneShare * total + 1e-9)));
    }
}
