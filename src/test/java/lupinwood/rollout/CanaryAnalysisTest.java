package lupinwood.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import lupinwood.admission.NanoDuration;
import lupinwood.cluster.NodeName;
import lupinwood.cluster.RequestCounts;
import lupinwood.cluster.Site;
import org.junit.jupiter.api.Test;

/** What a watch blames on a release, and what it doesn't. */
final class CanaryAnalysisTest {
    private static final CanaryLimits LIMITS =
            CanaryLimits.of(
                    NanoDuration.ofSeconds(60),
                    NanoDuration.ofSeconds(600),
                    0.03,
                    NanoDuration.ofSeconds(3));

    private interface Bad {
        double share(int node, boolean changed, boolean after, String className);
    }

    private final Random random = new Random(7);
    private int restartsOfChanged;
    private int lostChanged;
    private int lostOthers;
    private double slower = 1;

    private RequestCounts tally(int node, boolean changed, boolean after, int requests, Bad bad) {
        List<RequestCounts.ClassCounts> counts = new ArrayList<>();
        for (String className : List.of("look", "unlock")) {
            long all = className.equals("look") ? requests * 3L / 4 : requests / 4;
            double share = bad.share(node, changed, after, className);
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
            counts.add(new RequestCounts.ClassCounts(className, all - wrong, 0, 0, wrong, seconds));
        }
        return new RequestCounts(counts);
    }

    /** Four zones of six nodes, one of each changed. */
    private CanaryVerdict judge(int requests, Bad bad) {
        List<NodeSample> samples = new ArrayList<>();
        for (int node = 0; node < 24; node++) {
            boolean changed = node < 4;
            boolean lost = changed ? node < lostChanged : node - 4 < lostOthers;
            samples.add(
                    new NodeSample(
                            new NodeName("n" + node),
                            new Site("r", "z" + node % 4),
                            changed,
                            tally(node, changed, false, requests, bad),
                            tally(node, changed, true, requests, bad),
                            changed ? restartsOfChanged : 0,
                            lost));
        }
        return CanaryAnalysis.judge(samples, LIMITS);
    }

    @Test
    void whatDoesAsWellIsWellAndWhatDoesWorseIsFound() {
        assertThat(judge(1000, (node, changed, after, className) -> 0.02).kind())
                .isEqualTo(CanaryVerdict.Kind.WELL);
        CanaryVerdict worse =
                judge(1000, (node, changed, after, className) -> changed && after ? 0.1 : 0.02);
        assertThat(worse.kind()).isEqualTo(CanaryVerdict.Kind.WORSE);
        assertThat(worse.text()).contains("points gone wrong of all tickets");
        assertThat(
                        judge(
                                        1000,
                                        (node, changed, after, className) ->
                                                changed && after && className.equals("unlock")
                                                        ? 0.3
                                                        : 0.02)
                                .kind())
                .isEqualTo(CanaryVerdict.Kind.WORSE);
        slower = 2;
        assertThat(judge(1000, (node, changed, after, className) -> 0.02).text())
                .contains("slower");
    }

    @Test
    void whatComesOverAllOfAZoneIsBlamedOnNothing() {
        Bad inZone = (node, changed, after, className) -> after && node % 4 == 1 ? 0.4 : 0.02;
        assertThat(judge(1000, inZone).kind()).isEqualTo(CanaryVerdict.Kind.WELL);
        Bad everywhere = (node, changed, after, className) -> after ? 0.3 : 0.02;
        assertThat(judge(1000, everywhere).kind()).isNotEqualTo(CanaryVerdict.Kind.WORSE);
        Bad badBefore = (node, changed, after, className) -> changed ? 0.2 : 0.02;
        assertThat(judge(1000, badBefore).kind())
                .as("they were as bad before")
                .isEqualTo(CanaryVerdict.Kind.WELL);
    }

    @Test
    void littleTrafficIsNoProof() {
        assertThat(judge(10, (node, changed, after, className) -> 0.02).kind())
                .isEqualTo(CanaryVerdict.Kind.UNSURE);
        assertThat(judge(40, (node, changed, after, className) -> 0.1).kind())
                .isEqualTo(CanaryVerdict.Kind.UNSURE);
    }

    @Test
    void nodesThatGoMissingOrStartAnewAreFoundUnlessOthersDoTheSame() {
        Bad fine = (node, changed, after, className) -> 0.02;
        lostChanged = 3;
        assertThat(judge(1000, fine).text())
                .contains("3 of 4 nodes that have it are lost, 0 of the 20 others");
        lostOthers = 15;
        assertThat(judge(1000, fine).kind())
                .as("most of all are lost")
                .isEqualTo(CanaryVerdict.Kind.WELL);
        lostChanged = 0;
        lostOthers = 0;
        restartsOfChanged = 2;
        assertThat(judge(1000, fine).text()).contains("8 restarts at 4 nodes that have it");
    }
}
