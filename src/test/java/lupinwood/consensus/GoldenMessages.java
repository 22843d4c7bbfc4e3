package lupinwood.consensus;

import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinwood.admission.NanoDuration;
import lupinwood.cluster.ClusterCommand;
import lupinwood.cluster.ClusterState;
import lupinwood.cluster.DutyName;
import lupinwood.cluster.FencingToken;
import lupinwood.cluster.HealthCheckResult;
import lupinwood.cluster.Heartbeat;
import lupinwood.cluster.HeartbeatReply;
import lupinwood.cluster.Lease;
import lupinwood.cluster.NodeCondition;
import lupinwood.cluster.NodeName;
import lupinwood.cluster.NodeReport;
import lupinwood.cluster.NodeStatus;
import lupinwood.cluster.NodeView;
import lupinwood.cluster.RequestCounts;
import lupinwood.cluster.Rollout;

/**
 * Golden values: the messages between nodes, voters and operators, and the external status report.
 */
final class GoldenMessages {
    private static final Lease GRANT = new Lease(DutyName.STATUS_REPORTER, new FencingToken(5));

    private GoldenMessages() {}

    private static NodeReport report() {
        return new NodeReport(
                "0.5",
                "0123456789abcdef",
                new NodeReport.ConfigCheck(
                        "fedcba9876543210", false, true, "line 3: <no such place>"),
                List.of("server-1"),
                12,
                List.of(new NodeReport.LocationUse("place-a", 3, 100, 90, 2, 1.5E-4, true)),
                GoldenCommands.REQUEST_COUNTS);
    }

    private static NodeReport reportMinimal() {
        return new NodeReport("0.5", "", null, List.of(), 0, List.of(), RequestCounts.EMPTY);
    }

    private static Heartbeat heartbeat(NodeCondition condition, NodeReport report) {
        return new Heartbeat(
                1,
                GoldenCommands.N0,
                GoldenCommands.INCARNATION,
                GoldenCommands.SITE,
                condition,
                1L << 33,
                List.of(GRANT),
                List.of(new Lease(DutyName.HEALTH_CHECK, new FencingToken(6))),
                List.of(new Lease(DutyName.PLANNER, new FencingToken(7))),
                List.of("server-1", "server-2"),
                List.of(
                        new HealthCheckResult(
                                "server-1",
                                true,
                                new FencingToken(8),
                                NanoDuration.ofSeconds(0.25))),
                report);
    }

    private static List<GoldenForm<?>> heartbeats() {
        List<GoldenForm<?>> forms = new ArrayList<>();
        int conditionNumber = 0;
        for (NodeCondition condition : NodeCondition.values()) {
            forms.add(
                    GoldenForm.inMessage(
                            "heartbeat-" + conditionNumber++ + ".json",
                            heartbeat(condition, report()),
                            Heartbeat.class));
        }
        forms.add(
                GoldenForm.inMessage(
                        "heartbeat-without-report.json",
                        heartbeat(NodeCondition.WARM, null),
                        Heartbeat.class));
        forms.add(
                GoldenForm.inMessage(
                        "heartbeat-minimal.json",
                        new Heartbeat(
                                1,
                                GoldenCommands.N0,
                                GoldenCommands.INCARNATION,
                                GoldenCommands.SITE,
                                NodeCondition.COLD,
                                1,
                                List.of(),
                                List.of(),
                                List.of(),
                                List.of(),
                                List.of(),
                                reportMinimal()),
                        Heartbeat.class));
        forms.add(
                GoldenForm.inMessage(
                        "heartbeat-older-version.json",
                        new Heartbeat(
                                0,
                                GoldenCommands.N0,
                                GoldenCommands.INCARNATION,
                                GoldenCommands.SITE,
                                NodeCondition.WARM,
                                1,
                                List.of(GRANT),
                                null,
                                null,
                                null,
                                null,
                                null),
                        Heartbeat.class));
        return forms;
    }

    private static List<GoldenForm<?>> replies() {
        Map<String, Integer> slots = new TreeMap<>();
        slots.put("place-a", 7);
        slots.put("place-b", 0);
        return List.of(
                GoldenForm.inMessage(
                        "reply-full.json",
                        new HeartbeatReply(
                                77,
                                true,
                                GoldenCommands.N1,
                                "the name n0 is in use by another process",
                                NanoDuration.ofSeconds(3),
                                List.of(GRANT),
                                List.of(
                                        new HealthCheckResult(
                                                "server-1",
                                                false,
                                                new FencingToken(8),
                                                NanoDuration.ZERO)),
                                12,
                                new HeartbeatReply.DesiredState(
                                        "d1", "d2", true, List.of("server-1")),
                                new HeartbeatReply.CapacityShare(4, slots),
                                299),
                        HeartbeatReply.class),
                GoldenForm.inMessage(
                        "reply-older-version.json",
                        new HeartbeatReply(
                                77,
                                true,
                                GoldenCommands.N1,
                                "",
                                NanoDuration.ofSeconds(3),
                                List.of(),
                                List.of(),
                                0,
                                new HeartbeatReply.DesiredState("", "", false, null),
                                null,
                                0),
                        HeartbeatReply.class),
                GoldenForm.inMessage(
                        "reply-not-taken.json",
                        new HeartbeatReply(
                                78,
                                false,
                                GoldenCommands.N1,
                                "",
                                NanoDuration.ZERO,
                                List.of(),
                                List.of(),
                                0,
                                null,
                                null,
                                0),
                        HeartbeatReply.class),
                GoldenForm.inMessage(
                        "reply-no-leader.json",
                        new HeartbeatReply(
                                78,
                                false,
                                null,
                                "",
                                NanoDuration.ZERO,
                                List.of(),
                                List.of(),
                                0,
                                null,
                                null,
                                0),
                        HeartbeatReply.class));
    }

    private static RaftReplica.ReplicaView state() {
        List<NodeView> nodeViews = new ArrayList<>();
        for (NodeStatus status : NodeStatus.values()) {
            nodeViews.add(
                    new NodeView(
                            GoldenCommands.N0,
                            GoldenCommands.INCARNATION,
                            GoldenCommands.SITE,
                            status,
                            status == NodeStatus.UNKNOWN
                                    ? null
                                    : NanoDuration.ofSeconds(0.123456789),
                            status == NodeStatus.WARM ? report() : null));
        }
        ClusterState.Snapshot snapshot = GoldenCommands.fullSnapshot();
        ClusterState clusterState = new ClusterState(16);
        clusterState.restore(snapshot);
        return new RaftReplica.ReplicaView(
                GoldenCommands.N0,
                GoldenCommands.N1,
                7,
                nodeViews,
                snapshot.duties(),
                snapshot.digest(),
                snapshot.commands(),
                snapshot.permits(),
                snapshot.haltedBy(),
                snapshot.history(),
                clusterState.rollout(),
                clusterState.goodConfigDigest(),
                snapshot.cordons(),
                clusterState.baselineCounts(),
                snapshot.members(),
                new ArrayList<>(clusterState.livePlans()),
                clusterState.lastPlanNumber());
    }

    private static RaftReplica.ReplicaView stateMinimal() {
        return new RaftReplica.ReplicaView(
                GoldenCommands.N0,
                null,
                0,
                List.of(),
                List.of(),
                "",
                0,
                List.of(),
                "",
                List.of(),
                null,
                "",
                List.of(),
                null,
                null,
                null,
                0);
    }

    private static List<GoldenForm<?>> states() {
        return List.of(
                GoldenForm.inMessage("status-full.json", state(), RaftReplica.ReplicaView.class),
                GoldenForm.inMessage(
                        "status-minimal.json", stateMinimal(), RaftReplica.ReplicaView.class),
                new GoldenForm<>(
                        "status-report.json",
                        state(),
                        value ->
                                GoldenForm.JSON.toJson(
                                        JsonParser.parseString(
                                                GoldenForm.JSON.toJsonTree(value).toString())),
                        text -> GoldenForm.JSON.fromJson(text, RaftReplica.ReplicaView.class)),
                GoldenForm.inMessage(
                        "report-digest.json",
                        new ClusterCommand.RecordStatus(new FencingToken(5), "3 nodes known"),
                        ClusterCommand.RecordStatus.class));
    }

    private static GoldenForm<RaftReplica.OperatorOrder> order(
            String file, RaftReplica.OperatorOrder order) {
        return GoldenForm.inMessage(
                "order-" + file + ".json", order, RaftReplica.OperatorOrder.class);
    }

    private static List<GoldenForm<?>> orders() {
        RaftReplica.RolloutRequest text =
                new RaftReplica.RolloutRequest(
                        Rollout.Kind.CONFIGURATION, "d1", "a <b> = 'c'\n", true);
        RaftReplica.RolloutRequest program =
                new RaftReplica.RolloutRequest(Rollout.Kind.PROGRAM, "0.6", "", false);
        return List.of(
                order(
                        "leave",
                        new RaftReplica.OperatorOrder("1", "leave", GoldenCommands.N0, "ann")),
                order("halt", new RaftReplica.OperatorOrder("2", "halt", null, "ann")),
                order("resume", new RaftReplica.OperatorOrder("3", "resume", null, "ann")),
                order(
                        "forget",
                        new RaftReplica.OperatorOrder("4", "forget", GoldenCommands.N0, "ann")),
                order("release", new RaftReplica.OperatorOrder("5", "release", null, "ann", text)),
                order(
                        "release-program",
                        new RaftReplica.OperatorOrder("6", "release", null, "ann", program)),
                order("back", new RaftReplica.OperatorOrder("7", "back", null, "ann")),
                order(
                        "rest",
                        new RaftReplica.OperatorOrder("8", "rest", null, "ann", null, "server-1")),
                order(
                        "unrest",
                        new RaftReplica.OperatorOrder(
                                "9", "unrest", null, "ann", null, "server-1")),
                order(
                        "all-parts",
                        new RaftReplica.OperatorOrder(
                                "10", "rest", GoldenCommands.N0, "ann", text, "server-1")),
                GoldenForm.inMessage(
                        "answer-done.json",
                        new RaftReplica.OrderResult(true, "permit 1 for n0"),
                        RaftReplica.OrderResult.class),
                GoldenForm.inMessage(
                        "answer-refused.json",
                        new RaftReplica.OrderResult(false, "ann halted"),
                        RaftReplica.OrderResult.class));
    }

    private static List<GoldenForm<?>> bootstrap() {
        List<GoldenForm<?>> forms = new ArrayList<>();
        forms.add(
                new GoldenForm<>(
                        "bootstrap-question.json",
                        GoldenCommands.N0,
                        self -> ClusterBootstrap.query(self).toString(),
                        text ->
                                new NodeName(
                                        GoldenForm.parseObject(text).get("from").getAsString())));
        int stateNumber = 0;
        for (ClusterBootstrap.State state : ClusterBootstrap.State.values()) {
            forms.add(
                    new GoldenForm<>(
                            "bootstrap-answer-" + stateNumber++ + ".json",
                            state,
                            value -> ClusterBootstrap.report(GoldenCommands.N0, value).toString(),
                            text -> ClusterBootstrap.reportedState(GoldenForm.parseObject(text))));
        }
        return forms;
    }

    static List<GoldenForm<?>> forms() {
        List<GoldenForm<?>> forms = new ArrayList<>();
        forms.addAll(heartbeats());
        forms.addAll(replies());
        forms.addAll(states());
        forms.addAll(orders());
        forms.addAll(bootstrap());
        return forms;
    }
}
