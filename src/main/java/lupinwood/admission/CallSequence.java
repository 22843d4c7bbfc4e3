package lupinwood.admission;

import java.util.Arrays;

/**
 * Learns how many downstream calls the requests of one request class make, and predicts whether a
 * request will make another. A node is never told which call of a request is its last. For each
 * position in the sequence of calls (first call, second call, ...) it counts the requests that
 * needed that call, and those whose call succeeded.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class CallSequence {
    /**
     * The last position, from 0, that is counted; calls at later positions are counted there too.
     */
    private static final int MAX_POSITION = 7;

    /**
     * If a prediction finds more successful calls than this at the position of the latest call, all
     * counts are halved, to follow a change.
     */
    private static final double HALVING_THRESHOLD_CALLS = Histogram.RECENT_SAMPLES;

    private final double[] needed = new double[MAX_POSITION + 1];
    private final double[] succeeded = new double[MAX_POSITION + 1];

    /**
     * Records that a request needs its next call.
     *
     * @param callsBefore the number of its calls that succeeded so far
     */
    void onCallNeeded(int callsBefore) {
        needed[Math.min(callsBefore, MAX_POSITION)]++;
    }

    /**
     * Records a successful call.
     *
     * @param callsBefore the number of calls of the request that succeeded before it
     */
    void onCallSucceeded(int callsBefore) {
        succeeded[Math.min(callsBefore, MAX_POSITION)]++;
    }

    /** The mean number of calls of a request that calls at all; 1 until one was seen. */
    double meanCalls() {
        return needed[0] > 0 ? Arrays.stream(needed).sum() / needed[0] : 1;
    }

    /**
     * Predicts whether a request makes another call: whether more than half of the requests with as
     * many successful calls went on to another one. False from the seventh successful call on,
     * since later positions are not counted separately. May halve all counts.
     *
     * @param successfulCalls successful calls of the request, at least 1
     */
    boolean predictAnotherCall(int successfulCalls) {
        double succeededAtPosition = succeeded[Math.min(successfulCalls, MAX_POSITION) - 1];
        for (int i = 0; succeededAtPosition > HALVING_THRESHOLD_CALLS && i < needed.length; i++) {
            needed[i] /= 2;
            succeeded[i] /= 2;
        }
        return successfulCalls < MAX_POSITION
                && needed[successfulCalls] * 2 > succeeded[successfulCalls - 1];
    }
}
