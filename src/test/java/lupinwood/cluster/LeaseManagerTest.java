package lupinwood.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class LeaseManagerTest {
    private static final LeaseTiming TIMING = LeaseTiming.of(NanoDuration.ofSeconds(3), 0.02);
    private static final NodeName SELF = new NodeName("v");
    private final ClusterState clusterState = new ClusterState(3);
    private final LeaseManager leaseManager =
            new LeaseManager(TIMING, List.of(DutyName.HEALTH_CHECK));
    private long number;

    private static MonotonicTime at(double seconds) {
        return new MonotonicTime(Math.round(seconds * 1e9));
    }

    private Heartbeat heartbeat(
            String name,
            int life,
            NodeCondition condition,
            List<Lease> releasing,
            List<Lease> failsAt) {
        return new Heartbeat(
                Heartbeat.VERSION,
                new NodeName(name),
                new Incarnation(life),
                new Site("r", "z"),
                condition,
                ++number,
                List.of(),
                releasing,
                failsAt,
                List.of(),
                List.of(),
                null);
    }

    private HeartbeatReply say(Heartbeat heartbeat, double seconds) {
        String trouble = leaseManager.heard(heartbeat, clusterState, at(seconds));
        return leaseManager.replyTo(heartbeat, trouble, clusterState, SELF, at(seconds));
    }

    private HeartbeatReply warm(String name, double seconds) {
        return say(heartbeat(name, 1, NodeCondition.WARM, List.of(), List.of()), seconds);
    }

    private List<ClusterCommand> done(double seconds) {
        List<ClusterCommand> commands = leaseManager.decide(clusterState, 100, at(seconds));
        commands.forEach(clusterState::apply);
        return commands;
    }

    @BeforeEach
    void twoNodesAndTheFirstHolds() {
        leaseManager.leads(clusterState, at(0));
        warm("a", 0.1);
        done(0.1);
        done(0.1);
        done(1.2);
        warm("a", 1.3);
        warm("b", 1.3);
        done(1.3);
        done(1.3);
        assertThat(clusterState.duty(DutyName.HEALTH_CHECK).holder()).isEqualTo(new NodeName("a"));
        assertThat(clusterState.duty(DutyName.HEALTH_CHECK).token().number()).isEqualTo(101);
    }

    @Test
    void aDutyIsGivenOnOnlyOnceItsLeaseHasRunOutForCertain() {
        assertThat(warm("a", 2).leases()).hasSize(1);
        for (double now = 2.5; now < 5; now += 0.5) {
            warm("b", now);
            assertThat(done(now)).isEmpty();
        }
        warm("b", 5.05);
        assertThat(done(5.07))
                .containsExactly(
                        new ClusterCommand.ReleaseLease(
                                DutyName.HEALTH_CHECK,
                                new FencingToken(101),
                                ClusterCommand.LeaseEnd.LAPSED));
        assertThat(done(5.08)).hasSize(1);
        assertThat(clusterState.duty(DutyName.HEALTH_CHECK).holder()).isEqualTo(new NodeName("b"));
        assertThat(clusterState.duty(DutyName.HEALTH_CHECK).token().number()).isEqualTo(102);
        // The first one is back, and doesn't take it back.
        assertThat(warm("a", 5.1).leases()).isEmpty();
        assertThat(done(5.2)).isEmpty();
    }

    @Test
    void whatIsBeingTakenBackIsGrantedNoMoreHoweverLongTheBookTakes() {
        warm("a", 2);
        assertThat(leaseManager.decide(clusterState, 100, at(6)))
                .hasSize(1); // under way, and not written yet
        assertThat(warm("a", 6.1).leases()).isEmpty();
    }

    @Test
    void aNewLeaderCountsALeaseFromWhenItBeganToLead() {
        warm("a", 2);
        leaseManager.leadsNoMore();
        leaseManager.leads(clusterState, at(4));
        assertThat(warm("b", 6.9).leases()).isEmpty();
        assertThat(done(7)).isEmpty();
        assertThat(done(7.1)).hasSize(1);
    }

    @Test
    void handedOnItGoesToAnHeirAtOnceAndFailedAtItStaysAway() {
        Lease lease = warm("a", 2).leases().get(0);
        warm("b", 2.1);
        say(heartbeat("a", 1, NodeCondition.WARM, List.of(), List.of(lease)), 2.2);
        assertThat(done(2.2))
                .containsExactly(
                        new ClusterCommand.ReleaseLease(
                                DutyName.HEALTH_CHECK,
                                lease.token(),
                                ClusterCommand.LeaseEnd.FAILED));
        done(2.2);
        assertThat(clusterState.duty(DutyName.HEALTH_CHECK).holder()).isEqualTo(new NodeName("b"));
        Lease next = warm("b", 2.3).leases().get(0);
        say(heartbeat("b", 1, NodeCondition.LEAVING, List.of(next), List.of()), 2.4);
        assertThat(done(2.4))
                .containsExactly(
                        new ClusterCommand.ReleaseLease(
                                DutyName.HEALTH_CHECK,
                                next.token(),
                                ClusterCommand.LeaseEnd.HANDED_ON));
        warm("a", 2.5);
        assertThat(done(2.5)).as("a is shunned, b leaves").isEmpty();
        warm("a", 8.5);
        assertThat(done(8.5)).as("for a time only").hasSize(1);
    }

    @Test
    void aSecondProcessUnderOneNameStandsOutsideUntilTheFirstIsSilent() {
        assertThat(say(heartbeat("a", 2, NodeCondition.WARM, List.of(), List.of()), 1.5).trouble())
                .contains("in use");
        assertThat(warm("a", 1.6).leases()).hasSize(1);
        assertThat(say(heartbeat("a", 2, NodeCondition.WARM, List.of(), List.of()), 6).trouble())
                .isEmpty();
    }

    @Test
    void silenceMakesANodeUnknownItsOwnWordOutAndAFullBookOrAnotherFormTellsSo() {
        warm("b", 5);
        assertThat(leaseManager.snapshot(clusterState, at(5)))
                .extracting(NodeView::status)
                .containsExactly(NodeStatus.UNKNOWN, NodeStatus.WARM);
        say(heartbeat("b", 1, NodeCondition.GONE, List.of(), List.of()), 5.1);
        done(5.1);
        assertThat(leaseManager.snapshot(clusterState, at(5.2)).get(1).status())
                .isEqualTo(NodeStatus.OUT);
        for (String name : List.of("c", "d")) {
            warm(name, 5.3); // b went, and made room for one
            done(5.3);
        }
        assertThat(warm("e", 5.4).trouble()).contains("no more than 3");
        Heartbeat newer =
                new Heartbeat(
                        9,
                        new NodeName("f"),
                        new Incarnation(1),
                        new Site("r", "z"),
                        NodeCondition.WARM,
                        1,
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        null);
        assertThat(leaseManager.heard(newer, clusterState, at(5.5))).contains("form 9");
    }

    @Test
    void aHolderCountsFromBeforeItRequestedAndStopsBeforeTheReplicaMayGiveOn() {
        HeldLeases heldLeases = new HeldLeases(TIMING);
        heldLeases.asks(1, at(10));
        HeartbeatReply reply =
                new HeartbeatReply(
                        1,
                        true,
                        SELF,
                        "",
                        TIMING.lease(),
                        List.of(new Lease(DutyName.HEALTH_CHECK, new FencingToken(7))),
                        List.of(),
                        0,
                        null,
                        null,
                        1);
        heldLeases.onReply(reply, at(11.5));
        assertThat(heldLeases.mayAct(DutyName.HEALTH_CHECK, at(12.93)))
                .isEqualTo(new FencingToken(7));
        assertThat(heldLeases.mayAct(DutyName.HEALTH_CHECK, at(12.95)))
                .as("3 s less the drift, from 10 s on")
                .isNull();
        heldLeases.asks(2, at(13));
        assertThat(heldLeases.giveUp(DutyName.HEALTH_CHECK).token().number()).isEqualTo(7);
        heldLeases.onReply(
                new HeartbeatReply(
                        2,
                        true,
                        SELF,
                        "",
                        TIMING.lease(),
                        reply.leases(),
                        List.of(),
                        0,
                        null,
                        null,
                        1),
                at(13.1));
        assertThat(heldLeases.mayAct(DutyName.HEALTH_CHECK, at(13.2)))
                .as("given up for good under this token")
                .isNull();
    }
}
