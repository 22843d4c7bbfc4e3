package lupinwood.admission;

import java.util.Optional;

/**
 * Limits the calls in flight to the shared dependency, and spaces them where less than one is
 * allowed.
 *
 * <pre>
 * slow call (slack &lt; 1):  allowed = max(0.2 * quota, allowed * slack)
 * any other:              allowed = min(quota, allowed + (0.2 * quota)^2 / allowed)
 * while allowed &lt; 1:      next call at calledAt + max(duration / min(1, quota), typical / allowed)
 * </pre>
 *
 * <p>The quota is the load from this node that the dependency survives; it slows down long before
 * that. So a slow call reduces the allowed calls in proportion to how much too slow it was, and any
 * other call raises them. A node that starts cold makes one call at a time until some class has a
 * baseline (slow start). Where downstream is a tier of servers there is no quota, and the in-flight
 * limit alone bounds the calls.
 *
 * <p>A call that was given up counts as in flight while the dependency may still work on it. Under
 * a quota of less than one call, a pause after each call keeps the average within the quota.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class DependencyLimiter {
    /**
     * The part of the quota that is always allowed: without calls a recovery would not be noticed.
     */
    private static final double MIN_ALLOWED_QUOTA_RATIO = 0.2;

    /** Samples of the call duration; fewer than elsewhere, to follow a change fast. */
    private static final int RECENT_CALL_SAMPLES = Histogram.RECENT_SAMPLES / 4;

    private final double quota;
    private final NanoDuration tick;
    private final Histogram recentCallSeconds = new Histogram(RECENT_CALL_SAMPLES);
    private double allowed;
    private MonotonicTime nextCallAt;
    private double typicalCallSeconds;
    private int inFlight;
    private int completedCalls;

    DependencyLimiter(PolicySettings settings, MonotonicTime now) {
        quota = settings.machine().dependencyQuota();
        tick = settings.machine().tick();
        boolean slowStart = settings.machine().hasSharedDependency() && settings.startsCold();
        allowed = slowStart ? Math.min(1, quota) : quota;
        nextCallAt = now;
    }

    /** The quota of this node, in calls in flight; 1e9 where there is none. */
    double quota() {
        return quota;
    }

    /** The calls in flight allowed at present; at least a fifth of the quota. */
    double allowed() {
        return allowed;
    }

    /** Whether less than half the quota is allowed. */
    boolean isRestricted() {
        return allowed < quota / 2;
    }

    /** Whether the pause after the last call has not ended yet. */
    boolean isPacing(MonotonicTime now) {
        return now.isBefore(nextCallAt);
    }

    /** When a call made as soon as possible would return. */
    MonotonicTime earliestReturn(MonotonicTime now) {
        return (isPacing(now) ? nextCallAt : now).plus(callTime(now));
    }

    /**
     * The expected duration of a call; one tick while none is in flight or paced, since nothing is
     * known then and one call is always tried.
     */
    NanoDuration callTime(MonotonicTime now) {
        return (inFlight > 0 || isPacing(now)) && recentCallSeconds.weight() > 0
                ? NanoDuration.ofSeconds(recentCallSeconds.median())
                : tick;
    }

    /** Whether a call may be made now. */
    boolean hasRoom(MonotonicTime now) {
        return !isPacing(now) && inFlight + 1 <= Math.max(1, allowed);
    }

    /**
     * Records that a call is made.
     *
     * @return the number of completed calls once all calls now in flight, this one included, have
     *     returned; calls completed beyond that number were made later
     */
    int onCallStarted() {
        inFlight++;
        return completedCalls + inFlight;
    }

    /**
     * The least number of calls that were made after a given call and have returned.
     *
     * @param expectedCompletedCalls what {@link #onCallStarted} returned for the given call
     */
    int completedAfter(int expectedCompletedCalls) {
        return completedCalls - expectedCompletedCalls;
    }

    /** Records that a call succeeded. */
    void onCallSucceeded() {
        completedCalls++;
    }

    /**
     * Adjusts the allowed calls to the duration of a call that ended, successfully or not.
     *
     * @param slack see {@link BaselineLatency#slack}; less than 1 for a slow call
     * @param hasAnyBaseline whether some class has a baseline; until then the allowed calls don't
     *     grow
     */
    void onCallEnded(NanoDuration duration, double slack, boolean hasAnyBaseline) {
        recentCallSeconds.add(duration.seconds());
        double minAllowed = quota * MIN_ALLOWED_QUOTA_RATIO;
        if (slack < 1) {
            allowed = Math.max(minAllowed, allowed * slack);
        } else if (hasAnyBaseline) {
            allowed = Math.min(quota, allowed + minAllowed * minAllowed / allowed);
        }
    }

    /**
     * Records that a call is no longer in flight, at the dependency either.
     *
     * @return when the next call may be made, if calls are paced
     */
    Optional<MonotonicTime> onCallReleased(MonotonicTime calledAt, MonotonicTime now) {
        inFlight--;
        double seconds = now.since(calledAt).seconds();
        typicalCallSeconds =
                typicalCallSeconds > 0 ? Math.sqrt(typicalCallSeconds * seconds) : seconds;
        if (allowed >= 1) {
            return Optional.empty();
        }
        double pauseSeconds = Math.max(seconds / Math.min(1, quota), typicalCallSeconds / allowed);
        nextCallAt = calledAt.plus(NanoDuration.ofSeconds(pauseSeconds));
        return Optional.of(nextCallAt);
    }
}
