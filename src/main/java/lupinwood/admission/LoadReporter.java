package lupinwood.admission;

/**
 * The load report to upstream load balancers: one value, of the kind that the settings choose.
 *
 * <pre>
 * allowance = cores * max(1, (mean objective / 2) / mean cost) / upstreams; 0 while draining
 * floor     = the rank below which upstreams are to send nothing, rounded to 0.01; 1 while draining
 * weight    = 1; 0 while draining
 * each refresh: floor = floor + interval seconds * (waiting ratio - 0.15), within 0 and 1 - 1 / classes
 * </pre>
 *
 * <p>A new value is reported when it differs from the last one by more than 1/32 of that. Except
 * while draining, the floor never excludes the request class with the highest priority weight.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class LoadReporter {
    /** The part of their latency objective that requests may wait before the floor rises. */
    private static final double TOLERATED_WAIT_RATIO = 0.15;

    private final ServerActions server;
    private final double cores;
    private final double maxFloor;
    private PolicySettings settings;
    private double lastReported = -1;
    private double floor;

    /** The part of their latency objective that recent requests waited unread, averaged. */
    private double unreadRatio;

    LoadReporter(ServerActions server, double cores, PolicySettings settings) {
        this.server = server;
        this.cores = cores;
        this.settings = settings;
        maxFloor = 1 - 1.0 / Math.max(1, settings.classes().size());
    }

    void update(PolicySettings newSettings) {
        settings = newSettings;
    }

    /** Updates the unread ratio with a request that was just read. */
    void onRead(AdmittedRequest request) {
        double waitRatio =
                request.received().waited().seconds()
                        / request.requestClass().latencyObjective().seconds();
        unreadRatio += (waitRatio - unreadRatio) / Histogram.RECENT_SAMPLES;
    }

    /** The part of their latency objective that recent requests waited unread, as an average. */
    double unreadRatio() {
        return unreadRatio;
    }

    /** Whether the node is behind with reading requests. */
    boolean isBehindWithReading() {
        return unreadRatio > TOLERATED_WAIT_RATIO;
    }

    /** Whether requests have waited for so long that other nodes are likely to be as loaded. */
    boolean isFloorHigh() {
        return floor > maxFloor / 2;
    }

    /**
     * Moves the floor by how much recent requests waited.
     *
     * @param queuedRatio the part of the mean latency objective that the queued work takes
     * @param interval the time until the next adjustment
     */
    void adjustFloor(double queuedRatio, NanoDuration interval) {
        double waitingRatio = queuedRatio + unreadRatio;
        double newFloor = floor + interval.seconds() * (waitingRatio - TOLERATED_WAIT_RATIO);
        floor = Math.max(0, Math.min(maxFloor, newFloor));
    }

    /** Reports the value if it has changed enough. */
    void report(double meanCoreSeconds, boolean draining) {
        double value = value(meanCoreSeconds, draining);
        if (value >= 0
                && Math.abs(value - lastReported) > lastReported / Histogram.RECENT_SAMPLES) {
            lastReported = value;
            server.reportAvailableCapacity(value);
        }
    }

    private double value(double meanCoreSeconds, boolean draining) {
        return switch (settings.loadSignal()) {
            case ALLOWANCE -> draining ? 0 : allowance(meanCoreSeconds);
            case FLOOR -> draining ? 1 : Math.round(floor * 100) / 100.0;
            case WEIGHT -> draining ? 0 : 1;
            case NONE -> -1;
        };
    }

    /** The requests that can be finished within half the mean latency objective, per upstream. */
    private double allowance(double meanCoreSeconds) {
        double requestsPerCore =
                settings.meanObjectiveSeconds() / 2 / Math.max(1e-9, meanCoreSeconds);
        return cores * Math.max(1, requestsPerCore) / Math.max(1, settings.upstreams());
    }
}
