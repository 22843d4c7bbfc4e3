package lupinwood.consensus;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.cluster.NodeName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class RaftStorageTest {
    private static final NodeName SELF = new NodeName("a");
    private static final List<NodeName> ALL = List.of(SELF, new NodeName("b"), new NodeName("c"));
    @TempDir private Path directory;
    private final List<String> failures = new ArrayList<>();

    private RaftStorage open() throws IOException {
        return RaftStorage.open(directory, failures::add);
    }

    private static LogEntry entry(long index) {
        return RaftCodec.MODEL_FACTORY
                .createLogEntryBuilder()
                .setIndex(index)
                .setTerm(3)
                .setOperation("op " + index)
                .build();
    }

    private static void vote(RaftStorage storage, int term, String votedFor) throws IOException {
        storage.persistAndFlushTerm(
                RaftCodec.MODEL_FACTORY
                        .createRaftTermPersistentStateBuilder()
                        .setTerm(term)
                        .setVotedFor(votedFor == null ? null : new Voter(votedFor))
                        .build());
    }

    @Test
    void restoresDurableWritesAndReportsTheVoterState() throws Exception {
        try (RaftStorage storage = open()) {
            assertThat(storage.restore()).isNull();
            assertThat(ClusterBootstrap.stateOf(storage.restore()))
                    .isEqualTo(ClusterBootstrap.State.EMPTY);
            ClusterBootstrap.persistFounders(storage, SELF, ALL);
            assertThat(ClusterBootstrap.stateOf(storage.restore()))
                    .isEqualTo(ClusterBootstrap.State.FOUNDS);
            vote(storage, 3, "b");
            for (int i = 1; i <= 9; i++) {
                storage.persistLogEntries(List.of(entry(i)));
            }
            storage.truncateLogEntriesFrom(8);
            Set<RaftEndpoint> voters = Set.of(new Voter("a"), new Voter("b"), new Voter("c"));
            for (int i = 0; i < 2; i++) {
                SnapshotChunk chunk =
                        RaftCodec.MODEL_FACTORY
                                .createSnapshotChunkBuilder()
                                .setIndex(4)
                                .setTerm(3)
                                .setOperation("page " + i)
                                .setSnapshotChunkIndex(i)
                                .setSnapshotChunkCount(2)
                                .setGroupMembersView(
                                        RaftCodec.MODEL_FACTORY
                                                .createRaftGroupMembersViewBuilder()
                                                .setLogIndex(0)
                                                .setMembers(voters)
                                                .setVotingMembers(voters)
                                                .build())
                                .build();
                storage.persistSnapshotChunk(chunk);
            }
            storage.flush();
        }
        try (RaftStorage storage = open()) {
            RestoredRaftState restored = storage.restore();
            assertThat(ClusterBootstrap.stateOf(restored)).isEqualTo(ClusterBootstrap.State.VOTES);
            assertThat(restored.getTermPersistentState().getTerm()).isEqualTo(3);
            assertThat(restored.getTermPersistentState().getVotedFor()).isEqualTo(new Voter("b"));
            assertThat(restored.getSnapshotEntry().getIndex()).isEqualTo(4);
            assertThat(restored.getLogEntries())
                    .extracting(LogEntry::getIndex)
                    .containsExactly(5L, 6L, 7L);
            assertThat(restored.getLogEntries().get(0).getOperation()).isEqualTo("op 5");
        }
    }

    @Test
    void rejectsASecondProcessAndAForeignFile() throws Exception {
        try (RaftStorage storage = open()) {
            assertThatThrownBy(this::open)
                    .isInstanceOf(IOException.class)
                    .hasMessageContaining("is in use by another process");
            vote(storage, 1, null);
        }
        Files.write(directory.resolve("council.mv"), new byte[9000]);
        assertThatThrownBy(this::open)
                .isInstanceOf(IOException.class)
                .hasMessageContaining("cannot be read");
    }

    @Test
    void truncatedFileGivesAConsistentEarlierStateOrIsRejected() throws Exception {
        try (RaftStorage storage = open()) {
            ClusterBootstrap.persistFounders(storage, SELF, ALL);
            for (int i = 1; i <= 40; i++) {
                vote(storage, i, "b");
                storage.persistLogEntries(List.of(entry(i)));
                storage.flush();
            }
        }
        byte[] complete = Files.readAllBytes(directory.resolve("council.mv"));
        int restoredCount = 0;
        for (int missingBytes = 1; missingBytes < complete.length; missingBytes += 509) {
            try (RandomAccessFile file =
                    new RandomAccessFile(directory.resolve("council.mv").toFile(), "rw")) {
                file.setLength(0);
                file.write(complete, 0, complete.length - missingBytes);
            }
            try (RaftStorage storage = open()) {
                RestoredRaftState restored = storage.restore();
                if (restored != null && !restored.getLogEntries().isEmpty()) {
                    long last =
                            restored.getLogEntries()
                                    .get(restored.getLogEntries().size() - 1)
                                    .getIndex();
                    assertThat(restored.getTermPersistentState().getTerm())
                            .isBetween((int) last, (int) last + 1);
                    restoredCount++;
                }
            } catch (IOException e) {
                assertThat(e.getMessage()).contains("cannot be read");
            }
        }
        assertThat(restoredCount).isPositive();
    }

    @Test
    void foundsOnlyWithAllVotersAndRejoinsAfterLostStorage() {
        NanoDuration fresh = NanoDuration.ofSeconds(1);
        MonotonicTime now = new MonotonicTime(0);
        ClusterBootstrap founder =
                new ClusterBootstrap(SELF, ALL, ClusterBootstrap.State.EMPTY, fresh);
        assertThat(founder.step(now)).isEqualTo(ClusterBootstrap.Step.WAIT);
        founder.onReport(new NodeName("b"), ClusterBootstrap.State.EMPTY, now);
        founder.onReport(new NodeName("x"), ClusterBootstrap.State.EMPTY, now);
        assertThat(founder.step(now)).isEqualTo(ClusterBootstrap.Step.WAIT);
        founder.onReport(new NodeName("c"), ClusterBootstrap.State.FOUNDS, now);
        assertThat(founder.step(now)).isEqualTo(ClusterBootstrap.Step.FOUND);
        assertThat(founder.step(now.plus(NanoDuration.ofSeconds(2))))
                .as("the reports are too old")
                .isEqualTo(ClusterBootstrap.Step.WAIT);
        founder.onFounded();
        assertThat(founder.step(now))
                .as("b hasn't persisted the founders yet")
                .isEqualTo(ClusterBootstrap.Step.WAIT);
        founder.onReport(new NodeName("b"), ClusterBootstrap.State.FOUNDS, now);
        assertThat(founder.step(now)).isEqualTo(ClusterBootstrap.Step.START_REPLICA);
        ClusterBootstrap lost =
                new ClusterBootstrap(SELF, ALL, ClusterBootstrap.State.EMPTY, fresh);
        lost.onReport(new NodeName("b"), ClusterBootstrap.State.VOTES, now);
        assertThat(lost.step(now)).isEqualTo(ClusterBootstrap.Step.REJOIN);
    }
}
