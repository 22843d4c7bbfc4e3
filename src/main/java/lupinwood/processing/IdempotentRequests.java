package lupinwood.processing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.RequestClassId;
import lupinwood.admission.RequestId;

/**
 * What idempotent requests have in common with their repeats: remembered for their window, a repeat
 * is answered from its original's result, or waits for it, and never runs.
 *
 * <p>Owned by the event loop thread.
 */
final class IdempotentRequests {
    /** On sockets the window is longer by this; a repeat so late is not run. */
    private static final NanoDuration WINDOW_SLACK = NanoDuration.ofSeconds(0.05);

    private final IdempotencyStore store;
    private final RequestTable requests;
    private final ResponseWriter responses;
    private final TimerService timers;
    private final EventLoopClock clock;
    private final Supplier<RequestValidator> validator;
    private final Consumer<Runnable> deferred;

    /**
     * The idempotent requests of one table.
     *
     * @param validator the one in force, for timeouts
     * @param deferred takes what is to be done once the admission policy has decided
     */
    IdempotentRequests(
            IdempotencyStore store,
            RequestTable requests,
            ResponseWriter responses,
            TimerService timers,
            EventLoopClock clock,
            Supplier<RequestValidator> validator,
            Consumer<Runnable> deferred) {
        this.store = store;
        this.requests = requests;
        this.responses = responses;
        this.timers = timers;
        this.clock = clock;
        this.validator = validator;
        this.deferred = deferred;
    }

    /** How many are remembered. */
    int size() {
        return store.size();
    }

    /**
     * The record of the original that a request repeats, or null. The window counts in the clock by
     * which requests are stamped, all else in one that never steps.
     *
     * @param stamped the request with its stamp as it came, or null
     */
    IdempotencyStore.IdempotencyRecord findOriginal(IncomingRequest stamped) {
        return stamped == null ? null : store.find(stamped.idempotencyKey(), stamped.reached());
    }

    /** Whether a request, or null, would have to be remembered and can't be. */
    boolean hasNoRoomFor(IncomingRequest incomingRequest) {
        return incomingRequest != null
                && incomingRequest.idempotencyKey() != null
                && store.isFull();
    }

    /** Remembers a request for its window, if it is an idempotent one. */
    void remember(RequestId requestId, NanoDuration window) {
        ActiveRequest activeRequest = requests.get(requestId);
        if (activeRequest == null || activeRequest.incomingRequest.idempotencyKey() == null) {
            return;
        }
        IncomingRequest incomingRequest = activeRequest.incomingRequest;
        MonotonicTime ends = clock.toStamp(clock.now().plus(window).plus(WINDOW_SLACK));
        IdempotencyStore.IdempotencyRecord idempotencyRecord =
                store.remember(
                        incomingRequest.idempotencyKey(), requestId, ends, incomingRequest.body());
        dropOnceOver(idempotencyRecord, validator.get().requestClassId(incomingRequest));
    }

    /**
     * A repeat that came in time may be read up to its timeout later; that time may grow meanwhile,
     * by a configuration, and the idempotency record must outlive it all the same.
     */
    private void dropOnceOver(
            IdempotencyStore.IdempotencyRecord idempotencyRecord, RequestClassId classId) {
        NanoDuration timeout = validator.get().requestClass(classId).timeout();
        MonotonicTime over = clock.fromStamp(idempotencyRecord.ends.plus(timeout));
        if (clock.now().isBefore(over)) {
            timers.schedule(over, () -> dropOnceOver(idempotencyRecord, classId));
        } else {
            store.drop(idempotencyRecord);
        }
    }

    /** Forgets a request, which never ran; its waiting repeats fail. */
    void forget(RequestId requestId) {
        IdempotencyStore.IdempotencyRecord idempotencyRecord = store.of(requestId);
        if (idempotencyRecord != null) {
            store.drop(idempotencyRecord);
            deferred.accept(() -> answerWaiting(idempotencyRecord, null));
        }
    }

    /** A request is over; where it left no result its waiting repeats fail. */
    void released(RequestId requestId) {
        IdempotencyStore.IdempotencyRecord idempotencyRecord = store.of(requestId);
        if (idempotencyRecord != null && idempotencyRecord.result == null) {
            store.over(idempotencyRecord);
            deferred.accept(() -> answerWaiting(idempotencyRecord, null));
        }
    }

    /** A run went well: its result is kept. Its request's record, or null where there is none. */
    IdempotencyStore.IdempotencyRecord keepResult(RequestId requestId, byte[] result) {
        IdempotencyStore.IdempotencyRecord idempotencyRecord = store.of(requestId);
        if (idempotencyRecord != null) {
            store.keepResult(idempotencyRecord, result);
        }
        return idempotencyRecord;
    }

    /** A request whose run went well has its answer; now its waiting repeats have theirs. */
    void completed(IdempotencyStore.IdempotencyRecord idempotencyRecord, byte[] result) {
        store.over(idempotencyRecord);
        answerWaiting(idempotencyRecord, result);
    }

    /** Answers a repeat from its original's result, once that is there. */
    void answerFromOriginal(RequestId repeatId) {
        deferred.accept(() -> answerOrWait(repeatId));
    }

    private void answerOrWait(RequestId repeatId) {
        ActiveRequest repeat = requests.get(repeatId);
        if (repeat == null) {
            return;
        }
        IdempotencyStore.IdempotencyRecord original = repeat.original;
        // Guards against one key on two bodies: the other's result must not be handed out for this
        // one.
        boolean same =
                original != null && Arrays.equals(original.body, repeat.incomingRequest.body());
        if (same && original.result == null && !original.over) {
            original.waiting.add(repeatId);
        } else {
            answerRepeat(repeatId, same ? original.result : null);
        }
    }

    private void answerWaiting(
            IdempotencyStore.IdempotencyRecord idempotencyRecord, byte[] result) {
        List<RequestId> waiting = new ArrayList<>(idempotencyRecord.waiting);
        idempotencyRecord.waiting.clear();
        waiting.forEach(id -> answerRepeat(id, result));
    }

    /** A repeat has its original's result, or null where there is none to be had. */
    private void answerRepeat(RequestId repeatId, byte[] result) {
        ActiveRequest repeat = requests.get(repeatId);
        if (repeat != null) {
            Completion completion = result == null ? Completion.FAILED : Completion.WELL;
            responses.complete(repeat, completion, NanoDuration.ZERO, result);
        }
    }
}
