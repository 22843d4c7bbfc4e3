package lupinwood.consensus;

import lupinwood.admission.NanoDuration;

/**
 * What the laboratory's launcher spoils in a process of its own, to see that the consensus group
 * bears it, or that the audit finds a safeguard that is missing. Nothing in 'serve' sets any of it.
 */
public final class FaultInjection {
    private static volatile NanoDuration syncTakes = NanoDuration.ZERO;
    private static volatile boolean withoutEarlyStop;
    private static volatile String program;

    private FaultInjection() {}

    /** Each write to the folder takes so much longer, as on a disk that others keep busy. */
    public static void syncTakes(NanoDuration duration) {
        syncTakes = duration;
    }

    /** A holder counts its lease from when the grant came, not from before it asked. */
    public static void leaveOutEarlyStop() {
        withoutEarlyStop = true;
    }

    /** What the program says that it is, so that two builds can be played with one. */
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
