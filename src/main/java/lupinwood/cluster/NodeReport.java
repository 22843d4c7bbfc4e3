package lupinwood.cluster;

import java.util.List;

/**
 * What a node runs and how that does; a part of its heartbeat. A node of an older version has none.
 *
 * @param program the version of the program
 * @param runs the digest of the fleet's text that it goes by; empty for none
 * @param checked what its own plan says of the text that it was asked about last; null before
 * @param drained servers that rest, to which it sends nothing new and at which it has nothing any
 *     more
 * @param plan the plan that it heard of last; nothing older is gone by any more
 * @param uses what it does at places below
 * @param requestCounts what it answered in this life
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
     * What a node does at one place; counts only grow within one life.
     *
     * @param out requests there now
     * @param offered requests so far that might have gone there, wherever they went
     * @param ended of all so far
     * @param failed of these
     * @param seconds that those that went well took, together
     * @param leftOut whether this node leaves it out for what it saw
     */
    public record LocationUse(
            String place,
            int out,
            long offered,
            long ended,
            long failed,
            double seconds,
            boolean leftOut) {}

    private static final int MOST_CHARS = 200;

    /**
     * A node's word on a text.
     *
     * @param fits whether it could go by it
     * @param restarts whether it would have to be started anew for that
     * @param why not; empty where it fits
     */
    public record ConfigCheck(String digest, boolean fits, boolean restarts, String why) {}

    /** The same with the long parts only where they are asked for. */
    public NodeReport with(boolean tallies, boolean places) {
        return new NodeReport(
                program,
                runs,
                checked,
                drained,
                plan,
                places ? uses : List.of(),
                tallies ? requestCounts : RequestCounts.NOTHING);
    }

    NodeReport cut() {
        ConfigCheck shorter =
                checked == null || checked.why() == null || checked.why().length() <= MOST_CHARS
                        ? checked
                        : new ConfigCheck(
                                checked.digest(),
                                checked.fits(),
                                checked.restarts(),
                                checked.why().substring(0, MOST_CHARS));
        List<String> few =
                drained == null
                        ? List.of()
                        : drained.size() <= Heartbeat.MOST
                                ? drained
                                : List.copyOf(drained.subList(0, Heartbeat.MOST));
        return new NodeReport(
                program,
                runs,
                shorter,
                few,
                plan,
                uses == null
                        ? List.of()
                        : uses.size() <= Heartbeat.MOST
                                ? uses
                                : List.copyOf(uses.subList(0, Heartbeat.MOST)),
                requestCounts == null ? RequestCounts.NOTHING : requestCounts.cut());
    }
}
