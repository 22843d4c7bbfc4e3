package lupinwood.processing;

import lupinwood.admission.NanoDuration;
import lupinwood.admission.RequestId;

/**
 * What the admission policy may ask for one request, from its run to its release, and what a caller
 * that leaves does to it. Of a request that was released all of it means nothing.
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
            connections.unwanted(activeRequest.connection);
        }
    }

    void fail(RequestId requestId) {
        ActiveRequest activeRequest = requests.get(requestId);
        if (activeRequest != null) {
            calls.cancel(activeRequest);
            responses.fail(activeRequest);
            session.runIfInDoubt(activeRequest);
        }
    }

    /** Where no run can go on without its call the request can only fail. */
    void skipCall(RequestId requestId) {
        ActiveRequest activeRequest = requests.get(requestId);
        if (activeRequest != null && !session.skipCall(activeRequest)) {
            runs.lostAfterDecision(activeRequest.incomingRequest.attemptId(), Completion.FAILED);
        }
    }

    void release(RequestId requestId) {
        ActiveRequest activeRequest = requests.remove(requestId);
        if (activeRequest != null) {
            calls.cancel(activeRequest);
            // Guards against a request that is over and yet owed an answer; none should be.
            responses.fail(activeRequest);
            idempotency.released(requestId);
        }
    }

    /** The caller left, or its connection did; the admission policy hears so. */
    void clientGone(RequestId requestId) {
        ActiveRequest activeRequest = requests.get(requestId);
        if (activeRequest != null && !activeRequest.answered) {
            responses.clientGone(activeRequest);
            session.runIfInDoubt(activeRequest);
            activeRequest.listener.onClientGone();
        }
    }
}
