package lupinwood.fleet;

import java.util.List;

/**
 * What a node runs and how that does; a part of its beat. A node of an older version has none.
 *
 * @param program the version of the program
 * @param runs the digest of the fleet's text that it goes by; empty for none
 * @param checked what its own plan says of the text that it was asked about last; null before
 * @param emptied servers that rest, to which it sends nothing new and at which it has nothing any
 *     more
 * @param plan the plan that it heard of last; nothing older is gone by any more
 * @param uses what it does at places below
 * @param tally what it answered in this life
 */
public record Report(
        String program,
        String runs,
        Checked checked,
        List<String> emptied,
        long plan,
        List<Use> uses,
        Tally tally) {
    /**
     * What a node does at one place; counts only grow within one life.
     *
     * @param out tickets there now
     * @param asked tickets so far that might have gone there, wherever they went
     * @param ended of all so far
     * @param failed of these
     * @param seconds that those that went well took, together
     * @param leftOut whether this node leaves it out for what it saw
     */
    public record Use(
            String place,
            int out,
            long asked,
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
    public record Checked(String digest, boolean fits, boolean restarts, String why) {}

    /** The same with the long parts only where they are asked for. */
    public Report with(boolean tallies, boolean places) {
        return new Report(
                program,
                runs,
                checked,
                emptied,
                plan,
                places ? uses : List.of(),
                tallies ? tally : Tally.NOTHING);
    }

    Report cut() {
        Checked shorter =
                checked == null || checked.why() == null || checked.why().length() <= MOST_CHARS
                        ? checked
                        : new Checked(
                                checked.digest(),
                                checked.fits(),
                                checked.restarts(),
                                checked.why().substring(0, MOST_CHARS));
        List<String> few =
                emptied == null
                        ? List.of()
                        : emptied.size() <= Beat.MOST
                                ? emptied
                                : List.copyOf(emptied.subList(0, Beat.MOST));
        return new Report(
                program,
                runs,
                shorter,
                few,
                plan,
                uses == null
                        ? List.of()
                        : uses.size() <= Beat.MOST ? uses : List.copyOf(uses.subList(0, Beat.MOST)),
                tally == null ? Tally.NOTHING : tally.cut());
    }
}
