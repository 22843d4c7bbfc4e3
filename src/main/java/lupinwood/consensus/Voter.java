package lupinwood.consensus;

import io.microraft.RaftEndpoint;
import lupinwood.cluster.NodeName;

/**
 * A voter as the library names it. Its id is the node's name, and a mark behind {@code ~} where its
 * folder was lost.
 */
record Voter(String id) implements RaftEndpoint {
    @Override
    public Object getId() {
        return id;
    }

    NodeName name() {
        int mark = id.indexOf('~');
        return new NodeName(mark < 0 ? id : id.substring(0, mark));
    }

    static Voter of(RaftEndpoint endpoint) {
        return endpoint == null ? null : (Voter) endpoint;
    }
}
