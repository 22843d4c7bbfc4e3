package lupinwood.rollout;

import java.util.ArrayDeque;
import java.util.Deque;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.cluster.Incarnation;
import lupinwood.cluster.NodeStatus;
import lupinwood.cluster.NodeView;
import lupinwood.cluster.RequestCounts;

/**
 * What one node told lately, as far as the one who leads the release heard it. A node's counts
 * begin anew with each life; here they go on over lives, so that a stretch of time has its requests
 * whatever happened in it.
 */
final class NodeHistory {
    /** What is kept of the latest watch, so that memory stays bounded with hundreds of nodes. */
    static final int POINTS_A_WATCH = 24;

    private record Point(MonotonicTime at, RequestCounts total) {}

    private final Deque<Point> points = new ArrayDeque<>();
    private Incarnation incarnation;
    private RequestCounts ofLife = RequestCounts.NOTHING;
    private RequestCounts before = RequestCounts.NOTHING;
    private int lives;
    private RequestCounts marked = RequestCounts.NOTHING;
    private int livesMarked;

    /**
     * What it answered over a watch before the release, on the old; null where that wasn't seen.
     */
    private RequestCounts past;

    /** Since when it has been well; null while it isn't. */
    private MonotonicTime wellSince;

    private MonotonicTime lastWell;

    /** What it runs, and since when it has been seen to. */
    private String version = "";

    private MonotonicTime versionSince;

    /**
     * @param every how far apart kept points are at the least
     */
    void heard(NodeView nodeView, MonotonicTime now, NanoDuration every) {
        boolean well = nodeView.status() == NodeStatus.WARM;
        boolean another = !nodeView.incarnation().equals(incarnation);
        wellSince = !well ? null : wellSince == null || another ? now : wellSince;
        lastWell = well ? now : lastWell;
        if (another) {
            before = before.plus(ofLife);
            ofLife = RequestCounts.NOTHING;
            incarnation = nodeView.incarnation();
            lives++;
        }
        if (nodeView.report() == null || nodeView.report().requestCounts() == null) {
            return;
        }
        ofLife = nodeView.report().requestCounts();
        String runs = nodeView.report().runs() + " " + nodeView.report().program();
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
    RequestCounts latest(NanoDuration watch, MonotonicTime now) {
        boolean whole =
                !points.isEmpty()
                        && now.since(points.peekFirst().at()).compareTo(watch.times(0.8)) >= 0;
        return whole ? before.plus(ofLife).since(points.peekFirst().total()) : null;
    }

    /** That is what this node is compared with from now on. */
    void past(RequestCounts known) {
        past = known;
    }

    RequestCounts past() {
        return past;
    }

    /** Counting begins here. */
    void mark() {
        marked = before.plus(ofLife);
        livesMarked = lives;
    }

    RequestCounts sinceMark() {
        return before.plus(ofLife).since(marked);
    }

    int restartsSinceMark() {
        return livesMarked == 0 ? 0 : lives - livesMarked;
    }

    /** With what it runs now. */
    boolean isWellFor(NanoDuration duration, MonotonicTime now) {
        return wellSince != null
                && versionSince != null
                && now.since(wellSince).compareTo(duration) >= 0
                && now.since(versionSince).compareTo(duration) >= 0;
    }

    /** Whether it was ever well, and isn't for so long. */
    boolean isLost(NanoDuration duration, MonotonicTime now) {
        return lastWell != null && now.since(lastWell).compareTo(duration) >= 0;
    }

    boolean wasEverWell() {
        return lastWell != null;
    }
}
