package lupinwood.consensus;

import io.microraft.RaftEndpoint;
import lupinwood.cluster.NodeName;

/**
 * A voter as a MicroRaft endpoint. Its id is the node's name, followed by {@code ~} and a random
 * suffix if the voter once lost its storage.
 */
record Voter(String id) implements RaftEndpoint {
    @Override
    public Object getId() {
        return id;
    }

    NodeName name() {
        int suffixStart = id.indexOf('~');
        return new NodeName(suffixStart < 0 ? id : id.substring(0, suffixStart));
    }

    static Voter of(RaftEndpoint endpoint) {
        return endpoint == null ? null : (Voter) endpoint;
    }
}
