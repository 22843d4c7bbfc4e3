package lupinwood.processing;

import java.util.List;
import java.util.function.Consumer;
import lupinwood.admission.NanoDuration;

/**
 * Handles completed runs: each sends the response to its request, and to the repeats that wait for
 * it.
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
     * Handles the completions of one executor's runs.
     *
     * @param deferred receives actions to perform once the admission policy has decided
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
     * Handles the completion of a run. Ignored if the run is unknown or over.
     *
     * @param result null unless the run succeeded
     */
    void completed(AttemptId id, Completion completion, NanoDuration elapsed, byte[] result) {
        ActiveRequest activeRequest = requests.findStarted(id);
        if (activeRequest == null) {
            return;
        }
        calls.cancel(activeRequest);
        if (!completion.outcome().provesNeverRan()) {
            connections.markTrusted(activeRequest.connection);
        }
        IdempotencyStore.IdempotencyRecord idempotencyRecord =
                completion == Completion.WELL
                        ? idempotency.keepResult(activeRequest.id, result)
                        : null;
        responses.complete(activeRequest, completion, elapsed, result);
        if (idempotencyRecord != null) {
            idempotency.onCompleted(idempotencyRecord, result);
        }
    }

    /**
     * Fails all runs on the executor connection after the executor restarted; they may have had
     * their effect.
     */
    void completeAllLost() {
        for (ActiveRequest activeRequest : List.copyOf(requests.started())) {
            if (!activeRequest.runsAtServer) {
                completeLost(activeRequest.incomingRequest.attemptId(), Completion.EXECUTOR_GONE);
            }
        }
    }

    /** Completes a run for which the executor reports no completion. */
    void completeLost(AttemptId id, Completion completion) {
        completed(id, completion, NanoDuration.ZERO, null);
    }

    /** Does the same once the admission policy has decided. */
    void completeLostAfterDecision(AttemptId id, Completion completion) {
        deferred.accept(() -> completeLost(id, completion));
    }
}
