package lupinwood.balancing;

/**
 * Decides whether this node may probe an ejected server with a request: either each node decides by
 * itself, or one node checks for all.
 */
public interface HealthChecker {
    /** Every node probes by itself and shares no results. */
    HealthChecker INDEPENDENT =
            new HealthChecker() {
                @Override
                public boolean allowsProbe(String server) {
                    return true;
                }

                @Override
                public void onProbeResult(String server, boolean healthy) {
                    // No other node is informed.
                }
            };

    /** Whether this node may probe the server now. */
    boolean allowsProbe(String server);

    /**
     * Reports the result of an attempt on probation: a probe, or an attempt after an uncordon.
     * {@link #allowsProbe} isn't asked before an attempt after an uncordon, nor before a probe of a
     * server that another node found healthy.
     */
    void onProbeResult(String server, boolean healthy);
}
