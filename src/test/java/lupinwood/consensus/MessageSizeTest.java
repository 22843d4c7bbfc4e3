package lupinwood.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinwood.admission.NanoDuration;
import lupinwood.cluster.ClusterCommand;
import lupinwood.cluster.FencingToken;
import lupinwood.cluster.HealthCheckResult;
import lupinwood.cluster.Heartbeat;
import lupinwood.cluster.Incarnation;
import lupinwood.cluster.NodeCondition;
import lupinwood.cluster.NodeName;
import lupinwood.cluster.NodeReport;
import lupinwood.cluster.NodeStatus;
import lupinwood.cluster.NodeView;
import lupinwood.cluster.RequestCounts;
import lupinwood.cluster.Site;
import org.junit.jupiter.api.Test;

/** Long messages of a cluster of 300 nodes, or their long parts, fit into one message's bound. */
final class MessageSizeTest {
    private static final int NODES = 300;
    private static final int REQUEST_CLASSES = 3;
    private static final int LOCATIONS = 6;

    private static RequestCounts requestCounts() {
        List<RequestCounts.ClassCounts> counts = new ArrayList<>();
        for (int i = 0; i < REQUEST_CLASSES; i++) {
            counts.add(
                    new RequestCounts.ClassCounts(
                            "some-track-" + i,
                            123_456_789,
                            123_456,
                            1_234_567,
                            123_456,
                            123456.7890123456));
        }
        return new RequestCounts(counts);
    }

    /** The node views in the status for the planner and the rollout controller. */
    @Test
    void nodeViewsWithAllReportsFit() {
        List<NodeReport.LocationUse> uses = new ArrayList<>();
        for (int i = 0; i < LOCATIONS; i++) {
            uses.add(
                    new NodeReport.LocationUse(
                            "place-" + i,
                            100,
                            123_456_789,
                            12_345_678,
                            123_456,
                            123456.7890123456,
                            false));
        }
        List<NodeView> nodeViews = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            NodeReport report =
                    new NodeReport(
                            "0.5",
                            "0123456789abcdef",
                            new NodeReport.ConfigCheck("0123456789abcdef", true, false, ""),
                            List.of(),
                            12_345,
                            uses,
                            requestCounts());
            nodeViews.add(
                    new NodeView(
                            new NodeName("node-" + i),
                            new Incarnation(Long.MIN_VALUE + i),
                            new Site("region", "zone-" + i % 6),
                            NodeStatus.WARM,
                            NanoDuration.ofSeconds(0.123456789),
                            report));
        }
        assertThat(ClusterJson.gson().toJson(nodeViews).length())
                .isLessThan(RaftTransport.MAX_MESSAGE_BYTES * 9 / 10);
    }

    /** Excluded servers, drained servers and locations in use; no health check results. */
    @Test
    void heartbeatNamingAThousandServersAndLocationsFits() {
        List<String> servers = new ArrayList<>();
        List<NodeReport.LocationUse> uses = new ArrayList<>();
        List<HealthCheckResult> healthCheckResults = new ArrayList<>();
        for (int i = 0; i < 1024; i++) {
            servers.add("some-server-" + i);
            uses.add(
                    new NodeReport.LocationUse(
                            "some-place-" + i,
                            100,
                            123_456_789,
                            12_345_678,
                            123_456,
                            123456.7890123456,
                            false));
        }
        NodeReport report =
                new NodeReport(
                        "0.5",
                        "0123456789abcdef",
                        new NodeReport.ConfigCheck("0123456789abcdef", true, false, ""),
                        servers,
                        12_345,
                        uses,
                        requestCounts());
        Heartbeat heartbeat =
                new Heartbeat(
                        Heartbeat.VERSION,
                        new NodeName("node-1"),
                        new Incarnation(1),
                        new Site("region", "zone"),
                        NodeCondition.WARM,
                        1L << 40,
                        List.of(),
                        List.of(),
                        List.of(),
                        servers,
                        healthCheckResults,
                        report);
        assertThat(heartbeat.truncated().ejectedServers()).hasSize(1024);
        assertThat(heartbeat.truncated().report().drained()).hasSize(1024);
        assertThat(heartbeat.truncated().report().locationUses()).hasSize(1024);
        assertThat(ClusterJson.gson().toJson(heartbeat).length())
                .isLessThan(RaftTransport.MAX_MESSAGE_BYTES * 9 / 10);
    }

    /** Four entries, as in {@code RaftReplica.MAX_BATCH_ENTRIES}; without configuration texts. */
    @Test
    void batchOfRolloutStepsWithRequestCountsFits() {
        Map<String, RequestCounts> past = new TreeMap<>();
        for (int i = 0; i < NODES; i++) {
            past.put("node-" + i, new RequestCounts(List.of(requestCounts().all())));
        }
        List<NodeName> nodes = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            nodes.add(new NodeName("node-" + i));
        }
        String command =
                CommandCodec.encode(
                        new ClusterCommand.AdvanceRollout(
                                new FencingToken(1L << 40),
                                1,
                                1,
                                false,
                                nodes,
                                "all have checked it",
                                past,
                                1L << 40));
        JsonObject entry = new JsonObject();
        entry.addProperty("o", command);
        assertThat(entry.toString().length() * 4)
                .as("a batch of four quoted commands")
                .isLessThan(RaftTransport.MAX_MESSAGE_BYTES * 9 / 10);
    }
}
