package lupinwood.processing;

import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;

/**
 * Tracks the drain of the node: whether it has begun, how long ago the last request arrived, and
 * whether all requests were answered.
 *
 * <p>Owned by the event loop thread.
 */
final class Drain {
    private final EventLoopClock clock;
    private final WakeUpScheduler wakeUps;
    private final ConnectionTable connections;
    private final HealthChecks checks;
    private boolean hasBegun;
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

    boolean hasBegun() {
        return hasBegun;
    }

    /** Begins to drain; false if that has begun already. */
    boolean begin() {
        if (hasBegun) {
            return false;
        }
        hasBegun = true;
        wakeUps.startDraining();
        lastRequestAt = clock.now();
        return true;
    }

    void onRequest() {
        lastRequestAt = clock.now();
    }

    /** Time since the last request arrived, or since the drain began if that was later. */
    NanoDuration sinceLastRequest() {
        return clock.now().since(lastRequestAt);
    }

    /** Whether every request and health check that was read has its response. */
    boolean isAnswered() {
        return connections.openRequests() == 0 && checks.isIdle();
    }
}
