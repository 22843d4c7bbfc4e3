package lupinwood.processing;

import lupinwood.admission.NanoDuration;
import lupinwood.admission.RequestId;

/**
 * The calls that runs need of the shared dependency, at most one under way for each request; each
 * ends by its own end or by its cap.
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

    /** A run needs a call and waits for its reply; the admission policy hears so. */
    void needed(AttemptId id, byte[] body) {
        ActiveRequest activeRequest = requests.findStarted(id);
        if (activeRequest != null) {
            connections.trust(activeRequest.connection);
            session.callReceived(activeRequest);
            activeRequest.callBody = body;
            activeRequest.listener.onCallNeeded();
        }
    }

    /** Makes the call that a request's run waits for, and gives up the one before. */
    void call(RequestId requestId, NanoDuration cap) {
        ActiveRequest activeRequest = requests.get(requestId);
        if (activeRequest != null && activeRequest.callBody != null) {
            cancel(activeRequest);
            AttemptId id = activeRequest.incomingRequest.attemptId();
            activeRequest.calledAt = clock.now();
            activeRequest.callTimer = timers.schedule(clock.now().plus(cap), () -> timeOut(id));
            dependency.call(id, cap, activeRequest.callBody);
        }
    }

    private void timeOut(AttemptId id) {
        dependency.giveUp(id);
        ended(id, Completion.GIVEN_UP, null);
    }

    /**
     * A call ended: its run gets the reply where there is one, and the admission policy hears of
     * it. Of a call that is no longer under way this means nothing.
     *
     * @param reply null where the call went not well
     */
    void ended(AttemptId id, Completion ending, byte[] reply) {
        ActiveRequest activeRequest = requests.find(id);
        if (activeRequest == null || activeRequest.calledAt == null) {
            return;
        }
        NanoDuration latency = clock.now().since(activeRequest.calledAt);
        clear(activeRequest);
        if (ending == Completion.WELL) {
            activeRequest.callBody = null;
            session.giveReply(activeRequest, reply);
        }
        activeRequest.listener.onCallCompleted(ending.outcome(), latency);
    }

    /** Gives up a request's call if one is under way; the admission policy hears nothing. */
    void cancel(ActiveRequest activeRequest) {
        if (activeRequest.calledAt != null) {
            dependency.giveUp(activeRequest.incomingRequest.attemptId());
            clear(activeRequest);
        }
    }

    private void clear(ActiveRequest activeRequest) {
        timers.cancel(activeRequest.callTimer);
        activeRequest.callTimer = null;
        activeRequest.calledAt = null;
    }
}
