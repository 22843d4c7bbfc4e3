package lupinwood.admission;

import java.util.Optional;

/**
 * The duration of a downstream call of one request class while the dependency is not loaded, and
 * the target derived from it.
 *
 * <pre>target = max(latencyObjective / 2, 3 * baseline median)</pre>
 *
 * <p>Until the baseline calls have a weight of {@link Histogram#MIN_WEIGHT} there is no target, so
 * no call reduces the in-flight limit. Source: docs/design.md, "TARGET".
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class BaselineLatency {
    /**
     * A call that takes more than this multiple of the median is slow; the usual variation stays
     * below.
     */
    private static final double SLOW_CALL_RATIO = 3;

    /** The part of the latency objective that is always within the target. */
    private static final double MIN_TARGET_OBJECTIVE_RATIO = 0.5;

    /**
     * One in this many slow calls enters the baseline. If all did, the median would rise with the
     * load of the dependency.
     */
    private static final int SLOW_SAMPLING_INTERVAL_REQUESTS = 8;

    private final Histogram samples = new Histogram(Histogram.RECENT_SAMPLES);

    /** Whether enough baseline calls were seen to trust the median. */
    boolean isKnown() {
        return samples.weight() >= Histogram.MIN_WEIGHT;
    }

    /**
     * Adds a call that was made while the in-flight limit was underused.
     *
     * @param slow whether it took longer than the baseline allows
     * @param requestNumber selects which slow calls are added
     */
    void add(NanoDuration duration, boolean slow, long requestNumber) {
        if (!slow || requestNumber % SLOW_SAMPLING_INTERVAL_REQUESTS == 0) {
            samples.add(duration.seconds());
        }
    }

    /**
     * The ratio of the slow-call bound (3 medians) to the duration of a call: less than 1 for a
     * slow call; 1 while no median is known.
     */
    double slack(NanoDuration duration) {
        return isKnown()
                ? SLOW_CALL_RATIO * samples.median() / Math.max(1e-9, duration.seconds())
                : 1;
    }

    /**
     * The duration up to which a successful call counts as fast; empty until the baseline is known,
     * and all successful calls count as fast until then.
     */
    Optional<NanoDuration> target(RequestClass requestClass) {
        if (!isKnown()) {
            return Optional.empty();
        }
        NanoDuration slowBound = NanoDuration.ofSeconds(SLOW_CALL_RATIO * samples.median());
        return Optional.of(
                requestClass.latencyObjective().times(MIN_TARGET_OBJECTIVE_RATIO).max(slowBound));
    }
}
