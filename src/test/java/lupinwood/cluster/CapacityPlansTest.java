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

/** Capacity plans: which are accepted, how slots are divided, and when older plans are retired. */
final class CapacityPlansTest {
    private static final LeaseTiming TIMING = LeaseTiming.of(NanoDuration.ofSeconds(3), 0.01);
    private final ClusterState clusterState = new ClusterState(100);
    private final LeaseManager leaseManager = new LeaseManager(TIMING, List.of());
    private FencingToken plannerToken;
    private long heartbeatNumber;

    private static NodeName node(int i) {
        return new NodeName("n" + i);
    }

    private static Site site(int i) {
        return new Site("r", "z" + i % 2);
    }

    private static MonotonicTime at(double seconds) {
        return new MonotonicTime(Math.round(seconds * 1e9));
    }

    private void bootstrap(int nodes) {
        clusterState.apply(new ClusterCommand.Bootstrap(1));
        for (int i = 0; i < nodes; i++) {
            clusterState.apply(new ClusterCommand.Join(node(i), new Incarnation(i), site(i)));
        }
        clusterState.apply(
                new ClusterCommand.GrantLease(
                        DutyName.PLANNER, node(0), new Incarnation(0), new FencingToken(0)));
        plannerToken = clusterState.duty(DutyName.PLANNER).token();
        leaseManager.onElected(clusterState, at(0));
    }

    private boolean setPlan(int z0Slots, int z1Slots, Map<String, Map<String, Integer>> baseSlots) {
        return clusterState.apply(
                new ClusterCommand.SetCapacityPlan(
                        plannerToken,
                        clusterState.lastPlanNumber(),
                        Map.of("p", 10),
                        baseSlots,
                        Map.of("r/z0", Map.of("p", z0Slots), "r/z1", Map.of("p", z1Slots)),
                        "",
                        0));
    }

    /** Sends a heartbeat in which the node names the plan that it follows. */
    private HeartbeatReply sendHeartbeat(int node, long plan, double seconds) {
        Heartbeat heartbeat =
                new Heartbeat(
                        Heartbeat.VERSION,
                        node(node),
                        new Incarnation(node),
                        site(node),
                        NodeCondition.WARM,
                        ++heartbeatNumber,
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        new NodeReport(
                                "1", "", null, List.of(), plan, List.of(), RequestCounts.EMPTY));
        return leaseManager.replyTo(
                heartbeat,
                leaseManager.onHeartbeat(heartbeat, clusterState, at(seconds)),
                clusterState,
                node(0),
                at(seconds));
    }

    private void applyDecisions(double seconds) {
        leaseManager.decide(clusterState, 1, at(seconds)).forEach(clusterState::apply);
    }

    @Test
    void slotsGrowOnlyWhenNoNodeFollowsTheOlderPlan() {
        bootstrap(4);
        assertThat(setPlan(10, 1, Map.of())).as("11 slots, capacity 10").isFalse();
        assertThat(setPlan(8, 2, Map.of())).isTrue();
        sendHeartbeat(0, 1, 4);
        sendHeartbeat(1, 1, 4);
        assertThat(setPlan(2, 8, Map.of()))
                .as("z0 may still follow the plan with 8 slots")
                .isFalse();
        assertThat(setPlan(2, 2, Map.of())).isTrue();
        sendHeartbeat(1, 2, 4.1);
        sendHeartbeat(3, 2, 4.1);
        applyDecisions(4.2);
        assertThat(clusterState.livePlans())
                .as("n0 got the first plan and has not reported a newer one")
                .hasSize(2);
        assertThat(setPlan(2, 8, Map.of())).isFalse();
        assertThat(sendHeartbeat(0, 1, 4.5).capacityShare().slots()).isEqualTo(Map.of("p", 1));
        sendHeartbeat(0, 2, 4.6);
        sendHeartbeat(2, 2, 4.6);
        applyDecisions(4.7);
        assertThat(clusterState.livePlans()).extracting(CapacityPlan::number).containsExactly(2L);
        assertThat(setPlan(2, 8, Map.of())).isTrue();
    }

    /**
     * Covers the lease of a silent node and, under a new leader, all leases that earlier leaders
     * granted.
     */
    @Test
    void plansAreRetiredOnlyAfterAllLeasesOnThemHaveCertainlyExpired() {
        bootstrap(4);
        setPlan(8, 2, Map.of());
        sendHeartbeat(0, 0, 4);
        setPlan(2, 2, Map.of());
        applyDecisions(7);
        assertThat(clusterState.livePlans()).hasSize(2);
        applyDecisions(7.1);
        assertThat(clusterState.livePlans()).as("lease of 3 s and drift have passed").hasSize(1);
        setPlan(2, 1, Map.of());
        leaseManager.onDeposed();
        leaseManager.onElected(clusterState, at(8));
        applyDecisions(10.9);
        assertThat(clusterState.livePlans())
                .as("the new leader doesn't know which plans were sent before")
                .hasSize(2);
        applyDecisions(11.1);
        assertThat(clusterState.livePlans()).hasSize(1);
    }

    @Test
    void baseSlotsCountAndNewMembersGetNothingFromEarlierPlans() {
        bootstrap(4);
        Map<String, Map<String, Integer>> baseSlots = Map.of("r/z0", Map.of("p", 3));
        assertThat(setPlan(2, 6, baseSlots))
                .as("two nodes of z0 have 6 base slots together")
                .isFalse();
        assertThat(setPlan(2, 4, baseSlots)).isTrue();
        clusterState.apply(new ClusterCommand.Join(node(4), new Incarnation(4), site(4)));
        assertThat(clusterState.newestPlan().slotsOf(node(4))).isEmpty();
        assertThat(sendHeartbeat(4, 0, 5).capacityShare().slots()).isEmpty();
        clusterState.apply(new ClusterCommand.RemoveNode(node(1)));
        assertThat(clusterState.newestPlan().roster()).doesNotContainKey("n1");
        ClusterState restored = new ClusterState(100);
        restored.restore(clusterState.snapshot());
        assertThat(restored.snapshot()).isEqualTo(clusterState.snapshot());
    }

    @Test
    void totalStaysWithinCapacityWhicheverLivePlansNodesFollow() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            ClusterState state = new ClusterState(100);
            state.apply(new ClusterCommand.Bootstrap(1));
            int nodes = 2 + random.nextInt(9);
            for (int i = 0; i < nodes; i++) {
                state.apply(new ClusterCommand.Join(node(i), new Incarnation(i), site(i)));
            }
            state.apply(
                    new ClusterCommand.GrantLease(
                            DutyName.PLANNER, node(0), new Incarnation(0), new FencingToken(0)));
            FencingToken planner = state.duty(DutyName.PLANNER).token();
            for (int step = 0; step < 60; step++) {
                if (random.nextInt(4) == 0) {
                    state.apply(
                            new ClusterCommand.RetireCapacityPlans(
                                    1 + random.nextInt((int) state.lastPlanNumber() + 1)));
                } else {
                    state.apply(
                            new ClusterCommand.SetCapacityPlan(
                                    planner,
                                    state.lastPlanNumber(),
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
                Map<Integer, Integer> followedSlots = new HashMap<>();
                List<CapacityPlan> live = new ArrayList<>(state.livePlans());
                for (int i = 0; i < nodes && !live.isEmpty(); i++) {
                    followedSlots.put(
                            i,
                            live.get(random.nextInt(live.size()))
                                    .slotsOf(node(i))
                                    .getOrDefault("p", 0));
                }
                assertThat(followedSlots.values().stream().mapToInt(slots -> slots).sum())
                        .as("seed " + seed)
                        .isLessThanOrEqualTo(12);
            }
        }
    }
}
