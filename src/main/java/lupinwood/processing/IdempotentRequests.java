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
 * Remembers idempotent requests for their window. A repeat within the window does not run: it gets
 * the result of its original or waits for it, and fails if its body differs, the original failed or
 * the result was dropped. If the original is forgotten because it never ran, the repeats that wait
 * for it fail, and a later repeat may run.
 *
 * <p>Owned by the event loop thread.
 */
final class IdempotentRequests {
    /**
     * How much longer the window is than configured: on sockets a repeat that was sent within the
     * window may be read later than it was sent, because delivery and reading take time. A repeat
     * that arrives this late doesn't run either.
     */
    private static final NanoDuration WINDOW_SLACK = NanoDuration.ofSeconds(0.05);

    private final IdempotencyStore store;
    private final RequestTable requests;
    private final ResponseWriter responses;
    private final TimerService timers;
    private final EventLoopClock clock;
    private final Supplier<RequestValidator> validator;
    private final Consumer<Runnable> defer;

    /**
     * Creates the handler of one request table.
     *
     * @param validator supplies the current validator, for timeouts
     * @param defer receives actions to perform once the admission policy has decided
     */
    IdempotentRequests(
            IdempotencyStore store,
            RequestTable requests,
            ResponseWriter responses,
            TimerService timers,
            EventLoopClock clock,
            Supplier<RequestValidator> validator,
            Consumer<Runnable> defer) {
        this.store = store;
        this.requests = requests;
        this.responses = responses;
        this.timers = timers;
        this.clock = clock;
        this.validator = validator;
        this.defer = defer;
    }

    /** The number of idempotency records. */
    int size() {
        return store.size();
    }

    /**
     * Finds the record of the original that a request repeats; null if there is none. The window is
     * measured by the clock that stamps requests, everything else by a clock that never steps.
     *
     * @param stampedRequest the request with its original time stamp, or null
     */
    IdempotencyStore.IdempotencyRecord findOriginalRecord(IncomingRequest stampedRequest) {
        return stampedRequest == null
                ? null
                : store.find(stampedRequest.idempotencyKey(), arrivalStamp(stampedRequest));
    }

    /**
     * When a request arrived, by the clock that stamps requests: not later than now. Guards against
     * a time stamp ahead of the clock, with which a repeat within the window would look as if it
     * came after the window.
     */
    private MonotonicTime arrivalStamp(IncomingRequest stampedRequest) {
        MonotonicTime stampNow = clock.toStamp(clock.now());
        return stampNow.isBefore(stampedRequest.reached()) ? stampNow : stampedRequest.reached();
    }

    /** Whether a request has to be remembered but the store is full; false for null. */
    boolean hasNoRoomFor(IncomingRequest incomingRequest) {
        return incomingRequest != null
                && incomingRequest.idempotencyKey() != null
                && store.isFull();
    }

    /** Remembers a request for its window; ignored unless it has an idempotency key. */
    void remember(RequestId requestId, NanoDuration window) {
        ActiveRequest activeRequest = requests.get(requestId);
        if (activeRequest == null || activeRequest.incomingRequest.idempotencyKey() == null) {
            return;
        }
        IncomingRequest incomingRequest = activeRequest.incomingRequest;
        // The window counts from the request's time stamp, the given duration from now.
        NanoDuration stampLead =
                incomingRequest.reached().since(clock.now()).max(NanoDuration.ZERO);
        MonotonicTime windowEndsAt =
                clock.toStamp(clock.now().plus(window).plus(stampLead).plus(WINDOW_SLACK));
        IdempotencyStore.IdempotencyRecord idempotencyRecord =
                store.remember(
                        incomingRequest.idempotencyKey(),
                        requestId,
                        windowEndsAt,
                        incomingRequest.body());
        dropWhenExpired(idempotencyRecord, validator.get().requestClassId(incomingRequest));
    }

    /**
     * Drops a record once no repeat can need it. A repeat that arrived within the window may be
     * read up to its timeout later. A reload may extend that timeout meanwhile, and the idempotency
     * record must outlive the extended one too.
     */
    private void dropWhenExpired(
            IdempotencyStore.IdempotencyRecord idempotencyRecord, RequestClassId requestClassId) {
        NanoDuration timeout = validator.get().requestClass(requestClassId).timeout();
        MonotonicTime expiresAt = clock.fromStamp(idempotencyRecord.windowEndsAt.plus(timeout));
        if (clock.now().isBefore(expiresAt)) {
            idempotencyRecord.expiryTimer =
                    timers.schedule(
                            expiresAt, () -> dropWhenExpired(idempotencyRecord, requestClassId));
        } else {
            store.drop(idempotencyRecord);
        }
    }

    /**
     * Forgets a request that never ran; the repeats that wait for it fail. Its expiry timer is
     * cancelled: it would hold the record with its body, which the bounds of the store no longer
     * count.
     */
    void forget(RequestId requestId) {
        IdempotencyStore.IdempotencyRecord idempotencyRecord = store.findByRequest(requestId);
        if (idempotencyRecord != null) {
            timers.cancel(idempotencyRecord.expiryTimer);
            store.drop(idempotencyRecord);
            defer.accept(() -> answerWaitingRepeats(idempotencyRecord, null));
        }
    }

    /** Handles the release of a request; if it has no result, the repeats that wait for it fail. */
    void onReleased(RequestId requestId) {
        IdempotencyStore.IdempotencyRecord idempotencyRecord = store.findByRequest(requestId);
        if (idempotencyRecord != null && idempotencyRecord.result == null) {
            store.finish(idempotencyRecord);
            defer.accept(() -> answerWaitingRepeats(idempotencyRecord, null));
        }
    }

    /**
     * Keeps the result of a successful run. Returns the record of its request, or null if there is
     * none.
     */
    IdempotencyStore.IdempotencyRecord keepResult(RequestId requestId, byte[] result) {
        IdempotencyStore.IdempotencyRecord idempotencyRecord = store.findByRequest(requestId);
        if (idempotencyRecord != null) {
            store.keepResult(idempotencyRecord, result);
        }
        return idempotencyRecord;
    }

    /**
     * Answers the waiting repeats of a request whose run succeeded, after the request's own
     * response.
     */
    void onCompleted(IdempotencyStore.IdempotencyRecord idempotencyRecord, byte[] result) {
        store.finish(idempotencyRecord);
        answerWaitingRepeats(idempotencyRecord, result);
    }

    /** Answers a repeat with its original's result, as soon as there is one. */
    void answerFromOriginal(RequestId repeatId) {
        defer.accept(() -> answerOrWait(repeatId));
    }

    private void answerOrWait(RequestId repeatId) {
        ActiveRequest repeat = requests.get(repeatId);
        if (repeat == null) {
            return;
        }
        IdempotencyStore.IdempotencyRecord originalRecord = repeat.originalRecord;
        // Guards against one key used with two bodies: the result for one body must not be returned
        // for the other.
        boolean hasSameBody =
                originalRecord != null
                        && Arrays.equals(originalRecord.body, repeat.incomingRequest.body());
        if (hasSameBody && originalRecord.result == null && !originalRecord.finished) {
            originalRecord.waitingRepeats.add(repeatId);
        } else {
            answerRepeat(repeatId, hasSameBody ? originalRecord.result : null);
        }
    }

    private void answerWaitingRepeats(
            IdempotencyStore.IdempotencyRecord idempotencyRecord, byte[] result) {
        List<RequestId> repeatIds = new ArrayList<>(idempotencyRecord.waitingRepeats);
        idempotencyRecord.waitingRepeats.clear();
        repeatIds.forEach(id -> answerRepeat(id, result));
    }

    /** Answers a repeat with its original's result; the repeat fails if that is null. */
    private void answerRepeat(RequestId repeatId, byte[] result) {
        ActiveRequest repeat = requests.get(repeatId);
        if (repeat != null) {
            Completion completion = result == null ? Completion.FAILED : Completion.WELL;
            responses.complete(repeat, completion, NanoDuration.ZERO, result);
        }
    }
}
