package lupinwood.admission;

/**
 * The part of the settings that tells of the machine itself, as it is at the start. It doesn't
 * change while the node runs, whatever changed settings say. Immutable.
 *
 * @param tick the machine's time step
 * @param cores at least 1
 * @param memoryKb of the machine, in kilobytes of 1,000 bytes
 * @param idempotencyEntryKb what one remembered request takes
 * @param canStopRuns whether the machine can stop a run
 * @param hasSharedDependency whether all nodes call one dependency, of which each has a quota
 * @param dependencyQuota calls that may be in flight from this node; 1e9 without a shared
 *     dependency
 */
record MachineSettings(
        NanoDuration tick,
        double cores,
        double memoryKb,
        double idempotencyEntryKb,
        boolean canStopRuns,
        boolean hasSharedDependency,
        double dependencyQuota) {}
