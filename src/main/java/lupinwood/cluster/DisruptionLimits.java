package lupinwood.cluster;

import java.util.List;

/**
 * How much of a fleet may be out at once.
 *
 * @param most nodes of the whole fleet, as a number
 * @param share of the whole fleet, from 0 to 1
 * @param zoneMost nodes of one zone, as a number
 * @param zoneShare of one zone, from 0 to 1; one node of a zone may go in any case, if all else
 *     allows it
 * @param leastIn so many have to stay in, in the whole fleet
 * @param voters of these a majority has to stay in, or nothing could be agreed on any more
 */
public record DisruptionLimits(
        int most,
        double share,
        int zoneMost,
        double zoneShare,
        int leastIn,
        List<NodeName> voters) {
    public static final DisruptionLimits USUAL =
            new DisruptionLimits(Integer.MAX_VALUE, 0.1, Integer.MAX_VALUE, 0.34, 1);

    public DisruptionLimits(int most, double share, int zoneMost, double zoneShare, int leastIn) {
        this(most, share, zoneMost, zoneShare, leastIn, List.of());
    }

    /** Of so many nodes in all. */
    public int mostOf(int all) {
        return Math.min(most, Math.max(1, (int) Math.floor(share * all + 1e-9)));
    }

    int mostOfZone(int all) {
        return Math.min(zoneMost, Math.max(1, (int) Math.floor(zoneShare * all + 1e-9)));
    }
}
