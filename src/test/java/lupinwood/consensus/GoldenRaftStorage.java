package lupinwood.consensus;

import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import lupinwood.cluster.ClusterCommand;
import lupinwood.cluster.ClusterState;

/** The content of a voter's golden storage directory: a vote, a snapshot, and the log after it. */
final class GoldenRaftStorage {
    static final int TERM = 7;
    static final String VOTED_FOR = "n1";

    private GoldenRaftStorage() {}

    static RaftGroupMembersView voters() {
        Set<RaftEndpoint> voters = new LinkedHashSet<>();
        List.of("n0", "n1", "n2").forEach(id -> voters.add(new Voter(id)));
        return RaftCodec.MODEL_FACTORY
                .createRaftGroupMembersViewBuilder()
                .setLogIndex(0)
                .setMembers(voters)
                .setVotingMembers(voters)
                .build();
    }

    /** The first operation of a term, the commands, a query, and a command of a newer version. */
    static List<String> operations() {
        List<String> operations = new ArrayList<>();
        operations.add("term");
        GoldenCommands.afterSnapshot()
                .forEach(command -> operations.add(CommandCodec.encode(command)));
        operations.add("");
        operations.add("{\"deed\":\"Newer\",\"number\":1}");
        return operations;
    }

    /**
     * The cluster state in the stored snapshot. The snapshot's log index is the number of commands
     * that it covers.
     */
    static ClusterState.Snapshot snapshot() {
        return GoldenCommands.clusterState(GoldenCommands.beforeSnapshot()).snapshot();
    }

    static ClusterState.Snapshot latest() {
        List<ClusterCommand> commands = GoldenCommands.beforeSnapshot();
        commands.addAll(GoldenCommands.afterSnapshot());
        return GoldenCommands.clusterState(commands).snapshot();
    }

    /**
     * The program that generated the golden directory. Not run by any test; the directory must not
     * be regenerated.
     */
    static void write(Path directory) throws IOException {
        long index = GoldenCommands.beforeSnapshot().size();
        try (RaftStorage storage = RaftStorage.open(directory, failure -> {})) {
            ClusterBootstrap.persistFounders(
                    storage,
                    GoldenCommands.N0,
                    List.of(GoldenCommands.N0, GoldenCommands.N1, GoldenCommands.N2));
            storage.persistAndFlushTerm(
                    RaftCodec.MODEL_FACTORY
                            .createRaftTermPersistentStateBuilder()
                            .setTerm(TERM)
                            .setVotedFor(new Voter(VOTED_FOR))
                            .build());
            List<Object> chunks = CommandCodec.encodeSnapshot(snapshot());
            for (int i = 0; i < chunks.size(); i++) {
                storage.persistSnapshotChunk(
                        RaftCodec.MODEL_FACTORY
                                .createSnapshotChunkBuilder()
                                .setIndex(index)
                                .setTerm(TERM - 1)
                                .setOperation(chunks.get(i))
                                .setSnapshotChunkIndex(i)
                                .setSnapshotChunkCount(chunks.size())
                                .setGroupMembersView(voters())
                                .build());
            }
            List<LogEntry> entries = new ArrayList<>();
            for (String operation : operations()) {
                entries.add(GoldenRaft.entry(++index, operation));
            }
            storage.persistLogEntries(entries);
            storage.flush();
        }
    }
}
