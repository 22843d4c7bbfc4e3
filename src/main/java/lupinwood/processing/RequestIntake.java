package lupinwood.processing;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.Request;

/**
 * The checks between a request's arrival and its admission: is there room for it, can it be
 * remembered, is it sound. What passes enters the table and is handed to the admission policy.
 *
 * <p>Owned by the event loop thread.
 */
final class RequestIntake {
    /** By then the executor may be up. */
    private static final NanoDuration RETRY_AFTER_START = NanoDuration.ofSeconds(1);

    /** By then idempotency records may have ended. */
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
     * The intake of one request processor.
     *
     * @param validator the one in force
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
     * Guards against a request read with what ended its connection: it is owed an answer, and must
     * not run.
     */
    void rejectOnClosing(ConnectionId connection, long tag) {
        if (connections.open(connection, tag) == null) {
            responses.rejectArrival(connection, tag, NanoDuration.ZERO);
        }
    }

    /**
     * Answers a request at once, or admits it.
     *
     * @param stamped the request with its stamp as it came, or null where it can't be read
     */
    void accept(ConnectionId connection, long tag, IncomingRequest stamped) {
        boolean connectionFull = connections.isFull(connection);
        if (!policyRunner.isStarted() || connectionFull || requests.isFull()) {
            rejectForWantOfRoom(connection, tag, connectionFull);
            return;
        }
        IdempotencyStore.IdempotencyRecord original = idempotency.findOriginal(stamped);
        IncomingRequest incomingRequest =
                stamped == null ? null : stamped.reachedAt(clock.fromStamp(stamped.reached()));
        if (original == null && idempotency.hasNoRoomFor(incomingRequest)) {
            rejectUnrememberable(connection, tag);
            return;
        }
        Optional<RequestFault> fault = fault(connection, incomingRequest, original);
        if (fault.isPresent()) {
            refuse(connection, tag, incomingRequest, fault.get());
            return;
        }
        admit(new ActiveRequest(connection, tag, incomingRequest), original);
    }

    private void rejectForWantOfRoom(ConnectionId connection, long tag, boolean connectionFull) {
        boolean started = policyRunner.isStarted();
        log.accept(
                "bounced a ticket that came "
                        + (started ? "beyond what may be open" : "before the executor was up"));
        responses.rejectArrival(connection, tag, started ? NanoDuration.ZERO : RETRY_AFTER_START);
        if (connectionFull) {
            connections.fault(connection);
        }
    }

    /**
     * Guards against a flood of keys that are seen once: what could not be remembered must not run.
     */
    private void rejectUnrememberable(ConnectionId connection, long tag) {
        log.accept("bounced a ticket whose mark there is no room to remember");
        responses.rejectArrival(connection, tag, RETRY_AFTER_STORE_FULL);
        connections.unwanted(connection);
    }

    private Optional<RequestFault> fault(
            ConnectionId connection,
            IncomingRequest incomingRequest,
            IdempotencyStore.IdempotencyRecord original) {
        if (connections.isStubborn(connection)) {
            return Optional.of(RequestFault.CONNECTION_CLOSE_REQUESTED);
        }
        boolean attemptIdInUse =
                incomingRequest != null && requests.contains(incomingRequest.attemptId());
        return validator.get().fault(incomingRequest, original, attemptIdInUse, clock.now());
    }

    /** An unsound request fails at once, and costs its connection what the fault tells of it. */
    private void refuse(
            ConnectionId connection,
            long tag,
            IncomingRequest incomingRequest,
            RequestFault fault) {
        log.accept("abandoned a ticket " + fault.logText());
        responses.failArrival(connection, tag);
        switch (fault.kind()) {
            case LATE -> {
                responses.report(incomingRequest, Response.Kind.FAILED);
                connections.unwanted(connection);
            }
            case INVALID_DURATION -> connections.strike(connection);
            case CALLER -> connections.fault(connection);
        }
    }

    private void admit(ActiveRequest activeRequest, IdempotencyStore.IdempotencyRecord original) {
        requests.add(activeRequest);
        connections.begin(activeRequest.connection, activeRequest.tag, activeRequest.id);
        activeRequest.original = original;
        activeRequest.listener = policyRunner.policy().admit(policyRequest(activeRequest));
    }

    private Request policyRequest(ActiveRequest activeRequest) {
        IncomingRequest incomingRequest = activeRequest.incomingRequest;
        RequestValidator settings = validator.get();
        NanoDuration waited = clock.elapsedSince(incomingRequest.reached());
        return new Request(
                activeRequest.id,
                settings.requestClassId(incomingRequest),
                settings.tenantId(incomingRequest),
                incomingRequest.subject(),
                incomingRequest.upstreamId(),
                incomingRequest.clientTimeout().isPositive()
                        ? settings.effectiveTimeout(incomingRequest).minus(waited)
                        : NanoDuration.ZERO,
                incomingRequest.work(),
                incomingRequest.memoryKb(),
                incomingRequest.rank(),
                incomingRequest.repeat(),
                waited,
                activeRequest.original == null ? null : activeRequest.original.requestId);
    }
}
