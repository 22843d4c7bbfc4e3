package lupinwood.fleet;

import java.util.List;
import java.util.Map;
import lupinwood.node.Span;

/**
 * What the council says to a beat.
 *
 * @param number the beat's
 * @param taken whether the one who says it leads; else the beat counts for nothing
 * @param leader who leads, as far as the one who says it knows; null where nobody is known to
 * @param trouble why the node stands outside; empty where it doesn't
 * @param lease how long each grant is good, from before the beat was sent
 * @param grants what the node holds; a duty that isn't named isn't its
 * @param found what the holder of the duty trial found lately
 * @param leave the permit under which the node is to go; zero where it is to stay
 * @param wanted what the node is to run; null of an older version
 * @param share what the node may send where, for a lease from before its beat; null without a plan
 * @param others how many nodes the council heard lately
 */
public record Reply(
        long number,
        boolean taken,
        NodeName leader,
        String trouble,
        Span lease,
        List<Grant> grants,
        List<Finding> found,
        long leave,
        Wanted wanted,
        Share share,
        int others) {
    /**
     * A node's part of a plan.
     *
     * @param slots how many tickets at once it may have at a place
     */
    public record Share(long plan, Map<String, Integer> slots) {}

    /**
     * What a node is to run.
     *
     * @param runs the digest of the fleet's text that it is to go by; empty for none
     * @param checks the digest of a text that it is to check; empty for none
     * @param busy whether a release is open, or some node has yet to take what was agreed on
     * @param rests servers below to which it is to send nothing new
     */
    public record Wanted(String runs, String checks, boolean busy, List<String> rests) {
        Wanted busyOr(boolean also) {
            return new Wanted(runs, checks, busy || also, rests);
        }
    }

    static Reply notTaken(long number, NodeName leader) {
        return new Reply(
                number, false, leader, "", Span.ZERO, List.of(), List.of(), 0, null, null, 0);
    }
}
