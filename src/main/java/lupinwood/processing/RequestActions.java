package lupinwood.processing;

import lupinwood.admission.NanoDuration;
import lupinwood.admission.RequestId;

/**
 * Carries out the admission policy's actions on one request, from its run to its release, and
 * handles a client that leaves. Actions on a released request are ignored.
 *
 * <p>Owned by the event loop thread.
 */
final class RequestActions {
    private final RequestTable requests;
    private final ConnectionTable connections;
    private final ExecutorSession session;
    private final DownstreamCalls calls;
    private final ResponseWriter responses;
    private final IdempotentRequests idempotency;
    private final RunCompletions runs;

    RequestActions(
            RequestTable requests,
            ConnectionTable connections,
            ExecutorSession session,
            DownstreamCalls calls,
            ResponseWriter responses,
            IdempotentRequests idempotency,
            RunCompletions runs) {
        this.requests = requests;
        this.connections = connections;
        this.session = session;
        this.calls = calls;
        this.responses = responses;
        this.idempotency = idempotency;
        this.runs = runs;
    }

    void run(RequestId requestId) {
        ActiveRequest activeRequest = requests.get(requestId);
        if (activeRequest != null) {
            requests.markStarted(activeRequest);
            session.run(activeRequest);
        }
    }

    void stop(RequestId requestId) {
        ActiveRequest activeRequest = requests.get(requestId);
        if (activeRequest != null) {
            session.stop(activeRequest);
        }
    }

    void reject(RequestId requestId, boolean doNotRetryElsewhere, NanoDuration retryAfter) {
        ActiveRequest activeRequest = requests.get(requestId);
        if (activeRequest != null) {
            responses.reject(activeRequest, doNotRetryElsewhere, retryAfter);
            connections.countUnservedRequest(activeRequest.connection);
        }
    }

    void fail(RequestId requestId) {
        ActiveRequest activeRequest = requests.get(requestId);
        if (activeRequest != null) {
            calls.cancel(activeRequest);
            responses.fail(activeRequest);
        }
    }

    /** Lets a run continue without its call; fails the request if the executor can't do that. */
    void skipCall(RequestId requestId) {
        ActiveRequest activeRequest = requests.get(requestId);
        if (activeRequest != null && !session.skipCall(activeRequest)) {
            runs.completeUnreportedAfterDecision(
                    activeRequest.incomingRequest.attemptId(), Completion.FAILED);
        }
    }

    void release(RequestId requestId) {
        ActiveRequest activeRequest = requests.remove(requestId);
        if (activeRequest != null) {
            calls.cancel(activeRequest);
            // Guards against a released request without a response, which should not occur.
            responses.fail(activeRequest);
            idempotency.onReleased(requestId);
        }
    }

    /** Handles a client that no longer waits; the admission policy is notified. */
    void abort(RequestId requestId) {
        ActiveRequest activeRequest = requests.get(requestId);
        if (activeRequest != null) {
            session.onAborted(activeRequest);
        }
        clientGone(requestId);
    }

    /** Handles a client whose connection closed; the admission policy is notified. */
    void clientGone(RequestId requestId) {
        ActiveRequest activeRequest = requests.get(requestId);
        if (activeRequest != null && !activeRequest.answered) {
            responses.clientGone(activeRequest);
            activeRequest.listener.onClientGone();
        }
    }
}
