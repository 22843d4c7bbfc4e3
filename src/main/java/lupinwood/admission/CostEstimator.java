package lupinwood.admission;

import java.util.List;

/**
 * What requests cost in core seconds on this node: by the hint that a request carries, where there
 * is one, and else by what its class was measured to take.
 *
 * <pre>
 * hinted request:  cost = hint * slowness,  slowness = mean measured cost / mean hint
 * any other:       cost = mean of its class
 * </pre>
 *
 * <p>A node that slows down measures dearer requests and so takes fewer.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class CostEstimator {
    private final List<ClassState> classes;
    private final SpeedRamp ramp;
    private final Histogram hints = new Histogram(Histogram.RECENT_SAMPLES);
    private final Histogram hintedCosts = new Histogram(Histogram.RECENT_SAMPLES);

    CostEstimator(List<ClassState> classes, SpeedRamp ramp) {
        this.classes = classes;
        this.ramp = ramp;
    }

    /** The expected core seconds of the whole request. */
    double cost(AdmittedRequest request, MonotonicTime now) {
        double hint = request.request().work().seconds();
        return hint > 0
                ? hint * slowness(now)
                : request.classState().cost().estimate(request.requestClass(), ramp.speed(now));
    }

    /** What a second of work on a standard core takes here: more on slow and cold machines. */
    double slowness(MonotonicTime now) {
        return hints.weight() >= Histogram.MIN_SAMPLES
                ? hintedCosts.mean() / hints.mean()
                : 1 / ramp.speed(now);
    }

    /** The expected core seconds of a request of any class, weighted by recent runs. */
    double meanCost(MonotonicTime now) {
        double speed = ramp.speed(now);
        double weight = classes.stream().mapToDouble(each -> each.cost().weight()).sum();
        double sum =
                classes.stream()
                        .mapToDouble(
                                each ->
                                        each.cost().weight()
                                                * each.cost().estimate(each.settings(), speed))
                        .sum();
        return weight > 0 ? sum / weight : 1;
    }

    /** Whether a request came too late for its work, and not just because its work is large. */
    boolean isTooLate(AdmittedRequest request, MonotonicTime now) {
        double left = request.due().since(now).seconds();
        double whole = request.due().since(request.arrivedAt()).seconds();
        return left < Math.min(cost(request, now), whole / 2);
    }

    /** A request ran to a good end and got so much core time. */
    void onCompleted(AdmittedRequest request, double coreSeconds) {
        request.classState().cost().add(coreSeconds);
        if (request.request().work().isPositive()) {
            hints.add(request.request().work().seconds());
            hintedCosts.add(coreSeconds);
        }
    }
}
