package lupinwood.release;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import lupinwood.fleet.NodeName;
import lupinwood.fleet.Permit;
import lupinwood.fleet.Release;
import lupinwood.fleet.Seen;
import lupinwood.fleet.Tally;

/**
 * What the conductor goes by: the book and what the one who leads sees.
 *
 * @param release null while none is open
 * @param good the digest of the text that all run while no release is open
 * @param haltedBy empty while nothing is halted
 * @param mostOut so many nodes may be out at once
 * @param past what each node answered over a watch before the first wave; null where it wasn't
 *     asked for
 */
public record Picture(
        Release release,
        String good,
        String haltedBy,
        List<Seen> seen,
        Collection<Permit> permits,
        int mostOut,
        Map<String, Tally> past) {
    Optional<Seen> of(NodeName node) {
        return seen.stream().filter(one -> one.name().equals(node)).findFirst();
    }

    boolean hasPermit(NodeName node) {
        return permits.stream().anyMatch(permit -> permit.node().equals(node));
    }
}
