package lupinwood.balancing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.function.IntPredicate;
import lupinwood.admission.Histogram;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;

/**
 * The back-end servers of one client, with the client's own view of their latency and health.
 *
 * <p>An attempt goes to the server with the lowest expected completion time: the mean latency of
 * its latest attempts times the attempts that it would then have in flight. A failed attempt is
 * recorded with at least the latency of a slow attempt, even if it failed faster, so that a server
 * that fails fast attracts no more work. The in-flight limit of each server (AIMD) is multiplied by
 * 0.9 once for each attempt that fails or exceeds {@link #slowAttemptThreshold} (reported while it
 * is in flight), and grows by one for each fast attempt while at least half of the limit is used. A
 * server with {@link OutlierLimits#consecutiveFailures} failures in a row is ejected for a time
 * that doubles with each ejection; each success that isn't slow takes back one doubling. Afterwards
 * the server is on probation: it gets one attempt at a time until one succeeds, and a single
 * failure ejects it.
 */
public final class ServerPool {
    /** How an attempt at a server ended. */
    public enum AttemptCompletion {
        /** With a response that shows that the server works. */
        WELL,
        /** With an error, or without a response. */
        FAILED,
        /**
         * The caller disconnected, or the attempt was abandoned for a reason other than the server:
         * it says nothing about the server.
         */
        UNKNOWN
    }

    /**
     * Number of attempts over which the mean latency is averaged: each new attempt has the weight
     * 1/8.
     */
    private static final double LATENCY_MEAN_ATTEMPTS = 8;

    /** Weight that the baseline histogram keeps, in attempts. */
    private static final double BASELINE_ATTEMPTS = 32;

    private static final double MIN_BASELINE_ATTEMPTS = 6;

    /**
     * Initial in-flight limit of a server, in attempts. With fewer than half as many attempts in
     * flight, a server always counts as lightly loaded.
     */
    private static final double INITIAL_LIMIT_ATTEMPTS = 4;

    /** The slow-attempt threshold, as a multiple of the baseline median. */
    private static final double SLOW_BASELINE_MULTIPLE = 3;

    private static final double LIMIT_DECREASE_FACTOR = 0.9;
    private static final double UNTRIED_LATENCY_RATIO = 0.9;

    /** Time in which the known latency of an idle server halves. */
    private static final double LATENCY_HALF_LIFE_SECONDS = 5;

    private static final NanoDuration HEALTH_CHECK_POLL_INTERVAL = NanoDuration.ofSeconds(0.1);
    private static final NanoDuration INITIAL_LATENCY = NanoDuration.ofSeconds(0.05);

    private static final class ServerState {
        final String name;
        int inFlight;
        double adaptiveLimit = INITIAL_LIMIT_ATTEMPTS;

        /** Mean over the latest attempts; negative before the first. */
        double meanLatencySeconds = -1;

        MonotonicTime lastMeasuredAt;

        int consecutiveFailures;
        int ejectionCount;

        /** Null while not ejected. */
        MonotonicTime readmitAt;

        MonotonicTime ejectedAt;

        /**
         * Another node found it healthy after it was ejected here: it may be probed, with one
         * request at a time, without asking the health checker.
         */
        boolean isReportedHealthy;

        /** Readmitted, and no attempt has succeeded yet. */
        boolean isOnProbation;

        /** Gets no new requests because the cluster cordoned it, whatever its health. */
        boolean isCordoned;

        ServerState(String name) {
            this.name = name;
        }

        /** The previous mean decays with its age before the new latency is averaged in. */
        void recordLatency(double seconds, MonotonicTime now) {
            double previous =
                    meanLatencySeconds < 0 ? seconds : meanLatencySeconds * retainedRatio(now);
            meanLatencySeconds = previous + (seconds - previous) / LATENCY_MEAN_ATTEMPTS;
            lastMeasuredAt = now;
        }

        double retainedRatio(MonotonicTime now) {
            return Math.pow(0.5, now.since(lastMeasuredAt).seconds() / LATENCY_HALF_LIFE_SECONDS);
        }
    }

    private final List<ServerState> states = new ArrayList<>();
    private final OutlierLimits limits;
    private final Random random;

    /**
     * Latency of successful attempts at servers that used less than half of their in-flight limit,
     * or of the initial limit if that is higher; of slow attempts, only one in eight.
     */
    private final Histogram baseline = new Histogram(BASELINE_ATTEMPTS);

    private int nextServer;
    private HealthChecker healthChecker = HealthChecker.INDEPENDENT;

    public ServerPool(List<String> servers, OutlierLimits limits, long seed) {
        servers.forEach(name -> states.add(new ServerState(name)));
        this.limits = limits;
        random = new Random(seed);
    }

    /**
     * Sets who is asked whether an ejected server may be probed, and is told the results of the
     * attempts on probation.
     */
    public void setHealthChecker(HealthChecker newChecker) {
        healthChecker = newChecker;
    }

    /**
     * Applies the result of another node's health check. If the check succeeded and was made after
     * the server was ejected here, this node probes the server soon, after a random delay so that
     * nodes don't probe it all at once. This node's own observations take precedence; a failed
     * check changes nothing.
     */
    public void onHealthCheckResult(
            String server, boolean healthy, MonotonicTime checkedAt, MonotonicTime now) {
        for (ServerState state : states) {
            if (healthy
                    && state.name.equals(server)
                    && state.readmitAt != null
                    && !state.isReportedHealthy
                    && state.ejectedAt.isBefore(checkedAt)) {
                state.isReportedHealthy = true;
                MonotonicTime probeAt =
                        now.plus(limits.baseEjectionTime().times(random.nextDouble()));
                state.readmitAt = probeAt.isBefore(state.readmitAt) ? probeAt : state.readmitAt;
            }
        }
    }

    /**
     * Cordons exactly these servers: they get no new requests. An uncordoned server starts on
     * probation, with one request at a time until one succeeds.
     */
    public void setCordonedServers(Collection<String> cordonedNames) {
        for (ServerState state : states) {
            boolean isCordoned = cordonedNames.contains(state.name);
            if (state.isCordoned && !isCordoned) {
                state.isOnProbation = true;
                state.readmitAt = null;
                state.adaptiveLimit = 1;
            }
            state.isCordoned = isCordoned;
        }
    }

    /** Cordoned servers at which this node has no attempt in flight. */
    public List<String> drainedServers() {
        return states.stream()
                .filter(state -> state.isCordoned && state.inFlight == 0)
                .map(state -> state.name)
                .toList();
    }

    /** The servers that are ejected now. */
    public List<String> ejectedServers() {
        return states.stream()
                .filter(state -> state.readmitAt != null)
                .map(state -> state.name)
                .toList();
    }

    private boolean canReadmit(ServerState state, MonotonicTime now) {
        return !now.isBefore(state.readmitAt)
                && (state.isReportedHealthy || healthChecker.allowsProbe(state.name));
    }

    public int size() {
        return states.size();
    }

    public String serverName(int server) {
        return states.get(server).name;
    }

    public int inFlightCount(int server) {
        return states.get(server).inFlight;
    }

    /** The server's in-flight limit now. */
    public int inFlightLimit(int server) {
        ServerState state = states.get(server);
        return state.isOnProbation || state.readmitAt != null
                ? 1
                : (int) Math.floor(state.adaptiveLimit);
    }

    public boolean isOnProbation(int server) {
        return states.get(server).isOnProbation;
    }

    public boolean isEjected(int server) {
        return states.get(server).readmitAt != null;
    }

    /**
     * Chooses a server for an attempt and counts the attempt as in flight there.
     *
     * @param tried servers that earlier attempts of the request went to; chosen only if no other
     *     server can take it
     * @return the server's index, or a negative number if no server can take another attempt
     */
    public int acquireServer(MonotonicTime now, List<Integer> tried) {
        return acquireServer(now, tried, server -> true);
    }

    /**
     * As {@link #acquireServer(MonotonicTime, List)}, among the eligible servers only.
     *
     * @param eligible accepts the indexes of servers that can run the request
     */
    public int acquireServer(MonotonicTime now, List<Integer> tried, IntPredicate eligible) {
        int best = findBest(now, tried, eligible);
        if (best < 0 && !tried.isEmpty()) {
            best = findBest(now, List.of(), eligible);
        }
        if (best >= 0) {
            ServerState state = states.get(best);
            if (state.readmitAt != null) {
                state.readmitAt = null;
                state.isOnProbation = true;
            }
            state.inFlight++;
            nextServer = best + 1;
        }
        return best;
    }

    private int findBest(MonotonicTime now, List<Integer> tried, IntPredicate eligible) {
        int best = -1;
        double lowestExpectedSeconds = Double.MAX_VALUE;
        for (int i = 0; i < states.size(); i++) {
            int server = (nextServer + i) % states.size();
            ServerState state = states.get(server);
            boolean available = state.readmitAt == null || canReadmit(state, now);
            if (state.isCordoned
                    || !available
                    || state.inFlight >= inFlightLimit(server)
                    || tried.contains(server)
                    || !eligible.test(server)) {
                continue;
            }
            // An ejected server that can be probed goes first: the probe costs one request, and
            // nothing else shows that the server has recovered.
            double expectedSeconds =
                    state.readmitAt != null
                            ? -1
                            : (state.inFlight + 1) * expectedLatencySeconds(state, now);
            if (expectedSeconds < lowestExpectedSeconds) {
                lowestExpectedSeconds = expectedSeconds;
                best = server;
            }
        }
        return best;
    }

    /**
     * A server without any attempt is expected to be slightly faster than the fastest, so that it
     * gets one. The known latency of an idle server decays: otherwise a server that was slow once
     * would never get the attempts that show that it is fast again.
     */
    private double expectedLatencySeconds(ServerState state, MonotonicTime now) {
        double fastestSeconds =
                states.stream()
                        .filter(other -> other.meanLatencySeconds >= 0)
                        .mapToDouble(other -> other.meanLatencySeconds)
                        .min()
                        .orElse(INITIAL_LATENCY.seconds());
        if (state.meanLatencySeconds < 0) {
            return fastestSeconds * UNTRIED_LATENCY_RATIO;
        }
        return Math.max(
                Math.min(state.meanLatencySeconds, fastestSeconds * UNTRIED_LATENCY_RATIO),
                state.meanLatencySeconds * state.retainedRatio(now));
    }

    /**
     * How long an attempt may take before it counts as slow; zero while the baseline is unknown.
     */
    public NanoDuration slowAttemptThreshold() {
        return baseline.weight() < MIN_BASELINE_ATTEMPTS
                ? NanoDuration.ZERO
                : NanoDuration.ofSeconds(SLOW_BASELINE_MULTIPLE * baseline.median());
    }

    /**
     * Reports an attempt in flight that has exceeded {@link #slowAttemptThreshold}; at most once an
     * attempt.
     */
    public void onAttemptSlow(int server) {
        decreaseLimit(states.get(server));
    }

    private static void decreaseLimit(ServerState state) {
        state.adaptiveLimit = Math.max(1, state.adaptiveLimit * LIMIT_DECREASE_FACTOR);
    }

    /**
     * Reports the end of an attempt.
     *
     * @param wasSlow whether {@link #onAttemptSlow} was called for it
     */
    public void onAttemptEnded(
            int server,
            AttemptCompletion completion,
            NanoDuration took,
            boolean wasSlow,
            MonotonicTime now) {
        ServerState state = states.get(server);
        boolean wasHalfUsed = state.inFlight * 2 >= state.adaptiveLimit;
        boolean wasLightlyLoaded =
                state.inFlight * 2 < Math.max(INITIAL_LIMIT_ATTEMPTS, state.adaptiveLimit);
        state.inFlight--;
        if (completion == AttemptCompletion.UNKNOWN) {
            return;
        }
        if (state.isOnProbation) {
            healthChecker.onProbeResult(state.name, completion == AttemptCompletion.WELL);
        }
        if (completion == AttemptCompletion.FAILED) {
            state.recordLatency(
                    Math.max(took.seconds(), SLOW_BASELINE_MULTIPLE * baselineSeconds()), now);
            if (!wasSlow) {
                decreaseLimit(state);
            }
            if (++state.consecutiveFailures >= limits.consecutiveFailures()
                    || state.isOnProbation) {
                eject(state, now);
            }
            return;
        }
        state.recordLatency(took.seconds(), now);
        state.consecutiveFailures = 0;
        if (state.isOnProbation) {
            state.isOnProbation = false;
            state.adaptiveLimit = 1;
        }
        state.ejectionCount = Math.max(0, state.ejectionCount - (wasSlow ? 0 : 1));
        boolean exceedsTarget =
                baseline.weight() >= MIN_BASELINE_ATTEMPTS
                        && took.seconds() > SLOW_BASELINE_MULTIPLE * baseline.median();
        if (wasLightlyLoaded && (!exceedsTarget || random.nextInt(8) == 0)) {
            // Only one in eight slow attempts counts, so that the baseline follows a slowdown
            // gradually.
            baseline.add(took.seconds());
        }
        if (!wasSlow && !exceedsTarget && wasHalfUsed) {
            state.adaptiveLimit = Math.min(limits.maxInFlight(), state.adaptiveLimit + 1);
        }
    }

    private double baselineSeconds() {
        return baseline.weight() > 0 ? baseline.median() : INITIAL_LATENCY.seconds();
    }

    /**
     * Each ejection lasts twice as long as the one before, unless attempts succeeded in between;
     * with jitter so that many clients don't return at once.
     */
    private void eject(ServerState state, MonotonicTime now) {
        double backoffFactor =
                Math.pow(2, Math.min(30, state.ejectionCount++)) * (0.75 + random.nextDouble() / 2);
        NanoDuration duration =
                limits.baseEjectionTime()
                        .times(Math.min(backoffFactor, 1e6))
                        .min(limits.maxEjectionTime());
        state.readmitAt = now.plus(duration);
        state.ejectedAt = now;
        state.isReportedHealthy = false;
        state.isOnProbation = false;
        state.consecutiveFailures = 0;
        state.adaptiveLimit = 1;
    }

    /**
     * The earliest time at which an ejected server that isn't cordoned may be probed; {@link
     * MonotonicTime#NEVER} if there is no such server. If that time has passed, none of the
     * requests that wait may go there or the health checker does not allow it, and this is when to
     * look again: always a later time than now.
     */
    public MonotonicTime nextProbeAt(MonotonicTime now) {
        return states.stream()
                .filter(state -> state.readmitAt != null && !state.isCordoned)
                .map(
                        state ->
                                now.isBefore(state.readmitAt)
                                        ? state.readmitAt
                                        : now.plus(HEALTH_CHECK_POLL_INTERVAL))
                .min(MonotonicTime::compareTo)
                .orElse(MonotonicTime.NEVER);
    }
}
