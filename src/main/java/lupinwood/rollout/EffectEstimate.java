package lupinwood.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinwood.cluster.Site;

/**
 * By how much one figure is higher at changed nodes than at unchanged ones of the same zone, with
 * its standard error. A node counts as one observation, since its requests share its machine; how
 * far nodes lie apart is taken from both sides within their zones, and is never taken for less than
 * chance alone gives with so few requests.
 */
final class EffectEstimate {
    /** A node's figure; the variance is what chance alone does to it. */
    record Point(Site site, boolean changed, double value, double variance) {}

    private final double difference;
    private final double error;
    private final int freedom;

    private EffectEstimate(double difference, double error, int freedom) {
        this.difference = difference;
        this.error = error;
        this.freedom = freedom;
    }

    /** Null where no zone has nodes of both sides. */
    static EffectEstimate of(List<Point> points) {
        Map<String, List<Point>> zones = new TreeMap<>();
        points.forEach(
                point ->
                        zones.computeIfAbsent(point.site().toString(), none -> new ArrayList<>())
                                .add(point));
        zones.values()
                .removeIf(
                        zone ->
                                zone.stream().noneMatch(Point::changed)
                                        || zone.stream().allMatch(Point::changed));
        if (zones.isEmpty()) {
            return null;
        }
        double squares = 0;
        double chance = 0;
        int freedom = 0;
        int all = 0;
        for (List<Point> zone : zones.values()) {
            for (boolean side : new boolean[] {true, false}) {
                List<Point> of = zone.stream().filter(point -> point.changed() == side).toList();
                double mean = of.stream().mapToDouble(Point::value).average().orElse(0);
                squares +=
                        of.stream()
                                .mapToDouble(
                                        point -> (point.value() - mean) * (point.value() - mean))
                                .sum();
                chance += of.stream().mapToDouble(Point::variance).sum();
                freedom += of.size() - 1;
                all += of.size();
            }
        }
        double spread = Math.max(freedom > 0 ? squares / freedom : 0, chance / all);
        double weights = 0;
        double sum = 0;
        for (List<Point> zone : zones.values()) {
            double changed = zone.stream().filter(Point::changed).count();
            double others = zone.size() - changed;
            double weight = 1 / (1 / changed + 1 / others);
            double there =
                    zone.stream()
                            .filter(Point::changed)
                            .mapToDouble(Point::value)
                            .average()
                            .orElse(0);
            double beside =
                    zone.stream()
                            .filter(point -> !point.changed())
                            .mapToDouble(Point::value)
                            .average()
                            .orElse(0);
            sum += weight * (there - beside);
            weights += weight;
        }
        return new EffectEstimate(sum / weights, Math.sqrt(spread / weights), Math.max(1, freedom));
    }

    double difference() {
        return difference;
    }

    /**
     * Surely above, at so many standard errors of a normal one; more are asked for where few nodes
     * tell of the spread.
     */
    boolean isAbove(double bound, double errors) {
        return difference - widened(errors) * error > bound;
    }

    boolean isDownstream(double bound, double errors) {
        return difference + widened(errors) * error < bound;
    }

    /** Student's quantile beside the normal one, by the first two terms of its expansion. */
    private double widened(double z) {
        double f = freedom;
        double z2 = z * z;
        return z * (1 + (z2 + 1) / (4 * f) + (5 * z2 * z2 + 16 * z2 + 3) / (96 * f * f));
    }
}
