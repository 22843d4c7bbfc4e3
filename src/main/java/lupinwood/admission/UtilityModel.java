package lupinwood.admission;

import java.util.List;

/**
 * The utility of serving a request in time, in terms of the operators' goal: its share of the
 * priority weight of the requests offered, and more while its class is the one served worst.
 *
 * <pre>
 * utility = (1 - worstClassWeight) * priorityWeight / offeredWeight
 *         + (its request class is the worst ? worstClassWeight / offered(request class) : 0)
 * over its tenant's quota: utility * overQuotaValue
 * </pre>
 *
 * <p>The worst class is the one with the least share of its requests served in time. All counts are
 * halved at intervals, so that they follow changes during the day.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class UtilityModel {
    /** All counts are halved each time this many requests were offered. */
    private static final int HALVING_INTERVAL_REQUESTS = 4 * Histogram.RECENT_SAMPLES;

    private static final int NO_CLASS = -1;

    private final List<ClassState> classes;
    private final double[] offered;
    private final double[] servedInTime;
    private PolicySettings settings;
    private double offeredWeight;
    private int requestsOffered;
    private int worstClass = NO_CLASS;

    UtilityModel(List<ClassState> classes, PolicySettings settings) {
        this.classes = classes;
        this.settings = settings;
        offered = new double[classes.size()];
        servedInTime = new double[classes.size()];
    }

    void update(PolicySettings newSettings) {
        settings = newSettings;
    }

    /** Records a request of this class that was read. */
    void onOffered(int classIndex) {
        offered[classIndex]++;
        offeredWeight = 0;
        double decay = ++requestsOffered % HALVING_INTERVAL_REQUESTS == 0 ? 0.5 : 1;
        for (int i = 0; i < offered.length; i++) {
            offered[i] *= decay;
            servedInTime[i] *= decay;
            offeredWeight += offered[i] * classes.get(i).settings().priorityWeight();
            boolean isWorse =
                    worstClass == NO_CLASS
                            || servedInTime[i] * offered[worstClass]
                                    < servedInTime[worstClass] * offered[i];
            if (offered[i] > 0 && isWorse) {
                worstClass = i;
            }
        }
    }

    /**
     * Records a request that its client withdrew before its due time and that never ran: it does
     * not count as offered.
     */
    void onWithdrawn(int classIndex) {
        offered[classIndex] = Math.max(0, offered[classIndex] - 1);
    }

    /** Records a request that was served in time. */
    void onServedInTime(int classIndex) {
        servedInTime[classIndex]++;
    }

    /** The utility of serving this request in time. */
    double utility(AdmittedRequest request) {
        double worstClassWeight = settings.worstClassWeight();
        int classIndex = request.classIndex();
        double utility =
                (1 - worstClassWeight) * request.requestClass().priorityWeight() / offeredWeight
                        + (classIndex == worstClass ? worstClassWeight / offered[classIndex] : 0);
        return utility * (request.isOverQuota() ? settings.overQuotaValue() : 1);
    }

    /**
     * The utility per downstream call that the request still has to make: the closer a request is
     * to its last call, the fewer calls of the dependency its utility costs.
     */
    double utilityPerCall(AdmittedRequest request) {
        double callsLeft =
                request.classState().callSequence().meanCalls() - request.successfulCalls();
        return utility(request) / Math.max(1, callsLeft);
    }
}
