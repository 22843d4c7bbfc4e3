package lupinwood.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Ensures that an idempotent request runs once within its window. Original requests are remembered
 * from arrival to the end of the window; a retry of one that ran, or may still run, is never run:
 * it is answered from the result of the original, or failed if the original failed.
 *
 * <p>Bounded by the {@link MemoryBudget}: each idempotency record is charged to it, and a request
 * for whose record there is no room is not admitted.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class IdempotencyGuard {
    /** How a request is to be handled. */
    enum Verdict {
        /**
         * Not a retry of an idempotent request, or its recorded original is finished and never ran.
         */
        MAY_RUN,
        /** A retry that is answered from the result of its original. */
        ANSWER_FROM_ORIGINAL,
        /** A retry whose original failed, possibly after taking effect. */
        FAIL
    }

    /** A remembered original, and the timer that removes it at the end of its window. */
    private record Original(AdmittedRequest request, TimerSet.Timer expiryTimer) {}

    private final ServerActions server;
    private final TimerQueue timers;
    private final MemoryBudget memory;
    private final double recordKb;
    private final NanoDuration tick;
    private final Map<RequestId, Original> originals = new HashMap<>();

    IdempotencyGuard(
            ServerActions server, TimerQueue timers, MemoryBudget memory, PolicySettings settings) {
        this.server = server;
        this.timers = timers;
        this.memory = memory;
        recordKb = settings.machine().idempotencyRecordKb();
        tick = settings.machine().tick();
    }

    /** The memory that the idempotency record of a request takes, in kilobytes. */
    double memoryKb(AdmittedRequest request) {
        return isIdempotent(request) ? recordKb : 0;
    }

    Verdict check(AdmittedRequest request) {
        RequestId originalId = request.received().original();
        if (!isIdempotent(request) || originalId == null) {
            return Verdict.MAY_RUN;
        }
        Original found = originals.get(originalId);
        if (found == null) {
            // The record has expired here, or was removed since the original never ran; the node
            // may still have the result.
            return Verdict.ANSWER_FROM_ORIGINAL;
        }
        AdmittedRequest original = found.request();
        if (!original.hasRun() && original.isFinished()) {
            return Verdict.MAY_RUN;
        }
        return original.hasFailed() ? Verdict.FAIL : Verdict.ANSWER_FROM_ORIGINAL;
    }

    /** Remembers an admitted request for its window, if it is idempotent. */
    void remember(AdmittedRequest request) {
        if (!isIdempotent(request)) {
            return;
        }
        // The request is remembered for one tick (in this map for two) even if its window ended
        // before it was read, since retries sent within the window may not have been read yet.
        MonotonicTime windowEnd = request.arrivedAt().plus(request.requestClass().window());
        NanoDuration timeLeft = windowEnd.since(server.now()).max(NanoDuration.ZERO);
        memory.reserve(recordKb);
        server.remember(request.id(), timeLeft.plus(tick));
        TimerSet.Timer expiryTimer =
                timers.scheduleAfter(
                        timeLeft.plus(tick).plus(tick), () -> removeRecord(request.id()));
        originals.put(request.id(), new Original(request, expiryTimer));
    }

    /** Forgets a request that never ran, so that a retry may run. */
    void forget(AdmittedRequest request) {
        if (removeRecord(request.id())) {
            server.forget(request.id());
        }
    }

    private boolean removeRecord(RequestId requestId) {
        Original removed = originals.remove(requestId);
        if (removed == null) {
            return false;
        }
        timers.cancel(removed.expiryTimer());
        memory.release(recordKb);
        return true;
    }

    private static boolean isIdempotent(AdmittedRequest request) {
        return request.requestClass().idempotency() == Idempotency.IDEMPOTENT;
    }
}
