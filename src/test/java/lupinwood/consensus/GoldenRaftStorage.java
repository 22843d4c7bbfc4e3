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

/** What the golden folder of a voter holds: a vote, a snapshot, and a log past it. */
final class GoldenRaftStorage {
    static final int TERM = 7;
    static final String VOTED_FOR = "n1";

    private GoldenRaftStorage() {}

    static RaftGroupMembersView voters() {
        Set<RaftEndpoint> voters = new LinkedHashSet<>();
        List.of("n0", "n1", "n2").forEach(id -> voters.add(new Voter(id)));
        return RaftCodec.MODEL
                .createRaftGroupMembersViewBuilder()
                .setLogIndex(0)
                .setMembers(voters)
                .setVotingMembers(voters)
                .build();
    }

    /** The term's first entry, the commands, a question, and a command of a newer version. */
    static List<String> operations() {
        List<String> operations = new ArrayList<>();
        operations.add("term");
        GoldenCommands.afterTheSnapshot()
                .forEach(command -> operations.add(CommandCodec.of(command)));
        operations.add("");
        operations.add("{\"deed\":\"Newer\",\"number\":1}");
        return operations;
    }

    /** The state that the snapshot holds, whose last entry has the number of the story's length. */
    static ClusterState.Snapshot snapshot() {
        return GoldenCommands.clusterState(GoldenCommands.story()).snapshot();
    }

    static ClusterState.Snapshot latest() {
        List<ClusterCommand> commands = GoldenCommands.story();
        commands.addAll(GoldenCommands.afterTheSnapshot());
        return GoldenCommands.clusterState(commands).snapshot();
    }

    /** Was run once, with the code of the version before the first that renamed a type. */
    static void write(Path at) throws IOException {
        long index = GoldenCommands.story().size();
        try (RaftStorage storage = RaftStorage.open(at, failure -> {})) {
            ClusterBootstrap.write(
                    storage,
                    GoldenCommands.N0,
                    List.of(GoldenCommands.N0, GoldenCommands.N1, GoldenCommands.N2));
            storage.persistAndFlushTerm(
                    RaftCodec.MODEL
                            .createRaftTermPersistentStateBuilder()
                            .setTerm(TERM)
                            .setVotedFor(new Voter(VOTED_FOR))
                            .build());
            List<Object> pieces = CommandCodec.pieces(snapshot());
            for (int i = 0; i < pieces.size(); i++) {
                storage.persistSnapshotChunk(
                        RaftCodec.MODEL
                                .createSnapshotChunkBuilder()
                                .setIndex(index)
                                .setTerm(TERM - 1)
                                .setOperation(pieces.get(i))
                                .setSnapshotChunkIndex(i)
                                .setSnapshotChunkCount(pieces.size())
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
