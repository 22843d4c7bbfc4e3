package lupinwood.cluster;

import java.util.List;
import java.util.Map;
import lupinwood.admission.NanoDuration;

/**
 * What the consensus group says to a heartbeat.
 *
 * @param number the heartbeat's
 * @param taken whether the one who says it leads; else the heartbeat counts for nothing
 * @param leader who leads, as far as the one who says it knows; null where nobody is known to
 * @param trouble why the node stands outside; empty where it doesn't
 * @param lease how long each grant is good, from before the heartbeat was sent
 * @param leases what the node holds; a duty that isn't named isn't its
 * @param found what the holder of the duty trial found lately
 * @param leave the permit under which the node is to go; zero where it is to stay
 * @param wanted what the node is to run; null of an older version
 * @param share what the node may send where, for a lease from before its heartbeat; null without a
 *     plan
 * @param others how many nodes the consensus group heard lately
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
     * A node's part of a plan.
     *
     * @param slots how many requests at once it may have at a place
     */
    public record CapacityShare(long plan, Map<String, Integer> slots) {}

    /**
     * What a node is to run.
     *
     * @param runs the digest of the fleet's text that it is to go by; empty for none
     * @param checks the digest of a text that it is to check; empty for none
     * @param busy whether a release is open, or some node has yet to take what was agreed on
     * @param cordons servers below to which it is to send nothing new
     */
    public record Wanted(String runs, String checks, boolean busy, List<String> cordons) {
        Wanted busyOr(boolean also) {
            return new Wanted(runs, checks, busy || also, cordons);
        }
    }

    static HeartbeatReply notTaken(long number, NodeName leader) {
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
