package lupinwood.admission;

/**
 * How many requests run on the cores at once.
 *
 * <pre>
 * survivable = cores * (1 + (overloadMultiple - 1) * speed)
 * run limit  = min(cores * (2 / wantingCore - 1) * max(0.25, 1 - unreadShare), floor(0.85 * survivable))
 * </pre>
 *
 * <p>One request runs on each core, and where runs wait for a disk, enough to cover the waits; more
 * would only make each slower. A node behind in its reading runs fewer, since reading shares the
 * cores. Rule 4 of the conventions: whatever the in-flight limit says, what runs and what comes
 * back from calls unasked stays within what the machine survives.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class ExecutorConcurrency {
    /** The part of what the machine survives that is used on purpose. */
    private static final double USED_SHARE = 0.85;

    /** However far behind in its reading, a node runs this part of its limit. */
    private static final double MIN_SHARE_WHILE_BEHIND = 0.25;

    private final double cores;
    private final SpeedRamp ramp;
    private PolicySettings settings;
    private int running;
    private int calling;

    ExecutorConcurrency(double cores, SpeedRamp ramp, PolicySettings settings) {
        this.cores = cores;
        this.ramp = ramp;
        this.settings = settings;
    }

    void update(PolicySettings changed) {
        settings = changed;
    }

    /** Requests on the cores. */
    int running() {
        return running;
    }

    /** A request came to the cores, or comes back to them. */
    void onRunning() {
        running++;
    }

    /** A request left the cores. */
    void onNotRunning() {
        running--;
    }

    /** A call went out, whose request comes back to the cores by itself. */
    void onCalling() {
        calling++;
    }

    /** Such a call ended, or was given up. */
    void onNotCalling() {
        calling--;
    }

    /**
     * How many may run.
     *
     * @param wantingCore the part of the running requests that wants a core, over 0 up to 1
     * @param unreadShare how far through their objective the latest requests were when read
     */
    double runLimit(double wantingCore, double unreadShare, MonotonicTime now) {
        double behind = Math.max(MIN_SHARE_WHILE_BEHIND, 1 - unreadShare);
        double used = Math.max(1, survivable(now) * USED_SHARE);
        return Math.min(cores * (2 / wantingCore - 1) * behind, Math.floor(used));
    }

    /** Whether the machine survives one more, also if all that call come back at once. */
    boolean hasRoom(MonotonicTime now) {
        return running + calling + 1 <= Math.max(1, survivable(now));
    }

    private double survivable(MonotonicTime now) {
        return cores * (1 + (settings.overloadMultiple() - 1) * ramp.speed(now));
    }
}
