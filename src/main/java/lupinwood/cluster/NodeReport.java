package lupinwood.cluster;

import java.util.List;

/**
 * What a node runs and with what results; a part of its heartbeat, absent from a node of an older
 * version.
 *
 * @param program the version of the program
 * @param configDigest the digest of the shared configuration that it uses; empty for none
 * @param configCheck the result of checking the shared configuration that it was last asked to
 *     check; null before the first
 * @param drained cordoned servers at which it has no request left
 * @param plan the number of the newest capacity plan that it received; it follows no older one
 * @param locationUses its requests to each location
 * @param requestCounts its request counts in this incarnation
 */
public record NodeReport(
        String program,
        String configDigest,
        ConfigCheck configCheck,
        List<String> drained,
        long plan,
        List<LocationUse> locationUses,
        RequestCounts requestCounts) {
    /**
     * A node's requests to one location. Counts never decrease within one incarnation.
     *
     * @param inFlight requests to it in flight
     * @param offered requests so far that could have been sent to it, wherever they were sent
     * @param completed requests to it completed so far
     * @param failed requests that failed, of the completed ones
     * @param seconds the total duration of the completed requests that succeeded
     * @param ejected whether this node has ejected the location by its own observations
     */
    public record LocationUse(
            String location,
            int inFlight,
            long offered,
            long completed,
            long failed,
            double seconds,
            boolean ejected) {}

    private static final int MAX_REASON_CHARS = 200;

    /**
     * The result of a node's check of a shared configuration.
     *
     * @param usable whether the node could use it
     * @param needsRestart whether the node would have to restart for that
     * @param why the reason against it; empty where it fits
     */
    public record ConfigCheck(String digest, boolean usable, boolean needsRestart, String why) {}

    /** A copy with the long parts only where they are requested. */
    public NodeReport filtered(boolean withRequestCounts, boolean withUses) {
        return new NodeReport(
                program,
                configDigest,
                configCheck,
                drained,
                plan,
                withUses ? locationUses : List.of(),
                withRequestCounts ? requestCounts : RequestCounts.EMPTY);
    }

    /** A copy without what exceeds the bounds, and with empty lists and counts for missing ones. */
    NodeReport truncated() {
        ConfigCheck truncatedCheck =
                configCheck == null
                                || configCheck.why() == null
                                || configCheck.why().length() <= MAX_REASON_CHARS
                        ? configCheck
                        : new ConfigCheck(
                                configCheck.digest(),
                                configCheck.usable(),
                                configCheck.needsRestart(),
                                configCheck.why().substring(0, MAX_REASON_CHARS));
        List<String> truncatedDrained =
                drained == null
                        ? List.of()
                        : drained.size() <= Heartbeat.MAX_LIST_LENGTH
                                ? drained
                                : List.copyOf(drained.subList(0, Heartbeat.MAX_LIST_LENGTH));
        return new NodeReport(
                program,
                configDigest,
                truncatedCheck,
                truncatedDrained,
                plan,
                locationUses == null
                        ? List.of()
                        : locationUses.size() <= Heartbeat.MAX_LIST_LENGTH
                                ? locationUses
                                : List.copyOf(locationUses.subList(0, Heartbeat.MAX_LIST_LENGTH)),
                requestCounts == null ? RequestCounts.EMPTY : requestCounts.truncated());
    }
}
