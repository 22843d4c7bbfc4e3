package lupinwood.cluster;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The agreed part of releases: which text and which program are good, and which release is under
 * way. Two versions are in use at the most, since the next one begins only when this one has ended.
 */
public final class Rollouts {
    /** Characters of a text: it travels in one message and stands in each voter's folder. */
    static final int MOST_TEXT = 32 * 1024;

    /**
     * A configuration as it is kept; both empty for none.
     *
     * @param text of the digest that it goes with
     */
    public record ConfigText(String digest, String text) {}

    /** As it is kept and sent. */
    public record Snapshot(
            ConfigText good,
            String program,
            ConfigText next,
            Rollout open,
            long last,
            Map<String, RequestCounts> past) {}

    private static final ConfigText NONE = new ConfigText("", "");
    private ConfigText good = NONE;

    /** The program's last good version; empty while nobody released one. */
    private String program = "";

    private ConfigText next = NONE;

    /** Null while none is open. */
    private Rollout open;

    private long last;

    /** How the nodes did before the release; whoever leads it later has this from here. */
    private Map<String, RequestCounts> past = Map.of();

    void open(Snapshot snapshot) {
        if (snapshot != null) { // null in the page of an older version
            good = snapshot.good();
            program = snapshot.program();
            next = snapshot.next();
            open = snapshot.open();
            last = snapshot.last();
            past = snapshot.past();
        }
    }

    Snapshot snapshot() {
        return new Snapshot(good, program, next, open, last, past);
    }

    Rollout rollout() {
        return open;
    }

    /** Why it may not begin; empty where it may. */
    String against(Rollout.Kind kind, String to, String text) {
        if (open != null) {
            return open + " by " + open.by() + " is open; it has to end first";
        }
        if (text.length() > MOST_TEXT) {
            return "the text has "
                    + text.length()
                    + " characters, and "
                    + MOST_TEXT
                    + " is the most";
        }
        if (to.equals(kind == Rollout.Kind.CONFIGURATION ? good.digest() : program)) {
            return "that means the same as what the fleet runs, " + (to.isEmpty() ? "nothing" : to);
        }
        return "";
    }

    boolean begin(ClusterCommand.BeginRollout begin) {
        if (!against(begin.kind(), begin.to(), begin.text()).isEmpty()) {
            return false;
        }
        boolean text = begin.kind() == Rollout.Kind.CONFIGURATION;
        open =
                new Rollout(
                        ++last,
                        begin.kind(),
                        text ? good.digest() : program,
                        begin.to(),
                        begin.by(),
                        begin.backsOnHalt(),
                        -1,
                        0,
                        List.of());
        next = text ? new ConfigText(begin.to(), begin.text()) : NONE;
        return true;
    }

    /** A wave: there the nodes get it, on the way back they have it no more. */
    boolean step(ClusterCommand.AdvanceRollout step) {
        if (open == null
                || step.rollout() != open.number()
                || step.step() != open.steps() + 1
                || step.back() != open.back()) {
            return false;
        }
        Set<NodeName> given = new LinkedHashSet<>(open.given());
        boolean changed = open.back() ? given.removeAll(step.nodes()) : given.addAll(step.nodes());
        if (changed) {
            past = step.past() == null ? past : step.past();
            open = open.with(open.turnedAt(), step.step(), new ArrayList<>(given));
        }
        return changed;
    }

    boolean turn(long release) {
        if (open == null || open.number() != release || open.back()) {
            return false;
        }
        open = open.with(open.steps(), open.steps(), open.given());
        return true;
    }

    boolean finish(ClusterCommand.FinishRollout finish) {
        if (open == null
                || finish.rollout() != open.number()
                || finish.done() == (open.back() || open.steps() == 0)
                || (!finish.done() && !open.given().isEmpty())) {
            return false;
        }
        if (finish.done() && open.kind() == Rollout.Kind.CONFIGURATION) {
            good = next;
        } else if (finish.done()) {
            program = open.to();
        }
        next = NONE;
        past = Map.of();
        open = null;
        return true;
    }

    String good() {
        return good.digest();
    }

    Map<String, RequestCounts> past() {
        return past;
    }

    /** The digest of the text that a node is to go by. */
    String wanted(NodeName node) {
        boolean given =
                open != null && open.kind() == Rollout.Kind.CONFIGURATION && open.isGiven(node);
        return given ? open.to() : good.digest();
    }

    /** The program that a node is to be started with; empty for whatever there is. */
    String wantedProgram(NodeName node) {
        boolean released = open != null && open.kind() == Rollout.Kind.PROGRAM;
        return released && open.isGiven(node) ? open.to() : program;
    }

    /** The digest of a text that nodes are to check now; empty for none. */
    String toCheck() {
        return open != null && open.kind() == Rollout.Kind.CONFIGURATION && !open.back()
                ? open.to()
                : "";
    }

    /** Null where no text of that digest is kept. */
    String text(String digest) {
        return digest.equals(good.digest())
                ? good.text()
                : digest.equals(next.digest()) ? next.text() : null;
    }
}
