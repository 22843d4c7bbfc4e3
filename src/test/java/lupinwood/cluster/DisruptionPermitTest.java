package lupinwood.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class DisruptionPermitTest {
    private static final Site[] ZONES = {
        new Site("r", "a"), new Site("r", "b"), new Site("r", "c")
    };
    private static final DisruptionLimits RULES = new DisruptionLimits(3, 0.5, 2, 1, 4);
    private final ClusterState clusterState = new ClusterState(100);

    private static NodeName node(int i) {
        return new NodeName("n" + i);
    }

    private void join(int nodes) {
        for (int i = 0; i < nodes; i++) {
            clusterState.apply(new ClusterCommand.Join(node(i), new Incarnation(i), ZONES[i % 3]));
        }
    }

    private boolean allow(String order, int node, NodeName... unavailableNodes) {
        return clusterState.apply(
                new ClusterCommand.GrantPermit(
                        order, node(node), "ann", 5, RULES, List.of(unavailableNodes)));
    }

    @Test
    void whateverIsOutCountsForTheFleetItsZoneAndTheLeastThatStays() {
        join(9);
        assertThat(allow("o1", 0)).isTrue();
        assertThat(allow("o2", 3)).isTrue();
        assertThat(allow("o3", 6)).as("the third of zone a").isFalse();
        assertThat(clusterState.against(node(6), RULES, List.of()))
                .isEqualTo("of 3 nodes in r/a 2 are out, and no more than 2 may be");
        assertThat(allow("o4", 1, node(4))).as("one is unknown, so four would be out").isFalse();
        assertThat(clusterState.against(node(1), RULES, List.of(node(4))))
                .contains("of 9 nodes 3 are out, and no more than 3");
        assertThat(allow("o4", 4, node(4))).as("who isn't known to be well").isFalse();
        assertThat(allow("o5", 1)).isTrue();
        assertThat(allow("o6", 1)).as("it has one").isFalse();
        clusterState.apply(new ClusterCommand.ReturnPermit(1, "well again", 6));
        assertThat(allow("o7", 2)).isTrue();
        assertThat(clusterState.history())
                .extracting(ClusterState.HistoryEntry::text)
                .contains("ann let n0 go under permit 1", "permit 1 of n0 ended: well again");
        ClusterState small = new ClusterState(100);
        for (int i = 0; i < 5; i++) {
            small.apply(new ClusterCommand.Join(node(i), new Incarnation(i), ZONES[i % 3]));
        }
        small.apply(new ClusterCommand.GrantPermit("x", node(0), "ann", 1, RULES, List.of()));
        assertThat(small.against(node(1), RULES, List.of()))
                .isEqualTo("fewer than 4 nodes would stay in");
    }

    @Test
    void aMajorityOfVotersStaysWhateverElseTheRulesAllow() {
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
        assertThat(clusterState.against(node(1), limits, List.of()))
                .isEqualTo("of 3 voters 1 are out, and a majority has to stay");
        clusterState.apply(new ClusterCommand.ReturnPermit(1, "well again", 2));
        assertThat(clusterState.against(node(1), limits, List.of(node(2))))
                .contains("a majority has to stay");
        assertThat(clusterState.against(node(1), limits, List.of())).isEmpty();
    }

    @Test
    void anOrderGivenTwiceIsDoneOnceAndNothingIsAllowedWhileHalted() {
        join(9);
        assertThat(allow("o1", 0)).isTrue();
        assertThat(allow("o1", 0)).isTrue();
        assertThat(clusterState.permits()).hasSize(1);
        clusterState.apply(new ClusterCommand.SetHalt("h1", true, "bob", 7));
        assertThat(allow("o2", 1)).isFalse();
        assertThat(clusterState.against(node(1), RULES, List.of())).isEqualTo("bob halted");
        clusterState.apply(new ClusterCommand.SetHalt("h2", false, "ann", 8));
        clusterState.apply(new ClusterCommand.SetHalt("h1", true, "bob", 9));
        assertThat(allow("o2", 1)).as("an old halt that is told again halts nothing").isTrue();
        ClusterState again = new ClusterState(100);
        again.open(clusterState.snapshot());
        assertThat(again.snapshot()).isEqualTo(clusterState.snapshot());
        assertThat(again.answer("o2")).isEqualTo("permit 2 for n1");
    }

    @Test
    void whateverIsRequestedInWhateverOrderNeverMoreIsOutByPermitsThanTheRulesSay() {
        for (int seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            ClusterState one = new ClusterState(100);
            int nodes = 4 + random.nextInt(20);
            DisruptionLimits limits =
                    new DisruptionLimits(
                            1 + random.nextInt(6),
                            random.nextDouble(),
                            1 + random.nextInt(3),
                            random.nextDouble(),
                            random.nextInt(5));
            Set<NodeName> unseen = new HashSet<>();
            for (int i = 0; i < nodes; i++) {
                one.apply(new ClusterCommand.Join(node(i), new Incarnation(i), ZONES[i % 3]));
            }
            for (int step = 0; step < 200; step++) {
                NodeName node = node(random.nextInt(nodes));
                int before = one.permits().size();
                switch (random.nextInt(6)) {
                    case 0 ->
                            new ArrayList<>(one.permits())
                                    .stream()
                                            .findFirst()
                                            .ifPresent(
                                                    permit ->
                                                            one.apply(
                                                                    new ClusterCommand.ReturnPermit(
                                                                            permit.number(),
                                                                            "back",
                                                                            0)));
                    case 1 -> unseen.add(node);
                    case 2 -> unseen.remove(node);
                    case 3 ->
                            one.apply(
                                    new ClusterCommand.SetHalt(
                                            "h" + step, random.nextBoolean(), "x", 0));
                    default ->
                            one.apply(
                                    new ClusterCommand.GrantPermit(
                                            "o" + random.nextInt(400),
                                            node,
                                            "x",
                                            0,
                                            limits,
                                            List.copyOf(unseen)));
                }
                if (one.permits().size() > before) {
                    Set<NodeName> out = new HashSet<>(unseen);
                    one.permits().forEach(permit -> out.add(permit.node()));
                    assertThat(one.haltedBy()).isEmpty();
                    assertThat(out.size())
                            .as("seed " + seed)
                            .isLessThanOrEqualTo(limits.mostOf(nodes));
                    assertThat(nodes - out.size()).isGreaterThanOrEqualTo(limits.leastIn());
                }
            }
        }
    }
}
