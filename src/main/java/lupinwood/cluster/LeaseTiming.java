package lupinwood.cluster;

import lupinwood.admission.NanoDuration;

/**
 * The timing of leases and heartbeats in a cluster.
 *
 * @param leaseDuration how long a duty is held without a reply from the consensus group
 * @param driftRatio how far the rate of any node's clock may deviate from true time, as a ratio;
 *     both the holder and the consensus group allow for it
 * @param heartbeatInterval time between two heartbeats of a node that holds no duty, is releasing
 *     none and isn't draining
 * @param holderHeartbeatInterval time between two heartbeats of a node that holds a duty, is
 *     releasing one or is draining
 * @param silenceTimeout a node without a heartbeat for longer is unknown
 * @param ineligibility how long a node is ineligible for a duty after its first failure at it; each
 *     further failure doubles this
 * @param maxIneligibility the longest ineligibility
 * @param maxMembers the highest number of members in the cluster state; any further node serves
 *     requests but doesn't become a member
 */
public record LeaseTiming(
        NanoDuration leaseDuration,
        double driftRatio,
        NanoDuration heartbeatInterval,
        NanoDuration holderHeartbeatInterval,
        NanoDuration silenceTimeout,
        NanoDuration ineligibility,
        NanoDuration maxIneligibility,
        int maxMembers) {
    private static final double MAX_DRIFT_RATIO = 0.2;

    public LeaseTiming {
        if (!leaseDuration.isPositive() || driftRatio < 0 || driftRatio > MAX_DRIFT_RATIO) {
            throw new IllegalArgumentException(
                    "expected a positive lease and a clock drift ratio from 0 to "
                            + MAX_DRIFT_RATIO
                            + ", found lease "
                            + leaseDuration
                            + " and drift ratio "
                            + driftRatio);
        }
    }

    /** Derives all other durations from the lease duration. */
    public static LeaseTiming of(NanoDuration leaseDuration, double driftRatio) {
        return new LeaseTiming(
                leaseDuration,
                driftRatio,
                leaseDuration.times(1.0 / 3),
                leaseDuration.times(1.0 / 6),
                leaseDuration.times(1.2),
                leaseDuration.times(2),
                leaseDuration.times(40),
                4096);
    }

    /**
     * How long a holder may act after it sent its heartbeat, by its own clock, which may run slow.
     */
    public NanoDuration holderLease() {
        return leaseDuration.times(1 - driftRatio);
    }

    /**
     * The time after the leader's last reply to the holder when the holder has certainly stopped,
     * by the leader's clock, which may run fast.
     */
    public NanoDuration expiresAfter() {
        return leaseDuration.times(1 + driftRatio);
    }
}
