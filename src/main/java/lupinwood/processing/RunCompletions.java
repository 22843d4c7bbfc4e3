package lupinwood.processing;

import java.util.List;
import java.util.function.Consumer;
import lupinwood.admission.NanoDuration;

/**
 * Handles the completions of runs: writes the response to the run's request, and to the repeats
 * that wait for the result.
 *
 * <p>Owned by the event loop thread.
 */
final class RunCompletions {
    private final RequestTable requests;
    private final ConnectionTable connections;
    private final DownstreamCalls calls;
    private final IdempotentRequests idempotency;
    private final ResponseWriter responses;
    private final Consumer<Runnable> defer;

    /**
     * Creates the handler of the completions of one executor's runs.
     *
     * @param defer receives actions to perform once the admission policy has decided
     */
    RunCompletions(
            RequestTable requests,
            ConnectionTable connections,
            DownstreamCalls calls,
            IdempotentRequests idempotency,
            ResponseWriter responses,
            Consumer<Runnable> defer) {
        this.requests = requests;
        this.connections = connections;
        this.calls = calls;
        this.idempotency = idempotency;
        this.responses = responses;
        this.defer = defer;
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
                completeUnreported(
                        activeRequest.incomingRequest.attemptId(), Completion.EXECUTOR_GONE);
            }
        }
    }

    /** Completes a run for which the executor reports no completion. */
    void completeUnreported(AttemptId id, Completion completion) {
        completed(id, completion, NanoDuration.ZERO, null);
    }

    /**
     * Completes a run for which the executor reports no completion, once the admission policy has
     * decided.
     */
    void completeUnreportedAfterDecision(AttemptId id, Completion completion) {
        defer.accept(() -> completeUnreported(id, completion));
    }
}
