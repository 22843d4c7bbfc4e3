package lupinwood.admission;

/**
 * The share of its full speed that a node has for certain: one that starts cold rises evenly.
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

    void update(PolicySettings changed) {
        settings = changed;
    }

    /** From the cold share up to 1. */
    double speed(MonotonicTime now) {
        double from = settings.startsCold() ? settings.coldSpeed() : 1;
        long ageNanos = now.since(startedAt).nanos();
        return Math.min(1, from + (1 - from) * ageNanos / Math.max(1, settings.warmUpNanos()));
    }
}
