package lupinwood.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What is agreed on of releases and rests, whatever is written in whatever order. */
final class RolloutsTest {
    private static final NodeName A = new NodeName("a");
    private final ClusterState clusterState = new ClusterState(10);
    private FencingToken token;

    private void found() {
        clusterState.apply(new ClusterCommand.Bootstrap(1));
        for (NodeName node : List.of(A, new NodeName("b"))) {
            clusterState.apply(
                    new ClusterCommand.Join(node, new Incarnation(1), new Site("r", "z")));
        }
        clusterState.apply(
                new ClusterCommand.GrantLease(
                        DutyName.ROLLOUT_CONTROLLER, A, new Incarnation(1), new FencingToken(0)));
        token = clusterState.duty(DutyName.ROLLOUT_CONTROLLER).token();
    }

    private boolean begin(String order, String to) {
        return clusterState.apply(
                new ClusterCommand.BeginRollout(
                        order, "ann", Rollout.Kind.CONFIGURATION, to, "text of " + to, false, 1));
    }

    private boolean step(int number, boolean back, NodeName... nodes) {
        return clusterState.apply(
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
        assertThat(clusterState.reasonAgainstRollout(Rollout.Kind.CONFIGURATION, "y", ""))
                .isEqualTo("release 1 by ann is open; it has to end first");
        assertThat(clusterState.wanted(A))
                .isEqualTo(new HeartbeatReply.Wanted("", "x", true, List.of()));
        assertThat(step(2, false, A)).isFalse();
        assertThat(step(1, false, A)).isTrue();
        assertThat(step(1, false, new NodeName("b"))).isFalse();
        assertThat(clusterState.wanted(A).runs()).isEqualTo("x");
        assertThat(clusterState.wanted(new NodeName("b")).runs()).isEmpty();
        assertThat(clusterState.text("x")).isEqualTo("text of x");
        ClusterState again = new ClusterState(10);
        again.open(clusterState.snapshot());
        assertThat(again.snapshot()).isEqualTo(clusterState.snapshot());
    }

    @Test
    void nothingIsGivenWhileHaltedAndTheWayBackEndsTheHalt() {
        found();
        begin("o1", "x");
        step(1, false, A);
        clusterState.apply(new ClusterCommand.SetHalt("h", true, "bob", 2));
        assertThat(step(2, false, new NodeName("b"))).isFalse();
        assertThat(clusterState.apply(new ClusterCommand.FinishRollout(token, 1, false, "", 3)))
                .as("one has it still")
                .isFalse();
        assertThat(clusterState.apply(new ClusterCommand.RollBack("t", 1, "ann", 3))).isTrue();
        assertThat(clusterState.haltedBy()).isEmpty();
        assertThat(step(2, false, new NodeName("b"))).as("there is no way on").isFalse();
        assertThat(clusterState.apply(new ClusterCommand.FinishRollout(token, 1, true, "", 3)))
                .isFalse();
        assertThat(step(2, true, A)).isTrue();
        assertThat(
                        clusterState.apply(
                                new ClusterCommand.FinishRollout(
                                        token, 1, false, "all are back", 4)))
                .isTrue();
        assertThat(clusterState.wanted(A).runs()).isEmpty();
        assertThat(clusterState.text("x")).isNull();
        assertThat(begin("o3", "x")).isTrue();
    }

    @Test
    void aTextThatMeansTheSameOrIsTooLongDoesNotBegin() {
        found();
        assertThat(
                        clusterState.reasonAgainstRollout(
                                Rollout.Kind.CONFIGURATION, "", "// only a comment"))
                .contains("means the same");
        assertThat(
                        clusterState.reasonAgainstRollout(
                                Rollout.Kind.CONFIGURATION, "x", "x".repeat(40_000)))
                .contains("32768 is the most");
    }

    @Test
    void noMoreServersRestThanMayAndNoneBesideARelease() {
        found();
        assertThat(clusterState.apply(new ClusterCommand.CordonServer("r1", "s1", "ann", 1, 1)))
                .isTrue();
        assertThat(clusterState.apply(new ClusterCommand.CordonServer("r2", "s2", "bob", 1, 1)))
                .isFalse();
        assertThat(clusterState.reasonAgainstCordon("s2", 1))
                .isEqualTo("[s1] rest, and no more than 1 may");
        assertThat(begin("o1", "x")).isFalse();
        assertThat(clusterState.wanted(A).cordons()).containsExactly("s1");
        assertThat(clusterState.apply(new ClusterCommand.UncordonServer("r3", "s1", "ann", 2)))
                .isTrue();
        assertThat(clusterState.apply(new ClusterCommand.CordonServer("r1", "s1", "ann", 1, 3)))
                .as("an old order told again")
                .isTrue();
        assertThat(clusterState.cordons()).isEmpty();
        assertThat(begin("o1", "x")).isTrue();
        assertThat(clusterState.reasonAgainstCordon("s1", 1)).contains("release 1 by ann is open");
    }
}
