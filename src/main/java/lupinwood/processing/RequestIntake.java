package lupinwood.processing;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.Request;

/**
 * Checks an arriving request before the admission policy sees it: whether there is room for it,
 * whether it can be remembered, and whether it is valid. A request that passes enters the request
 * table and is passed to the policy.
 *
 * <p>Owned by the event loop thread.
 */
final class RequestIntake {
    /**
     * The Retry-After of requests that arrive before the executor is connected; it may be connected
     * after this time.
     */
    private static final NanoDuration RETRY_AFTER_NOT_CONNECTED = NanoDuration.ofSeconds(1);

    /**
     * The Retry-After while the idempotency store is full; records may have expired after this
     * time.
     */
    private static final NanoDuration RETRY_AFTER_STORE_FULL = NanoDuration.ofSeconds(1);

    private final ConnectionTable connections;
    private final RequestTable requests;
    private final IdempotentRequests idempotency;
    private final ResponseWriter responses;
    private final PolicyRunner policyRunner;
    private final EventLoopClock clock;
    private final Supplier<RequestValidator> validator;
    private final Consumer<String> log;

    /**
     * Creates the intake of one request processor.
     *
     * @param validator supplies the current validator
     */
    RequestIntake(
            ConnectionTable connections,
            RequestTable requests,
            IdempotentRequests idempotency,
            ResponseWriter responses,
            PolicyRunner policyRunner,
            EventLoopClock clock,
            Supplier<RequestValidator> validator,
            Consumer<String> log) {
        this.connections = connections;
        this.requests = requests;
        this.idempotency = idempotency;
        this.responses = responses;
        this.policyRunner = policyRunner;
        this.clock = clock;
        this.validator = validator;
        this.log = log;
    }

    /**
     * Rejects a request that was read after its connection began to close. Such a request must not
     * run, and must get a response; it gets none if its tag is that of an open request, because the
     * responses could not be told apart.
     */
    void rejectOnClosing(ConnectionId connection, long tag) {
        if (connections.findRequest(connection, tag) == null) {
            responses.rejectArrival(connection, tag, NanoDuration.ZERO);
        }
        connections.onRequestWhileClosing(connection);
    }

    /**
     * Rejects or fails a request at once, or passes it to the admission policy.
     *
     * @param stampedRequest the request with its original time stamp; null if it can't be parsed
     */
    void accept(ConnectionId connection, long tag, IncomingRequest stampedRequest) {
        boolean isAtRequestLimit = connections.isAtRequestLimit(connection);
        if (!policyRunner.isStarted() || isAtRequestLimit || requests.isFull()) {
            rejectAtOnce(connection, tag, isAtRequestLimit);
            return;
        }
        IdempotencyStore.IdempotencyRecord originalRecord =
                idempotency.findOriginalRecord(stampedRequest);
        IncomingRequest incomingRequest =
                stampedRequest == null
                        ? null
                        : stampedRequest.reachedAt(clock.fromStamp(stampedRequest.reached()));
        if (originalRecord == null && idempotency.hasNoRoomFor(incomingRequest)) {
            rejectStoreFull(connection, tag);
            return;
        }
        Optional<RequestFault> fault = fault(connection, incomingRequest, originalRecord);
        if (fault.isPresent()) {
            failInvalid(connection, tag, incomingRequest, fault.get());
            return;
        }
        MonotonicTime clientWaitsUntil =
                incomingRequest.reached().plus(validator.get().effectiveTimeout(incomingRequest));
        admit(
                new ActiveRequest(connection, tag, incomingRequest, clientWaitsUntil),
                originalRecord);
    }

    /**
     * Rejects a request without a look at its values. The reason {@code too_many_open_requests} is
     * also logged if the request table is full, which counts the requests of all connections that
     * the admission policy has not released.
     */
    private void rejectAtOnce(ConnectionId connection, long tag, boolean isAtRequestLimit) {
        boolean isStarted = policyRunner.isStarted();
        log.accept(
                "request rejected reason="
                        + (isStarted ? "too_many_open_requests" : "executor_not_connected"));
        responses.rejectArrival(
                connection, tag, isStarted ? NanoDuration.ZERO : RETRY_AFTER_NOT_CONNECTED);
        if (isAtRequestLimit) {
            connections.onInvalidRequest(connection);
        }
    }

    /**
     * Guards against a flood of keys that are used once each: a request that can't be remembered
     * must not run.
     */
    private void rejectStoreFull(ConnectionId connection, long tag) {
        log.accept("request rejected reason=idempotency_store_full");
        responses.rejectArrival(connection, tag, RETRY_AFTER_STORE_FULL);
        connections.countUnservedRequest(connection);
    }

    private Optional<RequestFault> fault(
            ConnectionId connection,
            IncomingRequest incomingRequest,
            IdempotencyStore.IdempotencyRecord originalRecord) {
        if (connections.ignoresCloseRequest(connection)) {
            return Optional.of(RequestFault.CONNECTION_CLOSE_REQUESTED);
        }
        boolean attemptIdInUse =
                incomingRequest != null && requests.isInUse(incomingRequest.attemptId());
        return validator.get().fault(incomingRequest, originalRecord, attemptIdInUse, clock.now());
    }

    /**
     * Fails an invalid request at once, and counts the fault against its connection by the kind of
     * the fault.
     */
    private void failInvalid(
            ConnectionId connection,
            long tag,
            IncomingRequest incomingRequest,
            RequestFault fault) {
        log.accept("request failed reason=" + fault.logReason());
        responses.failArrival(connection, tag);
        switch (fault.kind()) {
            case LATE -> {
                responses.report(incomingRequest, Response.Kind.FAILED);
                connections.countUnservedRequest(connection);
            }
            case CONFLICT, INVALID_DURATION -> connections.countInvalidRequest(connection);
            case PROTOCOL_VIOLATION -> connections.onInvalidRequest(connection);
        }
    }

    private void admit(
            ActiveRequest activeRequest, IdempotencyStore.IdempotencyRecord originalRecord) {
        requests.add(activeRequest);
        connections.addRequest(activeRequest.connection, activeRequest.tag, activeRequest.id);
        activeRequest.originalRecord = originalRecord;
        activeRequest.listener = policyRunner.policy().admit(policyRequest(activeRequest));
    }

    private Request policyRequest(ActiveRequest activeRequest) {
        IncomingRequest incomingRequest = activeRequest.incomingRequest;
        RequestValidator currentValidator = validator.get();
        NanoDuration elapsed = clock.elapsedSince(incomingRequest.reached());
        return new Request(
                activeRequest.id,
                currentValidator.requestClassId(incomingRequest),
                currentValidator.tenantId(incomingRequest),
                incomingRequest.subject(),
                incomingRequest.upstreamId(),
                incomingRequest.clientTimeout().isPositive()
                        ? currentValidator.effectiveTimeout(incomingRequest).minus(elapsed)
                        : NanoDuration.ZERO,
                incomingRequest.work(),
                incomingRequest.memoryKb(),
                incomingRequest.rank(),
                incomingRequest.repeat(),
                elapsed,
                activeRequest.originalRecord == null
                        ? null
                        : activeRequest.originalRecord.requestId);
    }
}
