package lupinwood.processing;

import java.util.function.Supplier;
import lupinwood.admission.NanoDuration;

/**
 * Writes the responses to upstream load balancers, each with the current available capacity; at
 * most one for each request in the request table. Reports final responses to a listener.
 *
 * <p>Owned by the event loop thread.
 */
final class ResponseWriter {
    /** The load report while the admission policy has not set one; valid ones are not negative. */
    private static final double NO_AVAILABLE_CAPACITY = -1;

    private final UpstreamConnections upstreams;
    private final ConnectionTable connections;
    private final EventLoopClock clock;
    private final Supplier<RequestValidator> validator;
    private double availableCapacity = NO_AVAILABLE_CAPACITY;

    /** Null while there is no listener. */
    private ResponseListener listener;

    /**
     * Creates a writer whose responses carry no available capacity yet.
     *
     * @param validator supplies the current validator, for latency objectives
     */
    ResponseWriter(
            UpstreamConnections upstreams,
            ConnectionTable connections,
            EventLoopClock clock,
            Supplier<RequestValidator> validator) {
        this.upstreams = upstreams;
        this.connections = connections;
        this.clock = clock;
        this.validator = validator;
    }

    void setListener(ResponseListener listener) {
        this.listener = listener;
    }

    void setAvailableCapacity(double availableCapacity) {
        this.availableCapacity = availableCapacity;
    }

    /** Rejects a request that is not in the request table; not reported to the listener. */
    void rejectArrival(ConnectionId connection, long tag, NanoDuration retryAfter) {
        upstreams.answer(connection, tag, Response.rejected(availableCapacity, retryAfter, false));
    }

    /** Fails a request that is not in the request table; not reported to the listener. */
    void failArrival(ConnectionId connection, long tag) {
        upstreams.answer(connection, tag, Response.plain(Response.Kind.FAILED, availableCapacity));
    }

    /** Writes the response to a health check. */
    void answerHealthCheck(ConnectionId connection, long tag, boolean healthy) {
        Response.Kind kind = healthy ? Response.Kind.HEALTHY : Response.Kind.UNHEALTHY;
        upstreams.answer(connection, tag, Response.plain(kind, availableCapacity));
    }

    /** Writes the final response that rejects a request, unless it has one. */
    void reject(ActiveRequest activeRequest, boolean doNotRetryElsewhere, NanoDuration retryAfter) {
        writeFinal(
                activeRequest,
                Response.rejected(availableCapacity, retryAfter, doNotRetryElsewhere));
    }

    /** Writes the final response that fails a request, unless it has one. */
    void fail(ActiveRequest activeRequest) {
        writeFinal(activeRequest, Response.plain(Response.Kind.FAILED, availableCapacity));
    }

    /**
     * Writes the final response for a completed run or repeat, unless the request has one, and
     * notifies the admission policy of the completion.
     */
    void complete(
            ActiveRequest activeRequest,
            Completion completion,
            NanoDuration elapsed,
            byte[] result) {
        writeFinal(
                activeRequest,
                completion == Completion.WELL
                        ? Response.served(availableCapacity, result)
                        : Response.plain(Response.Kind.FAILED, availableCapacity));
        activeRequest.listener.onCompleted(completion.outcome(), elapsed);
    }

    private void writeFinal(ActiveRequest activeRequest, Response response) {
        if (!activeRequest.answered) {
            activeRequest.answered = true;
            report(activeRequest.incomingRequest, response.word());
            upstreams.answer(activeRequest.connection, activeRequest.tag, response);
            connections.removeRequest(activeRequest.connection, activeRequest.tag);
        }
    }

    /** Records that the client left: no response is needed any more. */
    void clientGone(ActiveRequest activeRequest) {
        activeRequest.answered = true;
        report(activeRequest.incomingRequest, Response.Kind.FAILED);
    }

    /** Reports a final response to the listener, if any. */
    void report(IncomingRequest incomingRequest, Response.Kind kind) {
        if (listener != null) {
            NanoDuration elapsed = clock.elapsedSince(incomingRequest.reached());
            NanoDuration objective =
                    validator.get().requestClass(incomingRequest).latencyObjective();
            listener.answered(
                    incomingRequest.className(), kind, elapsed, objective.compareTo(elapsed) < 0);
        }
    }
}
