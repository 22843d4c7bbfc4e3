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

/** A release of nine nodes in three zones, by the real book. */
final class RolloutControllerTest {
    private static final CanaryLimits LIMITS =
            CanaryLimits.of(
                    NanoDuration.ofSeconds(20),
                    NanoDuration.ofSeconds(100),
                    0.05,
                    NanoDuration.ofSeconds(3));
    private final ClusterState clusterState = new ClusterState(100);
    private final String[] runs = {"", "", "", "", "", "", "", "", ""};
    private final boolean[] there = {true, true, true, true, true, true, true, true, true};
    private final boolean[] refuses = new boolean[9];
    private final boolean[] bad = new boolean[9];
    private final long[][] counts = new long[9][2];
    private RolloutController rolloutController = new RolloutController(name(0), LIMITS);
    private FencingToken token;
    private double now;

    private static NodeName name(int i) {
        return new NodeName("n" + i);
    }

    private void begin(boolean backsOnHalt) {
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
                                        backsOnHalt,
                                        1)))
                .isTrue();
    }

    private RolloutSnapshot picture() {
        List<NodeView> nodeViews = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            NodeReport.ConfigCheck checked =
                    new NodeReport.ConfigCheck(
                            "new", !refuses[i], false, refuses[i] ? "no such track" : "");
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
                            there[i] ? NodeStatus.WARM : NodeStatus.UNKNOWN,
                            NanoDuration.ZERO,
                            new NodeReport(
                                    "1",
                                    runs[i],
                                    checked,
                                    List.of(),
                                    0,
                                    List.of(),
                                    requestCounts)));
        }
        return new RolloutSnapshot(
                clusterState.rollout(),
                clusterState.good(),
                clusterState.haltedBy(),
                nodeViews,
                clusterState.permits(),
                3,
                clusterState.past());
    }

    /** Seconds go by, and nodes do as they are told. */
    private void play(int seconds) {
        for (int i = 0; i < seconds; i++) {
            now++;
            for (int node = 0; node < 9; node++) {
                if (there[node]) {
                    counts[node][bad[node] && runs[node].equals("new") ? 1 : 0] += 50;
                    runs[node] = clusterState.wanted(name(node)).runs();
                }
            }
            rolloutController
                    .decide(picture(), token, new MonotonicTime(Math.round(now * 1e9)))
                    .forEach(
                            action ->
                                    clusterState.apply(((RolloutAction.Propose) action).command()));
        }
    }

    @Test
    void oneOfEachZoneThenMoreThenAll() {
        begin(false);
        play(19);
        assertThat(clusterState.rollout().steps()).as("it looks at the fleet before").isZero();
        play(3);
        assertThat(clusterState.rollout().given())
                .extracting(NodeName::text)
                .containsExactlyInAnyOrder("n1", "n2", "n3");
        play(15);
        assertThat(clusterState.rollout().steps()).as("a watch is 20 s").isEqualTo(1);
        play(15);
        assertThat(clusterState.rollout().given()).hasSize(7);
        play(60);
        assertThat(clusterState.rollout()).isNull();
        assertThat(clusterState.wanted(name(5)).runs()).isEqualTo("new");
    }

    @Test
    void aNodeThatWouldRefuseItStopsItBeforeItStarts() {
        begin(false);
        refuses[4] = true;
        play(5);
        assertThat(clusterState.rollout()).isNull();
        assertThat(clusterState.wanted(name(1)).runs()).isEmpty();
        assertThat(clusterState.history().get(clusterState.history().size() - 1).text())
                .contains("n4 would not take it: no such track");
    }

    @Test
    void whoDoesWorseHaltsItAndNothingGoesOnUntilAnOperatorSaysSo() {
        begin(false);
        bad[1] = bad[2] = bad[3] = true;
        play(40);
        assertThat(clusterState.haltedBy()).contains("release 1, its watch: worse");
        List<NodeName> given = clusterState.rollout().given();
        play(200);
        assertThat(clusterState.rollout().given()).isEqualTo(given);
        clusterState.apply(new ClusterCommand.RollBack("t", 1, "ann", 2));
        play(40);
        assertThat(clusterState.rollout()).isNull();
        assertThat(runs).containsOnly("");
    }

    @Test
    void itTurnsBackByItselfOnlyWhereItSaidSoOneNodeAZoneFirst() {
        begin(true);
        play(60); // seven have it
        assertThat(clusterState.rollout().steps()).isEqualTo(2);
        Arrays.fill(bad, true);
        for (int i = 0; i < 60 && !clusterState.rollout().back(); i++) {
            play(1);
        }
        int had = clusterState.rollout().given().size();
        play(2);
        assertThat(clusterState.rollout().given()).hasSize(had - 3);
        play(40);
        assertThat(clusterState.rollout()).isNull();
        assertThat(runs).containsOnly("");
    }

    @Test
    void aSuccessorGoesOnFromTheBookWithWhatWasStoredOfThePast() {
        begin(false);
        play(25);
        clusterState.apply(
                new ClusterCommand.ReleaseLease(
                        DutyName.ROLLOUT_CONTROLLER, token, ClusterCommand.LeaseEnd.LAPSED));
        FencingToken old = token;
        clusterState.apply(
                new ClusterCommand.GrantLease(
                        DutyName.ROLLOUT_CONTROLLER, name(1), new Incarnation(1), token));
        token = clusterState.duty(DutyName.ROLLOUT_CONTROLLER).token();
        assertThat(
                        clusterState.apply(
                                new ClusterCommand.AdvanceRollout(
                                        old, 1, 2, false, List.of(name(8)), "", null, 1)))
                .as("the old one's word")
                .isFalse();
        rolloutController = new RolloutController(name(1), LIMITS);
        play(1);
        assertThat(rolloutController.wantsPast()).as("it was told").isFalse();
        assertThat(clusterState.past()).hasSize(9);
        play(100);
        assertThat(clusterState.rollout()).isNull();
        assertThat(runs).containsOnly("new");
    }

    @Test
    void aWayBackThatFailsHaltsAndSaysSo() {
        begin(false);
        play(40);
        clusterState.apply(new ClusterCommand.RollBack("t", 1, "ann", 2));
        play(2);
        for (int i = 0; i < 9; i++) {
            there[i] = clusterState.rollout().isGiven(name(i)) || i > 3;
        }
        play(40);
        assertThat(clusterState.haltedBy())
                .contains("its way back: ")
                .contains("is not well with what it ran before");
    }
}
