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

/** What canary analysis attributes to a release, and what it doesn't. */
final class CanaryAnalysisTest {
    private static final CanaryLimits LIMITS =
            CanaryLimits.of(
                    NanoDuration.ofSeconds(60),
                    NanoDuration.ofSeconds(600),
                    0.03,
                    NanoDuration.ofSeconds(3));

    /** The share of requests that are not served in time. */
    private interface BadRatio {
        double of(int node, boolean changed, boolean after, String className);
    }

    private final Random random = new Random(7);
    private int restartsPerChangedNode;
    private int lostChanged;
    private int lostOthers;
    private double latencyFactor = 1;

    private RequestCounts generateCounts(
            int node, boolean changed, boolean after, int requests, BadRatio badRatio) {
        List<RequestCounts.ClassCounts> counts = new ArrayList<>();
        for (String className : List.of("look", "unlock")) {
            long all = className.equals("look") ? requests * 3L / 4 : requests / 4;
            double ratio = badRatio.of(node, changed, after, className);
            long bad =
                    Math.max(
                            0,
                            Math.min(
                                    all,
                                    Math.round(
                                            all * ratio
                                                    + Math.sqrt(all * ratio * (1 - ratio))
                                                            * random.nextGaussian())));
            double seconds =
                    (all - bad)
                            * 0.05
                            * (changed && after ? latencyFactor : 1)
                            * (1 + 0.05 * random.nextGaussian());
            counts.add(new RequestCounts.ClassCounts(className, all - bad, 0, 0, bad, seconds));
        }
        return new RequestCounts(counts);
    }

    /** Four sites with six nodes each, one of which is changed. */
    private CanaryVerdict judge(int requests, BadRatio badRatio) {
        List<NodeSample> samples = new ArrayList<>();
        for (int node = 0; node < 24; node++) {
            boolean changed = node < 4;
            boolean isLost = changed ? node < lostChanged : node - 4 < lostOthers;
            samples.add(
                    new NodeSample(
                            new NodeName("n" + node),
                            new Site("r", "z" + node % 4),
                            changed,
                            generateCounts(node, changed, false, requests, badRatio),
                            generateCounts(node, changed, true, requests, badRatio),
                            changed ? restartsPerChangedNode : 0,
                            isLost));
        }
        return CanaryAnalysis.judge(samples, LIMITS);
    }

    @Test
    void findsWorseAndSlowerNodesButNotEquallyGoodOnes() {
        assertThat(judge(1000, (node, changed, after, className) -> 0.02).kind())
                .isEqualTo(CanaryVerdict.Kind.WELL);
        CanaryVerdict worse =
                judge(1000, (node, changed, after, className) -> changed && after ? 0.1 : 0.02);
        assertThat(worse.kind()).isEqualTo(CanaryVerdict.Kind.WORSE);
        assertThat(worse.text())
                .contains(
                        "percentage points of requests not served in time in all request classes");
        assertThat(
                        judge(
                                        1000,
                                        (node, changed, after, className) ->
                                                changed && after && className.equals("unlock")
                                                        ? 0.3
                                                        : 0.02)
                                .kind())
                .isEqualTo(CanaryVerdict.Kind.WORSE);
        latencyFactor = 2;
        assertThat(judge(1000, (node, changed, after, className) -> 0.02).text())
                .contains("slower");
    }

    @Test
    void siteWideDisturbancesAreNotAttributedToTheRelease() {
        BadRatio inOneSite =
                (node, changed, after, className) -> after && node % 4 == 1 ? 0.4 : 0.02;
        assertThat(judge(1000, inOneSite).kind()).isEqualTo(CanaryVerdict.Kind.WELL);
        BadRatio everywhere = (node, changed, after, className) -> after ? 0.3 : 0.02;
        assertThat(judge(1000, everywhere).kind()).isNotEqualTo(CanaryVerdict.Kind.WORSE);
        BadRatio badBefore = (node, changed, after, className) -> changed ? 0.2 : 0.02;
        assertThat(judge(1000, badBefore).kind())
                .as("changed nodes were as bad before")
                .isEqualTo(CanaryVerdict.Kind.WELL);
    }

    @Test
    void littleTrafficIsInconclusive() {
        assertThat(judge(10, (node, changed, after, className) -> 0.02).kind())
                .isEqualTo(CanaryVerdict.Kind.UNSURE);
        assertThat(judge(40, (node, changed, after, className) -> 0.1).kind())
                .isEqualTo(CanaryVerdict.Kind.UNSURE);
    }

    @Test
    void findsLostOrRestartingNodesUnlessOthersDoTheSame() {
        BadRatio fine = (node, changed, after, className) -> 0.02;
        lostChanged = 3;
        assertThat(judge(1000, fine).text())
                .contains("3 of 4 changed nodes are lost, 0 of the 20 others");
        lostOthers = 15;
        assertThat(judge(1000, fine).kind())
                .as("most nodes of both kinds are lost")
                .isEqualTo(CanaryVerdict.Kind.WELL);
        lostChanged = 0;
        lostOthers = 0;
        restartsPerChangedNode = 2;
        assertThat(judge(1000, fine).text()).contains("8 restarts of 4 changed nodes");
    }
}
