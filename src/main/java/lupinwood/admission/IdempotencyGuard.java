package lupinwood.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Rule 2 of the conventions: an idempotent request runs once in its window. The originals are
 * remembered from arrival to the end of the window; a retry of one that ran, or may yet run, is
 * answered from its result and never run.
 *
 * <p>Bounded by the {@link MemoryBudget}: each record is charged, and a request that could not be
 * remembered isn't admitted.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class IdempotencyGuard {
    /** What a request is to this guard. */
    enum Verdict {
        /** It is no retry, or its original never ran and never will. */
        MAY_RUN,
        /** The answer is its original's. */
        ANSWER_FROM_ORIGINAL,
        /** Its original failed, perhaps with effect. */
        FAIL
    }

    private final ServerActions server;
    private final TimerQueue timers;
    private final MemoryBudget memory;
    private final double entryKb;
    private final NanoDuration tick;
    private final Map<RequestId, AdmittedRequest> originals = new HashMap<>();

    IdempotencyGuard(
            ServerActions server, TimerQueue timers, MemoryBudget memory, PolicySettings settings) {
        this.server = server;
        this.timers = timers;
        this.memory = memory;
        entryKb = settings.machine().idempotencyEntryKb();
        tick = settings.machine().tick();
    }

    /** What remembering a request takes of the memory budget. */
    double memoryKb(AdmittedRequest request) {
        return isIdempotent(request) ? entryKb : 0;
    }

    Verdict judge(AdmittedRequest request) {
        RequestId originalId = request.request().original();
        if (!isIdempotent(request) || originalId == null) {
            return Verdict.MAY_RUN;
        }
        AdmittedRequest original = originals.get(originalId);
        if (original == null) {
            // No longer remembered here; the machine may still have the result.
            return Verdict.ANSWER_FROM_ORIGINAL;
        }
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
        // A window that went by while the request was unread still has attempts in it that are
        // unread too.
        MonotonicTime windowEnd = request.arrivedAt().plus(request.requestClass().window());
        NanoDuration left = windowEnd.since(server.now()).max(NanoDuration.ZERO);
        memory.reserve(entryKb);
        originals.put(request.id(), request);
        server.remember(request.id(), left.plus(tick));
        timers.scheduleAfter(left.plus(tick).plus(tick), () -> drop(request));
    }

    /** Forgets a request that never ran, so that a retry may. */
    void release(AdmittedRequest request) {
        if (drop(request)) {
            server.forget(request.id());
        }
    }

    private boolean drop(AdmittedRequest request) {
        boolean known = originals.remove(request.id(), request);
        memory.release(known ? entryKb : 0);
        return known;
    }

    private static boolean isIdempotent(AdmittedRequest request) {
        return request.requestClass().idempotency() == Idempotency.IDEMPOTENT;
    }
}
