package lupinwood.admission;

/**
 * A request as it was read.
 *
 * @param clientTimeout how much longer its client waits; zero where that isn't told
 * @param work the hint of its cost on a standard core; zero where there is none
 * @param memoryKb what it takes while it is open, in kilobytes of 1,000 bytes
 * @param rank its place from 0 to 1 among all requests, by priority weight
 * @param repeat it is marked as a retry or a hedged copy of another
 * @param waited how long ago it reached the machine
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
