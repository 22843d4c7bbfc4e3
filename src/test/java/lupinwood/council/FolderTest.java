package lupinwood.council;

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
import lupinwood.fleet.NodeName;
import lupinwood.node.Moment;
import lupinwood.node.Span;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class FolderTest {
    private static final NodeName SELF = new NodeName("a");
    private static final List<NodeName> ALL = List.of(SELF, new NodeName("b"), new NodeName("c"));
    @TempDir private Path at;
    private final List<String> failures = new ArrayList<>();

    private Folder open() throws IOException {
        return Folder.open(at, failures::add);
    }

    private static LogEntry entry(long index) {
        return RaftText.MODEL
                .createLogEntryBuilder()
                .setIndex(index)
                .setTerm(3)
                .setOperation("op " + index)
                .build();
    }

    private static void vote(Folder folder, int term, String votedFor) throws IOException {
        folder.persistAndFlushTerm(
                RaftText.MODEL
                        .createRaftTermPersistentStateBuilder()
                        .setTerm(term)
                        .setVotedFor(votedFor == null ? null : new Voter(votedFor))
                        .build());
    }

    @Test
    void whatWasMadeDurableIsThereAgainAndTheStateIsTold() throws Exception {
        try (Folder folder = open()) {
            assertThat(folder.restore()).isNull();
            assertThat(Founding.of(folder.restore())).isEqualTo(Founding.State.EMPTY);
            Founding.write(folder, SELF, ALL);
            assertThat(Founding.of(folder.restore())).isEqualTo(Founding.State.FOUNDS);
            vote(folder, 3, "b");
            for (int i = 1; i <= 9; i++) {
                folder.persistLogEntries(List.of(entry(i)));
            }
            folder.truncateLogEntriesFrom(8);
            Set<RaftEndpoint> voters = Set.of(new Voter("a"), new Voter("b"), new Voter("c"));
            for (int i = 0; i < 2; i++) {
                SnapshotChunk chunk =
                        RaftText.MODEL
                                .createSnapshotChunkBuilder()
                                .setIndex(4)
                                .setTerm(3)
                                .setOperation("page " + i)
                                .setSnapshotChunkIndex(i)
                                .setSnapshotChunkCount(2)
                                .setGroupMembersView(
                                        RaftText.MODEL
                                                .createRaftGroupMembersViewBuilder()
                                                .setLogIndex(0)
                                                .setMembers(voters)
                                                .setVotingMembers(voters)
                                                .build())
                                .build();
                folder.persistSnapshotChunk(chunk);
            }
            folder.flush();
        }
        try (Folder folder = open()) {
            RestoredRaftState kept = folder.restore();
            assertThat(Founding.of(kept)).isEqualTo(Founding.State.VOTES);
            assertThat(kept.getTermPersistentState().getTerm()).isEqualTo(3);
            assertThat(kept.getTermPersistentState().getVotedFor()).isEqualTo(new Voter("b"));
            assertThat(kept.getSnapshotEntry().getIndex()).isEqualTo(4);
            assertThat(kept.getLogEntries())
                    .extracting(LogEntry::getIndex)
                    .containsExactly(5L, 6L, 7L);
            assertThat(kept.getLogEntries().get(0).getOperation()).isEqualTo("op 5");
        }
    }

    @Test
    void aSecondProcessAForeignFileAndANewerFormAreToldInOneLine() throws Exception {
        try (Folder folder = open()) {
            assertThatThrownBy(this::open)
                    .isInstanceOf(IOException.class)
                    .hasMessageContaining("another process uses");
            vote(folder, 1, null);
        }
        Files.write(at.resolve("council.mv"), new byte[9000]);
        assertThatThrownBy(this::open)
                .isInstanceOf(IOException.class)
                .hasMessageContaining("can't be read");
    }

    @Test
    void aFileTornAtItsEndGivesAnEarlierWholeStateOrIsRefusedAndNeverAMixture() throws Exception {
        try (Folder folder = open()) {
            Founding.write(folder, SELF, ALL);
            for (int i = 1; i <= 40; i++) {
                vote(folder, i, "b");
                folder.persistLogEntries(List.of(entry(i)));
                folder.flush();
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
            try (Folder folder = open()) {
                RestoredRaftState kept = folder.restore();
                if (kept != null && !kept.getLogEntries().isEmpty()) {
                    long last =
                            kept.getLogEntries().get(kept.getLogEntries().size() - 1).getIndex();
                    assertThat(kept.getTermPersistentState().getTerm())
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
    void nobodyFoundsBeforeAllAreThereAndWhoLostItsFolderComesAnew() {
        Span fresh = Span.ofSeconds(1);
        Moment now = new Moment(0);
        Founding first = new Founding(SELF, ALL, Founding.State.EMPTY, fresh);
        assertThat(first.step(now)).isEqualTo(Founding.Step.WAIT);
        first.heard(new NodeName("b"), Founding.State.EMPTY, now);
        first.heard(new NodeName("x"), Founding.State.EMPTY, now);
        assertThat(first.step(now)).isEqualTo(Founding.Step.WAIT);
        first.heard(new NodeName("c"), Founding.State.FOUNDS, now);
        assertThat(first.step(now)).isEqualTo(Founding.Step.FOUND);
        assertThat(first.step(now.plus(Span.ofSeconds(2))))
                .as("what was said long ago")
                .isEqualTo(Founding.Step.WAIT);
        first.founded();
        assertThat(first.step(now))
                .as("b hasn't written it down yet")
                .isEqualTo(Founding.Step.WAIT);
        first.heard(new NodeName("b"), Founding.State.FOUNDS, now);
        assertThat(first.step(now)).isEqualTo(Founding.Step.TAKE_PART);
        Founding lost = new Founding(SELF, ALL, Founding.State.EMPTY, fresh);
        lost.heard(new NodeName("b"), Founding.State.VOTES, now);
        assertThat(lost.step(now)).isEqualTo(Founding.Step.COME_ANEW);
    }
}
