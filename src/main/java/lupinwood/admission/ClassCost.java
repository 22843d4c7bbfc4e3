package lupinwood.admission;

/**
 * The core time of the requests of one class, in seconds on this node's cores.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class ClassCost {
    /**
     * The part of the latency objective that a request is assumed to cost until enough runs are
     * known.
     */
    private static final double INITIAL_COST_OBJECTIVE_RATIO = 0.1;

    private final Histogram samples = new Histogram(Histogram.RECENT_SAMPLES);

    /** Adds the core time of a completed run. */
    void add(double coreSeconds) {
        samples.add(coreSeconds);
    }

    /** The weight of this class in a mean over classes: its recent runs, at least 1. */
    double weight() {
        return Math.max(1, samples.weight());
    }

    /**
     * The expected core seconds of one request.
     *
     * @param speed the present speed of this node's cores, as a share of their full speed
     */
    double estimateCoreSeconds(RequestClass requestClass, double speed) {
        return samples.weight() >= Histogram.MIN_WEIGHT
                ? samples.mean()
                : requestClass.latencyObjective().seconds() * INITIAL_COST_OBJECTIVE_RATIO / speed;
    }
}
