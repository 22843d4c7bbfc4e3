package lupinwood.experiment;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Where the status reporter puts its picture: it refuses a token lower than it has seen, and writes
 * down who acted when under which. It knows nothing of the nodes but the link on which each comes.
 */
final class StatusSink {
    /** What an act may take from being asked for to arriving, on a machine that is busy. */
    private static final long TRANSIT_MILLIS = 400;

    /** Whether a node was stopped, or its link slow, at some time from then on. */
    interface Excuse {
        boolean wasStalled(String node, long sinceMillis);
    }

    private final boolean refusesLower;
    private final Excuse excuse;
    private final Map<Long, Long> firstObserved = new HashMap<>();
    private final List<Long> gaps = new ArrayList<>();
    private long most;
    private String holder = "";
    private long latest;
    private int acts;
    private int refused;
    private int handOvers;
    private final List<String> broken = new ArrayList<>();

    /**
     * @param refusesLower a safeguard that may be left out
     */
    StatusSink(boolean refusesLower, Excuse excuse) {
        this.refusesLower = refusesLower;
        this.excuse = excuse;
    }

    LoopbackServer.Conversation from(String node) {
        return (in, out) -> talk(node, in, out);
    }

    private void talk(String node, InputStream in, OutputStream out) throws IOException {
        for (String line = WireFormat.line(in); line != null; line = WireFormat.line(in)) {
            int length = 0;
            long token = 0;
            for (String header = WireFormat.line(in);
                    header != null && !header.isEmpty();
                    header = WireFormat.line(in)) {
                if (header.regionMatches(true, 0, "Content-Length: ", 0, 16)) {
                    length = Integer.parseInt(header.substring(16));
                } else if (header.regionMatches(true, 0, "Duty-Token: ", 0, 12)) {
                    token = Long.parseLong(header.substring(12));
                }
            }
            if (in.readNBytes(length).length < length) {
                return;
            }
            WireFormat.say(
                    out,
                    act(node, token, System.currentTimeMillis())
                            ? "HTTP/1.1 204 No Content\r\n"
                            : "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n",
                    null);
        }
    }

    synchronized boolean act(String node, long token, long now) {
        firstObserved.putIfAbsent(token, now);
        if (token < most) {
            // Somebody may have been stopped between asking itself and acting; else it acted beside
            // its successor.
            long since = firstObserved.get(most);
            if (now - since > TRANSIT_MILLIS
                    && !excuse.wasStalled(node, since - 2 * TRANSIT_MILLIS)) {
                broken.add(
                        node
                                + " acted under "
                                + token
                                + " "
                                + (now - since)
                                + " ms after "
                                + holder
                                + " did under "
                                + most);
            }
            if (refusesLower) {
                refused++;
                return false;
            }
            broken.add(
                    "an act of " + node + " under " + token + " was taken after one under " + most);
        }
        if (token > most) {
            if (most > 0) {
                gaps.add(now - latest);
                handOvers++;
            }
            most = token;
            holder = node;
        } else if (!holder.equals(node) && token == most) {
            broken.add(node + " and " + holder + " acted under one token, " + token);
        }
        latest = now;
        acts++;
        return true;
    }

    synchronized int acts() {
        return acts;
    }

    synchronized String holder() {
        return holder;
    }

    synchronized int handOvers() {
        return handOvers;
    }

    synchronized long latest() {
        return latest;
    }

    synchronized List<String> broken() {
        return new ArrayList<>(broken);
    }

    /**
     * @param leaseMillis what gaps are told in
     */
    synchronized String line(long leaseMillis) {
        List<Long> sorted = gaps.stream().sorted().toList();
        return String.format(
                Locale.ROOT,
                "acts %d, refused %d, hand-overs %d, gaps median %.2f longest %.2f leases",
                acts,
                refused,
                handOvers,
                sorted.isEmpty() ? 0 : sorted.get(sorted.size() / 2) / (double) leaseMillis,
                sorted.isEmpty() ? 0 : sorted.get(sorted.size() - 1) / (double) leaseMillis);
    }
}
