package lupinwood.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** When leases are granted, renewed and ended, for a leader and for a holder. */
final class LeaseManagerTest {
    private static final LeaseTiming TIMING = LeaseTiming.of(NanoDuration.ofSeconds(3), 0.02);
    private static final NodeName SELF = new NodeName("v");
    private final ClusterState clusterState = new ClusterState(3);
    private final LeaseManager leaseManager =
            new LeaseManager(TIMING, List.of(DutyName.HEALTH_CHECK));
    private long heartbeatNumber;

    private static MonotonicTime at(double seconds) {
        return new MonotonicTime(Math.round(seconds * 1e9));
    }

    private Heartbeat heartbeat(
            String name,
            int incarnation,
            NodeCondition condition,
            List<Lease> releasing,
            List<Lease> failedLeases) {
        return new Heartbeat(
                Heartbeat.VERSION,
                new NodeName(name),
                new Incarnation(incarnation),
                new Site("r", "z"),
                condition,
                ++heartbeatNumber,
                List.of(),
                releasing,
                failedLeases,
                List.of(),
                List.of(),
                null);
    }

    private HeartbeatReply sendHeartbeat(Heartbeat heartbeat, double seconds) {
        String trouble = leaseManager.onHeartbeat(heartbeat, clusterState, at(seconds));
        return leaseManager.replyTo(heartbeat, trouble, clusterState, SELF, at(seconds));
    }

    private HeartbeatReply sendWarmHeartbeat(String name, double seconds) {
        return sendHeartbeat(heartbeat(name, 1, NodeCondition.WARM, List.of(), List.of()), seconds);
    }

    private List<ClusterCommand> applyDecisions(double seconds) {
        List<ClusterCommand> commands = leaseManager.decide(clusterState, 100, at(seconds));
        commands.forEach(clusterState::apply);
        return commands;
    }

    @BeforeEach
    void startWithNodesAAndBAndDutyAtA() {
        leaseManager.onElected(clusterState, at(0));
        sendWarmHeartbeat("a", 0.1);
        applyDecisions(0.1);
        applyDecisions(0.1);
        applyDecisions(1.2);
        sendWarmHeartbeat("a", 1.3);
        sendWarmHeartbeat("b", 1.3);
        applyDecisions(1.3);
        applyDecisions(1.3);
        assertThat(clusterState.duty(DutyName.HEALTH_CHECK).holder()).isEqualTo(new NodeName("a"));
        assertThat(clusterState.duty(DutyName.HEALTH_CHECK).token().number()).isEqualTo(101);
    }

    @Test
    void dutyMovesOnlyAfterItsLeaseHasCertainlyExpired() {
        assertThat(sendWarmHeartbeat("a", 2).leases()).hasSize(1);
        for (double now = 2.5; now < 5; now += 0.5) {
            sendWarmHeartbeat("b", now);
            assertThat(applyDecisions(now)).isEmpty();
        }
        sendWarmHeartbeat("b", 5.05);
        assertThat(applyDecisions(5.07))
                .containsExactly(
                        new ClusterCommand.ReleaseLease(
                                DutyName.HEALTH_CHECK,
                                new FencingToken(101),
                                ClusterCommand.LeaseEnd.LAPSED));
        assertThat(applyDecisions(5.08)).hasSize(1);
        assertThat(clusterState.duty(DutyName.HEALTH_CHECK).holder()).isEqualTo(new NodeName("b"));
        assertThat(clusterState.duty(DutyName.HEALTH_CHECK).token().number()).isEqualTo(102);
        // The former holder is heard again, and doesn't get the duty back.
        assertThat(sendWarmHeartbeat("a", 5.1).leases()).isEmpty();
        assertThat(applyDecisions(5.2)).isEmpty();
    }

    @Test
    void endingLeaseIsNotRenewedBeforeItsReleaseIsApplied() {
        sendWarmHeartbeat("a", 2);
        assertThat(leaseManager.decide(clusterState, 100, at(6)))
                .hasSize(1); // decided, and not applied yet
        assertThat(sendWarmHeartbeat("a", 6.1).leases()).isEmpty();
    }

    @Test
    void newLeaderCountsLeasesFromWhenItBeganToLead() {
        sendWarmHeartbeat("a", 2);
        leaseManager.onDeposed();
        leaseManager.onElected(clusterState, at(4));
        assertThat(sendWarmHeartbeat("b", 6.9).leases()).isEmpty();
        assertThat(applyDecisions(7)).isEmpty();
        assertThat(applyDecisions(7.1)).hasSize(1);
    }

    @Test
    void failedOrReleasedLeaseEndsAtOnceAndAFailedNodeIsIneligible() {
        Lease lease = sendWarmHeartbeat("a", 2).leases().get(0);
        sendWarmHeartbeat("b", 2.1);
        sendHeartbeat(heartbeat("a", 1, NodeCondition.WARM, List.of(), List.of(lease)), 2.2);
        assertThat(applyDecisions(2.2))
                .containsExactly(
                        new ClusterCommand.ReleaseLease(
                                DutyName.HEALTH_CHECK,
                                lease.token(),
                                ClusterCommand.LeaseEnd.FAILED));
        applyDecisions(2.2);
        assertThat(clusterState.duty(DutyName.HEALTH_CHECK).holder()).isEqualTo(new NodeName("b"));
        Lease next = sendWarmHeartbeat("b", 2.3).leases().get(0);
        sendHeartbeat(heartbeat("b", 1, NodeCondition.LEAVING, List.of(next), List.of()), 2.4);
        assertThat(applyDecisions(2.4))
                .containsExactly(
                        new ClusterCommand.ReleaseLease(
                                DutyName.HEALTH_CHECK,
                                next.token(),
                                ClusterCommand.LeaseEnd.HANDED_ON));
        sendWarmHeartbeat("a", 2.5);
        assertThat(applyDecisions(2.5)).as("a is ineligible, b is leaving").isEmpty();
        sendWarmHeartbeat("a", 8.5);
        assertThat(applyDecisions(8.5)).as("the ineligibility has passed").hasSize(1);
    }

    @Test
    void secondProcessUnderANameIsAcceptedOnlyAfterTheFirstIsSilent() {
        assertThat(
                        sendHeartbeat(
                                        heartbeat("a", 2, NodeCondition.WARM, List.of(), List.of()),
                                        1.5)
                                .rejectionReason())
                .contains("in use");
        assertThat(sendWarmHeartbeat("a", 1.6).leases()).hasSize(1);
        assertThat(
                        sendHeartbeat(
                                        heartbeat("a", 2, NodeCondition.WARM, List.of(), List.of()),
                                        6)
                                .rejectionReason())
                .isEmpty();
    }

    /** A silent node is unknown, and a node that left is out. */
    @Test
    void nodeStatusFollowsHeartbeatsAndExcessNodesOrNewerVersionsAreRejected() {
        sendWarmHeartbeat("b", 5);
        assertThat(leaseManager.nodeViews(clusterState, at(5)))
                .extracting(NodeView::status)
                .containsExactly(NodeStatus.UNKNOWN, NodeStatus.WARM);
        sendHeartbeat(heartbeat("b", 1, NodeCondition.GONE, List.of(), List.of()), 5.1);
        applyDecisions(5.1);
        assertThat(leaseManager.nodeViews(clusterState, at(5.2)).get(1).status())
                .isEqualTo(NodeStatus.OUT);
        for (String name : List.of("c", "d")) {
            sendWarmHeartbeat(name, 5.3); // b left, and made room for one
            applyDecisions(5.3);
        }
        assertThat(sendWarmHeartbeat("e", 5.4).rejectionReason()).contains("at most 3 nodes");
        Heartbeat newerVersionHeartbeat =
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
        assertThat(leaseManager.onHeartbeat(newerVersionHeartbeat, clusterState, at(5.5)))
                .contains("heartbeat version 9 is not supported");
    }

    @Test
    void holderCountsFromItsHeartbeatAndStopsBeforeTheDutyMayMove() {
        HeldLeases heldLeases = new HeldLeases(TIMING);
        heldLeases.onHeartbeatSent(1, at(10));
        HeartbeatReply reply =
                new HeartbeatReply(
                        1,
                        true,
                        SELF,
                        "",
                        TIMING.leaseDuration(),
                        List.of(new Lease(DutyName.HEALTH_CHECK, new FencingToken(7))),
                        List.of(),
                        0,
                        null,
                        null,
                        1);
        heldLeases.onReply(reply, at(11.5));
        assertThat(heldLeases.tokenFor(DutyName.HEALTH_CHECK, at(12.93)))
                .isEqualTo(new FencingToken(7));
        assertThat(heldLeases.tokenFor(DutyName.HEALTH_CHECK, at(12.95)))
                .as("the lease of 3 s less 2 % drift, counted from 10 s, has expired")
                .isNull();
        heldLeases.onHeartbeatSent(2, at(13));
        assertThat(heldLeases.release(DutyName.HEALTH_CHECK).token().number()).isEqualTo(7);
        heldLeases.onReply(
                new HeartbeatReply(
                        2,
                        true,
                        SELF,
                        "",
                        TIMING.leaseDuration(),
                        reply.leases(),
                        List.of(),
                        0,
                        null,
                        null,
                        1),
                at(13.1));
        assertThat(heldLeases.tokenFor(DutyName.HEALTH_CHECK, at(13.2)))
                .as("released for good under this token")
                .isNull();
    }
}
