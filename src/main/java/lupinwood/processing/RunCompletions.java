package lupinwood.processing;

import java.util.List;
import java.util.function.Consumer;
import lupinwood.admission.NanoDuration;

/**
 * The ends of runs: each answers its request, and the repeats that wait for it.
 *
 * <p>Owned by the event loop thread.
 */
final class RunCompletions {
    private final RequestTable requests;
    private final ConnectionTable connections;
    private final DownstreamCalls calls;
    private final IdempotentRequests idempotency;
    private final ResponseWriter responses;
    private final Consumer<Runnable> deferred;

    /**
     * The ends of one executor's runs.
     *
     * @param deferred takes what is to be done once the admission policy has decided
     */
    RunCompletions(
            RequestTable requests,
            ConnectionTable connections,
            DownstreamCalls calls,
            IdempotentRequests idempotency,
            ResponseWriter responses,
            Consumer<Runnable> deferred) {
        this.requests = requests;
        this.connections = connections;
        this.calls = calls;
        this.idempotency = idempotency;
        this.responses = responses;
        this.deferred = deferred;
    }

    /**
     * A run ended. Of one that is not known here, or over, this means nothing.
     *
     * @param result null unless it went well
     */
    void completed(AttemptId id, Completion completion, NanoDuration elapsed, byte[] result) {
        ActiveRequest activeRequest = requests.findStarted(id);
        if (activeRequest == null) {
            return;
        }
        calls.cancel(activeRequest);
        if (!completion.outcome().provesNeverRan()) {
            connections.trust(activeRequest.connection);
        }
        IdempotencyStore.IdempotencyRecord idempotencyRecord =
                completion == Completion.WELL
                        ? idempotency.keepResult(activeRequest.id, result)
                        : null;
        responses.complete(activeRequest, completion, elapsed, result);
        if (idempotencyRecord != null) {
            idempotency.completed(idempotencyRecord, result);
        }
    }

    /** The executor was started anew: what ran there may have had its effect. */
    void allLost() {
        for (ActiveRequest activeRequest : List.copyOf(requests.started())) {
            if (!activeRequest.offLink) {
                lost(activeRequest.incomingRequest.attemptId(), Completion.EXECUTOR_GONE);
            }
        }
    }

    /** A run ended of which the executor tells nothing. */
    void lost(AttemptId id, Completion completion) {
        completed(id, completion, NanoDuration.ZERO, null);
    }

    /** The same, once the admission policy has decided. */
    void lostAfterDecision(AttemptId id, Completion completion) {
        deferred.accept(() -> lost(id, completion));
    }
}
