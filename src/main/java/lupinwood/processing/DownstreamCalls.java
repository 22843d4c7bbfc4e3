package lupinwood.processing;

import lupinwood.admission.NanoDuration;
import lupinwood.admission.RequestId;

/**
 * The calls that runs make to the shared dependency, at most one pending for each request. A call
 * ends when the dependency completes it or when it times out.
 *
 * <p>Owned by the event loop thread.
 */
final class DownstreamCalls {
    private final Dependency dependency;
    private final RequestTable requests;
    private final ConnectionTable connections;
    private final ExecutorSession session;
    private final TimerService timers;
    private final EventLoopClock clock;

    DownstreamCalls(
            Dependency dependency,
            RequestTable requests,
            ConnectionTable connections,
            ExecutorSession session,
            TimerService timers,
            EventLoopClock clock) {
        this.dependency = dependency;
        this.requests = requests;
        this.connections = connections;
        this.session = session;
        this.timers = timers;
        this.clock = clock;
    }

    /**
     * Handles a run that needs a call and waits for the reply: the admission policy is notified.
     */
    void onCallNeeded(AttemptId id, byte[] body) {
        ActiveRequest activeRequest = requests.findStarted(id);
        if (activeRequest != null) {
            connections.markTrusted(activeRequest.connection);
            session.onCallNeeded(activeRequest);
            activeRequest.callBody = body;
            activeRequest.listener.onCallNeeded();
        }
    }

    /** Makes the call that a request's run waits for, and cancels the previous one if pending. */
    void call(RequestId requestId, NanoDuration timeout) {
        ActiveRequest activeRequest = requests.get(requestId);
        if (activeRequest != null && activeRequest.callBody != null) {
            cancel(activeRequest);
            AttemptId id = activeRequest.incomingRequest.attemptId();
            activeRequest.calledAt = clock.now();
            activeRequest.callTimer = timers.schedule(clock.now().plus(timeout), () -> timeOut(id));
            dependency.call(id, timeout, activeRequest.callBody);
        }
    }

    private void timeOut(AttemptId id) {
        dependency.cancelCall(id);
        onCallEnded(id, Completion.GIVEN_UP, null);
    }

    /**
     * Handles the completion of a call: its run gets the reply if there is one, and the admission
     * policy is notified. Ignored if the call is no longer pending.
     *
     * @param reply null unless the call succeeded
     */
    void onCallEnded(AttemptId id, Completion completion, byte[] reply) {
        ActiveRequest activeRequest = requests.find(id);
        if (activeRequest == null || activeRequest.calledAt == null) {
            return;
        }
        NanoDuration latency = clock.now().since(activeRequest.calledAt);
        clearPendingCall(activeRequest);
        if (completion == Completion.WELL) {
            activeRequest.callBody = null;
            session.giveReply(activeRequest, reply);
        }
        activeRequest.listener.onCallCompleted(completion.outcome(), latency);
    }

    /** Cancels a request's pending call, if any; the admission policy is not notified. */
    void cancel(ActiveRequest activeRequest) {
        if (activeRequest.calledAt != null) {
            dependency.cancelCall(activeRequest.incomingRequest.attemptId());
            clearPendingCall(activeRequest);
        }
    }

    private void clearPendingCall(ActiveRequest activeRequest) {
        timers.cancel(activeRequest.callTimer);
        activeRequest.callTimer = null;
        activeRequest.calledAt = null;
    }
}
