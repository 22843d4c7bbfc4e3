package lupinwood.rollout;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import lupinwood.cluster.RequestCounts;

/**
 * Canary analysis: compares nodes that have the release with nodes of the same site that don't,
 * over the same time, and each node with its own baseline if that is known. So a disturbance that
 * affects a whole site is not attributed to the release. The only bounds of a difference are the
 * harm that the operator tolerates and a fixed slowdown (see {@link CanaryLimits}): a WELL verdict
 * rules them out, and a WORSE verdict needs more than half of one. Losses and restarts of nodes are
 * attributed by fixed significance levels; the loss of all changed nodes, while an unchanged node
 * remains, always is.
 *
 * <p>Compares the share of requests that were not served in time: over all nodes and request
 * classes, for each request class, and for each site; and the mean latency over all nodes and
 * request classes. As there are many comparisons, and each is repeated while a wave is observed, a
 * WORSE verdict needs a high confidence.
 */
public final class CanaryAnalysis {
    /**
     * Higher than for a WELL verdict, since the comparison is repeated again and again and the
     * first WORSE verdict ends the wave, even before the minimum observation time.
     */
    private static final double WORSE_STANDARD_ERRORS = 3.2;

    /** For comparisons of one site or one request class. */
    private static final double PARTIAL_WORSE_STANDARD_ERRORS = 4.2;

    private static final double WELL_STANDARD_ERRORS = 1.6;

    /**
     * For a WELL verdict, each request class is also checked by itself, since harm in one may not
     * show in the total. Its bound is this multiple of the tolerated harm; for a WORSE verdict it
     * is the tolerated harm itself.
     */
    private static final double REQUEST_CLASS_HARM_FACTOR = 3;

    /**
     * If the probability that chance explains the losses of changed nodes is below this, they are
     * attributed to the release. Not needed if all changed nodes are lost and an unchanged one
     * isn't.
     */
    private static final double LOSS_SIGNIFICANCE_LEVEL = 0.02;

    private static final double RESTART_SIGNIFICANCE_LEVEL = 0.002;

    /** Requests that a node needs in an interval for its metrics to count. */
    private static final int MIN_REQUESTS = 20;

    private static final double MIN_BASELINE_NODES_RATIO = 0.6;

    private CanaryAnalysis() {}

    public static CanaryVerdict judge(List<NodeSample> samples, CanaryLimits limits) {
        CanaryVerdict losses = judgeLosses(samples);
        if (losses != null) {
            return losses;
        }
        List<String> sites =
                new ArrayList<>(
                        new TreeSet<>(
                                samples.stream().map(sample -> sample.site().toString()).toList()));
        Set<String> requestClasses = new LinkedHashSet<>();
        samples.forEach(
                sample ->
                        sample.after()
                                .counts()
                                .forEach(count -> requestClasses.add(count.className())));
        Comparison overall =
                new Comparison(samples, "", limits.maxHarmRatio(), WORSE_STANDARD_ERRORS);
        if (overall.isWorse()) {
            return new CanaryVerdict(CanaryVerdict.Kind.WORSE, overall.text("worse"));
        }
        Comparison latency =
                Comparison.ofLatency(
                        samples, Math.log1p(limits.maxSlowdownRatio()), WORSE_STANDARD_ERRORS);
        if (latency.isWorse()) {
            return new CanaryVerdict(CanaryVerdict.Kind.WORSE, latency.text("slower"));
        }
        for (String className : requestClasses) {
            Comparison comparison =
                    new Comparison(
                            samples,
                            className,
                            limits.maxHarmRatio(),
                            PARTIAL_WORSE_STANDARD_ERRORS);
            if (comparison.isWorse()) {
                return new CanaryVerdict(CanaryVerdict.Kind.WORSE, comparison.text("worse"));
            }
        }
        for (String site : sites) {
            List<NodeSample> siteSamples =
                    samples.stream()
                            .filter(sample -> sample.site().toString().equals(site))
                            .toList();
            Comparison comparison =
                    new Comparison(
                            siteSamples, "", limits.maxHarmRatio(), PARTIAL_WORSE_STANDARD_ERRORS);
            if (comparison.isWorse()) {
                return new CanaryVerdict(
                        CanaryVerdict.Kind.WORSE, "in " + site + ": " + comparison.text("worse"));
            }
        }
        if (overall.estimate == null) {
            boolean hasBothGroups =
                    samples.stream().anyMatch(sample -> !sample.changed())
                            && samples.stream().anyMatch(NodeSample::changed);
            return new CanaryVerdict(
                    hasBothGroups ? CanaryVerdict.Kind.UNSURE : CanaryVerdict.Kind.WELL,
                    hasBothGroups
                            ? "no site has both changed and unchanged nodes with enough requests"
                            : "no changed or no unchanged nodes to compare");
        }
        if (!overall.isWell()) {
            return new CanaryVerdict(CanaryVerdict.Kind.UNSURE, overall.text("not yet conclusive"));
        }
        if (latency.estimate != null && !latency.isWell()) {
            return new CanaryVerdict(CanaryVerdict.Kind.UNSURE, latency.text("not yet conclusive"));
        }
        for (String className : requestClasses) {
            Comparison comparison =
                    new Comparison(
                            samples,
                            className,
                            limits.maxHarmRatio() * REQUEST_CLASS_HARM_FACTOR,
                            PARTIAL_WORSE_STANDARD_ERRORS);
            if (comparison.estimate != null && !comparison.isWell()) {
                return new CanaryVerdict(
                        CanaryVerdict.Kind.UNSURE, comparison.text("not yet conclusive"));
            }
        }
        return new CanaryVerdict(CanaryVerdict.Kind.WELL, overall.text("well"));
    }

    /**
     * A verdict if changed nodes are lost or restart more often than unchanged ones; null
     * otherwise.
     */
    static CanaryVerdict judgeLosses(List<NodeSample> samples) {
        int changed = (int) samples.stream().filter(NodeSample::changed).count();
        int lost = (int) samples.stream().filter(NodeSample::isLost).count();
        int lostChanged =
                (int)
                        samples.stream()
                                .filter(sample -> sample.changed() && sample.isLost())
                                .count();
        if (changed == 0) {
            return null;
        }
        boolean allChangedLost =
                lostChanged == changed && lost - lostChanged < samples.size() - changed;
        if (lostChanged > 0
                && (allChangedLost
                        || hypergeometricTail(lostChanged, lost, changed, samples.size())
                                < LOSS_SIGNIFICANCE_LEVEL)) {
            return new CanaryVerdict(
                    CanaryVerdict.Kind.WORSE,
                    lostChanged
                            + " of "
                            + changed
                            + " changed nodes are lost, "
                            + (lost - lostChanged)
                            + " of the "
                            + (samples.size() - changed)
                            + " others");
        }
        int restarts = samples.stream().mapToInt(NodeSample::unpermittedRestarts).sum();
        int restartsChanged =
                samples.stream()
                        .filter(NodeSample::changed)
                        .mapToInt(NodeSample::unpermittedRestarts)
                        .sum();
        // By chance, each restart hits a changed node with the probability of the changed nodes'
        // share.
        if (restartsChanged > 1
                && binomialTail(restartsChanged, restarts, (double) changed / samples.size())
                        < RESTART_SIGNIFICANCE_LEVEL) {
            return new CanaryVerdict(
                    CanaryVerdict.Kind.WORSE,
                    restartsChanged
                            + " restarts of "
                            + changed
                            + " changed nodes, "
                            + (restarts - restartsChanged)
                            + " of the "
                            + (samples.size() - changed)
                            + " others");
        }
        return null;
    }

    /**
     * The probability that at least {@code lostChanged} of the lost nodes are changed ones, if the
     * lost nodes are drawn at random without replacement.
     */
    private static double hypergeometricTail(int lostChanged, int lost, int changed, int all) {
        double sum = 0;
        for (int i = lostChanged; i <= Math.min(lost, changed); i++) {
            sum +=
                    Math.exp(
                            logChoose(changed, i)
                                    + logChoose(all - changed, lost - i)
                                    - logChoose(all, lost));
        }
        return sum;
    }

    /** The probability of at least this many successes in independent trials. */
    private static double binomialTail(int successes, int trials, double probability) {
        double sum = 0;
        for (int i = successes; i <= trials; i++) {
            sum +=
                    Math.exp(
                            logChoose(trials, i)
                                    + i * Math.log(probability)
                                    + (trials - i) * Math.log(Math.max(1e-12, 1 - probability)));
        }
        return sum;
    }

    /** The logarithm of the binomial coefficient. */
    private static double logChoose(int n, int k) {
        if (k < 0 || k > n) {
            return Double.NEGATIVE_INFINITY;
        }
        double sum = 0;
        for (int i = 1; i <= k; i++) {
            sum += Math.log(n - k + i) - Math.log(i);
        }
        return sum;
    }

    /** Compares one metric between the changed and unchanged nodes among the samples. */
    private static final class Comparison {
        private final String metric;
        private final double bound;
        private final double worseStandardErrors;
        private final boolean isLatency;
        final EffectEstimate estimate;

        /**
         * Compares the share of requests that were not served in time.
         *
         * @param className a request class, or empty for all together
         */
        Comparison(
                List<NodeSample> samples,
                String className,
                double bound,
                double worseStandardErrors) {
            this(
                    className.isEmpty()
                            ? "in all request classes"
                            : "in request class " + className,
                    bound,
                    worseStandardErrors,
                    false,
                    nodeMetrics(samples, className));
        }

        private Comparison(
                String metric,
                double bound,
                double worseStandardErrors,
                boolean isLatency,
                List<EffectEstimate.NodeMetric> metrics) {
            this.metric = metric;
            this.bound = bound;
            this.worseStandardErrors = worseStandardErrors;
            this.isLatency = isLatency;
            estimate = EffectEstimate.of(metrics);
        }

        /** Compares the logarithm of the mean time from arrival to response. */
        static Comparison ofLatency(
                List<NodeSample> samples, double bound, double worseStandardErrors) {
            List<EffectEstimate.NodeMetric> metrics = new ArrayList<>();
            boolean useBaselines =
                    hasBaselines(
                            samples,
                            sample ->
                                    sample.before() != null
                                            && sample.before().all().served() >= MIN_REQUESTS);
            for (NodeSample sample : samples) {
                if (useBaselines
                        && (sample.before() == null
                                || sample.before().all().served() < MIN_REQUESTS)) {
                    continue;
                }
                RequestCounts.ClassCounts after = sample.after().all();
                if (after.served() >= MIN_REQUESTS
                        && after.seconds() > 0
                        && (!useBaselines || sample.before().all().seconds() > 0)) {
                    double baseline = useBaselines ? logMeanSeconds(sample.before().all()) : 0;
                    double variance =
                            1.0 / after.served()
                                    + (useBaselines ? 1.0 / sample.before().all().served() : 0);
                    metrics.add(
                            new EffectEstimate.NodeMetric(
                                    sample.site(),
                                    sample.changed(),
                                    logMeanSeconds(after) - baseline,
                                    variance));
                }
            }
            return new Comparison(
                    "in mean time to respond", bound, worseStandardErrors, true, metrics);
        }

        private static double logMeanSeconds(RequestCounts.ClassCounts count) {
            return Math.log(Math.max(1e-6, count.seconds() / count.served()));
        }

        private static List<EffectEstimate.NodeMetric> nodeMetrics(
                List<NodeSample> samples, String className) {
            ToDoubleFunction<RequestCounts.ClassCounts> badRatio =
                    count -> (double) count.notServedInTime() / count.total();
            boolean useBaselines =
                    hasBaselines(samples, sample -> hasEnoughRequests(sample.before(), className));
            List<EffectEstimate.NodeMetric> metrics = new ArrayList<>();
            for (NodeSample sample : samples) {
                RequestCounts.ClassCounts after = of(sample.after(), className);
                if (after != null
                        && after.total() >= MIN_REQUESTS
                        && (!useBaselines || hasEnoughRequests(sample.before(), className))) {
                    RequestCounts.ClassCounts before =
                            useBaselines ? of(sample.before(), className) : null;
                    double baseline = before == null ? 0 : badRatio.applyAsDouble(before);
                    double variance = variance(after) + (before == null ? 0 : variance(before));
                    metrics.add(
                            new EffectEstimate.NodeMetric(
                                    sample.site(),
                                    sample.changed(),
                                    badRatio.applyAsDouble(after) - baseline,
                                    variance));
                }
            }
            return metrics;
        }

        /**
         * Whether most changed and most unchanged nodes have a baseline. If so, changes against the
         * baseline are compared and nodes without one are left out; otherwise levels are compared.
         */
        private static boolean hasBaselines(
                List<NodeSample> samples, Predicate<NodeSample> hasBaseline) {
            for (boolean changed : new boolean[] {true, false}) {
                long all = samples.stream().filter(sample -> sample.changed() == changed).count();
                long withBaseline =
                        samples.stream()
                                .filter(
                                        sample ->
                                                sample.changed() == changed
                                                        && hasBaseline.test(sample))
                                .count();
                if (withBaseline < all * MIN_BASELINE_NODES_RATIO) {
                    return false;
                }
            }
            return true;
        }

        private static boolean hasEnoughRequests(RequestCounts requestCounts, String className) {
            RequestCounts.ClassCounts count =
                    requestCounts == null ? null : of(requestCounts, className);
            return count != null && count.total() >= MIN_REQUESTS;
        }

        private static RequestCounts.ClassCounts of(RequestCounts requestCounts, String className) {
            return className.isEmpty() ? requestCounts.all() : requestCounts.of(className);
        }

        /**
         * The sampling variance of the share of bad requests. 1.5 requests are added to the bad and
         * to the good ones, so that it isn't zero if all or none are bad.
         */
        private static double variance(RequestCounts.ClassCounts count) {
            double smoothedRatio = (count.notServedInTime() + 1.5) / (count.total() + 3);
            return smoothedRatio * (1 - smoothedRatio) / count.total();
        }

        /**
         * Whether the difference is above half of the bound, and above a tenth of it with the
         * required confidence: so neither noise nor a negligible harm counts.
         */
        boolean isWorse() {
            return estimate != null
                    && estimate.difference() > bound * 0.5
                    && estimate.isAbove(bound * 0.1, worseStandardErrors);
        }

        boolean isWell() {
            return estimate.isBelow(bound, WELL_STANDARD_ERRORS);
        }

        String text(String verdict) {
            String difference =
                    estimate == null
                            ? "unknown"
                            : isLatency
                                    ? String.format(
                                            Locale.ROOT,
                                            "%+.0f%%",
                                            Math.expm1(estimate.difference()) * 100)
                                    : String.format(
                                            Locale.ROOT,
                                            "%+.1f percentage points",
                                            estimate.difference() * 100);
            return verdict
                    + ", "
                    + difference
                    + (isLatency ? " " : " of requests not served in time ")
                    + metric
                    + ", compared with unchanged nodes";
        }
    }
}
