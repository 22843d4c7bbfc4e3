package lupinwood.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;

/**
 * The idle timeout of the connections of upstream load balancers. Open connections cost core time,
 * and a full connection table refuses new connections.
 *
 * <pre>
 * reuse     = 1 - distinct / (recent + 1)       over the upstreams of the latest 32 requests
 * fullness  = connections * mean cost / (8 * reuse * cores * mean objective)
 * fullness &gt; 1: idle = max(idle * 0.9, 0.01 * maxIdle);  fullness &lt; 0.5: idle = min(idle * 1.1, maxIdle)
 * </pre>
 *
 * <p>A node that is behind with reading requests keeps idle connections longer, whatever the
 * fullness, since unread requests make connections look idle; if these were closed, upstreams would
 * only reopen them.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class IdleConnectionPolicy {
    /**
     * Connections allowed for each request that the cores can finish within the mean latency
     * objective.
     */
    private static final double MAX_CONNECTIONS_PER_REQUEST = 8;

    /** The factor applied to the idle timeout at a refresh while there are too many connections. */
    private static final double IDLE_TIMEOUT_SHRINK_RATIO_PER_REFRESH = 0.9;

    /** The factor applied to the idle timeout at a refresh while there are few connections. */
    private static final double IDLE_TIMEOUT_GROWTH_RATIO_PER_REFRESH = 1.1;

    /** The idle timeout never falls below this part of the longest. */
    private static final double MIN_IDLE_TIMEOUT_RATIO = 0.01;

    private final ServerActions server;
    private final double cores;
    private final Deque<UpstreamId> recentUpstreams = new ArrayDeque<>();
    private PolicySettings settings;
    private double connections;
    private NanoDuration idleTimeout;

    IdleConnectionPolicy(ServerActions server, double cores, PolicySettings settings) {
        this.server = server;
        this.cores = cores;
        this.settings = settings;
        idleTimeout = settings.maxIdleTimeout();
    }

    void update(PolicySettings newSettings) {
        settings = newSettings;
    }

    /** Records the upstream of a request that was read. */
    void onRequest(UpstreamId upstream) {
        recentUpstreams.add(upstream);
        if (recentUpstreams.size() > Histogram.RECENT_SAMPLES) {
            recentUpstreams.remove();
        }
    }

    /** Sets the number of open connections. */
    void onConnectionsRead(double count) {
        connections = count;
    }

    /** Adjusts the idle timeout, and applies it if it changed. */
    void adjust(double meanCoreSeconds, boolean isBehindWithReading) {
        NanoDuration maxIdle = settings.maxIdleTimeout();
        double fullness =
                connections
                        * meanCoreSeconds
                        / (MAX_CONNECTIONS_PER_REQUEST
                                * upstreamReuseRatio()
                                * cores
                                * settings.meanObjectiveSeconds());
        NanoDuration newTimeout = idleTimeout;
        if (isBehindWithReading || fullness < 0.5) {
            newTimeout = idleTimeout.times(IDLE_TIMEOUT_GROWTH_RATIO_PER_REFRESH).min(maxIdle);
        } else if (fullness > 1) {
            newTimeout =
                    idleTimeout
                            .times(IDLE_TIMEOUT_SHRINK_RATIO_PER_REFRESH)
                            .max(maxIdle.times(MIN_IDLE_TIMEOUT_RATIO));
        }
        if (!newTimeout.equals(idleTimeout)) {
            idleTimeout = newTimeout;
            server.closeIdleConnections(idleTimeout);
        }
    }

    private double upstreamReuseRatio() {
        int recent = recentUpstreams.size();
        return recent == 0 ? 1 : 1 - new HashSet<>(recentUpstreams).size() / (recent + 1.0);
    }
}
