package lupinwood.council;

import java.util.ArrayList;
import java.util.List;
import lupinwood.fleet.Seen;
import lupinwood.fleet.Standing;

/**
 * Whether a server that rests is empty: each node that is in has said, in this life and lately,
 * that it sends nothing new there and has nothing there. A node that can't be heard is never taken
 * to have stopped: it may be at work beyond a cut.
 */
public final class Emptied {
    private static final int MOST_NAMED = 5;

    private Emptied() {}

    /** Which nodes haven't said so, and why, in one line; empty where all have. */
    public static String left(Council.State state, String server) {
        List<String> left = new ArrayList<>();
        for (Seen seen : state.seen()) {
            if (seen.standing() == Standing.OUT) {
                continue;
            }
            if (seen.standing() == Standing.UNKNOWN) {
                left.add(seen.name() + " isn't heard");
            } else if (seen.report() == null || !seen.report().emptied().contains(server)) {
                left.add(seen.name() + " has not said so");
            }
        }
        int more = left.size() - MOST_NAMED;
        return String.join(", ", left.subList(0, Math.min(left.size(), MOST_NAMED)))
                + (more > 0 ? " and " + more + " more" : "");
    }
}
