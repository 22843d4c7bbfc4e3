package lupinwood.admission;

import java.util.List;

/**
 * Everything that the settings tell the decisions, typed and with its defaults; made by {@link
 * PolicySettingsMapper}. Immutable.
 *
 * @param machine what it was told of the machine at the start
 * @param runMemoryFactor what a running request takes, as a multiple of a queued one
 * @param startsCold whether the machine starts slow and warms up
 * @param coldSpeed the share of its speed that a cold machine starts with
 * @param warmUpNanos how long it takes to the full speed, in nanoseconds
 * @param overloadMultiple running requests a core past which a warm machine falls over
 * @param overloadWindow how long it survives that
 * @param drainGrace how long after the notice to drain requests may still arrive and run
 * @param quotaWindow the time over which a quota of less than one is averaged
 * @param callLinger how long the dependency may still work on a call that was given up
 * @param worstClassShare the part of the goal that the class served worst makes, from 0 to 1
 * @param overQuotaValue what a request past its tenant's quota is worth, as a share
 * @param meanObjectiveSeconds the mean latency objective of all classes; 1 where there is none
 * @param tenantQuotasPerSecond of the whole group, by tenant; 0 for none
 * @param nodesInGroup nodes that share the quotas
 * @param maxIdle the longest that a connection may be idle
 * @param maxRetryAfter the longest Retry-After
 * @param upstreams load balancers that send here
 */
record PolicySettings(
        MachineSettings machine,
        double runMemoryFactor,
        boolean startsCold,
        double coldSpeed,
        double warmUpNanos,
        double overloadMultiple,
        NanoDuration overloadWindow,
        NanoDuration drainGrace,
        NanoDuration quotaWindow,
        NanoDuration callLinger,
        double worstClassShare,
        double overQuotaValue,
        List<RequestClass> classes,
        double meanObjectiveSeconds,
        List<Double> tenantQuotasPerSecond,
        double nodesInGroup,
        NanoDuration maxIdle,
        NanoDuration maxRetryAfter,
        LoadSignal loadSignal,
        double upstreams) {}
