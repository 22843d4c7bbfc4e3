package lupinwood.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** When a node gets a permit to be unavailable, and whether permits stay within the limits. */
final class DisruptionPermitTest {
    private static final Site[] SITES = {
        new Site("r", "a"), new Site("r", "b"), new Site("r", "c")
    };
    private static final DisruptionLimits LIMITS = new DisruptionLimits(3, 0.5, 2, 1, 4);
    private final ClusterState clusterState = new ClusterState(100);

    private static NodeName node(int i) {
        return new NodeName("n" + i);
    }

    private void join(int nodes) {
        for (int i = 0; i < nodes; i++) {
            clusterState.apply(new ClusterCommand.Join(node(i), new Incarnation(i), SITES[i % 3]));
        }
    }

    private boolean grantPermit(String order, int node, NodeName... unavailableNodes) {
        return clusterState.apply(
                new ClusterCommand.GrantPermit(
                        order, node(node), "ann", 5, LIMITS, List.of(unavailableNodes)));
    }

    @Test
    void everyUnavailableNodeCountsForFleetAndZoneLimits() {
        join(9);
        assertThat(grantPermit("o1", 0)).isTrue();
        assertThat(grantPermit("o2", 3)).isTrue();
        assertThat(grantPermit("o3", 6)).as("third node of zone a").isFalse();
        assertThat(clusterState.reasonAgainstPermit(node(6), LIMITS, List.of()))
                .isEqualTo("of 3 nodes in r/a 2 are unavailable, and at most 2 may be");
        assertThat(grantPermit("o4", 1, node(4)))
                .as("n4 is unknown, so four would be unavailable")
                .isFalse();
        assertThat(clusterState.reasonAgainstPermit(node(1), LIMITS, List.of(node(4))))
                .contains("of 9 nodes 3 are unavailable, and at most 3");
        assertThat(grantPermit("o4", 4, node(4)))
                .as("n4 itself is not known to be healthy")
                .isFalse();
        assertThat(grantPermit("o5", 1)).isTrue();
        assertThat(grantPermit("o6", 1)).as("n1 already has a permit").isFalse();
        clusterState.apply(new ClusterCommand.ReturnPermit(1, "well again", 6));
        assertThat(grantPermit("o7", 2)).isTrue();
        assertThat(clusterState.history())
                .extracting(ClusterState.HistoryEntry::text)
                .contains("ann let n0 go under permit 1", "permit 1 of n0 ended: well again");
        ClusterState smallState = new ClusterState(100);
        for (int i = 0; i < 5; i++) {
            smallState.apply(new ClusterCommand.Join(node(i), new Incarnation(i), SITES[i % 3]));
        }
        smallState.apply(new ClusterCommand.GrantPermit("x", node(0), "ann", 1, LIMITS, List.of()));
        assertThat(smallState.reasonAgainstPermit(node(1), LIMITS, List.of()))
                .isEqualTo("fewer than 4 nodes would remain available");
    }

    @Test
    void aMajorityOfVotersRemainsWhateverTheOtherLimitsAllow() {
        join(9);
        DisruptionLimits limits =
                new DisruptionLimits(9, 1, 9, 1, 0, List.of(node(0), node(1), node(2)));
        assertThat(
                        clusterState.apply(
                                new ClusterCommand.GrantPermit(
                                        "o1", node(0), "ann", 1, limits, List.of())))
                .isTrue();
        assertThat(
                        clusterState.apply(
                                new ClusterCommand.GrantPermit(
                                        "o2", node(4), "ann", 1, limits, List.of())))
                .isTrue();
        assertThat(
                        clusterState.apply(
                                new ClusterCommand.GrantPermit(
                                        "o3", node(1), "ann", 1, limits, List.of())))
                .isFalse();
        assertThat(clusterState.reasonAgainstPermit(node(1), limits, List.of()))
                .isEqualTo("of 3 voters 1 are unavailable, and a majority must remain available");
        clusterState.apply(new ClusterCommand.ReturnPermit(1, "well again", 2));
        assertThat(clusterState.reasonAgainstPermit(node(1), limits, List.of(node(2))))
                .contains("a majority must remain available");
        assertThat(clusterState.reasonAgainstPermit(node(1), limits, List.of())).isEmpty();
    }

    @Test
    void repeatedOrderAppliesOnceAndNoPermitIsGrantedWhileHalted() {
        join(9);
        assertThat(grantPermit("o1", 0)).isTrue();
        assertThat(grantPermit("o1", 0)).isTrue();
        assertThat(clusterState.permits()).hasSize(1);
        clusterState.apply(new ClusterCommand.SetHalt("h1", true, "bob", 7));
        assertThat(grantPermit("o2", 1)).isFalse();
        assertThat(clusterState.reasonAgainstPermit(node(1), LIMITS, List.of()))
                .isEqualTo("bob halted");
        clusterState.apply(new ClusterCommand.SetHalt("h2", false, "ann", 8));
        clusterState.apply(new ClusterCommand.SetHalt("h1", true, "bob", 9));
        assertThat(grantPermit("o2", 1)).as("a repeated old halt order halts nothing").isTrue();
        ClusterState restored = new ClusterState(100);
        restored.restore(clusterState.snapshot());
        assertThat(restored.snapshot()).isEqualTo(clusterState.snapshot());
        assertThat(restored.orderResult("o2")).isEqualTo("permit 2 for n1");
    }

    @Test
    void permitsStayWithinTheFleetLimitsForRandomCommands() {
        for (int seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            ClusterState state = new ClusterState(100);
            int nodes = 4 + random.nextInt(20);
            DisruptionLimits limits =
                    new DisruptionLimits(
                            1 + random.nextInt(6),
                            random.nextDouble(),
                            1 + random.nextInt(3),
                            random.nextDouble(),
                            random.nextInt(5));
            Set<NodeName> unseenNodes = new HashSet<>();
            for (int i = 0; i < nodes; i++) {
                state.apply(new ClusterCommand.Join(node(i), new Incarnation(i), SITES[i % 3]));
            }
            for (int step = 0; step < 200; step++) {
                NodeName node = node(random.nextInt(nodes));
                int before = state.permits().size();
                switch (random.nextInt(6)) {
                    case 0 ->
                            new ArrayList<>(state.permits())
                                    .stream()
                                            .findFirst()
                                            .ifPresent(
                                                    permit ->
                                                            state.apply(
                                                                    new ClusterCommand.ReturnPermit(
                                                                            permit.number(),
                                                                            "back",
                                                                            0)));
                    case 1 -> unseenNodes.add(node);
                    case 2 -> unseenNodes.remove(node);
                    case 3 ->
                            state.apply(
                                    new ClusterCommand.SetHalt(
                                            "h" + step, random.nextBoolean(), "x", 0));
                    default ->
                            state.apply(
                                    new ClusterCommand.GrantPermit(
                                            "o" + random.nextInt(400),
                                            node,
                                            "x",
                                            0,
                                            limits,
                                            List.copyOf(unseenNodes)));
                }
                if (state.permits().size() > before) {
                    Set<NodeName> unavailable = new HashSet<>(unseenNodes);
                    state.permits().forEach(permit -> unavailable.add(permit.node()));
                    assertThat(state.haltedBy()).isEmpty();
                    assertThat(unavailable.size())
                            .as("seed " + seed)
                            .isLessThanOrEqualTo(limits.maxUnavailable(nodes));
                    assertThat(nodes - unavailable.size()).isGreaterThanOrEqualTo(limits.leastIn());
                }
            }
        }
    }
}
