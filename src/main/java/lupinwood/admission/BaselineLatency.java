package lupinwood.admission;

import java.util.Optional;

/**
 * What a call of one request class takes while the dependency isn't loaded, and the target that
 * follows from it.
 *
 * <pre>target = max(latencyObjective / 2, 3 * baseline median)</pre>
 *
 * <p>There is no target before {@link Histogram#MIN_SAMPLES} baseline calls were seen, and so no
 * cut of the limit either. Source: docs/design.md, "TARGET".
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class BaselineLatency {
    /** A call may take this many medians before it counts as slow: natural spread stays below. */
    private static final double SLOW_FACTOR = 3;

    /** The share of the latency objective that a call may take in any case. */
    private static final double OBJECTIVE_SHARE = 0.5;

    /** Of slow calls one in so many enters the baseline, or the median would follow the load. */
    private static final int SLOW_SAMPLING_INTERVAL = 8;

    private final Histogram samples = new Histogram(Histogram.RECENT_SAMPLES);

    /** Whether enough baseline calls were seen for a median. */
    boolean isKnown() {
        return samples.weight() >= Histogram.MIN_SAMPLES;
    }

    /**
     * Takes in a call that was made while the limit was underused.
     *
     * @param slow whether it took longer than the baseline allows
     * @param requestNumber picks the slow calls that count
     */
    void add(NanoDuration took, boolean slow, long requestNumber) {
        if (!slow || requestNumber % SLOW_SAMPLING_INTERVAL == 0) {
            samples.add(took.seconds());
        }
    }

    /**
     * By how much a call keeps below the slow mark: 3 medians over what it took, under 1 for a slow
     * one; 1 while no median is known.
     */
    double slack(NanoDuration took) {
        return isKnown() ? SLOW_FACTOR * samples.median() / Math.max(1e-9, took.seconds()) : 1;
    }

    /** The time within which a call counts as fast; empty before the baseline is known. */
    Optional<NanoDuration> target(RequestClass requestClass) {
        if (!isKnown()) {
            return Optional.empty();
        }
        NanoDuration slow = NanoDuration.ofSeconds(SLOW_FACTOR * samples.median());
        return Optional.of(requestClass.latencyObjective().times(OBJECTIVE_SHARE).max(slow));
    }
}
