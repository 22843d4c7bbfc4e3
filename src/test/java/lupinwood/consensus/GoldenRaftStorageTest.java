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

/** The storage directory of an earlier version restores the same voter and the same state. */
final class GoldenRaftStorageTest {
    private static final Path GOLDEN = Path.of("src/test/resources/golden/voter-folder");
    @TempDir private Path directory;
    private RestoredRaftState restored;

    @BeforeEach
    void restore() throws IOException {
        try (Stream<Path> files = Files.list(GOLDEN)) {
            for (Path file : files.toList()) {
                Files.copy(file, directory.resolve(file.getFileName().toString()));
            }
        }
        try (RaftStorage storage = RaftStorage.open(directory, failure -> {})) {
            restored = storage.restore();
        }
    }

    @Test
    void restoresVoterTermAndVote() {
        assertThat(ClusterBootstrap.stateOf(restored)).isEqualTo(ClusterBootstrap.State.VOTES);
        assertThat(restored.getLocalEndpointPersistentState().getLocalEndpoint())
                .isEqualTo(new Voter("n0"));
        assertThat(restored.getLocalEndpointPersistentState().isVoting()).isTrue();
        assertThat(restored.getInitialGroupMembers().getVotingMembers())
                .containsExactly(new Voter("n0"), new Voter("n1"), new Voter("n2"));
        assertThat(restored.getTermPersistentState().getTerm()).isEqualTo(7);
        assertThat(restored.getTermPersistentState().getVotedFor()).isEqualTo(new Voter("n1"));
    }

    @Test
    void restoresTheSnapshotAndTheLogAfterIt() {
        long index = GoldenCommands.beforeSnapshot().size();
        assertThat(restored.getSnapshotEntry().getIndex()).isEqualTo(index);
        assertThat(restored.getSnapshotEntry().getTerm()).isEqualTo(6);
        assertThat(restored.getSnapshotEntry().getGroupMembersView().getMembers())
                .containsExactly(new Voter("n0"), new Voter("n1"), new Voter("n2"));
        assertThat(snapshot()).isEqualTo(GoldenRaftStorage.snapshot());
        List<LogEntry> entries = restored.getLogEntries();
        assertThat(entries)
                .extracting(LogEntry::getOperation)
                .containsExactlyElementsOf(new ArrayList<Object>(GoldenRaftStorage.operations()));
        assertThat(entries).extracting(LogEntry::getTerm).containsOnly(7);
        assertThat(entries.get(0).getIndex()).isEqualTo(index + 1);
        assertThat(entries.get(entries.size() - 1).getIndex()).isEqualTo(index + entries.size());
    }

    @Test
    void replayingTheLogGivesTheSameState() {
        ClusterState clusterState = new ClusterState(16);
        clusterState.restore(snapshot());
        int unknownCommands = 0;
        for (LogEntry entry : restored.getLogEntries()) {
            String text = (String) entry.getOperation();
            if (!text.isEmpty() && !text.equals("term")) {
                ClusterCommand command = CommandCodec.decode(text);
                if (command == null) {
                    unknownCommands++;
                } else {
                    assertThat(clusterState.apply(command)).as(text).isTrue();
                }
            }
        }
        assertThat(unknownCommands).isEqualTo(1);
        assertThat(clusterState.snapshot()).isEqualTo(GoldenRaftStorage.latest());
        assertThat(clusterState.members()).hasSize(5);
        assertThat(clusterState.member(GoldenCommands.N0).incarnation())
                .isEqualTo(GoldenCommands.INCARNATION);
        assertThat(clusterState.member(GoldenCommands.N4).active()).isFalse();
        assertThat(clusterState.duty(DutyName.STATUS_REPORTER))
                .isEqualTo(
                        new ClusterState.DutyLease(
                                DutyName.STATUS_REPORTER,
                                GoldenCommands.N0,
                                GoldenCommands.INCARNATION,
                                new FencingToken(1_790_000_000_001L)));
        assertThat(clusterState.duty(DutyName.ROLLOUT_CONTROLLER).token())
                .isEqualTo(new FencingToken(1_790_000_000_002L));
        assertThat(clusterState.duty(DutyName.PLANNER).token())
                .isEqualTo(new FencingToken(1_790_000_000_003L));
        assertThat(clusterState.duty(DutyName.HEALTH_CHECK).holder()).isEqualTo(GoldenCommands.N1);
        assertThat(clusterState.duty(DutyName.HEALTH_CHECK).token())
                .isEqualTo(new FencingToken(1_790_000_000_005L));
        assertThat(clusterState.permits()).hasSize(1);
        assertThat(clusterState.cordons()).containsExactly(new Cordon("server-1", "ann"));
        assertThat(clusterState.rollout()).isNull();
        assertThat(clusterState.goodConfigDigest()).isEqualTo("d1");
        assertThat(clusterState.configText("d1")).startsWith("class \"a\"");
        assertThat(clusterState.wantedProgram(GoldenCommands.N0)).isEqualTo("0.6");
        assertThat(clusterState.livePlans()).extracting(CapacityPlan::number).containsExactly(2L);
        assertThat(clusterState.lastPlanNumber()).isEqualTo(2);
        assertThat(clusterState.digest()).isEqualTo("4 nodes known");
        assertThat(clusterState.orderResult("order-4")).isEqualTo("server-1 rests");
    }

    @SuppressWarnings("unchecked") // MicroRaft types the chunks as Object
    private ClusterState.Snapshot snapshot() {
        List<Object> chunks = new ArrayList<>();
        ((List<SnapshotChunk>) restored.getSnapshotEntry().getOperation())
                .forEach(chunk -> chunks.add(chunk.getOperation()));
        return CommandCodec.decodeSnapshot(chunks);
    }
}
