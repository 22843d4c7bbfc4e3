package lupinwood.processing;

import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;

/**
 * Whether the node drains, how long ago the last request came, and whether all have their answer.
 *
 * <p>Owned by the event loop thread.
 */
final class Drain {
    private final EventLoopClock clock;
    private final WakeUpScheduler wakeUps;
    private final ConnectionTable connections;
    private final HealthChecks checks;
    private boolean begun;
    private MonotonicTime lastRequestAt;

    Drain(
            EventLoopClock clock,
            WakeUpScheduler wakeUps,
            ConnectionTable connections,
            HealthChecks checks) {
        this.clock = clock;
        this.wakeUps = wakeUps;
        this.connections = connections;
        this.checks = checks;
        lastRequestAt = clock.now();
    }

    boolean isBegun() {
        return begun;
    }

    /** Begins to drain; false where that was done before. */
    boolean begin() {
        if (begun) {
            return false;
        }
        begun = true;
        wakeUps.startDraining();
        lastRequestAt = clock.now();
        return true;
    }

    void requestArrived() {
        lastRequestAt = clock.now();
    }

    /** How long ago the last request came, or the drain began. */
    NanoDuration sinceLastRequest() {
        return clock.now().since(lastRequestAt);
    }

    /** Whether everything read has its answer. */
    boolean isAnswered() {
        return connections.openRequests() == 0 && checks.isIdle();
    }
}
