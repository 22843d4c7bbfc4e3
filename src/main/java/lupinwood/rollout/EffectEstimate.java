package lupinwood.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinwood.cluster.Site;

/**
 * By how much a metric is higher at changed nodes than at unchanged nodes of the same site, with
 * its standard error. Each node counts as one observation, since its requests share one machine.
 * The variance between nodes is pooled over the changed and unchanged nodes of all sites, and is
 * never taken to be smaller than the sampling variance of so few requests.
 */
final class EffectEstimate {
    /** A node's metric, with its sampling variance. */
    record Observation(Site site, boolean changed, double value, double variance) {}

    private final double difference;
    private final double standardError;
    private final int degreesOfFreedom;

    private EffectEstimate(double difference, double standardError, int degreesOfFreedom) {
        this.difference = difference;
        this.standardError = standardError;
        this.degreesOfFreedom = degreesOfFreedom;
    }

    /** Null if no site has both changed and unchanged nodes. */
    static EffectEstimate of(List<Observation> observations) {
        Map<String, List<Observation>> sites = new TreeMap<>();
        observations.forEach(
                node ->
                        sites.computeIfAbsent(node.site().toString(), key -> new ArrayList<>())
                                .add(node));
        sites.values()
                .removeIf(
                        site ->
                                site.stream().noneMatch(Observation::changed)
                                        || site.stream().allMatch(Observation::changed));
        if (sites.isEmpty()) {
            return null;
        }
        double squares = 0;
        double sampling = 0;
        int degreesOfFreedom = 0;
        int nodes = 0;
        for (List<Observation> site : sites.values()) {
            for (boolean changed : new boolean[] {true, false}) {
                List<Observation> group =
                        site.stream().filter(node -> node.changed() == changed).toList();
                double mean = group.stream().mapToDouble(Observation::value).average().orElse(0);
                squares +=
                        group.stream()
                                .mapToDouble(node -> (node.value() - mean) * (node.value() - mean))
                                .sum();
                sampling += group.stream().mapToDouble(Observation::variance).sum();
                degreesOfFreedom += group.size() - 1;
                nodes += group.size();
            }
        }
        double variance =
                Math.max(degreesOfFreedom > 0 ? squares / degreesOfFreedom : 0, sampling / nodes);
        double weights = 0;
        double weightedSum = 0;
        for (List<Observation> site : sites.values()) {
            double changed = site.stream().filter(Observation::changed).count();
            double unchanged = site.size() - changed;
            double weight = 1 / (1 / changed + 1 / unchanged);
            double changedMean =
                    site.stream()
                            .filter(Observation::changed)
                            .mapToDouble(Observation::value)
                            .average()
                            .orElse(0);
            double unchangedMean =
                    site.stream()
                            .filter(node -> !node.changed())
                            .mapToDouble(Observation::value)
                            .average()
                            .orElse(0);
            weightedSum += weight * (changedMean - unchangedMean);
            weights += weight;
        }
        return new EffectEstimate(
                weightedSum / weights,
                Math.sqrt(variance / weights),
                Math.max(1, degreesOfFreedom));
    }

    double difference() {
        return difference;
    }

    /**
     * Whether the difference is above the bound by this many standard errors of a normal
     * distribution; more are required if the variance is estimated from few nodes.
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
        double f = degreesOfFreedom;
        double z2 = z * z;
        return z * (1 + (z2 + 1) / (4 * f) + (5 * z2 * z2 + 16 * z2 + 3) / (96 * f * f));
    }
}
