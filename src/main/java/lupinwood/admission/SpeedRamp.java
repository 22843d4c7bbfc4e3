package lupinwood.admission;

/**
 * The share of its full speed that a node is assumed to have: after a cold start it rises linearly
 * from {@code coldSpeed} to 1, otherwise it is 1.
 *
 * <pre>speed = min(1, coldSpeed + (1 - coldSpeed) * age / warmUp)</pre>
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class SpeedRamp {
    private final MonotonicTime startedAt;
    private PolicySettings settings;

    SpeedRamp(MonotonicTime startedAt, PolicySettings settings) {
        this.startedAt = startedAt;
        this.settings = settings;
    }

    void update(PolicySettings newSettings) {
        settings = newSettings;
    }

    /** The present share of the full speed, from the cold speed to 1. */
    double speed(MonotonicTime now) {
        double initial = settings.startsCold() ? settings.coldSpeed() : 1;
        long ageNanos = now.since(startedAt).nanos();
        return Math.min(
                1, initial + (1 - initial) * ageNanos / Math.max(1, settings.warmUpNanos()));
    }
}
