package lupinwood.council;

import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import lupinwood.fleet.Book;
import lupinwood.fleet.Deed;

/** What the golden folder of a voter holds: a vote, a snapshot, and a log past it. */
final class GoldenFolder {
    static final int TERM = 7;
    static final String VOTED_FOR = "n1";

    private GoldenFolder() {}

    static RaftGroupMembersView voters() {
        Set<RaftEndpoint> voters = new LinkedHashSet<>();
        List.of("n0", "n1", "n2").forEach(id -> voters.add(new Voter(id)));
        return RaftText.MODEL
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
        GoldenCommands.afterTheSnapshot().forEach(deed -> operations.add(DeedText.of(deed)));
        operations.add("");
        operations.add("{\"deed\":\"Newer\",\"number\":1}");
        return operations;
    }

    /** The state that the snapshot holds, whose last entry has the number of the story's length. */
    static Book.Page snapshot() {
        return GoldenCommands.book(GoldenCommands.story()).page();
    }

    static Book.Page latest() {
        List<Deed> deeds = GoldenCommands.story();
        deeds.addAll(GoldenCommands.afterTheSnapshot());
        return GoldenCommands.book(deeds).page();
    }

    /** Was run once, with the code of the version before the first that renamed a type. */
    static void write(Path at) throws IOException {
        long index = GoldenCommands.story().size();
        try (Folder folder = Folder.open(at, failure -> {})) {
            Founding.write(
                    folder,
                    GoldenCommands.N0,
                    List.of(GoldenCommands.N0, GoldenCommands.N1, GoldenCommands.N2));
            folder.persistAndFlushTerm(
                    RaftText.MODEL
                            .createRaftTermPersistentStateBuilder()
                            .setTerm(TERM)
                            .setVotedFor(new Voter(VOTED_FOR))
                            .build());
            List<Object> pieces = DeedText.pieces(snapshot());
            for (int i = 0; i < pieces.size(); i++) {
                folder.persistSnapshotChunk(
                        RaftText.MODEL
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
            folder.persistLogEntries(entries);
            folder.flush();
        }
    }
}
