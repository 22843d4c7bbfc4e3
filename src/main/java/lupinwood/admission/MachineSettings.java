package lupinwood.admission;

/**
 * The settings that describe the machine of the node. They are read at the start of the node; later
 * changes of the settings leave them as they are. Immutable.
 *
 * @param tick the time step of the node
 * @param cores at least 1
 * @param memoryKb the memory of the machine, in kilobytes of 1,000 bytes
 * @param idempotencyRecordKb the memory that one idempotency record takes, in kilobytes
 * @param canStopRuns whether the executor can stop a run
 * @param hasSharedDependency whether all nodes call one dependency, with a quota for each node
 * @param dependencyQuota calls that may be in flight from this node; 1e9 without a shared
 *     dependency
 */
record MachineSettings(
        NanoDuration tick,
        double cores,
        double memoryKb,
        double idempotencyRecordKb,
        boolean canStopRuns,
        boolean hasSharedDependency,
        double dependencyQuota) {}
