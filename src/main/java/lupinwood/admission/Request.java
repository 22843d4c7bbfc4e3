package lupinwood.admission;

/**
 * A request as it was read.
 *
 * @param subject what the request is about
 * @param clientTimeout how much longer the client waits; zero where that is unknown
 * @param work the expected core time on a standard core, a hint; zero where there is none
 * @param memoryKb the memory that it takes while it is open, in kilobytes of 1,000 bytes
 * @param rank its position from 0 to 1 among all requests, by priority weight
 * @param repeat whether it is marked as a retry or a hedged copy of another request
 * @param waited the time since it reached the node
 * @param original the remembered request that this one is a retry of, or null
 */
public record Request(
        RequestId id,
        RequestClassId classId,
        TenantId tenantId,
        SubjectId subject,
        UpstreamId upstreamId,
        NanoDuration clientTimeout,
        NanoDuration work,
        double memoryKb,
        double rank,
        boolean repeat,
        NanoDuration waited,
        RequestId original) {}
