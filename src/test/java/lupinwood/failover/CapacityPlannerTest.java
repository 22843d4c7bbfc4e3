package lupinwood.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
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
import lupinwood.cluster.Site;
import org.junit.jupiter.api.Test;

/**
 * Three zones in two regions, two nodes and one place each, by the real book; each word is heard at
 * once.
 */
final class CapacityPlannerTest {
    private static final NanoDuration LEASE = NanoDuration.ofSeconds(2);
    private static final Site[] SITES = {
        new Site("r0", "z0"), new Site("r0", "z1"), new Site("r1", "z2")
    };
    private final List<Location> locations = new ArrayList<>();
    private final ClusterState clusterState = new ClusterState(100);
    private CapacityPlanner planner = new CapacityPlanner(LEASE);
    private final long[][][] counts = new long[6][3][2];
    private final boolean[][] leftOut = new boolean[6][3];
    private final long[] offered = new long[6];
    private FencingToken token;
    private double now;

    CapacityPlannerTest() {
        for (int i = 0; i < 3; i++) {
            locations.add(new Location("p" + i, SITES[i], 20, 2, 0, false));
        }
        clusterState.apply(new ClusterCommand.Bootstrap(1));
        for (int i = 0; i < 6; i++) {
            clusterState.apply(
                    new ClusterCommand.Join(
                            new NodeName("n" + i), new Incarnation(i), SITES[i % 3]));
        }
        clusterState.apply(
                new ClusterCommand.GrantLease(
                        DutyName.PLANNER,
                        new NodeName("n0"),
                        new Incarnation(0),
                        new FencingToken(0)));
        token = clusterState.duty(DutyName.PLANNER).token();
    }

    /**
     * Each second each node asks for 40 requests of 0.1 s; where it leaves a place out, it sends
     * nothing there.
     */
    private void play(int seconds) {
        for (int second = 0; second < seconds; second++) {
            now++;
            List<NodeView> nodeViews = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                offered[i] += 40;
                List<NodeReport.LocationUse> uses = new ArrayList<>();
                for (int place = 0; place < 3; place++) {
                    counts[i][place][0] += leftOut[i][place] || place != i % 3 ? 0 : 40;
                    uses.add(
                            new NodeReport.LocationUse(
                                    "p" + place,
                                    0,
                                    offered[i],
                                    counts[i][place][0],
                                    counts[i][place][1],
                                    counts[i][place][0] * 0.1,
                                    leftOut[i][place]));
                }
                nodeViews.add(
                        new NodeView(
                                new NodeName("n" + i),
                                new Incarnation(i),
                                SITES[i % 3],
                                NodeStatus.WARM,
                                NanoDuration.ZERO,
                                new NodeReport(
                                        "1",
                                        "",
                                        null,
                                        List.of(),
                                        clusterState.lastPlan(),
                                        uses,
                                        RequestCounts.NOTHING)));
            }
            ClusterCommand.SetCapacityPlan plan =
                    planner.decide(
                            new CapacityPlanner.View(
                                    locations,
                                    clusterState.members(),
                                    nodeViews,
                                    clusterState.livePlans(),
                                    clusterState.lastPlan()),
                            token,
                            new MonotonicTime(Math.round(now * 1e9)));
            if (plan != null) {
                assertThat(clusterState.apply(plan)).as("it fits").isTrue();
            }
            clusterState.apply(
                    new ClusterCommand.RetireCapacityPlans(clusterState.lastPlan())); // all said so
        }
    }

    private void sick(int place, boolean sick) {
        for (int i = 0; i < 6; i++) {
            leftOut[i][place] = sick;
        }
    }

    private int slots(int zone, int place) {
        return clusterState
                .plan()
                .slots()
                .getOrDefault(SITES[zone].toString(), Map.of())
                .getOrDefault("p" + place, 0);
    }

    @Test
    void allIsNearWhileNearIsWell() {
        play(20);
        for (int zone = 0; zone < 3; zone++) {
            assertThat(slots(zone, zone)).isBetween(14, 20);
            assertThat(slots(zone, (zone + 1) % 3)).isZero();
        }
        long plan = clusterState.lastPlan();
        play(60);
        assertThat(clusterState.lastPlan())
                .as("nothing is planned anew without a cause")
                .isEqualTo(plan);
    }

    @Test
    void aLostPlacesWorkGoesIntoTheRegionFirstAndComesBackInSteps() {
        play(20);
        sick(0, true);
        play(6);
        assertThat(slots(0, 0)).as("its standing right").isEqualTo(4);
        assertThat(slots(0, 1)).as("p1 in the region").isGreaterThan(slots(0, 2));
        assertThat(slots(0, 1) + slots(0, 2)).isGreaterThanOrEqualTo(8);
        assertThat(clusterState.history().get(clusterState.history().size() - 1).text())
                .contains("p0 is trusted with 0%");
        sick(0, false);
        play(4);
        assertThat(slots(0, 0)).as("a quarter of its trust at a time").isLessThan(14);
        play(30);
        assertThat(slots(0, 0)).isGreaterThanOrEqualTo(14);
        assertThat(slots(0, 1)).isZero();
    }

    @Test
    void whatComesOverAllMovesNothingAndAZoneThatSuffersItselfIsNotHeeded() {
        play(20);
        long plan = clusterState.lastPlan();
        for (int place = 0; place < 3; place++) {
            sick(place, true);
        }
        play(20);
        assertThat(clusterState.lastPlan()).as("all is sick everywhere").isEqualTo(plan);
        for (int place = 0; place < 3; place++) {
            sick(place, false);
        }
        play(5);
        for (int place = 0; place < 3; place++) {
            leftOut[2][place] = true;
            leftOut[5][place] = true;
        }
        play(20);
        assertThat(slots(0, 0)).isGreaterThanOrEqualTo(14);
        assertThat(slots(1, 1)).isGreaterThanOrEqualTo(14);
    }

    @Test
    void aPlaceThatStaysInItsRegionTakesNothingFromElsewhere() {
        locations.set(2, new Location("p2", SITES[2], 20, 2, 0, true));
        planner = new CapacityPlanner(LEASE);
        play(20);
        sick(0, true);
        play(10);
        assertThat(slots(0, 2)).isZero();
        assertThat(slots(0, 1)).isPositive();
    }
}
