package lupinwood.council;

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
import lupinwood.fleet.Book;
import lupinwood.fleet.Deed;
import lupinwood.fleet.DutyName;
import lupinwood.fleet.Plan;
import lupinwood.fleet.Rest;
import lupinwood.fleet.Token;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A folder that an earlier version wrote gives the same voter and the same state. */
final class GoldenFolderTest {
    private static final Path GOLDEN = Path.of("src/test/resources/golden/voter-folder");
    @TempDir private Path at;
    private RestoredRaftState kept;

    @BeforeEach
    void restore() throws IOException {
        try (Stream<Path> files = Files.list(GOLDEN)) {
            for (Path file : files.toList()) {
                Files.copy(file, at.resolve(file.getFileName().toString()));
            }
        }
        try (Folder folder = Folder.open(at, failure -> {})) {
            kept = folder.restore();
        }
    }

    @Test
    void theVoterItsTermAndItsVoteAreThere() {
        assertThat(Founding.of(kept)).isEqualTo(Founding.State.VOTES);
        assertThat(kept.getLocalEndpointPersistentState().getLocalEndpoint())
                .isEqualTo(new Voter("n0"));
        assertThat(kept.getLocalEndpointPersistentState().isVoting()).isTrue();
        assertThat(kept.getInitialGroupMembers().getVotingMembers())
                .containsExactly(new Voter("n0"), new Voter("n1"), new Voter("n2"));
        assertThat(kept.getTermPersistentState().getTerm()).isEqualTo(7);
        assertThat(kept.getTermPersistentState().getVotedFor()).isEqualTo(new Voter("n1"));
    }

    @Test
    void theSnapshotAndTheLogPastItAreThere() {
        long index = GoldenCommands.story().size();
        assertThat(kept.getSnapshotEntry().getIndex()).isEqualTo(index);
        assertThat(kept.getSnapshotEntry().getTerm()).isEqualTo(6);
        assertThat(kept.getSnapshotEntry().getGroupMembersView().getMembers())
                .containsExactly(new Voter("n0"), new Voter("n1"), new Voter("n2"));
        assertThat(snapshot()).isEqualTo(GoldenFolder.snapshot());
        List<LogEntry> entries = kept.getLogEntries();
        assertThat(entries)
                .extracting(LogEntry::getOperation)
                .containsExactlyElementsOf(new ArrayList<Object>(GoldenFolder.operations()));
        assertThat(entries).extracting(LogEntry::getTerm).containsOnly(7);
        assertThat(entries.get(0).getIndex()).isEqualTo(index + 1);
        assertThat(entries.get(entries.size() - 1).getIndex()).isEqualTo(index + entries.size());
    }

    @Test
    void theStateIsTheSame() {
        Book book = new Book(16);
        book.open(snapshot());
        int unknown = 0;
        for (LogEntry entry : kept.getLogEntries()) {
            String text = (String) entry.getOperation();
            if (!text.isEmpty() && !text.equals("term")) {
                Deed deed = DeedText.deed(text);
                if (deed == null) {
                    unknown++;
                } else {
                    assertThat(book.apply(deed)).as(text).isTrue();
                }
            }
        }
        assertThat(unknown).isEqualTo(1);
        assertThat(book.page()).isEqualTo(GoldenFolder.latest());
        assertThat(book.members()).hasSize(5);
        assertThat(book.member(GoldenCommands.N0).life()).isEqualTo(GoldenCommands.LIFE);
        assertThat(book.member(GoldenCommands.N4).in()).isFalse();
        assertThat(book.duty(DutyName.KEEPER))
                .isEqualTo(
                        new Book.Held(
                                DutyName.KEEPER,
                                GoldenCommands.N0,
                                GoldenCommands.LIFE,
                                new Token(1_790_000_000_001L)));
        assertThat(book.duty(DutyName.CONDUCTOR).token()).isEqualTo(new Token(1_790_000_000_002L));
        assertThat(book.duty(DutyName.PLANNER).token()).isEqualTo(new Token(1_790_000_000_003L));
        assertThat(book.duty(DutyName.TRIAL).holder()).isEqualTo(GoldenCommands.N1);
        assertThat(book.duty(DutyName.TRIAL).token()).isEqualTo(new Token(1_790_000_000_005L));
        assertThat(book.permits()).hasSize(1);
        assertThat(book.rests()).containsExactly(new Rest("server-1", "ann"));
        assertThat(book.release()).isNull();
        assertThat(book.good()).isEqualTo("d1");
        assertThat(book.text("d1")).startsWith("class \"a\"");
        assertThat(book.wantedProgram(GoldenCommands.N0)).isEqualTo("0.6");
        assertThat(book.livePlans()).extracting(Plan::number).containsExactly(2L);
        assertThat(book.lastPlan()).isEqualTo(2);
        assertThat(book.digest()).isEqualTo("4 nodes known");
        assertThat(book.answer("order-4")).isEqualTo("server-1 rests");
    }

    @SuppressWarnings("unchecked") // the engine keeps the pieces as an object
    private Book.Page snapshot() {
        List<Object> pieces = new ArrayList<>();
        ((List<SnapshotChunk>) kept.getSnapshotEntry().getOperation())
                .forEach(chunk -> pieces.add(chunk.getOperation()));
        return DeedText.page(pieces);
    }
}
