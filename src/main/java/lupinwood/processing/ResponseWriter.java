package lupinwood.processing;

import java.util.function.Supplier;
import lupinwood.admission.NanoDuration;

/**
 * The answers to upstream load balancers, each with the available capacity of its moment; at most
 * one goes out for a request in the table. A listener hears of the final ones.
 *
 * <p>Owned by the event loop thread.
 */
final class ResponseWriter {
    private static final double NO_AVAILABLE_CAPACITY = -1;

    private final UpstreamConnections upstreams;
    private final ConnectionTable connections;
    private final EventLoopClock clock;
    private final Supplier<RequestValidator> validator;
    private double availableCapacity = NO_AVAILABLE_CAPACITY;

    /** Null while nobody listens. */
    private ResponseListener listener;

    /**
     * A writer whose answers have no available capacity yet.
     *
     * @param validator the one in force, for latency objectives
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

    /** Rejects a request that is not in the table; no listener hears of it. */
    void rejectArrival(ConnectionId connection, long tag, NanoDuration retryAfter) {
        upstreams.answer(connection, tag, Response.rejected(availableCapacity, retryAfter, false));
    }

    /** Fails a request that is not in the table; no listener hears of it. */
    void failArrival(ConnectionId connection, long tag) {
        upstreams.answer(connection, tag, Response.plain(Response.Kind.FAILED, availableCapacity));
    }

    /** Answers a health check. */
    void answerHealthCheck(ConnectionId connection, long tag, boolean healthy) {
        Response.Kind kind = healthy ? Response.Kind.HEALTHY : Response.Kind.UNHEALTHY;
        upstreams.answer(connection, tag, Response.plain(kind, availableCapacity));
    }

    /** The final answer that a request was rejected. */
    void reject(ActiveRequest activeRequest, boolean doNotRetryElsewhere, NanoDuration retryAfter) {
        answer(
                activeRequest,
                Response.rejected(availableCapacity, retryAfter, doNotRetryElsewhere));
    }

    /** The final answer that a request failed, unless it has one. */
    void fail(ActiveRequest activeRequest) {
        answer(activeRequest, Response.plain(Response.Kind.FAILED, availableCapacity));
    }

    /**
     * The final answer of a run, or of a repeat, unless one was given; and the admission policy
     * hears of the end.
     */
    void complete(
            ActiveRequest activeRequest,
            Completion completion,
            NanoDuration elapsed,
            byte[] result) {
        answer(
                activeRequest,
                completion == Completion.WELL
                        ? Response.served(availableCapacity, result)
                        : Response.plain(Response.Kind.FAILED, availableCapacity));
        activeRequest.listener.onCompleted(completion.outcome(), elapsed);
    }

    private void answer(ActiveRequest activeRequest, Response response) {
        if (!activeRequest.answered) {
            activeRequest.answered = true;
            report(activeRequest.incomingRequest, response.word());
            upstreams.answer(activeRequest.connection, activeRequest.tag, response);
            connections.end(activeRequest.connection, activeRequest.tag);
        }
    }

    /** The caller left: no answer is owed any more. */
    void clientGone(ActiveRequest activeRequest) {
        activeRequest.answered = true;
        report(activeRequest.incomingRequest, Response.Kind.FAILED);
    }

    /** Lets the listener hear of a final answer. */
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
