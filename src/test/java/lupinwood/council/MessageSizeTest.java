package lupinwood.council;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinwood.fleet.Beat;
import lupinwood.fleet.Condition;
import lupinwood.fleet.Deed;
import lupinwood.fleet.Finding;
import lupinwood.fleet.Life;
import lupinwood.fleet.NodeName;
import lupinwood.fleet.Report;
import lupinwood.fleet.Seen;
import lupinwood.fleet.Site;
import lupinwood.fleet.Standing;
import lupinwood.fleet.Tally;
import lupinwood.fleet.Token;
import lupinwood.node.Span;
import org.junit.jupiter.api.Test;

/** The longest messages of a fleet of three hundred fit into one. */
final class MessageSizeTest {
    private static final int NODES = 300;
    private static final int TRACKS = 3;
    private static final int PLACES = 6;

    private static Tally tally() {
        List<Tally.Count> counts = new ArrayList<>();
        for (int i = 0; i < TRACKS; i++) {
            counts.add(
                    new Tally.Count(
                            "some-track-" + i,
                            123_456_789,
                            123_456,
                            1_234_567,
                            123_456,
                            123456.7890123456));
        }
        return new Tally(counts);
    }

    @Test
    void thePictureForThePlannerAndTheConductorFits() {
        List<Report.Use> uses = new ArrayList<>();
        for (int i = 0; i < PLACES; i++) {
            uses.add(
                    new Report.Use(
                            "place-" + i,
                            100,
                            123_456_789,
                            12_345_678,
                            123_456,
                            123456.7890123456,
                            false));
        }
        List<Seen> seen = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            Report report =
                    new Report(
                            "0.5",
                            "0123456789abcdef",
                            new Report.Checked("0123456789abcdef", true, false, ""),
                            List.of(),
                            12_345,
                            uses,
                            tally());
            seen.add(
                    new Seen(
                            new NodeName("node-" + i),
                            new Life(Long.MIN_VALUE + i),
                            new Site("region", "zone-" + i % 6),
                            Standing.WARM,
                            Span.ofSeconds(0.123456789),
                            report));
        }
        assertThat(FleetJson.gson().toJson(seen).length()).isLessThan(Carriage.MOST_BYTES * 9 / 10);
    }

    @Test
    void aNodeMayNameAThousandServersOfEachKindInOneBeat() {
        List<String> servers = new ArrayList<>();
        List<Report.Use> uses = new ArrayList<>();
        List<Finding> found = new ArrayList<>();
        for (int i = 0; i < 1024; i++) {
            servers.add("some-server-" + i);
            uses.add(
                    new Report.Use(
                            "some-place-" + i,
                            100,
                            123_456_789,
                            12_345_678,
                            123_456,
                            123456.7890123456,
                            false));
        }
        Report report =
                new Report(
                        "0.5",
                        "0123456789abcdef",
                        new Report.Checked("0123456789abcdef", true, false, ""),
                        servers,
                        12_345,
                        uses,
                        tally());
        Beat beat =
                new Beat(
                        Beat.VERSION,
                        new NodeName("node-1"),
                        new Life(1),
                        new Site("region", "zone"),
                        Condition.WARM,
                        1L << 40,
                        List.of(),
                        List.of(),
                        List.of(),
                        servers,
                        found,
                        report);
        assertThat(beat.cut().leftOut()).hasSize(1024);
        assertThat(beat.cut().report().emptied()).hasSize(1024);
        assertThat(beat.cut().report().uses()).hasSize(1024);
        assertThat(FleetJson.gson().toJson(beat).length()).isLessThan(Carriage.MOST_BYTES * 9 / 10);
    }

    @Test
    void aBatchOfTheLongestDeedsFits() {
        Map<String, Tally> past = new TreeMap<>();
        for (int i = 0; i < NODES; i++) {
            past.put("node-" + i, new Tally(List.of(tally().all())));
        }
        List<NodeName> nodes = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            nodes.add(new NodeName("node-" + i));
        }
        String deed =
                DeedText.of(
                        new Deed.Step(
                                new Token(1L << 40),
                                1,
                                1,
                                false,
                                nodes,
                                "all have checked it",
                                past,
                                1L << 40));
        JsonObject entry = new JsonObject();
        entry.addProperty("o", deed);
        assertThat(entry.toString().length() * 4)
                .as("quoted, and four of them")
                .isLessThan(Carriage.MOST_BYTES * 9 / 10);
    }
}
