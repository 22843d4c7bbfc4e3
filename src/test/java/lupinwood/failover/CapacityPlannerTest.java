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
 * Three zones in two regions with two nodes and one location each, planned against a real cluster
 * state; every node learns each plan at once.
 */
final class CapacityPlannerTest {
    private static final NanoDuration LEASE = NanoDuration.ofSeconds(2);
    private static final Site[] SITES = {
        new Site("r0", "z0"), new Site("r0", "z1"), new Site("r1", "z2")
    };
    private final List<Location> locations = new ArrayList<>();
    private final ClusterState clusterState = new ClusterState(100);
    private CapacityPlanner planner = new CapacityPlanner(LEASE);

    /**
     * Requests ended and failed, by node and location. None fails: nodes eject a failing location.
     */
    private final long[][][] counts = new long[6][3][2];

    private final boolean[][] ejected = new boolean[6][3];
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
     * Each node gets 40 requests per second, with a latency of 0.1 s each, and sends them to the
     * location of its own zone, but none to a location that it ejected.
     */
    private void run(int seconds) {
        for (int second = 0; second < seconds; second++) {
            now++;
            List<NodeView> nodeViews = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                offered[i] += 40;
                List<NodeReport.LocationUse> uses = new ArrayList<>();
                for (int location = 0; location < 3; location++) {
                    counts[i][location][0] += ejected[i][location] || location != i % 3 ? 0 : 40;
                    uses.add(
                            new NodeReport.LocationUse(
                                    "p" + location,
                                    0,
                                    offered[i],
                                    counts[i][location][0],
                                    counts[i][location][1],
                                    counts[i][location][0] * 0.1,
                                    ejected[i][location]));
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
                                        clusterState.lastPlanNumber(),
                                        uses,
                                        RequestCounts.EMPTY)));
            }
            ClusterCommand.SetCapacityPlan plan =
                    planner.decide(
                            new CapacityPlanner.View(
                                    locations,
                                    clusterState.members(),
                                    nodeViews,
                                    clusterState.livePlans(),
                                    clusterState.lastPlanNumber()),
                            token,
                            new MonotonicTime(Math.round(now * 1e9)));
            if (plan != null) {
                assertThat(clusterState.apply(plan)).as("the plan overloads no location").isTrue();
            }
            clusterState.apply(
                    new ClusterCommand.RetireCapacityPlans(
                            clusterState.lastPlanNumber())); // all nodes report the newest plan
        }
    }

    private void setEjectedByAll(int location, boolean isEjected) {
        for (int i = 0; i < 6; i++) {
            ejected[i][location] = isEjected;
        }
    }

    private int slots(int zone, int location) {
        return clusterState
                .newestPlan()
                .slots()
                .getOrDefault(SITES[zone].toString(), Map.of())
                .getOrDefault("p" + location, 0);
    }

    @Test
    void healthyLocationsServeOnlyTheirOwnZone() {
        run(20);
        for (int zone = 0; zone < 3; zone++) {
            assertThat(slots(zone, zone)).isBetween(14, 20);
            assertThat(slots(zone, (zone + 1) % 3)).isZero();
        }
        long plan = clusterState.lastPlanNumber();
        run(60);
        assertThat(clusterState.lastPlanNumber()).as("no new plan without a cause").isEqualTo(plan);
    }

    @Test
    void trafficOfFailedLocationMovesWithinRegionAndReturnsInSteps() {
        run(20);
        setEjectedByAll(0, true);
        run(6);
        assertThat(slots(0, 0)).as("the slots that nodes have without a plan").isEqualTo(4);
        assertThat(slots(0, 1)).as("p1 is in the same region").isGreaterThan(slots(0, 2));
        assertThat(slots(0, 1) + slots(0, 2)).isGreaterThanOrEqualTo(8);
        assertThat(clusterState.history().get(clusterState.history().size() - 1).text())
                .contains("trusted capacity of p0 reduced to 0%");
        setEjectedByAll(0, false);
        run(4);
        assertThat(slots(0, 0))
                .as("trust returns in steps of a quarter, not at once")
                .isLessThan(14);
        run(30);
        assertThat(slots(0, 0)).isGreaterThanOrEqualTo(14);
        assertThat(slots(0, 1)).isZero();
    }

    @Test
    void globalFaultMovesNoTrafficAndFaultySiteMovesNoneOfOthers() {
        run(20);
        long plan = clusterState.lastPlanNumber();
        for (int location = 0; location < 3; location++) {
            setEjectedByAll(location, true);
        }
        run(20);
        assertThat(clusterState.lastPlanNumber())
                .as("all locations fail for all sites")
                .isEqualTo(plan);
        for (int location = 0; location < 3; location++) {
            setEjectedByAll(location, false);
        }
        run(5);
        for (int location = 0; location < 3; location++) {
            ejected[2][location] = true;
            ejected[5][location] = true;
        }
        run(20);
        assertThat(slots(0, 0)).isGreaterThanOrEqualTo(14);
        assertThat(slots(1, 1)).isGreaterThanOrEqualTo(14);
    }

    @Test
    void locationThatStaysInRegionGetsNoTrafficFromOtherRegions() {
        locations.set(2, new Location("p2", SITES[2], 20, 2, 0, true));
        planner = new CapacityPlanner(LEASE);
        run(20);
        setEjectedByAll(0, true);
        run(10);
        assertThat(slots(0, 2)).isZero();
        assertThat(slots(0, 1)).isPositive();
    }
}
