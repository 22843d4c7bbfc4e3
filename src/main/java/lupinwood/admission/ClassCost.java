package lupinwood.admission;

/**
 * The core time that a request of one class takes, in seconds on this node's cores.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class ClassCost {
    /** The part of the latency objective that a request is taken to cost before any is measured. */
    private static final double FIRST_GUESS_OF_OBJECTIVE = 0.1;

    private final Histogram samples = new Histogram(Histogram.RECENT_SAMPLES);

    /** A run of this class took so much core time. */
    void add(double coreSeconds) {
        samples.add(coreSeconds);
    }

    /** How much this class counts in a mean over classes: its recent runs, at least 1. */
    double weight() {
        return Math.max(1, samples.weight());
    }

    /**
     * The expected core seconds of one request.
     *
     * @param speed of this node's cores just now, as a share of their full speed
     */
    double estimate(RequestClass requestClass, double speed) {
        return samples.weight() >= Histogram.MIN_SAMPLES
                ? samples.mean()
                : requestClass.latencyObjective().seconds() * FIRST_GUESS_OF_OBJECTIVE / speed;
    }
}
