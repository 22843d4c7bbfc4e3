package lupinwood.consensus;

import lupinwood.admission.NanoDuration;

/**
 * Faults and overrides that the experiments' launcher, {@code cli.ExperimentNode}, sets in its own
 * process, to show that the consensus group tolerates the faults, or that {@code
 * experiment.LeaseFaultsExperiment} detects a missing safeguard. The command 'serve' sets none of
 * them. Must be set before the class {@link ClusterNode} is initialized, which reads the program
 * version once.
 */
public final class FaultInjection {
    private static volatile NanoDuration setSyncDelay = NanoDuration.ZERO;
    private static volatile boolean withoutEarlyStop;
    private static volatile String overrideProgramVersion;

    private FaultInjection() {}

    /** Adds this duration to each storage sync, as on a disk under load from other processes. */
    public static void setSyncDelay(NanoDuration duration) {
        setSyncDelay = duration;
    }

    /**
     * Makes a lease holder count its lease from the arrival of the heartbeat reply instead of from
     * the sending of the heartbeat, so that it no longer stops acting before the leader considers
     * the lease expired (the early stop).
     */
    public static void countLeasesFromReply() {
        withoutEarlyStop = true;
    }

    /**
     * Overrides the program version that the node reports, so that one build can stand for two
     * versions.
     */
    public static void overrideProgramVersion(String name) {
        overrideProgramVersion = name;
    }

    static String overrideProgramVersion() {
        String version = ClusterNode.class.getPackage().getImplementationVersion();
        return overrideProgramVersion != null
                ? overrideProgramVersion
                : version == null ? "unpackaged" : version;
    }

    static boolean isWithoutEarlyStop() {
        return withoutEarlyStop;
    }

    static void onSync() {
        if (setSyncDelay.isPositive()) {
            try {
                Thread.sleep(setSyncDelay.nanos() / 1_000_000);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
