package lupinwood.admission;

/**
 * A clock of core time: it counts the seconds of core that each running request was given so far,
 * so that what a request cost is the difference between two readings.
 *
 * <pre>given += passed * min(1, cores / (running * wantingCore))</pre>
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class CoreTimeClock {
    /** A run is taken to want a core for this share of its time at least, whatever was read. */
    private static final double MIN_WANTING_CORE = 0.3;

    private final double cores;
    private double givenSeconds;
    private MonotonicTime readAt;

    /** The part of those that run that wants a core and waits for no disk. */
    private double wantingCore = 1;

    CoreTimeClock(double cores, MonotonicTime now) {
        this.cores = cores;
        readAt = now;
    }

    /** Brings the clock up to now; to be called before the number of running requests changes. */
    void advance(MonotonicTime now, int running) {
        double passed = now.since(readAt).seconds();
        givenSeconds += passed * Math.min(1, cores / Math.max(1e-9, running * wantingCore));
        readAt = now;
    }

    /** The reading, in core seconds a running request. */
    double givenSeconds() {
        return givenSeconds;
    }

    /** The part of the running requests that wants a core, averaged; from 0.3 to 1. */
    double wantingCore() {
        return wantingCore;
    }

    /**
     * Takes in how many running requests wanted a core when it was last read.
     *
     * @param wanting NaN where the machine can't tell
     */
    void onUsageRead(double wanting, int running) {
        boolean known = running > 0 && !Double.isNaN(wanting);
        double part =
                known ? Math.max(MIN_WANTING_CORE, Math.min(1, wanting / running)) : wantingCore;
        wantingCore += (part - wantingCore) / Histogram.RECENT_SAMPLES;
    }
}
