package lupinwood.processing;

import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.SubjectId;
import lupinwood.admission.UpstreamId;

/**
 * A request as an upstream load balancer sent it.
 *
 * @param className the name of the request class, as received
 * @param tenant the name of the tenant, as received
 * @param subject what the request is about
 * @param upstreamId the upstream load balancer that sent it
 * @param clientTimeout how long the client waits, counted from {@code reached}; zero if not given
 * @param work the cost hint: processing time on a standard core; zero if not given
 * @param repeat whether it is marked as a retry or a hedged copy of another request
 * @param reached when it reached the host, by the clock that stamped it
 * @param memoryKb the memory that it takes while it is open, in kilobytes of 1,000 bytes
 * @param rank its position from 0 to 1 among all requests, by priority weight
 * @param idempotencyKey null if the request has none
 * @param body the bytes as received
 */
@SuppressWarnings("ArrayRecordComponent") // passed on once and never compared
public record IncomingRequest(
        AttemptId attemptId,
        String className,
        String tenant,
        SubjectId subject,
        UpstreamId upstreamId,
        NanoDuration clientTimeout,
        NanoDuration work,
        boolean repeat,
        MonotonicTime reached,
        double memoryKb,
        double rank,
        IdempotencyKey idempotencyKey,
        byte[] body) {

    /**
     * Stands in for a duration that was given but is invalid: not a number, not positive, or out of
     * range.
     */
    public static final NanoDuration INVALID_DURATION = new NanoDuration(-1);

    /** Creates a request with only the values that every request has. */
    public IncomingRequest(
            AttemptId attemptId,
            String className,
            String tenant,
            SubjectId subject,
            UpstreamId upstreamId,
            MonotonicTime reached,
            double memoryKb,
            double rank,
            IdempotencyKey idempotencyKey,
            byte[] body) {
        this(
                attemptId,
                className,
                tenant,
                subject,
                upstreamId,
                NanoDuration.ZERO,
                NanoDuration.ZERO,
                false,
                reached,
                memoryKb,
                rank,
                idempotencyKey,
                body);
    }

    /** Returns a copy with the arrival time expressed by another clock. */
    IncomingRequest reachedAt(MonotonicTime time) {
        return new IncomingRequest(
                attemptId,
                className,
                tenant,
                subject,
                upstreamId,
                clientTimeout,
                work,
                repeat,
                time,
                memoryKb,
                rank,
                idempotencyKey,
                body);
    }
}
