package lupinwood.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinwood.cluster.Site;

/**
 * By how much a metric is higher at changed nodes than at unchanged nodes of the same site, with
 * its standard error. Each node counts as one data point, since its requests share one machine. The
 * variance between nodes is pooled over the changed and unchanged nodes of all sites, and is at
 * least the mean sampling variance that follows from the nodes' numbers of requests.
 */
final class EffectEstimate {
    /** A node's metric, with its sampling variance. */
    record NodeMetric(Site site, boolean changed, double value, double variance) {}

    private final double difference;
    private final double standardError;
    private final int degreesOfFreedom;

    private EffectEstimate(double difference, double standardError, int degreesOfFreedom) {
        this.difference = difference;
        this.standardError = standardError;
        this.degreesOfFreedom = degreesOfFreedom;
    }

    /** Null if no site has both changed and unchanged nodes. */
    static EffectEstimate of(List<NodeMetric> metrics) {
        Map<String, List<NodeMetric>> bySite = new TreeMap<>();
        metrics.forEach(
                metric ->
                        bySite.computeIfAbsent(metric.site().toString(), key -> new ArrayList<>())
                                .add(metric));
        bySite.values()
                .removeIf(
                        siteMetrics ->
                                siteMetrics.stream().noneMatch(NodeMetric::changed)
                                        || siteMetrics.stream().allMatch(NodeMetric::changed));
        if (bySite.isEmpty()) {
            return null;
        }
        double squares = 0;
        double sampling = 0;
        int degreesOfFreedom = 0;
        int nodes = 0;
        for (List<NodeMetric> siteMetrics : bySite.values()) {
            for (boolean changed : new boolean[] {true, false}) {
                List<NodeMetric> group =
                        siteMetrics.stream().filter(metric -> metric.changed() == changed).toList();
                double mean = group.stream().mapToDouble(NodeMetric::value).average().orElse(0);
                squares +=
                        group.stream()
                                .mapToDouble(
                                        metric -> (metric.value() - mean) * (metric.value() - mean))
                                .sum();
                sampling += group.stream().mapToDouble(NodeMetric::variance).sum();
                degreesOfFreedom += group.size() - 1;
                nodes += group.size();
            }
        }
        double variance =
                Math.max(degreesOfFreedom > 0 ? squares / degreesOfFreedom : 0, sampling / nodes);
        double weights = 0;
        double effectSum = 0;
        for (List<NodeMetric> siteMetrics : bySite.values()) {
            double changed = siteMetrics.stream().filter(NodeMetric::changed).count();
            double unchanged = siteMetrics.size() - changed;
            double weight = 1 / (1 / changed + 1 / unchanged);
            double changedMean =
                    siteMetrics.stream()
                            .filter(NodeMetric::changed)
                            .mapToDouble(NodeMetric::value)
                            .average()
                            .orElse(0);
            double unchangedMean =
                    siteMetrics.stream()
                            .filter(metric -> !metric.changed())
                            .mapToDouble(NodeMetric::value)
                            .average()
                            .orElse(0);
            effectSum += weight * (changedMean - unchangedMean);
            weights += weight;
        }
        return new EffectEstimate(
                effectSum / weights, Math.sqrt(variance / weights), Math.max(1, degreesOfFreedom));
    }

    double difference() {
        return difference;
    }

    /**
     * Whether the difference exceeds the bound at the one-sided confidence that the normal quantile
     * stands for. By Student's t-distribution, more standard errors are required if the variance is
     * estimated from few nodes.
     */
    boolean isAbove(double bound, double normalQuantile) {
        return difference - studentQuantile(normalQuantile) * standardError > bound;
    }

    /** As {@link #isAbove}, for a difference below the bound. */
    boolean isBelow(double bound, double normalQuantile) {
        return difference + studentQuantile(normalQuantile) * standardError < bound;
    }

    /**
     * The quantile of Student's t-distribution for a normal quantile, by the first two correction
     * terms of its expansion in the degrees of freedom.
     */
    private double studentQuantile(double z) {
        double freedom = degreesOfFreedom;
        double zSquared = z * z;
        return z
                * (1
                        + (zSquared + 1) / (4 * freedom)
                        + (5 * zSquared * zSquared + 16 * zSquared + 3) / (96 * freedom * freedom));
    }
}
