package lupinwood.admission;

/**
 * The load report to upstream load balancers: one value, in the form that the settings ask for.
 *
 * <pre>
 * allowance = cores * max(1, (mean objective / 2) / mean cost) / upstreams; 0 while draining
 * floor     = the rank under which requests are unwelcome, in hundredths; 1 while draining
 * weight    = 1; 0 while draining
 * floor moves by seconds * (waiting share - 0.15), from 0 to 1 - 1 / classes
 * </pre>
 *
 * <p>It is told anew when it has moved by more than a thirty-second part. The best-paid class is
 * never unwelcome.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class LoadReporter {
    /** The part of their objective that requests may wait before upstreams hear of it. */
    private static final double TOLERATED_WAIT_SHARE = 0.15;

    private final ServerActions server;
    private final double cores;
    private final double maxFloor;
    private PolicySettings settings;
    private double reported = -1;
    private double floor;

    /** How far through their objective the latest requests were when read. */
    private double unreadShare;

    LoadReporter(ServerActions server, double cores, PolicySettings settings) {
        this.server = server;
        this.cores = cores;
        this.settings = settings;
        maxFloor = 1 - 1.0 / Math.max(1, settings.classes().size());
    }

    void update(PolicySettings changed) {
        settings = changed;
    }

    /** A request was read, so long after it arrived. */
    void onRead(AdmittedRequest request) {
        double share =
                request.request().waited().seconds()
                        / request.requestClass().latencyObjective().seconds();
        unreadShare += (share - unreadShare) / Histogram.RECENT_SAMPLES;
    }

    /** The part of their objective that the latest requests waited unread, averaged. */
    double unreadShare() {
        return unreadShare;
    }

    /** Whether the node is behind with its reading. */
    boolean isBehindWithReading() {
        return unreadShare > TOLERATED_WAIT_SHARE;
    }

    /** Whether requests have had to wait for so long that other nodes are likely as full. */
    boolean isFloorHigh() {
        return floor > maxFloor / 2;
    }

    /**
     * Moves the floor.
     *
     * @param queuedShare the part of the mean objective that the queued work takes
     * @param sinceLast time since the last move
     */
    void moveFloor(double queuedShare, NanoDuration sinceLast) {
        double waiting = queuedShare + unreadShare;
        double moved = floor + sinceLast.seconds() * (waiting - TOLERATED_WAIT_SHARE);
        floor = Math.max(0, Math.min(maxFloor, moved));
    }

    /** Tells the value if it has moved. */
    void report(double meanCost, boolean draining) {
        double value = value(meanCost, draining);
        if (value >= 0 && Math.abs(value - reported) > reported / Histogram.RECENT_SAMPLES) {
            reported = value;
            server.reportAvailableCapacity(value);
        }
    }

    private double value(double meanCost, boolean draining) {
        return switch (settings.loadSignal()) {
            case ALLOWANCE -> draining ? 0 : allowance(meanCost);
            case FLOOR -> draining ? 1 : Math.round(floor * 100) / 100.0;
            case WEIGHT -> draining ? 0 : 1;
            case NONE -> -1;
        };
    }

    /** What can be finished within half the mean objective, split among the upstreams. */
    private double allowance(double meanCost) {
        double perCore = settings.meanObjectiveSeconds() / 2 / Math.max(1e-9, meanCost);
        return cores * Math.max(1, perCore) / Math.max(1, settings.upstreams());
    }
}
