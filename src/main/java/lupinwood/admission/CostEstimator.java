package lupinwood.admission;

import java.util.List;

/**
 * Estimates what requests cost in core seconds on this node: from the hint of a request where it
 * carries one, else from the measured costs of its request class.
 *
 * <pre>
 * request with a hint:  cost = hint * slowness,  slowness = mean measured cost / mean hint
 * any other:            cost = mean of its request class
 * </pre>
 *
 * <p>When the node slows down, the measured costs rise and it therefore admits fewer requests.
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
    double coreSeconds(AdmittedRequest request, MonotonicTime now) {
        double hint = request.received().work().seconds();
        return hint > 0
                ? hint * slowness(now)
                : request.classState()
                        .cost()
                        .estimateCoreSeconds(request.requestClass(), ramp.speed(now));
    }

    /**
     * The core seconds that one second of work on a standard core takes here; greater than 1 on
     * slow and cold nodes.
     */
    double slowness(MonotonicTime now) {
        return hints.weight() >= Histogram.MIN_WEIGHT
                ? hintedCosts.mean() / hints.mean()
                : 1 / ramp.speed(now);
    }

    /**
     * The expected core seconds of a request, as the mean over all classes weighted by recent runs.
     */
    double meanCoreSeconds(MonotonicTime now) {
        double speed = ramp.speed(now);
        double weight = classes.stream().mapToDouble(each -> each.cost().weight()).sum();
        double sum =
                classes.stream()
                        .mapToDouble(
                                each ->
                                        each.cost().weight()
                                                * each.cost()
                                                        .estimateCoreSeconds(
                                                                each.settings(), speed))
                        .sum();
        return weight > 0 ? sum / weight : 1;
    }

    /**
     * Whether less time is left than the work of a request needs, and also less than half of the
     * time that it had on arrival; time spent unread counts like time in the queue. A large amount
     * of work alone therefore does not make a request too late.
     */
    boolean isTooLate(AdmittedRequest request, MonotonicTime now) {
        double secondsLeft = request.dueAt().since(now).seconds();
        double secondsAtArrival = request.dueAt().since(request.arrivedAt()).seconds();
        return secondsLeft < Math.min(coreSeconds(request, now), secondsAtArrival / 2);
    }

    /** Records the core time of a request whose run succeeded. */
    void onRunSucceeded(AdmittedRequest request, double coreSeconds) {
        request.classState().cost().add(coreSeconds);
        if (request.received().work().isPositive()) {
            hints.add(request.received().work().seconds());
            hintedCosts.add(coreSeconds);
        }
    }
}
