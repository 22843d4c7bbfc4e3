package lupinwood.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What is agreed on of releases and rests, whatever is written in whatever order. */
final class RolloutsTest {
    private static final NodeName A = new NodeName("a");
    private final ClusterState book = new ClusterState(10);
    private FencingToken token;

    private void found() {
        book.apply(new ClusterCommand.Bootstrap(1));
        for (NodeName node : List.of(A, new NodeName("b"))) {
            book.apply(new ClusterCommand.Join(node, new Incarnation(1), new Site("r", "z")));
        }
        book.apply(
                new ClusterCommand.GrantLease(
                        DutyName.ROLLOUT_CONTROLLER, A, new Incarnation(1), new FencingToken(0)));
        token = book.duty(DutyName.ROLLOUT_CONTROLLER).token();
    }

    private boolean begin(String order, String to) {
        return book.apply(
                new ClusterCommand.BeginRollout(
                        order, "ann", Rollout.Kind.CONFIGURATION, to, "text of " + to, false, 1));
    }

    private boolean step(int number, boolean back, NodeName... nodes) {
        return book.apply(
                new ClusterCommand.AdvanceRollout(
                        token,
                        1,
                        number,
                        back,
                        List.of(nodes),
                        "",
                        Map.of("a", RequestCounts.NOTHING),
                        1));
    }

    @Test
    void oneReleaseAtATimeAndEachStepOnce() {
        found();
        assertThat(begin("o1", "x")).isTrue();
        assertThat(begin("o1", "x")).as("told again").isTrue();
        assertThat(begin("o2", "y")).isFalse();
        assertThat(book.againstRelease(Rollout.Kind.CONFIGURATION, "y", ""))
                .isEqualTo("release 1 by ann is open; it has to end first");
        assertThat(book.wanted(A)).isEqualTo(new HeartbeatReply.Wanted("", "x", true, List.of()));
        assertThat(step(2, false, A)).isFalse();
        assertThat(step(1, false, A)).isTrue();
        assertThat(step(1, false, new NodeName("b"))).isFalse();
        assertThat(book.wanted(A).runs()).isEqualTo("x");
        assertThat(book.wanted(new NodeName("b")).runs()).isEmpty();
        assertThat(book.text("x")).isEqualTo("text of x");
        ClusterState again = new ClusterState(10);
        again.open(book.page());
        assertThat(again.page()).isEqualTo(book.page());
    }

    @Test
    void nothingIsGivenWhileHaltedAndTheWayBackEndsTheHalt() {
        found();
        begin("o1", "x");
        step(1, false, A);
        book.apply(new ClusterCommand.SetHalt("h", true, "bob", 2));
        assertThat(step(2, false, new NodeName("b"))).isFalse();
        assertThat(book.apply(new ClusterCommand.FinishRollout(token, 1, false, "", 3)))
                .as("one has it still")
                .isFalse();
        assertThat(book.apply(new ClusterCommand.RollBack("t", 1, "ann", 3))).isTrue();
        assertThat(book.haltedBy()).isEmpty();
        assertThat(step(2, false, new NodeName("b"))).as("there is no way on").isFalse();
        assertThat(book.apply(new ClusterCommand.FinishRollout(token, 1, true, "", 3))).isFalse();
        assertThat(step(2, true, A)).isTrue();
        assertThat(book.apply(new ClusterCommand.FinishRollout(token, 1, false, "all are back", 4)))
                .isTrue();
        assertThat(book.wanted(A).runs()).isEmpty();
        assertThat(book.text("x")).isNull();
        assertThat(begin("o3", "x")).isTrue();
    }

    @Test
    void aTextThatMeansTheSameOrIsTooLongDoesNotBegin() {
        found();
        assertThat(book.againstRelease(Rollout.Kind.CONFIGURATION, "", "// only a comment"))
                .contains("means the same");
        assertThat(book.againstRelease(Rollout.Kind.CONFIGURATION, "x", "x".repeat(40_000)))
                .contains("32768 is the most");
    }

    @Test
    void noMoreServersRestThanMayAndNoneBesideARelease() {
        found();
        assertThat(book.apply(new ClusterCommand.CordonServer("r1", "s1", "ann", 1, 1))).isTrue();
        assertThat(book.apply(new ClusterCommand.CordonServer("r2", "s2", "bob", 1, 1))).isFalse();
        assertThat(book.againstRest("s2", 1)).isEqualTo("[s1] rest, and no more than 1 may");
        assertThat(begin("o1", "x")).isFalse();
        assertThat(book.wanted(A).rests()).containsExactly("s1");
        assertThat(book.apply(new ClusterCommand.UncordonServer("r3", "s1", "ann", 2))).isTrue();
        assertThat(book.apply(new ClusterCommand.CordonServer("r1", "s1", "ann", 1, 3)))
                .as("an old order told again")
                .isTrue();
        assertThat(book.rests()).isEmpty();
        assertThat(begin("o1", "x")).isTrue();
        assertThat(book.againstRest("s1", 1)).contains("release 1 by ann is open");
    }
}
