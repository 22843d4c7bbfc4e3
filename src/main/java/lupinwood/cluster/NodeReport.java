package lupinwood.cluster;

import java.util.List;

/**
 * What a node runs and with what results; a part of its heartbeat, absent from a node of an older
 * version.
 *
 * @param program the version of the program
 * @param runs the digest of the shared configuration that it uses; empty for none
 * @param checked the result of checking the shared configuration that it was last asked to check;
 *     null before the first
 * @param drained cordoned servers at which it has no request left
 * @param plan the number of the newest capacity plan that it received; it follows no older one
 * @param uses its requests to each location
 * @param requestCounts its request counts in this incarnation
 */
public record NodeReport(
        String program,
        String runs,
        ConfigCheck checked,
        List<String> drained,
        long plan,
        List<LocationUse> uses,
        RequestCounts requestCounts) {
    /**
     * A node's requests to one location. Counts never decrease within one incarnation.
     *
     * @param inFlight requests to it in flight
     * @param offered requests so far that could have been sent to it, wherever they were sent
     * @param ended requests to it completed so far
     * @param failed requests that failed, of the completed ones
     * @param seconds the total duration of the completed requests that succeeded
     * @param leftOut whether this node has ejected the location by its own observations
     */
    public record LocationUse(
            String place,
            int inFlight,
            long offered,
            long ended,
            long failed,
            double seconds,
            boolean leftOut) {}

    private static final int MAX_REASON_CHARS = 200;

    /**
     * The result of a node's check of a shared configuration.
     *
     * @param fits whether the node could use it
     * @param restarts whether the node would have to restart for that
     * @param why the reason against it; empty where it fits
     */
    public record ConfigCheck(String digest, boolean fits, boolean restarts, String why) {}

    /** A copy with the long parts only where they are requested. */
    public NodeReport with(boolean withRequestCounts, boolean withUses) {
        return new NodeReport(
                program,
                runs,
                checked,
                drained,
                plan,
                withUses ? uses : List.of(),
                withRequestCounts ? requestCounts : RequestCounts.NOTHING);
    }

    /** A copy without what exceeds the bounds, and with empty lists and counts for missing ones. */
    NodeReport truncated() {
        ConfigCheck truncatedCheck =
                checked == null
                                || checked.why() == null
                                || checked.why().length() <= MAX_REASON_CHARS
                        ? checked
                        : new ConfigCheck(
                                checked.digest(),
                                checked.fits(),
                                checked.restarts(),
                                checked.why().substring(0, MAX_REASON_CHARS));
        List<String> truncatedDrained =
                drained == null
                        ? List.of()
                        : drained.size() <= Heartbeat.MAX_LIST_LENGTH
                                ? drained
                                : List.copyOf(drained.subList(0, Heartbeat.MAX_LIST_LENGTH));
        return new NodeReport(
                program,
                runs,
                truncatedCheck,
                truncatedDrained,
                plan,
                uses == null
                        ? List.of()
                        : uses.size() <= Heartbeat.MAX_LIST_LENGTH
                                ? uses
                                : List.copyOf(uses.subList(0, Heartbeat.MAX_LIST_LENGTH)),
                requestCounts == null ? RequestCounts.NOTHING : requestCounts.truncated());
    }
}
