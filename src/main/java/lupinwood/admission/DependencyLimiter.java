package lupinwood.admission;

import java.util.Optional;

/**
 * How many calls to the shared dependency may be out, and when the next may be made.
 *
 * <pre>
 * slow call (slack &lt; 1):  allowed = max(0.2 * quota, allowed * slack)
 * any other:              allowed = min(quota, allowed + (0.2 * quota)^2 / allowed)
 * while allowed &lt; 1:      next call at calledAt + max(took / min(1, quota), usual / allowed)
 * </pre>
 *
 * <p>The quota is what the dependency survives from this node; it slows down long before. So the
 * calls allowed shrink by as much as a call was too slow, and each other call lets them grow. A
 * node that starts cold makes one call at a time until some class has a baseline (slow start).
 * Above a tier of servers no quota is given, and the in-flight limit alone bounds calls.
 *
 * <p>Rule 4 of the conventions: a call that was given up counts as in flight while the dependency
 * may still work on it. Under a quota of one a pause after each call keeps the average.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class DependencyLimiter {
    /** The part of the quota that is used whatever calls take: without calls nothing is learned. */
    private static final double MIN_QUOTA_SHARE = 0.2;

    /** Fewer samples than elsewhere: the latest calls have to follow a change fast. */
    private static final int LATEST_SAMPLES = Histogram.RECENT_SAMPLES / 4;

    private final double quota;
    private final NanoDuration tick;
    private final Histogram latestCalls = new Histogram(LATEST_SAMPLES);
    private double allowed;
    private MonotonicTime nextCallAt;
    private double usualSeconds;
    private int inFlight;
    private int completed;

    DependencyLimiter(PolicySettings settings, MonotonicTime now) {
        quota = settings.machine().dependencyQuota();
        tick = settings.machine().tick();
        boolean slowStart = settings.machine().hasSharedDependency() && settings.startsCold();
        allowed = slowStart ? Math.min(1, quota) : quota;
        nextCallAt = now;
    }

    /** Calls in flight by the settings; 1e9 where none is given. */
    double quota() {
        return quota;
    }

    /** Calls in flight that are allowed just now; at least a fifth of the quota. */
    double allowed() {
        return allowed;
    }

    /** Whether less than half the quota is allowed. */
    boolean isRestricted() {
        return allowed < quota / 2;
    }

    /** Whether the pause after the last call is still on. */
    boolean isPacing(MonotonicTime now) {
        return now.isBefore(nextCallAt);
    }

    /** When a call made as soon as possible would be back. */
    MonotonicTime soonestReturn(MonotonicTime now) {
        return (isPacing(now) ? nextCallAt : now).plus(callTime(now));
    }

    /**
     * What a call takes just now. While none is out nothing is known, and one is always tried: then
     * it is one tick.
     */
    NanoDuration callTime(MonotonicTime now) {
        return (inFlight > 0 || isPacing(now)) && latestCalls.weight() > 0
                ? NanoDuration.ofSeconds(latestCalls.median())
                : tick;
    }

    /** Whether a call may be made now. */
    boolean hasRoom(MonotonicTime now) {
        return !isPacing(now) && inFlight + 1 <= Math.max(1, allowed);
    }

    /**
     * A call was made.
     *
     * @return how many completed calls there will be once all that are out now, this one included,
     *     have come back; more than that were made later
     */
    int onCallMade() {
        inFlight++;
        return completed + inFlight;
    }

    /** How many calls made later than one with this mark have come back at least. */
    int completedSince(int mark) {
        return completed - mark;
    }

    /** A call came back well. */
    void onCallCompleted() {
        completed++;
    }

    /**
     * A call ended, well or not.
     *
     * @param slack of its class's baseline for what it took, under 1 for a slow call
     * @param hasAnyBaseline whether some class has a baseline; before that nothing grows
     */
    void onLatency(NanoDuration took, double slack, boolean hasAnyBaseline) {
        latestCalls.add(took.seconds());
        double least = quota * MIN_QUOTA_SHARE;
        if (slack < 1) {
            allowed = Math.max(least, allowed * slack);
        } else if (hasAnyBaseline) {
            allowed = Math.min(quota, allowed + least * least / allowed);
        }
    }

    /**
     * A call is in flight no more, also at the dependency.
     *
     * @return when the next call may be made, where that is paced
     */
    Optional<MonotonicTime> onCallOutOfFlight(MonotonicTime calledAt, MonotonicTime now) {
        inFlight--;
        double took = now.since(calledAt).seconds();
        usualSeconds = usualSeconds > 0 ? Math.sqrt(usualSeconds * took) : took;
        if (allowed >= 1) {
            return Optional.empty();
        }
        double pause = Math.max(took / Math.min(1, quota), usualSeconds / allowed);
        nextCallAt = calledAt.plus(NanoDuration.ofSeconds(pause));
        return Optional.of(nextCallAt);
    }
}
