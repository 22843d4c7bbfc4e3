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
 * The recent reports of one node, as seen by the rollout controller. A node's request counts start
 * at zero with each incarnation; here they are summed over incarnations, so that the counts of an
 * interval are complete even if the node restarted in it.
 */
final class NodeHistory {
    /** Samples kept of one observation, so that memory stays bounded with hundreds of nodes. */
    static final int SAMPLES_PER_WATCH = 24;

    private record Sample(MonotonicTime at, RequestCounts total) {}

    private final Deque<Sample> samples = new ArrayDeque<>();
    private Incarnation incarnation;
    private RequestCounts currentCounts = RequestCounts.EMPTY;
    private RequestCounts earlierCounts = RequestCounts.EMPTY;
    private int incarnations;
    private RequestCounts countsAtMark = RequestCounts.EMPTY;
    private int incarnationsAtMark;

    /**
     * Request counts over about {@link CanaryLimits#minWatch} before the first wave, with the
     * previous version; null if unknown.
     */
    private RequestCounts baselineCounts;

    /** Null while the node is not healthy. */
    private MonotonicTime healthySince;

    private MonotonicTime lastHealthyAt;

    /** The configuration digest and the program version that the node runs. */
    private String version = "";

    private MonotonicTime versionSince;

    /**
     * Takes in the node's state.
     *
     * @param sampleInterval minimum time between samples
     */
    void update(NodeView nodeView, MonotonicTime now, NanoDuration sampleInterval) {
        boolean isHealthy = nodeView.status() == NodeStatus.WARM;
        boolean hasRestarted = !nodeView.incarnation().equals(incarnation);
        healthySince =
                !isHealthy ? null : healthySince == null || hasRestarted ? now : healthySince;
        lastHealthyAt = isHealthy ? now : lastHealthyAt;
        if (hasRestarted) {
            earlierCounts = earlierCounts.plus(currentCounts);
            currentCounts = RequestCounts.EMPTY;
            incarnation = nodeView.incarnation();
            incarnations++;
        }
        if (nodeView.report() == null || nodeView.report().requestCounts() == null) {
            return;
        }
        currentCounts = nodeView.report().requestCounts();
        String reportedVersion =
                nodeView.report().configDigest() + " " + nodeView.report().program();
        if (!reportedVersion.equals(version)) {
            version = reportedVersion;
            versionSince = now;
        }
        if (samples.isEmpty()
                || now.since(samples.peekLast().at()).compareTo(sampleInterval) >= 0) {
            samples.addLast(new Sample(now, earlierCounts.plus(currentCounts)));
            if (samples.size() > SAMPLES_PER_WATCH + 2) {
                samples.removeFirst();
            }
        }
    }

    /** Request counts over the kept samples; null if these cover less than 80% of the watch. */
    RequestCounts latestCounts(NanoDuration watch, MonotonicTime now) {
        boolean coversWatch =
                !samples.isEmpty()
                        && now.since(samples.peekFirst().at()).compareTo(watch.times(0.8)) >= 0;
        return coversWatch
                ? earlierCounts.plus(currentCounts).since(samples.peekFirst().total())
                : null;
    }

    /** Sets what this node is compared with from now on; null for unknown. */
    void setBaselineCounts(RequestCounts counts) {
        baselineCounts = counts;
    }

    RequestCounts baselineCounts() {
        return baselineCounts;
    }

    /** Sets the mark, since which {@link #countsSinceMark} and {@link #restartsSinceMark} count. */
    void mark() {
        countsAtMark = earlierCounts.plus(currentCounts);
        incarnationsAtMark = incarnations;
    }

    RequestCounts countsSinceMark() {
        return earlierCounts.plus(currentCounts).since(countsAtMark);
    }

    int restartsSinceMark() {
        return incarnationsAtMark == 0 ? 0 : incarnations - incarnationsAtMark;
    }

    /** Whether it has been healthy that long with the version that it runs now. */
    boolean isHealthyFor(NanoDuration duration, MonotonicTime now) {
        return healthySince != null
                && versionSince != null
                && now.since(healthySince).compareTo(duration) >= 0
                && now.since(versionSince).compareTo(duration) >= 0;
    }

    /** Whether it was healthy before, but not at any time within this duration. */
    boolean isLost(NanoDuration duration, MonotonicTime now) {
        return lastHealthyAt != null && now.since(lastHealthyAt).compareTo(duration) >= 0;
    }

    boolean wasEverHealthy() {
        return lastHealthyAt != null;
    }
}
