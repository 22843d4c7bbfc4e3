package lupinwood.admission;

import java.util.List;

/**
 * All settings that the decisions use, typed and with defaults applied; created by {@link
 * PolicySettingsMapper}. Immutable.
 *
 * @param machine the settings that describe the machine, as they were at the start of the node
 * @param runMemoryFactor the memory of a running request, as a multiple of that of a queued one
 * @param startsCold whether the node starts slow and warms up
 * @param coldSpeed the share of its full speed with which a cold node starts
 * @param warmUpNanos the time from the cold to the full speed, in nanoseconds
 * @param overloadMultiple the running requests per core beyond which a warm node fails
 * @param overloadWindow the time for which the node survives more than that
 * @param drainGrace the grace period after the notice to drain; only requests that arrive within
 *     the first half of it may still run
 * @param dependencyQuotaWindow the time over which a dependency quota of less than one call in
 *     flight is averaged
 * @param callLinger the time for which the dependency may still work on a call that was given up
 * @param worstClassWeight the weight, from 0 to 1, that the operators' goal gives to the request
 *     class served worst
 * @param overQuotaValue the value of a request over its tenant's quota, as a share of its utility
 * @param classes the request classes, in the order of the settings
 * @param meanObjectiveSeconds the mean latency objective of all classes; 1 if there are none
 * @param tenantQuotasPerSecond requests per second for the whole group, by tenant; 0 for no quota
 * @param nodesInGroup the number of nodes that share the tenant quotas
 * @param maxIdleTimeout the longest idle timeout of a connection
 * @param maxRetryAfter the longest Retry-After
 * @param loadSignal the kind of load report
 * @param upstreams the number of load balancers that send requests here
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
        NanoDuration dependencyQuotaWindow,
        NanoDuration callLinger,
        double worstClassWeight,
        double overQuotaValue,
        List<RequestClass> classes,
        double meanObjectiveSeconds,
        List<Double> tenantQuotasPerSecond,
        double nodesInGroup,
        NanoDuration maxIdleTimeout,
        NanoDuration maxRetryAfter,
        LoadSignal loadSignal,
        double upstreams) {}
