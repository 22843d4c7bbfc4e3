package lupinwood.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Holds what was sent, run and answered against the rules: each request has one final answer before
 * its timeout, no mark and no unsafe request runs twice, what is served has the result of its own
 * body. Thread-safe.
 */
final class Audit {
    /** A request as it was sent. */
    record Sent(String className, String body, String mark, long atMillis, long timeoutMillis) {}

    private final Map<String, Sent> open = new HashMap<>();
    private final Map<String, Integer> answered = new HashMap<>();
    private final Map<String, Integer> runsOf = new HashMap<>();
    private final Map<String, Integer> counts = new TreeMap<>();
    private final List<String> broken = new ArrayList<>();
    private final Set<String> excused = new HashSet<>();
    private long slackMillis = 100;

    synchronized void sent(String id, Sent request) {
        open.put(id, request);
        count("sent");
    }

    /**
     * @param word as the node said it
     */
    synchronized void answer(String id, String word, String result, long nowMillis) {
        if (excused.remove(id)) {
            return;
        }
        Sent request = open.remove(id);
        if (answered.merge(id, 1, Integer::sum) > 1) {
            breaks("two answers to " + id);
        } else if (request == null) {
            breaks("an answer to " + id + ", which was never sent");
        } else {
            String kind =
                    word.equals("ACK") ? "satisfied" : word.equals("NAK") ? "bounced" : "abandoned";
            count(kind);
            if (nowMillis > request.atMillis() + request.timeoutMillis() + slackMillis) {
                breaks(
                        id
                                + " was answered "
                                + (nowMillis - request.atMillis())
                                + " ms after it was sent");
            }
            if (kind.equals("satisfied") && !result.equals("done: " + request.body())) {
                breaks(id + " was satisfied with another's result");
            }
            if (kind.equals("bounced") && runsOf.containsKey("try " + id)) {
                breaks(id + " was bounced and ran");
            }
        }
    }

    /** A run started that wasn't under way. */
    synchronized void ran(String id, String className, String body) {
        count("runs");
        int tries = runsOf.merge("try " + id, 1, Integer::sum);
        // Fronts may name tries themselves, so an unlock is known by its body, which no two marks
        // share.
        if (className.startsWith("unlock") && runsOf.merge("unlock " + body, 1, Integer::sum) > 1) {
            breaks("the unlock '" + body + "' ran twice");
        } else if (tries > 1) {
            breaks(id + " of " + className + " ran twice");
        }
    }

    private void breaks(String what) {
        broken.add(what);
    }

    synchronized void count(String what) {
        counts.merge(what, 1, Integer::sum);
    }

    /**
     * What is open now ended with its process, or was held up with it: what becomes of it is
     * nobody's fault.
     */
    synchronized void excuse() {
        open.keySet()
                .forEach(
                        id -> {
                            excused.add(id);
                            count("excused");
                        });
        open.clear();
    }

    synchronized int openRequests() {
        return open.size();
    }

    synchronized int of(String what) {
        return counts.getOrDefault(what, 0);
    }

    /** Ends it: what is open now was lost. */
    synchronized List<String> close() {
        open.keySet().forEach(id -> breaks("no answer to " + id));
        open.clear();
        return List.copyOf(broken);
    }

    /** What was counted, in one line. */
    synchronized String line() {
        StringBuilder line = new StringBuilder();
        counts.forEach((what, number) -> line.append(what).append(' ').append(number).append(", "));
        return line.append("broken ").append(broken.size()).toString();
    }
}
