package lupinwood.admission;

import java.util.Optional;

/**
 * Limits the calls in flight to the shared dependency, and spaces them where less than one is
 * allowed.
 *
 * <pre>
 * slow call (slack &lt; 1):    allowedCalls = max(0.2 * dependencyQuota, allowedCalls * slack)
 * any other (see below):    allowedCalls = min(dependencyQuota, allowedCalls + (0.2 * dependencyQuota)^2 / allowedCalls)
 * while allowedCalls &lt; 1:   next call at calledAt + max(duration / min(1, dependencyQuota), typical / allowedCalls)
 * each call that is over:   typical = sqrt(typical * duration), a geometric running mean; duration for the first call
 * </pre>
 *
 * <p>{@code duration} is the time from a call until the dependency no longer works on it, for a
 * call that was given up with the linger time.
 *
 * <p>The quota is the load from this node that the dependency survives; it slows down long before
 * that. So a slow call reduces the allowed calls in proportion to how much too slow it was, and any
 * other call raises them once some request class has a baseline. A node that starts cold makes one
 * call at a time until then (slow start); a slow call that ends while less than a fifth of the
 * quota is allowed raises the allowed calls to that lower bound. Where downstream is a tier of
 * servers there is no quota, and the in-flight limit alone bounds the calls.
 *
 * <p>A call that was given up counts as in flight while the dependency may still work on it. Under
 * a quota of less than one call, a pause after each call keeps the average within the quota.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class DependencyLimiter {
    /**
     * The part of the quota below which a slow call never sets the allowed calls: without calls a
     * recovery would not be noticed. A slow start begins at one call, even if this part is greater.
     */
    private static final double MIN_ALLOWED_QUOTA_RATIO = 0.2;

    /**
     * The weight at which the counts of call durations are halved; less than elsewhere, to follow a
     * change fast.
     */
    private static final int CALL_DURATION_HALVING_WEIGHT = Histogram.RECENT_SAMPLES / 4;

    private final double dependencyQuota;
    private final NanoDuration tick;
    private final Histogram recentCallSeconds = new Histogram(CALL_DURATION_HALVING_WEIGHT);
    private double allowedCalls;
    private MonotonicTime nextCallAt;
    private double typicalCallSeconds;
    private int inFlight;
    private int successfulCalls;

    DependencyLimiter(PolicySettings settings, MonotonicTime now) {
        dependencyQuota = settings.machine().dependencyQuota();
        tick = settings.machine().tick();
        boolean slowStart = settings.machine().hasSharedDependency() && settings.startsCold();
        allowedCalls = slowStart ? Math.min(1, dependencyQuota) : dependencyQuota;
        nextCallAt = now;
    }

    /** The quota of this node, in calls in flight; 1e9 where there is none. */
    double dependencyQuota() {
        return dependencyQuota;
    }

    /**
     * The calls in flight allowed at present; at least a fifth of the quota, or the one call with
     * which a slow start begins where that is less.
     */
    double allowedCalls() {
        return allowedCalls;
    }

    /** Whether less than half the quota is allowed. */
    boolean areCallsRestricted() {
        return allowedCalls < dependencyQuota / 2;
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
     * The expected duration of a call. It is one tick while no call is in flight and no pause is
     * pending, so that one call is always tried, and until a call has ended.
     */
    NanoDuration callTime(MonotonicTime now) {
        return (inFlight > 0 || isPacing(now)) && recentCallSeconds.weight() > 0
                ? NanoDuration.ofSeconds(recentCallSeconds.median())
                : tick;
    }

    /** Whether a call may be made now. */
    boolean hasRoom(MonotonicTime now) {
        return !isPacing(now) && inFlight + 1 <= Math.max(1, allowedCalls);
    }

    /**
     * Records that a call is made.
     *
     * @return the number of successful calls that is reached when all calls now in flight, this one
     *     included, have succeeded; successful calls beyond that number include some that were made
     *     later
     */
    int onCallStarted() {
        inFlight++;
        return successfulCalls + inFlight;
    }

    /**
     * A lower bound (may be negative) of the number of calls that were made after the given call
     * and have succeeded.
     *
     * @param expectedSuccessfulCalls what {@link #onCallStarted} returned for the given call
     */
    int successfulCallsAfter(int expectedSuccessfulCalls) {
        return successfulCalls - expectedSuccessfulCalls;
    }

    /** Records that a call succeeded. */
    void onCallSucceeded() {
        successfulCalls++;
    }

    /**
     * Adjusts the allowed calls to the duration of a call that ended, successfully or not.
     *
     * @param slack see {@link BaselineLatency#slack}; less than 1 for a slow call
     * @param hasAnyBaseline whether some request class has a baseline; until then the allowed calls
     *     don't grow
     */
    void onCallEnded(NanoDuration duration, double slack, boolean hasAnyBaseline) {
        recentCallSeconds.add(duration.seconds());
        double minAllowed = dependencyQuota * MIN_ALLOWED_QUOTA_RATIO;
        if (slack < 1) {
            allowedCalls = Math.max(minAllowed, allowedCalls * slack);
        } else if (hasAnyBaseline) {
            allowedCalls =
                    Math.min(
                            dependencyQuota, allowedCalls + minAllowed * minAllowed / allowedCalls);
        }
    }

    /**
     * Records that the dependency no longer works on a call.
     *
     * @return when the next call may be made, if calls are paced
     */
    Optional<MonotonicTime> onCallReleased(MonotonicTime calledAt, MonotonicTime now) {
        inFlight--;
        double seconds = now.since(calledAt).seconds();
        typicalCallSeconds =
                typicalCallSeconds > 0 ? Math.sqrt(typicalCallSeconds * seconds) : seconds;
        if (allowedCalls >= 1) {
            return Optional.empty();
        }
        double pauseSeconds =
                Math.max(seconds / Math.min(1, dependencyQuota), typicalCallSeconds / allowedCalls);
        nextCallAt = calledAt.plus(NanoDuration.ofSeconds(pauseSeconds));
        return Optional.of(nextCallAt);
    }
}
