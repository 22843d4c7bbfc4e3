package lupinwood.admission;

/**
 * The concurrency limit of the executor: how many requests run on the cores at once.
 *
 * <pre>
 * survivable = cores * (1 + (overloadMultiple - 1) * speed)
 * run limit  = min(cores * (2 / runnableRatio - 1) * max(0.25, 1 - unreadRatio), floor(max(1, 0.85 * survivable)))
 * </pre>
 *
 * <p>One request runs on each core and, where runs wait for a disk, enough further ones to use the
 * cores meanwhile; more would only slow all of them down. A node that is behind with reading
 * requests runs fewer, since reading uses the same cores. Whatever the in-flight limit allows, a
 * run or a call is started only if the running and the calling requests, including this one, stay
 * within {@code survivable} (at least 1), since a request resumes running when its call returns,
 * without a further check. A run that skips its call resumes without this check.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class ExecutorConcurrency {
    /** The part of the survivable number of running requests that is used. */
    private static final double USED_CAPACITY_RATIO = 0.85;

    /** The part of its limit that a node runs even if it is far behind with reading requests. */
    private static final double MIN_RATIO_WHILE_BEHIND = 0.25;

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

    void update(PolicySettings newSettings) {
        settings = newSettings;
    }

    /** The number of running requests. */
    int running() {
        return running;
    }

    /** Records that a request starts or resumes running. */
    void onRunStarted() {
        running++;
    }

    /** Records that a request stops running, for a call or because it ended. */
    void onRunPaused() {
        running--;
    }

    /**
     * Records a call whose request resumes running without a further decision when the call
     * returns.
     */
    void onCallStarted() {
        calling++;
    }

    /** Records that such a call ended or was given up. */
    void onCallEnded() {
        calling--;
    }

    /**
     * The number of requests that may run.
     *
     * @param runnableRatio the part of the running requests that wants a core, over 0 up to 1
     * @param unreadRatio the part of their latency objective that recent requests waited unread
     */
    double runLimit(double runnableRatio, double unreadRatio, MonotonicTime now) {
        double readingFactor = Math.max(MIN_RATIO_WHILE_BEHIND, 1 - unreadRatio);
        double usable = Math.max(1, survivableRuns(now) * USED_CAPACITY_RATIO);
        return Math.min(cores * (2 / runnableRatio - 1) * readingFactor, Math.floor(usable));
    }

    /** Whether the node survives one more running request, even if all calls return at once. */
    boolean hasRoom(MonotonicTime now) {
        return running + calling + 1 <= Math.max(1, survivableRuns(now));
    }

    private double survivableRuns(MonotonicTime now) {
        return cores * (1 + (settings.overloadMultiple() - 1) * ramp.speed(now));
    }
}
