package lupinwood.release;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import lupinwood.fleet.NodeName;
import lupinwood.fleet.Site;
import lupinwood.fleet.Tally;
import lupinwood.node.Span;
import org.junit.jupiter.api.Test;

/** What a watch blames on a release, and what it doesn't. */
final class WatchTest {
    private static final Limits LIMITS =
            Limits.of(Span.ofSeconds(60), Span.ofSeconds(600), 0.03, Span.ofSeconds(3));

    private interface Bad {
        double share(int node, boolean changed, boolean after, String track);
    }

    private final Random random = new Random(7);
    private int restartsOfChanged;
    private int lostChanged;
    private int lostOthers;
    private double slower = 1;

    private Tally tally(int node, boolean changed, boolean after, int tickets, Bad bad) {
        List<Tally.Count> counts = new ArrayList<>();
        for (String track : List.of("look", "unlock")) {
            long all = track.equals("look") ? tickets * 3L / 4 : tickets / 4;
            double share = bad.share(node, changed, after, track);
            long wrong =
                    Math.max(
                            0,
                            Math.min(
                                    all,
                                    Math.round(
                                            all * share
                                                    + Math.sqrt(all * share * (1 - share))
                                                            * random.nextGaussian())));
            double seconds =
                    (all - wrong)
                            * 0.05
                            * (changed && after ? slower : 1)
                            * (1 + 0.05 * random.nextGaussian());
            counts.add(new Tally.Count(track, all - wrong, 0, 0, wrong, seconds));
        }
        return new Tally(counts);
    }

    /** Four zones of six nodes, one of each changed. */
    private Verdict judge(int tickets, Bad bad) {
        List<Sample> samples = new ArrayList<>();
        for (int node = 0; node < 24; node++) {
            boolean changed = node < 4;
            boolean lost = changed ? node < lostChanged : node - 4 < lostOthers;
            samples.add(
                    new Sample(
                            new NodeName("n" + node),
                            new Site("r", "z" + node % 4),
                            changed,
                            tally(node, changed, false, tickets, bad),
                            tally(node, changed, true, tickets, bad),
                            changed ? restartsOfChanged : 0,
                            lost));
        }
        return Watch.judge(samples, LIMITS);
    }

    @Test
    void whatDoesAsWellIsWellAndWhatDoesWorseIsFound() {
        assertThat(judge(1000, (node, changed, after, track) -> 0.02).kind())
                .isEqualTo(Verdict.Kind.WELL);
        Verdict worse = judge(1000, (node, changed, after, track) -> changed && after ? 0.1 : 0.02);
        assertThat(worse.kind()).isEqualTo(Verdict.Kind.WORSE);
        assertThat(worse.text()).contains("points gone wrong of all tickets");
        assertThat(
                        judge(
                                        1000,
                                        (node, changed, after, track) ->
                                                changed && after && track.equals("unlock")
                                                        ? 0.3
                                                        : 0.02)
                                .kind())
                .isEqualTo(Verdict.Kind.WORSE);
        slower = 2;
        assertThat(judge(1000, (node, changed, after, track) -> 0.02).text()).contains("slower");
    }

    @Test
    void whatComesOverAllOfAZoneIsBlamedOnNothing() {
        Bad inZone = (node, changed, after, track) -> after && node % 4 == 1 ? 0.4 : 0.02;
        assertThat(judge(1000, inZone).kind()).isEqualTo(Verdict.Kind.WELL);
        Bad everywhere = (node, changed, after, track) -> after ? 0.3 : 0.02;
        assertThat(judge(1000, everywhere).kind()).isNotEqualTo(Verdict.Kind.WORSE);
        Bad badBefore = (node, changed, after, track) -> changed ? 0.2 : 0.02;
        assertThat(judge(1000, badBefore).kind())
                .as("they were as bad before")
                .isEqualTo(Verdict.Kind.WELL);
    }

    @Test
    void littleTrafficIsNoProof() {
        assertThat(judge(10, (node, changed, after, track) -> 0.02).kind())
                .isEqualTo(Verdict.Kind.UNSURE);
        assertThat(judge(40, (node, changed, after, track) -> 0.1).kind())
                .isEqualTo(Verdict.Kind.UNSURE);
    }

    @Test
    void nodesThatGoMissingOrStartAnewAreFoundUnlessOthersDoTheSame() {
        Bad fine = (node, changed, after, track) -> 0.02;
        lostChanged = 3;
        assertThat(judge(1000, fine).text())
                .contains("3 of 4 nodes that have it are lost, 0 of the 20 others");
        lostOthers = 15;
        assertThat(judge(1000, fine).kind())
                .as("most of all are lost")
                .isEqualTo(Verdict.Kind.WELL);
        lostChanged = 0;
        lostOthers = 0;
        restartsOfChanged = 2;
        assertThat(judge(1000, fine).text()).contains("8 restarts at 4 nodes that have it");
    }
}
