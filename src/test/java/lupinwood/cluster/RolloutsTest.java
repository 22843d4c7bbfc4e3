package lupinwood.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Which commands of rollouts and cordons the cluster state accepts, and with what effect. */
final class RolloutsTest {
    private static final NodeName A = new NodeName("a");
    private final ClusterState clusterState = new ClusterState(10);
    private FencingToken controllerToken;

    private void bootstrap() {
        clusterState.apply(new ClusterCommand.Bootstrap(1));
        for (NodeName node : List.of(A, new NodeName("b"))) {
            clusterState.apply(
                    new ClusterCommand.Join(node, new Incarnation(1), new Site("r", "z")));
        }
        clusterState.apply(
                new ClusterCommand.GrantLease(
                        DutyName.ROLLOUT_CONTROLLER, A, new Incarnation(1), new FencingToken(0)));
        controllerToken = clusterState.duty(DutyName.ROLLOUT_CONTROLLER).token();
    }

    private boolean begin(String order, String to) {
        return clusterState.apply(
                new ClusterCommand.BeginRollout(
                        order, "ann", Rollout.Kind.CONFIGURATION, to, "text of " + to, false, 1));
    }

    private boolean advance(int step, boolean isRollingBack, NodeName... nodes) {
        return clusterState.apply(
                new ClusterCommand.AdvanceRollout(
                        controllerToken,
                        1,
                        step,
                        isRollingBack,
                        List.of(nodes),
                        "",
                        Map.of("a", RequestCounts.EMPTY),
                        1));
    }

    @Test
    void onlyOneRolloutRunsAndEachStepAppliesOnce() {
        bootstrap();
        assertThat(begin("o1", "x")).isTrue();
        assertThat(begin("o1", "x")).as("repeated order").isTrue();
        assertThat(begin("o2", "y")).isFalse();
        assertThat(clusterState.reasonAgainstRollout(Rollout.Kind.CONFIGURATION, "y", ""))
                .isEqualTo("release 1 by ann is in progress and must end first");
        assertThat(clusterState.desiredState(A))
                .isEqualTo(new HeartbeatReply.DesiredState("", "x", true, List.of()));
        assertThat(advance(2, false, A)).isFalse();
        assertThat(advance(1, false, A)).isTrue();
        assertThat(advance(1, false, new NodeName("b"))).isFalse();
        assertThat(clusterState.desiredState(A).configDigest()).isEqualTo("x");
        assertThat(clusterState.desiredState(new NodeName("b")).configDigest()).isEmpty();
        assertThat(clusterState.configText("x")).isEqualTo("text of x");
        ClusterState restored = new ClusterState(10);
        restored.restore(clusterState.snapshot());
        assertThat(restored.snapshot()).isEqualTo(clusterState.snapshot());
    }

    @Test
    void haltBlocksWavesAndRollbackEndsTheHalt() {
        bootstrap();
        begin("o1", "x");
        advance(1, false, A);
        clusterState.apply(new ClusterCommand.SetHalt("h", true, "bob", 2));
        assertThat(advance(2, false, new NodeName("b"))).isFalse();
        assertThat(
                        clusterState.apply(
                                new ClusterCommand.FinishRollout(controllerToken, 1, false, "", 3)))
                .as("one node still has the change")
                .isFalse();
        assertThat(clusterState.apply(new ClusterCommand.RollBack("t", 1, "ann", 3))).isTrue();
        assertThat(clusterState.haltedBy()).isEmpty();
        assertThat(advance(2, false, new NodeName("b")))
                .as("no forward wave during a rollback")
                .isFalse();
        assertThat(
                        clusterState.apply(
                                new ClusterCommand.FinishRollout(controllerToken, 1, true, "", 3)))
                .isFalse();
        assertThat(advance(2, true, A)).isTrue();
        assertThat(
                        clusterState.apply(
                                new ClusterCommand.FinishRollout(
                                        controllerToken, 1, false, "all are back", 4)))
                .isTrue();
        assertThat(clusterState.desiredState(A).configDigest()).isEmpty();
        assertThat(clusterState.configText("x")).isNull();
        assertThat(begin("o3", "x")).isTrue();
    }

    @Test
    void rolloutOfAnEquivalentOrTooLongConfigurationIsRefused() {
        bootstrap();
        assertThat(
                        clusterState.reasonAgainstRollout(
                                Rollout.Kind.CONFIGURATION, "", "// only a comment"))
                .contains("equivalent to what the fleet already runs");
        assertThat(
                        clusterState.reasonAgainstRollout(
                                Rollout.Kind.CONFIGURATION, "x", "x".repeat(40_000)))
                .contains("at most 32768 are allowed");
    }

    @Test
    void cordonsAreLimitedAndExcludeRollouts() {
        bootstrap();
        assertThat(clusterState.apply(new ClusterCommand.CordonServer("r1", "s1", "ann", 1, 1)))
                .isTrue();
        assertThat(clusterState.apply(new ClusterCommand.CordonServer("r2", "s2", "bob", 1, 1)))
                .isFalse();
        assertThat(clusterState.reasonAgainstCordon("s2", 1))
                .isEqualTo("[s1] are cordoned, and at most 1 may be");
        assertThat(begin("o1", "x")).isFalse();
        assertThat(clusterState.desiredState(A).cordons()).containsExactly("s1");
        assertThat(clusterState.apply(new ClusterCommand.UncordonServer("r3", "s1", "ann", 2)))
                .isTrue();
        assertThat(clusterState.apply(new ClusterCommand.CordonServer("r1", "s1", "ann", 1, 3)))
                .as("repeated old order")
                .isTrue();
        assertThat(clusterState.cordons()).isEmpty();
        assertThat(begin("o1", "x")).isTrue();
        assertThat(clusterState.reasonAgainstCordon("s1", 1))
                .contains("release 1 by ann is in progress");
    }
}
