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
    @TempDir private Path at;
    private final List<String> failures = new ArrayList<>();

    private RaftStorage open() throws IOException {
        return RaftStorage.open(at, failures::add);
    }

    private static LogEntry entry(long index) {
        return RaftCodec.MODEL
                .createLogEntryBuilder()
                .setIndex(index)
                .setTerm(3)
                .setOperation("op " + index)
                .build();
    }

    private static void vote(RaftStorage storage, int term, String votedFor) throws IOException {
        storage.persistAndFlushTerm(
                RaftCodec.MODEL
                        .createRaftTermPersistentStateBuilder()
                        .setTerm(term)
                        .setVotedFor(votedFor == null ? null : new Voter(votedFor))
                        .build());
    }

    @Test
    void whatWasMadeDurableIsThereAgainAndTheStateIsReported() throws Exception {
        try (RaftStorage storage = open()) {
            assertThat(storage.restore()).isNull();
            assertThat(ClusterBootstrap.of(storage.restore()))
                    .isEqualTo(ClusterBootstrap.State.EMPTY);
            ClusterBootstrap.write(storage, SELF, ALL);
            assertThat(ClusterBootstrap.of(storage.restore()))
                    .isEqualTo(ClusterBootstrap.State.FOUNDS);
            vote(storage, 3, "b");
            for (int i = 1; i <= 9; i++) {
                storage.persistLogEntries(List.of(entry(i)));
            }
            storage.truncateLogEntriesFrom(8);
            Set<RaftEndpoint> voters = Set.of(new Voter("a"), new Voter("b"), new Voter("c"));
            for (int i = 0; i < 2; i++) {
                SnapshotChunk chunk =
                        RaftCodec.MODEL
                                .createSnapshotChunkBuilder()
                                .setIndex(4)
                                .setTerm(3)
                                .setOperation("page " + i)
                                .setSnapshotChunkIndex(i)
                                .setSnapshotChunkCount(2)
                                .setGroupMembersView(
                                        RaftCodec.MODEL
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
            assertThat(ClusterBootstrap.of(restored)).isEqualTo(ClusterBootstrap.State.VOTES);
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
    void aSecondProcessAForeignFileAndANewerFormAreReportedInOneLine() throws Exception {
        try (RaftStorage storage = open()) {
            assertThatThrownBy(this::open)
                    .isInstanceOf(IOException.class)
                    .hasMessageContaining("another process uses");
            vote(storage, 1, null);
        }
        Files.write(at.resolve("council.mv"), new byte[9000]);
        assertThatThrownBy(this::open)
                .isInstanceOf(IOException.class)
                .hasMessageContaining("can't be read");
    }

    @Test
    void aFileTornAtItsEndGivesAnEarlierWholeStateOrIsRefusedAndNeverAMixture() throws Exception {
        try (RaftStorage storage = open()) {
            ClusterBootstrap.write(storage, SELF, ALL);
            for (int i = 1; i <= 40; i++) {
                vote(storage, i, "b");
                storage.persistLogEntries(List.of(entry(i)));
                storage.flush();
            }
        }
        byte[] whole = Files.readAllBytes(at.resolve("council.mv"));
        int read = 0;
        for (int cut = 1; cut < whole.length; cut += 509) {
            try (RandomAccessFile file =
                    new RandomAccessFile(at.resolve("council.mv").toFile(), "rw")) {
                file.setLength(0);
                file.write(whole, 0, whole.length - cut);
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
                    read++;
                }
            } catch (IOException e) {
                assertThat(e.getMessage()).contains("can't be read");
            }
        }
        assertThat(read).isPositive();
    }

    @Test
    void nobodyFoundsBeforeAllAreThereAndWhoLostItsDirectoryComesAnew() {
        NanoDuration fresh = NanoDuration.ofSeconds(1);
        MonotonicTime now = new MonotonicTime(0);
        ClusterBootstrap first =
                new ClusterBootstrap(SELF, ALL, ClusterBootstrap.State.EMPTY, fresh);
        assertThat(first.step(now)).isEqualTo(ClusterBootstrap.Step.WAIT);
        first.heard(new NodeName("b"), ClusterBootstrap.State.EMPTY, now);
        first.heard(new NodeName("x"), ClusterBootstrap.State.EMPTY, now);
        assertThat(first.step(now)).isEqualTo(ClusterBootstrap.Step.WAIT);
        first.heard(new NodeName("c"), ClusterBootstrap.State.FOUNDS, now);
        assertThat(first.step(now)).isEqualTo(ClusterBootstrap.Step.FOUND);
        assertThat(first.step(now.plus(NanoDuration.ofSeconds(2))))
                .as("what was said long ago")
                .isEqualTo(ClusterBootstrap.Step.WAIT);
        first.founded();
        assertThat(first.step(now))
                .as("b hasn't written it down yet")
                .isEqualTo(ClusterBootstrap.Step.WAIT);
        first.heard(new NodeName("b"), ClusterBootstrap.State.FOUNDS, now);
        assertThat(first.step(now)).isEqualTo(ClusterBootstrap.Step.TAKE_PART);
        ClusterBootstrap lost =
                new ClusterBootstrap(SELF, ALL, ClusterBootstrap.State.EMPTY, fresh);
        lost.heard(new NodeName("b"), ClusterBootstrap.State.VOTES, now);
        assertThat(lost.step(now)).isEqualTo(ClusterBootstrap.Step.COME_ANEW);
    }
}
