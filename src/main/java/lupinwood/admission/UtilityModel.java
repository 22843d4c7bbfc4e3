package lupinwood.admission;

import java.util.List;

/**
 * What serving a request in time adds to the operators' goal: its share of the priority weight that
 * is asked for, and more while its class is the one served worst.
 *
 * <pre>
 * utility = (1 - worstClassShare) * priorityWeight / offeredWeight
 *         + (its class is the worst ? worstClassShare / offered(class) : 0)
 * past its tenant's quota: utility * overQuotaValue
 * </pre>
 *
 * <p>The worst class is the one with the least share of its requests served in time. Counts are
 * halved now and then, so that the picture follows the day.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class UtilityModel {
    /** After so many requests all counts are halved. */
    private static final int HALVING_INTERVAL = 4 * Histogram.RECENT_SAMPLES;

    private static final int NO_CLASS = -1;

    private final List<ClassState> classes;
    private final double[] offered;
    private final double[] servedInTime;
    private PolicySettings settings;
    private double offeredWeight;
    private int requestsOffered;
    private int worst = NO_CLASS;

    UtilityModel(List<ClassState> classes, PolicySettings settings) {
        this.classes = classes;
        this.settings = settings;
        offered = new double[classes.size()];
        servedInTime = new double[classes.size()];
    }

    void update(PolicySettings changed) {
        settings = changed;
    }

    /** A request of this class was read. */
    void onOffered(int classIndex) {
        offered[classIndex]++;
        offeredWeight = 0;
        double decay = ++requestsOffered % HALVING_INTERVAL == 0 ? 0.5 : 1;
        for (int i = 0; i < offered.length; i++) {
            offered[i] *= decay;
            servedInTime[i] *= decay;
            offeredWeight += offered[i] * classes.get(i).settings().priorityWeight();
            boolean worse =
                    worst == NO_CLASS
                            || servedInTime[i] * offered[worst] < servedInTime[worst] * offered[i];
            if (offered[i] > 0 && worse) {
                worst = i;
            }
        }
    }

    /** A request was withdrawn before its objective passed and never ran: it asked for nothing. */
    void onWithdrawn(int classIndex) {
        offered[classIndex] = Math.max(0, offered[classIndex] - 1);
    }

    /** A request was served within its objective. */
    void onServedInTime(int classIndex) {
        servedInTime[classIndex]++;
    }

    /** What serving this request in time adds to the goal. */
    double utility(AdmittedRequest request) {
        double ofWorst = settings.worstClassShare();
        int classIndex = request.classIndex();
        double utility =
                (1 - ofWorst) * request.requestClass().priorityWeight() / offeredWeight
                        + (classIndex == worst ? ofWorst / offered[classIndex] : 0);
        return utility * (request.isOverQuota() ? settings.overQuotaValue() : 1);
    }

    /**
     * The same for each downstream call that the request still has to make: the nearer it is to its
     * last call, the less of the dependency its utility takes.
     */
    double utilityPerCall(AdmittedRequest request) {
        double callsLeft = request.classState().callSequence().meanCalls() - request.callsEnded();
        return utility(request) / Math.max(1, callsLeft);
    }
}
