package lupinwood.cluster;

import lupinwood.admission.NanoDuration;

/**
 * The timing of leases and heartbeats in a cluster.
 *
 * @param lease how long a duty is held without a reply from the consensus group
 * @param driftRatio how far the rates of two nodes' clocks may differ, as a ratio; both the holder
 *     and the consensus group allow for it
 * @param heartbeatInterval time between two heartbeats of a node that holds no duty
 * @param holderHeartbeatInterval time between two heartbeats of a node that holds a duty
 * @param silenceTimeout a node without a heartbeat for longer is unknown
 * @param ineligibility how long a node that failed at a duty doesn't get it again, the first time;
 *     doubles each time
 * @param maxIneligibility the bound of that doubling
 * @param mostMembers the most that the cluster state holds; a further node serves requests but
 *     doesn't become a member
 */
public record LeaseTiming(
        NanoDuration lease,
        double driftRatio,
        NanoDuration heartbeatInterval,
        NanoDuration holderHeartbeatInterval,
        NanoDuration silenceTimeout,
        NanoDuration ineligibility,
        NanoDuration maxIneligibility,
        int mostMembers) {
    private static final double MAX_DRIFT_RATIO = 0.2;

    public LeaseTiming {
        if (!lease.isPositive() || driftRatio < 0 || driftRatio > MAX_DRIFT_RATIO) {
            throw new IllegalArgumentException(
                    "expected a positive lease and a clock drift ratio from 0 to "
                            + MAX_DRIFT_RATIO
                            + ", found lease "
                            + lease
                            + " and drift ratio "
                            + driftRatio);
        }
    }

    /** Derives all other durations from the lease. */
    public static LeaseTiming of(NanoDuration lease, double driftRatio) {
        return new LeaseTiming(
                lease,
                driftRatio,
                lease.times(1.0 / 3),
                lease.times(1.0 / 6),
                lease.times(1.2),
                lease.times(2),
                lease.times(40),
                4096);
    }

    /**
     * How long a holder may act, from before it sent its heartbeat, on a clock that may run slow.
     */
    public NanoDuration holderLease() {
        return lease.times(1 - driftRatio);
    }

    /**
     * How long after its last reply the consensus group can be certain that the holder has stopped,
     * on a clock that may run fast.
     */
    public NanoDuration expiresAfter() {
        return lease.times(1 + driftRatio);
    }
}
