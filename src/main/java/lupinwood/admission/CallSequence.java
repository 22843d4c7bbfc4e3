package lupinwood.admission;

import java.util.Arrays;

/**
 * How many downstream calls the requests of one class make, learned from those that came to their
 * first, second, ... call and those whose such call ended. A node can't be told which call of a
 * request is its last; this predicts it.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class CallSequence {
    /** Calls past this one are counted together. */
    private static final int MAX_POSITION = 7;

    /** Past so many ended calls of a position all counts are halved, to follow a change. */
    private static final double HALVED_ABOVE = Histogram.RECENT_SAMPLES;

    private final double[] needed = new double[MAX_POSITION + 1];
    private final double[] ended = new double[MAX_POSITION + 1];

    /**
     * A request needs its next call.
     *
     * @param callsBefore calls of this request that ended well so far
     */
    void onCallNeeded(int callsBefore) {
        needed[Math.min(callsBefore, MAX_POSITION)]++;
    }

    /**
     * A call ended well.
     *
     * @param callsBefore calls of this request that ended well before it
     */
    void onCallEnded(int callsBefore) {
        ended[Math.min(callsBefore, MAX_POSITION)]++;
    }

    /** How many calls a request that calls makes, on average; 1 before any was seen. */
    double meanCalls() {
        return needed[0] > 0 ? Arrays.stream(needed).sum() / needed[0] : 1;
    }

    /**
     * Whether at least half of the requests that ended as many calls went on to another one.
     *
     * @param calls that the request has ended, at least 1
     */
    boolean isAnotherCallLikely(int calls) {
        double endedAsMany = ended[Math.min(calls, MAX_POSITION) - 1];
        for (int i = 0; endedAsMany > HALVED_ABOVE && i < needed.length; i++) {
            needed[i] /= 2;
            ended[i] /= 2;
        }
        return calls < MAX_POSITION && needed[calls] * 2 > ended[calls - 1];
    }
}
