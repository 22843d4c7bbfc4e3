package lupinwood.cluster;

import java.util.List;
import java.util.Map;
import lupinwood.admission.NanoDuration;

/**
 * A voter's reply to a heartbeat.
 *
 * @param number the number of the heartbeat that this answers
 * @param accepted whether the voter that replies leads; otherwise the heartbeat has no effect
 * @param leader the leader that this voter knows of; null where it knows none
 * @param rejectionReason why the node is not accepted as a member; empty where it is
 * @param leaseDuration how long each lease lasts, counted from when the node sent the heartbeat
 * @param leases the leases granted to the node, including one that it is releasing or has failed
 *     at, until the leader decides to end it; the node holds no duty that isn't listed
 * @param healthChecks recent results of the holder of the health check duty
 * @param leavePermit the number of the permit under which the node is to shut down; zero for none
 * @param desiredState what the node is to run, and which servers are cordoned; null from a voter of
 *     an older version
 * @param capacityShare the node's part of the newest capacity plan, valid for one lease duration
 *     from when the node sent the heartbeat; null without a plan, or if the node isn't accepted as
 *     a member
 * @param freshNodes how many nodes the leader heard recently, including the node that it replies to
 */
public record HeartbeatReply(
        long number,
        boolean accepted,
        NodeName leader,
        String rejectionReason,
        NanoDuration leaseDuration,
        List<Lease> leases,
        List<HealthCheckResult> healthChecks,
        long leavePermit,
        DesiredState desiredState,
        CapacityShare capacityShare,
        int freshNodes) {
    /**
     * A node's part of a capacity plan.
     *
     * @param plan the number of the plan
     * @param slots how many concurrent requests the node may send, by location
     */
    public record CapacityShare(long plan, Map<String, Integer> slots) {}

    /**
     * What a node is to run, and which servers are cordoned.
     *
     * @param configDigest the digest of the shared configuration that it is to use; empty for none
     * @param digestToCheck the digest of a shared configuration that it is to check; empty for none
     * @param busy whether a rollout is in progress, or some node doesn't yet run the configuration
     *     that it is to run
     * @param cordons downstream servers to which it is to send no new requests
     */
    public record DesiredState(
            String configDigest, String digestToCheck, boolean busy, List<String> cordons) {
        DesiredState busyIf(boolean alsoBusy) {
            return new DesiredState(configDigest, digestToCheck, busy || alsoBusy, cordons);
        }
    }

    /** The reply of a voter that doesn't lead. */
    static HeartbeatReply notLeading(long number, NodeName leader) {
        return new HeartbeatReply(
                number,
                false,
                leader,
                "",
                NanoDuration.ZERO,
                List.of(),
                List.of(),
                0,
                null,
                null,
                0);
    }
}
