package lupinwood.consensus;

import lupinwood.admission.NanoDuration;

/**
 * Faults that the experiments' launcher injects into its own process, to show that the consensus
 * group tolerates them, or that the audit detects a missing safeguard. The command 'serve' sets
 * none of them.
 */
public final class FaultInjection {
    private static volatile NanoDuration syncTakes = NanoDuration.ZERO;
    private static volatile boolean withoutEarlyStop;
    private static volatile String program;

    private FaultInjection() {}

    /** Makes each sync of the storage this much slower, as on a disk that others keep busy. */
    public static void syncTakes(NanoDuration duration) {
        syncTakes = duration;
    }

    /**
     * Makes a lease holder count its lease from the arrival of the grant rather than from before
     * its request.
     */
    public static void leaveOutEarlyStop() {
        withoutEarlyStop = true;
    }

    /**
     * Overrides the program version that the node reports, so that one build can stand for two
     * versions.
     */
    public static void program(String name) {
        program = name;
    }

    static String program() {
        String version = ClusterNode.class.getPackage().getImplementationVersion();
        return program != null ? program : version == null ? "unpackaged" : version;
    }

    static boolean isWithoutEarlyStop() {
        return withoutEarlyStop;
    }

    static void onSync() {
        if (syncTakes.isPositive()) {
            try {
                Thread.sleep(syncTakes.nanos() / 1_000_000);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
