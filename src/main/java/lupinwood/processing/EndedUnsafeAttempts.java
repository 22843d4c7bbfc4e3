package lupinwood.processing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import lupinwood.admission.Idempotency;
import lupinwood.admission.MonotonicTime;

/**
 * The ids of unsafe attempts that were released after a run was requested for them, each until its
 * client no longer waits. An unsafe request has no idempotency key: only its attempt id tells that
 * it came before, so the same id must not run a second time after its client left. At the bound the
 * oldest id is dropped.
 *
 * <p>Owned by the event loop thread.
 */
final class EndedUnsafeAttempts {
    private final Map<AttemptId, MonotonicTime> keptUntilById = new LinkedHashMap<>();
    private final int maxAttempts;
    private final EventLoopClock clock;
    private final Supplier<RequestValidator> validator;

    /**
     * Creates an empty set.
     *
     * @param maxAttempts the maximum number of ids
     * @param validator supplies the current validator, which knows which requests are unsafe
     */
    EndedUnsafeAttempts(
            int maxAttempts, EventLoopClock clock, Supplier<RequestValidator> validator) {
        this.maxAttempts = maxAttempts;
        this.clock = clock;
        this.validator = validator;
    }

    /** Handles the release of a request; remembered if it is unsafe and may have run. */
    void onReleased(ActiveRequest activeRequest) {
        if (activeRequest.started && isUnsafe(activeRequest.incomingRequest)) {
            keptUntilById.put(
                    activeRequest.incomingRequest.attemptId(), activeRequest.clientWaitsUntil);
            dropOldest();
        }
    }

    private boolean isUnsafe(IncomingRequest incomingRequest) {
        return validator.get().requestClass(incomingRequest).idempotency() == Idempotency.UNSAFE;
    }

    /** Whether an attempt with this id may have run, and its client might still wait. */
    boolean contains(AttemptId attemptId) {
        MonotonicTime keptUntil = keptUntilById.get(attemptId);
        return keptUntil != null && clock.now().isBefore(keptUntil);
    }

    private void dropOldest() {
        Iterator<MonotonicTime> oldestFirst = keptUntilById.values().iterator();
        while (oldestFirst.hasNext()) {
            boolean isExpired = !clock.now().isBefore(oldestFirst.next());
            if (!isExpired && keptUntilById.size() <= maxAttempts) {
                return;
            }
            oldestFirst.remove();
        }
    }
}
