package lupinwood.processing;

import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.SubjectId;
import lupinwood.admission.UpstreamId;

/**
 * A request as an upstream load balancer sent it.
 *
 * @param className the request class's name, as it came
 * @param tenant the tenant's name, as it came
 * @param clientTimeout how long from then its caller waits; zero where that isn't told
 * @param work the hint of its cost on a standard core; zero where there is none
 * @param repeat it was marked as a further try or a second copy of another
 * @param reached when it came to the machine, by the clock that stamped it
 * @param idempotencyKey null where the request carries none
 * @param body the bytes as they came
 */
@SuppressWarnings("ArrayRecordComponent") // handed over once and never compared
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
     * What stands for a time that was told and is none: no figure, none above zero, or out of all
     * bounds.
     */
    public static final NanoDuration NO_TIME = new NanoDuration(-1);

    /** One that tells only what every request does. */
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

    /** The same, with that moment told by another clock. */
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
