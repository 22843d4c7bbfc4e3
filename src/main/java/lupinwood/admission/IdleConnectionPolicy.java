package lupinwood.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;

/**
 * How long a connection of an upstream load balancer may be idle. Open connections take from the
 * cores, and a full table lets nobody in.
 *
 * <pre>
 * returning = 1 - distinct / (latest + 1)       over the upstreams of the latest 32 requests
 * fullness  = connections * mean cost / (8 * returning * cores * mean objective)
 * fullness &gt; 1: idle = max(idle * 0.9, 0.01 * longest);  fullness &lt; 0.5: idle = min(idle * 1.1, longest)
 * </pre>
 *
 * <p>A node behind with its reading lets connections stand: a full table would refuse for nothing.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class IdleConnectionPolicy {
    /** So many times the requests that the cores can finish in the objective may be connected. */
    private static final double CONNECTIONS_PER_REQUEST = 8;

    private static final double SHRINK = 0.9;
    private static final double GROW = 1.1;

    /** The idle time never falls under this part of the longest. */
    private static final double MIN_SHARE_OF_LONGEST = 0.01;

    private final ServerActions server;
    private final double cores;
    private final Deque<UpstreamId> latestUpstreams = new ArrayDeque<>();
    private PolicySettings settings;
    private double connections;
    private NanoDuration idle;

    IdleConnectionPolicy(ServerActions server, double cores, PolicySettings settings) {
        this.server = server;
        this.cores = cores;
        this.settings = settings;
        idle = settings.maxIdle();
    }

    void update(PolicySettings changed) {
        settings = changed;
    }

    /** A request of this upstream was read. */
    void onRequest(UpstreamId upstream) {
        latestUpstreams.add(upstream);
        if (latestUpstreams.size() > Histogram.RECENT_SAMPLES) {
            latestUpstreams.remove();
        }
    }

    /** So many connections stand open. */
    void onConnectionsRead(double open) {
        connections = open;
    }

    /** Moves the idle time, and has it carried out if it changed. */
    void adjust(double meanCost, boolean behindWithReading) {
        NanoDuration longest = settings.maxIdle();
        double fullness =
                connections
                        * meanCost
                        / (CONNECTIONS_PER_REQUEST
                                * returningShare()
                                * cores
                                * settings.meanObjectiveSeconds());
        NanoDuration wanted = idle;
        if (behindWithReading || fullness < 0.5) {
            wanted = idle.times(GROW).min(longest);
        } else if (fullness > 1) {
            wanted = idle.times(SHRINK).max(longest.times(MIN_SHARE_OF_LONGEST));
        }
        if (!wanted.equals(idle)) {
            idle = wanted;
            server.closeIdleConnections(idle);
        }
    }

    private double returningShare() {
        int latest = latestUpstreams.size();
        return latest == 0 ? 1 : 1 - new HashSet<>(latestUpstreams).size() / (latest + 1.0);
    }
}
