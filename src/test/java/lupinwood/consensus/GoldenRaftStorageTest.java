package lupinwood.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import lupinwood.cluster.CapacityPlan;
import lupinwood.cluster.ClusterCommand;
import lupinwood.cluster.ClusterState;
import lupinwood.cluster.Cordon;
import lupinwood.cluster.DutyName;
import lupinwood.cluster.FencingToken;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A folder that an earlier version wrote gives the same voter and the same state. */
final class GoldenRaftStorageTest {
    private static final Path GOLDEN = Path.of("src/test/resources/golden/voter-folder");
    @TempDir private Path at;
    private RestoredRaftState stored;

    @BeforeEach
    void restore() throws IOException {
        try (Stream<Path> files = Files.list(GOLDEN)) {
            for (Path file : files.toList()) {
                Files.copy(file, at.resolve(file.getFileName().toString()));
            }
        }
        try (RaftStorage storage = RaftStorage.open(at, failure -> {})) {
            stored = storage.restore();
        }
    }

    @Test
    void theVoterItsTermAndItsVoteAreThere() {
        assertThat(ClusterBootstrap.of(stored)).isEqualTo(ClusterBootstrap.State.VOTES);
        assertThat(stored.getLocalEndpointPersistentState().getLocalEndpoint())
                .isEqualTo(new Voter("n0"));
        assertThat(stored.getLocalEndpointPersistentState().isVoting()).isTrue();
        assertThat(stored.getInitialGroupMembers().getVotingMembers())
                .containsExactly(new Voter("n0"), new Voter("n1"), new Voter("n2"));
        assertThat(stored.getTermPersistentState().getTerm()).isEqualTo(7);
        assertThat(stored.getTermPersistentState().getVotedFor()).isEqualTo(new Voter("n1"));
    }

    @Test
    void theSnapshotAndTheLogPastItAreThere() {
        long index = GoldenCommands.story().size();
        assertThat(stored.getSnapshotEntry().getIndex()).isEqualTo(index);
        assertThat(stored.getSnapshotEntry().getTerm()).isEqualTo(6);
        assertThat(stored.getSnapshotEntry().getGroupMembersView().getMembers())
                .containsExactly(new Voter("n0"), new Voter("n1"), new Voter("n2"));
        assertThat(snapshot()).isEqualTo(GoldenRaftStorage.snapshot());
        List<LogEntry> entries = stored.getLogEntries();
        assertThat(entries)
                .extracting(LogEntry::getOperation)
                .containsExactlyElementsOf(new ArrayList<Object>(GoldenRaftStorage.operations()));
        assertThat(entries).extracting(LogEntry::getTerm).containsOnly(7);
        assertThat(entries.get(0).getIndex()).isEqualTo(index + 1);
        assertThat(entries.get(entries.size() - 1).getIndex()).isEqualTo(index + entries.size());
    }

    @Test
    void theStateIsTheSame() {
        ClusterState book = new ClusterState(16);
        book.open(snapshot());
        int unknown = 0;
        for (LogEntry entry : stored.getLogEntries()) {
            String text = (String) entry.getOperation();
            if (!text.isEmpty() && !text.equals("term")) {
                ClusterCommand command = CommandCodec.command(text);
                if (command == null) {
                    unknown++;
                } else {
                    assertThat(book.apply(command)).as(text).isTrue();
                }
            }
        }
        assertThat(unknown).isEqualTo(1);
        assertThat(book.page()).isEqualTo(GoldenRaftStorage.latest());
        assertThat(book.members()).hasSize(5);
        assertThat(book.member(GoldenCommands.N0).life()).isEqualTo(GoldenCommands.LIFE);
        assertThat(book.member(GoldenCommands.N4).in()).isFalse();
        assertThat(book.duty(DutyName.STATUS_REPORTER))
                .isEqualTo(
                        new ClusterState.DutyLease(
                                DutyName.STATUS_REPORTER,
                                GoldenCommands.N0,
                                GoldenCommands.LIFE,
                                new FencingToken(1_790_000_000_001L)));
        assertThat(book.duty(DutyName.ROLLOUT_CONTROLLER).token())
                .isEqualTo(new FencingToken(1_790_000_000_002L));
        assertThat(book.duty(DutyName.PLANNER).token())
                .isEqualTo(new FencingToken(1_790_000_000_003L));
        assertThat(book.duty(DutyName.HEALTH_CHECK).holder()).isEqualTo(GoldenCommands.N1);
        assertThat(book.duty(DutyName.HEALTH_CHECK).token())
                .isEqualTo(new FencingToken(1_790_000_000_005L));
        assertThat(book.permits()).hasSize(1);
        assertThat(book.rests()).containsExactly(new Cordon("server-1", "ann"));
        assertThat(book.release()).isNull();
        assertThat(book.good()).isEqualTo("d1");
        assertThat(book.text("d1")).startsWith("class \"a\"");
        assertThat(book.wantedProgram(GoldenCommands.N0)).isEqualTo("0.6");
        assertThat(book.livePlans()).extracting(CapacityPlan::number).containsExactly(2L);
        assertThat(book.lastPlan()).isEqualTo(2);
        assertThat(book.digest()).isEqualTo("4 nodes known");
        assertThat(book.answer("order-4")).isEqualTo("server-1 rests");
    }

    @SuppressWarnings("unchecked") // the engine keeps the pieces as an object
    private ClusterState.Snapshot snapshot() {
        List<Object> pieces = new ArrayList<>();
        ((List<SnapshotChunk>) stored.getSnapshotEntry().getOperation())
                .forEach(chunk -> pieces.add(chunk.getOperation()));
        return CommandCodec.page(pieces);
    }
}
