package lupinwood.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import org.junit.jupiter.api.Test;

/** Shares of places: what fits, how they are parted, and when an older plan may be forgotten. */
final class CapacityPlansTest {
    private static final LeaseTiming TIMING = LeaseTiming.of(NanoDuration.ofSeconds(3), 0.01);
    private final ClusterState clusterState = new ClusterState(100);
    private final LeaseManager leaseManager = new LeaseManager(TIMING, List.of());
    private FencingToken token;
    private long number;

    private static NodeName node(int i) {
        return new NodeName("n" + i);
    }

    private static Site site(int i) {
        return new Site("r", "z" + i % 2);
    }

    private static MonotonicTime at(double seconds) {
        return new MonotonicTime(Math.round(seconds * 1e9));
    }

    private void found(int nodes) {
        clusterState.apply(new ClusterCommand.Bootstrap(1));
        for (int i = 0; i < nodes; i++) {
            clusterState.apply(new ClusterCommand.Join(node(i), new Incarnation(i), site(i)));
        }
        clusterState.apply(
                new ClusterCommand.GrantLease(
                        DutyName.PLANNER, node(0), new Incarnation(0), new FencingToken(0)));
        token = clusterState.duty(DutyName.PLANNER).token();
        leaseManager.leads(clusterState, at(0));
    }

    private boolean plan(int z0, int z1, Map<String, Map<String, Integer>> alone) {
        return clusterState.apply(
                new ClusterCommand.SetCapacityPlan(
                        token,
                        clusterState.lastPlan(),
                        Map.of("p", 10),
                        alone,
                        Map.of("r/z0", Map.of("p", z0), "r/z1", Map.of("p", z1)),
                        "",
                        0));
    }

    private HeartbeatReply say(int node, long plan, double seconds) {
        Heartbeat heartbeat =
                new Heartbeat(
                        Heartbeat.VERSION,
                        node(node),
                        new Incarnation(node),
                        site(node),
                        NodeCondition.WARM,
                        ++number,
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        new NodeReport(
                                "1", "", null, List.of(), plan, List.of(), RequestCounts.NOTHING));
        return leaseManager.replyTo(
                heartbeat,
                leaseManager.heard(heartbeat, clusterState, at(seconds)),
                clusterState,
                node(0),
                at(seconds));
    }

    private void decide(double seconds) {
        leaseManager.decide(clusterState, 1, at(seconds)).forEach(clusterState::apply);
    }

    @Test
    void moreIsGivenOnlyAfterWhatItTakesFromCanBeGoneByNoMore() {
        found(4);
        assertThat(plan(10, 1, Map.of())).as("eleven of ten").isFalse();
        assertThat(plan(8, 2, Map.of())).isTrue();
        say(0, 1, 4);
        say(1, 1, 4);
        assertThat(plan(2, 8, Map.of())).as("z0 may go by eight still").isFalse();
        assertThat(plan(2, 2, Map.of())).isTrue();
        say(1, 2, 4.1);
        say(3, 2, 4.1);
        decide(4.2);
        assertThat(clusterState.livePlans())
                .as("n0 was told of the first, and hasn't said that it dropped it")
                .hasSize(2);
        assertThat(plan(2, 8, Map.of())).isFalse();
        assertThat(say(0, 1, 4.5).share().slots()).isEqualTo(Map.of("p", 1));
        say(0, 2, 4.6);
        say(2, 2, 4.6);
        decide(4.7);
        assertThat(clusterState.livePlans()).extracting(CapacityPlan::number).containsExactly(2L);
        assertThat(plan(2, 8, Map.of())).isTrue();
    }

    @Test
    void aSilentNodesLeaseHasToRunOutAndANewLeaderWaitsForAll() {
        found(4);
        plan(8, 2, Map.of());
        say(0, 0, 4);
        plan(2, 2, Map.of());
        decide(7);
        assertThat(clusterState.livePlans()).hasSize(2);
        decide(7.1);
        assertThat(clusterState.livePlans()).as("3 s and the drift later").hasSize(1);
        plan(2, 1, Map.of());
        leaseManager.leadsNoMore();
        leaseManager.leads(clusterState, at(8));
        decide(10.9);
        assertThat(clusterState.livePlans())
                .as("what the one before told isn't known here")
                .hasSize(2);
        decide(11.1);
        assertThat(clusterState.livePlans()).hasSize(1);
    }

    @Test
    void standingRightsCountAndNewcomersHaveNothingByAnOldPlan() {
        found(4);
        Map<String, Map<String, Integer>> alone = Map.of("r/z0", Map.of("p", 3));
        assertThat(plan(2, 6, alone)).as("two nodes of z0 may have six in any case").isFalse();
        assertThat(plan(2, 4, alone)).isTrue();
        clusterState.apply(new ClusterCommand.Join(node(4), new Incarnation(4), site(4)));
        assertThat(clusterState.plan().of(node(4))).isEmpty();
        assertThat(say(4, 0, 5).share().slots()).isEmpty();
        clusterState.apply(new ClusterCommand.RemoveNode(node(1)));
        assertThat(clusterState.plan().roster()).doesNotContainKey("n1");
        ClusterState again = new ClusterState(100);
        again.open(clusterState.snapshot());
        assertThat(again.snapshot()).isEqualTo(clusterState.snapshot());
    }

    @Test
    void whateverIsBelievedOfWhateverLivePlansTheSumStaysUnderTheBound() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            ClusterState one = new ClusterState(100);
            one.apply(new ClusterCommand.Bootstrap(1));
            int nodes = 2 + random.nextInt(9);
            for (int i = 0; i < nodes; i++) {
                one.apply(new ClusterCommand.Join(node(i), new Incarnation(i), site(i)));
            }
            one.apply(
                    new ClusterCommand.GrantLease(
                            DutyName.PLANNER, node(0), new Incarnation(0), new FencingToken(0)));
            FencingToken under = one.duty(DutyName.PLANNER).token();
            for (int step = 0; step < 60; step++) {
                if (random.nextInt(4) == 0) {
                    one.apply(
                            new ClusterCommand.RetireCapacityPlans(
                                    1 + random.nextInt((int) one.lastPlan() + 1)));
                } else {
                    one.apply(
                            new ClusterCommand.SetCapacityPlan(
                                    under,
                                    one.lastPlan(),
                                    Map.of("p", 12),
                                    Map.of(),
                                    Map.of(
                                            "r/z0",
                                            Map.of("p", random.nextInt(13)),
                                            "r/z1",
                                            Map.of("p", random.nextInt(13))),
                                    "",
                                    0));
                }
                Map<Integer, Integer> believed = new HashMap<>();
                List<CapacityPlan> live = new ArrayList<>(one.livePlans());
                for (int i = 0; i < nodes && !live.isEmpty(); i++) {
                    believed.put(
                            i,
                            live.get(random.nextInt(live.size())).of(node(i)).getOrDefault("p", 0));
                }
                assertThat(believed.values().stream().mapToInt(may -> may).sum())
                        .as("seed " + seed)
                        .isLessThanOrEqualTo(12);
            }
        }
    }
}
