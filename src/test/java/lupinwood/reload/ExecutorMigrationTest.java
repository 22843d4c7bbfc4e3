package lupinwood.reload;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import org.junit.jupiter.api.Test;

/** Moves between executors that answer or don't, as a trace of where the node connects to. */
final class ExecutorMigrationTest {
    private static final NanoDuration SECOND = NanoDuration.ofSeconds(1);

    private final ExecutorMigration<String> move = new ExecutorMigration<>("old");
    private MonotonicTime now = new MonotonicTime(0);

    private List<String> pass(int seconds) {
        List<String> trace = new ArrayList<>();
        for (int i = 0; i < seconds * 10; i++) {
            now = now.plus(NanoDuration.ofSeconds(0.1));
            ExecutorMigration.Step next = move.look(now);
            if (next != ExecutorMigration.Step.NOTHING) {
                trace.add(next + " " + move.current());
            }
        }
        return trace;
    }

    @Test
    void aNewExecutorThatAnswersIsStored() {
        move.welcomed();
        assertThat(move.to("new", SECOND, now)).isTrue();
        assertThat(move.to("new", SECOND, now)).isFalse();
        move.welcomed();
        assertThat(pass(5)).isEmpty();
        assertThat(move.isWhereWanted()).isTrue();
    }

    @Test
    void oneThatDoesNotIsLeftForTheOldOneUntilRequestedAgain() {
        move.welcomed();
        move.to("new", SECOND, now);
        assertThat(pass(1)).containsExactly("GO_BACK old");
        move.welcomed();
        assertThat(pass(60)).isEmpty();
        assertThat(move.isWhereWanted()).isFalse();
        assertThat(move.to("new", SECOND, now)).isTrue();
        assertThat(pass(1)).containsExactly("GO_BACK old");
    }

    @Test
    void whereNeitherAnswersBothAreTriedInTurn() {
        move.welcomed();
        move.to("new", SECOND, now);
        assertThat(pass(4))
                .containsExactly("GO_BACK old", "TRY_AGAIN new", "GO_BACK old", "TRY_AGAIN new");
        move.welcomed();
        assertThat(pass(5)).isEmpty();
    }

    @Test
    void withoutATimeOrWithoutAnOldOneItWaits() {
        move.to("new", SECOND, now);
        assertThat(pass(5)).isEmpty();
        move.welcomed();
        move.to("third", NanoDuration.ZERO, now);
        assertThat(pass(60)).isEmpty();
    }
}
