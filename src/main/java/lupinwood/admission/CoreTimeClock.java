package lupinwood.admission;

/**
 * A clock of core time: it accumulates the core seconds given to each running request, so that the
 * cost of a run is the difference between two readings.
 *
 * <pre>coreSecondsPerRun += elapsed * min(1, cores / (running * runnableRatio))</pre>
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class CoreTimeClock {
    /** The least runnable ratio assumed, whatever the executor reports. */
    private static final double MIN_RUNNABLE_RATIO = 0.3;

    private final double cores;
    private double coreSecondsPerRun;
    private MonotonicTime advancedAt;

    /** The part of the running requests that want a core rather than wait for a disk, averaged. */
    private double runnableRatio = 1;

    CoreTimeClock(double cores, MonotonicTime now) {
        this.cores = cores;
        advancedAt = now;
    }

    /** Advances the clock to now; to be called before the number of running requests changes. */
    void advance(MonotonicTime now, int running) {
        double elapsedSeconds = now.since(advancedAt).seconds();
        coreSecondsPerRun +=
                elapsedSeconds * Math.min(1, cores / Math.max(1e-9, running * runnableRatio));
        advancedAt = now;
    }

    /** The reading, in core seconds per running request. */
    double coreSecondsPerRun() {
        return coreSecondsPerRun;
    }

    /** The part of the running requests that want a core, averaged; from 0.3 to 1. */
    double runnableRatio() {
        return runnableRatio;
    }

    /**
     * Updates the runnable ratio from a reading of the resource usage.
     *
     * @param runnable running requests that want a core; NaN where it is not known
     */
    void onUsageRead(double runnable, int running) {
        boolean isKnown = running > 0 && !Double.isNaN(runnable);
        double ratio =
                isKnown
                        ? Math.max(MIN_RUNNABLE_RATIO, Math.min(1, runnable / running))
                        : runnableRatio;
        runnableRatio += (ratio - runnableRatio) / Histogram.RECENT_SAMPLES;
    }
}
