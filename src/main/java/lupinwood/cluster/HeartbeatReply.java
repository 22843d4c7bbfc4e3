package lupinwood.cluster;

import java.util.List;
import java.util.Map;
import lupinwood.admission.NanoDuration;

/**
 * A voter's reply to a heartbeat.
 *
 * @param number of the heartbeat
 * @param taken whether the voter that replies leads; otherwise the heartbeat has no effect
 * @param leader the leader that this voter knows of; null where it knows none
 * @param trouble why the node is not accepted as a member; empty where it is
 * @param lease how long each lease lasts, from before the heartbeat was sent
 * @param leases what the node holds; it doesn't hold a duty that isn't named
 * @param found recent results of the holder of the health check duty
 * @param leave the number of the permit under which the node is to shut down; zero for none
 * @param wanted what the node is to run; null from a voter of an older version
 * @param share the node's part of the newest capacity plan, for a lease from before its heartbeat;
 *     null without a plan
 * @param others how many nodes the leader heard recently
 */
public record HeartbeatReply(
        long number,
        boolean taken,
        NodeName leader,
        String trouble,
        NanoDuration lease,
        List<Lease> leases,
        List<HealthCheckResult> found,
        long leave,
        Wanted wanted,
        CapacityShare share,
        int others) {
    /**
     * A node's part of a capacity plan.
     *
     * @param plan the number of the plan
     * @param slots how many concurrent requests the node may send, by location
     */
    public record CapacityShare(long plan, Map<String, Integer> slots) {}

    /**
     * What a node is to run.
     *
     * @param runs the digest of the shared configuration that it is to use; empty for none
     * @param checks the digest of a shared configuration that it is to check; empty for none
     * @param busy whether a rollout is in progress, or some node doesn't run yet what it is to run
     * @param cordons downstream servers to which it is to send no new requests
     */
    public record Wanted(String runs, String checks, boolean busy, List<String> cordons) {
        Wanted withBusy(boolean alsoBusy) {
            return new Wanted(runs, checks, busy || alsoBusy, cordons);
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
