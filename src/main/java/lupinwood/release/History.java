package lupinwood.release;

import java.util.ArrayDeque;
import java.util.Deque;
import lupinwood.fleet.Life;
import lupinwood.fleet.Seen;
import lupinwood.fleet.Standing;
import lupinwood.fleet.Tally;
import lupinwood.node.Moment;
import lupinwood.node.Span;

/**
 * What one node told lately, as far as the one who leads the release heard it. A node's counts
 * begin anew with each life; here they go on over lives, so that a stretch of time has its tickets
 * whatever happened in it.
 */
final class History {
    /** What is kept of the latest watch, so that memory stays bounded with hundreds of nodes. */
    static final int POINTS_A_WATCH = 24;

    private record Point(Moment at, Tally total) {}

    private final Deque<Point> points = new ArrayDeque<>();
    private Life life;
    private Tally ofLife = Tally.NOTHING;
    private Tally before = Tally.NOTHING;
    private int lives;
    private Tally marked = Tally.NOTHING;
    private int livesMarked;

    /**
     * What it answered over a watch before the release, on the old; null where that wasn't seen.
     */
    private Tally past;

    /** Since when it has been well; null while it isn't. */
    private Moment wellSince;

    private Moment lastWell;

    /** What it runs, and since when it has been seen to. */
    private String version = "";

    private Moment versionSince;

    /**
     * @param every how far apart kept points are at the least
     */
    void heard(Seen seen, Moment now, Span every) {
        boolean well = seen.standing() == Standing.WARM;
        boolean another = !seen.life().equals(life);
        wellSince = !well ? null : wellSince == null || another ? now : wellSince;
        lastWell = well ? now : lastWell;
        if (another) {
            before = before.plus(ofLife);
            ofLife = Tally.NOTHING;
            life = seen.life();
            lives++;
        }
        if (seen.report() == null || seen.report().tally() == null) {
            return;
        }
        ofLife = seen.report().tally();
        String runs = seen.report().runs() + " " + seen.report().program();
        if (!runs.equals(version)) {
            version = runs;
            versionSince = now;
        }
        if (points.isEmpty() || now.since(points.peekLast().at()).compareTo(every) >= 0) {
            points.addLast(new Point(now, before.plus(ofLife)));
            if (points.size() > POINTS_A_WATCH + 2) {
                points.removeFirst();
            }
        }
    }

    /** What it answered over the latest watch; null where that isn't known whole. */
    Tally latest(Span watch, Moment now) {
        boolean whole =
                !points.isEmpty()
                        && now.since(points.peekFirst().at()).compareTo(watch.times(0.8)) >= 0;
        return whole ? before.plus(ofLife).since(points.peekFirst().total()) : null;
    }

    /** That is what this node is compared with from now on. */
    void past(Tally known) {
        past = known;
    }

    Tally past() {
        return past;
    }

    /** Counting begins here. */
    void mark() {
        marked = before.plus(ofLife);
        livesMarked = lives;
    }

    Tally sinceMark() {
        return before.plus(ofLife).since(marked);
    }

    int restartsSinceMark() {
        return livesMarked == 0 ? 0 : lives - livesMarked;
    }

    /** With what it runs now. */
    boolean isWellFor(Span span, Moment now) {
        return wellSince != null
                && versionSince != null
                && now.since(wellSince).compareTo(span) >= 0
                && now.since(versionSince).compareTo(span) >= 0;
    }

    /** Whether it was ever well, and isn't for so long. */
    boolean isLost(Span span, Moment now) {
        return lastWell != null && now.since(lastWell).compareTo(span) >= 0;
    }

    boolean wasEverWell() {
        return lastWell != null;
    }
}
