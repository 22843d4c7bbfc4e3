package lupinwood.processing;

/**
 * The capacity of a {@link RequestProcessor}'s tables, independent of the memory that the policy
 * reserves.
 *
 * @param connections the maximum number of connections
 * @param requests the maximum number of requests that the policy has not released
 * @param idempotencyRecords the maximum number of idempotency records
 * @param idempotencyBytes the total size of bodies and results in bytes; above it finished ones are
 *     dropped
 */
public record TableLimits(
        int connections, int requests, int idempotencyRecords, long idempotencyBytes) {}
