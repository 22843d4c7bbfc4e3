package lupinwood.reload;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import lupinwood.node.Moment;
import lupinwood.node.Span;
import org.junit.jupiter.api.Test;

/** Moves between executors that answer or don't, as a trace of where the node connects to. */
final class MoveTest {
    private static final Span SECOND = Span.ofSeconds(1);

    private final Move<String> move = new Move<>("old");
    private Moment now = new Moment(0);

    private List<String> pass(int seconds) {
        List<String> trace = new ArrayList<>();
        for (int i = 0; i < seconds * 10; i++) {
            now = now.plus(Span.ofSeconds(0.1));
            Move.Next next = move.look(now);
            if (next != Move.Next.NOTHING) {
                trace.add(next + " " + move.current());
            }
        }
        return trace;
    }

    @Test
    void aNewExecutorThatAnswersIsKept() {
        move.welcomed();
        assertThat(move.to("new", SECOND, now)).isTrue();
        assertThat(move.to("new", SECOND, now)).isFalse();
        move.welcomed();
        assertThat(pass(5)).isEmpty();
        assertThat(move.isWhereWanted()).isTrue();
    }

    @Test
    void oneThatDoesNotIsLeftForTheOldOneUntilAskedAgain() {
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
        move.to("third", Span.ZERO, now);
        assertThat(pass(60)).isEmpty();
    }
}
