package lupinwood.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.cluster.ClusterCommand;
import lupinwood.cluster.ClusterState;
import lupinwood.cluster.DutyName;
import lupinwood.cluster.FencingToken;
import lupinwood.cluster.Incarnation;
import lupinwood.cluster.NodeName;
import lupinwood.cluster.NodeReport;
import lupinwood.cluster.NodeStatus;
import lupinwood.cluster.NodeView;
import lupinwood.cluster.RequestCounts;
import lupinwood.cluster.Rollout;
import lupinwood.cluster.Site;
import org.junit.jupiter.api.Test;

/** A rollout over nine nodes in three zones, against a real cluster state. */
final class RolloutControllerTest {
    private static final CanaryLimits LIMITS =
            CanaryLimits.of(
                    NanoDuration.ofSeconds(20),
                    NanoDuration.ofSeconds(100),
                    0.05,
                    NanoDuration.ofSeconds(3));
    private final ClusterState clusterState = new ClusterState(100);
    private final String[] runningDigests = {"", "", "", "", "", "", "", "", ""};
    private final boolean[] reachable = {true, true, true, true, true, true, true, true, true};
    private final boolean[] rejectsRelease = new boolean[9];
    private final boolean[] failsWithRelease = new boolean[9];

    /** Requests served and failed, by node. */
    private final long[][] counts = new long[9][2];

    private RolloutController rolloutController = new RolloutController(name(0), LIMITS);
    private FencingToken token;
    private double nowSeconds;

    private static NodeName name(int i) {
        return new NodeName("n" + i);
    }

    private void begin(boolean rollsBackAutomatically) {
        clusterState.apply(new ClusterCommand.Bootstrap(10));
        for (int i = 0; i < 9; i++) {
            clusterState.apply(
                    new ClusterCommand.Join(
                            name(i), new Incarnation(i), new Site("r", "z" + i % 3)));
        }
        clusterState.apply(
                new ClusterCommand.GrantLease(
                        DutyName.ROLLOUT_CONTROLLER,
                        name(0),
                        new Incarnation(0),
                        new FencingToken(0)));
        token = clusterState.duty(DutyName.ROLLOUT_CONTROLLER).token();
        assertThat(
                        clusterState.apply(
                                new ClusterCommand.BeginRollout(
                                        "o",
                                        "ann",
                                        Rollout.Kind.CONFIGURATION,
                                        "new",
                                        "text",
                                        rollsBackAutomatically,
                                        1)))
                .isTrue();
    }

    private RolloutSnapshot snapshot() {
        List<NodeView> nodeViews = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            NodeReport.ConfigCheck checked =
                    new NodeReport.ConfigCheck(
                            "new",
                            !rejectsRelease[i],
                            false,
                            rejectsRelease[i] ? "no such track" : "");
            RequestCounts requestCounts =
                    new RequestCounts(
                            List.of(
                                    new RequestCounts.ClassCounts(
                                            "look",
                                            counts[i][0],
                                            0,
                                            0,
                                            counts[i][1],
                                            counts[i][0] * 0.05)));
            nodeViews.add(
                    new NodeView(
                            name(i),
                            new Incarnation(i),
                            new Site("r", "z" + i % 3),
                            reachable[i] ? NodeStatus.WARM : NodeStatus.UNKNOWN,
                            NanoDuration.ZERO,
                            new NodeReport(
                                    "1",
                                    runningDigests[i],
                                    checked,
                                    List.of(),
                                    0,
                                    List.of(),
                                    requestCounts)));
        }
        return new RolloutSnapshot(
                clusterState.rollout(),
                clusterState.goodConfigDigest(),
                clusterState.haltedBy(),
                nodeViews,
                clusterState.permits(),
                3,
                clusterState.baselineCounts());
    }

    /** Advances the time by seconds; reachable nodes run what the cluster state wants. */
    private void run(int seconds) {
        for (int i = 0; i < seconds; i++) {
            nowSeconds++;
            for (int node = 0; node < 9; node++) {
                if (reachable[node]) {
                    counts[node][
                                    failsWithRelease[node] && runningDigests[node].equals("new")
                                            ? 1
                                            : 0] +=
                            50;
                    runningDigests[node] = clusterState.desiredState(name(node)).configDigest();
                }
            }
            rolloutController
                    .decide(snapshot(), token, new MonotonicTime(Math.round(nowSeconds * 1e9)))
                    .forEach(
                            action ->
                                    clusterState.apply(((RolloutAction.Propose) action).command()));
        }
    }

    @Test
    void releaseGoesToOneNodePerZoneThenMoreThenAll() {
        begin(false);
        run(19);
        assertThat(clusterState.rollout().steps()).as("the baseline is recorded first").isZero();
        run(3);
        assertThat(clusterState.rollout().updatedNodes())
                .extracting(NodeName::text)
                .containsExactlyInAnyOrder("n1", "n2", "n3");
        run(15);
        assertThat(clusterState.rollout().steps()).as("a wave is observed for 20 s").isEqualTo(1);
        run(15);
        assertThat(clusterState.rollout().updatedNodes()).hasSize(7);
        run(60);
        assertThat(clusterState.rollout()).isNull();
        assertThat(clusterState.desiredState(name(5)).configDigest()).isEqualTo("new");
    }

    @Test
    void rejectionByOneNodeEndsTheRolloutBeforeTheFirstWave() {
        begin(false);
        rejectsRelease[4] = true;
        run(5);
        assertThat(clusterState.rollout()).isNull();
        assertThat(clusterState.desiredState(name(1)).configDigest()).isEmpty();
        assertThat(clusterState.history().get(clusterState.history().size() - 1).text())
                .contains("n4 rejects the configuration: no such track");
    }

    @Test
    void worseNodesHaltTheRolloutUntilAnOperatorActs() {
        begin(false);
        failsWithRelease[1] = failsWithRelease[2] = failsWithRelease[3] = true;
        run(40);
        assertThat(clusterState.haltedBy()).contains("release 1, rolling out: worse");
        List<NodeName> given = clusterState.rollout().updatedNodes();
        run(200);
        assertThat(clusterState.rollout().updatedNodes()).isEqualTo(given);
        clusterState.apply(new ClusterCommand.RollBack("t", 1, "ann", 2));
        run(40);
        assertThat(clusterState.rollout()).isNull();
        assertThat(runningDigests).containsOnly("");
    }

    @Test
    void automaticRollbackStartsWithOneNodePerZone() {
        begin(true);
        run(60); // seven nodes have the release
        assertThat(clusterState.rollout().steps()).isEqualTo(2);
        Arrays.fill(failsWithRelease, true);
        for (int i = 0; i < 60 && !clusterState.rollout().isRollingBack(); i++) {
            run(1);
        }
        int givenBefore = clusterState.rollout().updatedNodes().size();
        run(2);
        assertThat(clusterState.rollout().updatedNodes()).hasSize(givenBefore - 3);
        run(40);
        assertThat(clusterState.rollout()).isNull();
        assertThat(runningDigests).containsOnly("");
    }

    @Test
    void newControllerContinuesWithTheStoredBaseline() {
        begin(false);
        run(25);
        clusterState.apply(
                new ClusterCommand.ReleaseLease(
                        DutyName.ROLLOUT_CONTROLLER, token, ClusterCommand.LeaseEnd.LAPSED));
        FencingToken previousToken = token;
        clusterState.apply(
                new ClusterCommand.GrantLease(
                        DutyName.ROLLOUT_CONTROLLER, name(1), new Incarnation(1), token));
        token = clusterState.duty(DutyName.ROLLOUT_CONTROLLER).token();
        assertThat(
                        clusterState.apply(
                                new ClusterCommand.AdvanceRollout(
                                        previousToken, 1, 2, false, List.of(name(8)), "", null, 1)))
                .as("a command under the previous token")
                .isFalse();
        rolloutController = new RolloutController(name(1), LIMITS);
        run(1);
        assertThat(rolloutController.needsBaseline()).as("it read the stored baseline").isFalse();
        assertThat(clusterState.baselineCounts()).hasSize(9);
        run(100);
        assertThat(clusterState.rollout()).isNull();
        assertThat(runningDigests).containsOnly("new");
    }

    @Test
    void failedRollbackHalts() {
        begin(false);
        run(40);
        clusterState.apply(new ClusterCommand.RollBack("t", 1, "ann", 2));
        run(2);
        for (int i = 0; i < 9; i++) {
            reachable[i] = clusterState.rollout().isUpdated(name(i)) || i > 3;
        }
        run(40);
        assertThat(clusterState.haltedBy())
                .contains("release 1, rolling back: ")
                .contains("is not healthy with the previous version");
    }
}
