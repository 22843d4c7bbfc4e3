package lupinwood.cluster;

import lupinwood.admission.NanoDuration;

/**
 * What a fleet goes by.
 *
 * @param lease how long a duty is held without a word from the consensus group
 * @param drift how far apart two nodes' clocks may run, as a share; both sides reckon with it
 * @param heartbeatInterval how long between two words of a node that holds nothing
 * @param holderHeartbeatInterval the same of one that holds a duty
 * @param silent without a word for so long a node is unknown
 * @param shunned a node that failed at a duty doesn't get it again for so long, the first time;
 *     twice as long each time
 * @param shunnedMost and no longer than this
 * @param mostMembers the cluster state holds no more; a further node serves on and stands outside
 */
public record LeaseTiming(
        NanoDuration lease,
        double drift,
        NanoDuration heartbeatInterval,
        NanoDuration holderHeartbeatInterval,
        NanoDuration silent,
        NanoDuration shunned,
        NanoDuration shunnedMost,
        int mostMembers) {
    private static final double MOST_DRIFT = 0.2;

    public LeaseTiming {
        if (!lease.isPositive() || drift < 0 || drift > MOST_DRIFT) {
            throw new IllegalArgumentException("a lease of " + lease + " with a drift of " + drift);
        }
    }

    /** All else follows from the lease. */
    public static LeaseTiming of(NanoDuration lease, double drift) {
        return new LeaseTiming(
                lease,
                drift,
                lease.times(1.0 / 3),
                lease.times(1.0 / 6),
                lease.times(1.2),
                lease.times(2),
                lease.times(40),
                4096);
    }

    /** What a holder may count on, from before it asked, on a clock that may run slow. */
    public NanoDuration holderLease() {
        return lease.times(1 - drift);
    }

    /**
     * When the consensus group may count on the holder having stopped, on a clock that may run
     * fast.
     */
    public NanoDuration expiresAfter() {
        return lease.times(1 + drift);
    }
}
