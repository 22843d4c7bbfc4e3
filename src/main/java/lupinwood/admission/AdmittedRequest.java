package lupinwood.admission;

import java.util.Comparator;

/**
 * One request from the moment it was read until nothing more is asked of it, nor heard: its times,
 * and how far it has come.
 *
 * <p>Changed by {@link RequestLifecycle} alone, on the thread of the {@link AdmissionController};
 * the rules read it.
 */
final class AdmittedRequest {
    /** By due time, and in the order of arrival where that is the same. */
    static final Comparator<AdmittedRequest> BY_DUE_TIME =
            Comparator.<AdmittedRequest, MonotonicTime>comparing(AdmittedRequest::due)
                    .thenComparing(AdmittedRequest::number);

    /** Where a request stands. */
    enum State {
        QUEUED,
        RUNNING,
        WAITING_TO_CALL,
        CALLING,
        /** It is a retry and waits for its original's result. */
        AWAITING_ORIGINAL,
        FINISHED
    }

    private final Request request;
    private final ClassState classState;
    private final long number;
    private final MonotonicTime arrivedAt;
    private final MonotonicTime due;
    private final MonotonicTime answerBy;

    private State state = State.QUEUED;
    private boolean hasRun;
    private boolean neverRan;
    private boolean answered;
    private boolean failed;
    private TenantQuota.Bucket quota;
    private boolean overQuota;

    private double runStartedAt;
    private double coreSeconds;

    private boolean countedInFlight;
    private int callsEnded;
    private int callAttempts;
    private MonotonicTime calledAt;
    private int completedWithAllOut;
    private boolean limitCut;
    private boolean baselineCall;

    /**
     * A request that was just read.
     *
     * @param number counts up over all requests of this node
     * @param tick the machine's time step: an answer goes out two of them early
     */
    AdmittedRequest(
            Request request,
            ClassState classState,
            long number,
            MonotonicTime now,
            NanoDuration tick) {
        this.request = request;
        this.classState = classState;
        this.number = number;
        arrivedAt = now.minus(request.waited());
        RequestClass requestClass = classState.settings();
        MonotonicTime clientGone =
                request.clientTimeout().isPositive()
                        ? now.plus(request.clientTimeout())
                        : arrivedAt.plus(requestClass.timeout());
        answerBy = clientGone.minus(tick.plus(tick));
        MonotonicTime objectiveAt =
                arrivedAt
                        .plus(requestClass.latencyObjective())
                        .plus(request.work().times(requestClass.objectiveStretch()));
        due = objectiveAt.isBefore(answerBy) ? objectiveAt : answerBy;
    }

    Request request() {
        return request;
    }

    RequestId id() {
        return request.id();
    }

    ClassState classState() {
        return classState;
    }

    /** What the settings say of its class now. */
    RequestClass requestClass() {
        return classState.settings();
    }

    int classIndex() {
        return request.classId().number();
    }

    long number() {
        return number;
    }

    MonotonicTime arrivedAt() {
        return arrivedAt;
    }

    /** The end of its latency objective, or the last moment for an answer where that is sooner. */
    MonotonicTime due() {
        return due;
    }

    /** The last moment for an answer: two ticks before its client gives up (rule 1). */
    MonotonicTime answerBy() {
        return answerBy;
    }

    boolean is(State other) {
        return state == other;
    }

    void moveTo(State next) {
        state = next;
    }

    boolean isFinished() {
        return state == State.FINISHED;
    }

    /** Whether a run was started here. */
    boolean hasRun() {
        return hasRun;
    }

    /** Whether its run had no effect, by proof. */
    boolean hasProvablyNotRun() {
        return !hasRun || neverRan;
    }

    void markRun() {
        hasRun = true;
    }

    /** Whether it has its final answer, or nobody waits for one. */
    boolean isAnswered() {
        return answered;
    }

    boolean hasFailed() {
        return failed;
    }

    void markAnswered() {
        answered = true;
    }

    void markFailed() {
        failed = true;
    }

    /** Takes in how its run ended. */
    void markEnded(Outcome outcome) {
        failed |= outcome != Outcome.OK;
        neverRan = outcome.provesNeverRan();
        answered = true;
    }

    void charged(TenantQuota.Bucket bucket, boolean over) {
        quota = bucket;
        overQuota = over;
    }

    /** Whether its tenant had used up its quota when it arrived. */
    boolean isOverQuota() {
        return overQuota;
    }

    /** Whether its tenant sends far over its quota; only where it has one. */
    boolean isOfBurstingTenant() {
        return quota != null && quota.isBursting();
    }

    /** It never ran, and takes nothing of its tenant's quota. */
    void refundQuota() {
        if (quota != null) {
            quota.refund(overQuota);
        }
    }

    /** It is on the cores from now on, by the clock of core time. */
    void startRun(double givenSeconds) {
        state = State.RUNNING;
        runStartedAt = givenSeconds;
    }

    /** It leaves the cores. */
    void pauseRun(double givenSeconds) {
        coreSeconds += givenSeconds - runStartedAt;
        state = State.WAITING_TO_CALL;
    }

    /** Core time given to it so far, without the run that is under way. */
    double coreSeconds() {
        return coreSeconds;
    }

    boolean isCountedInFlight() {
        return countedInFlight;
    }

    void countInFlight(boolean counted) {
        countedInFlight = counted;
    }

    /** How many of its calls ended well. */
    int callsEnded() {
        return callsEnded;
    }

    /** Attempts of its present call that failed. */
    int callAttempts() {
        return callAttempts;
    }

    void markCallAttemptFailed() {
        callAttempts++;
    }

    void markCallEnded() {
        callsEnded++;
        callAttempts = 0;
    }

    /**
     * A call goes out.
     *
     * @param completedMark see {@link DependencyLimiter#onCallMade}
     * @param baseline whether it is made while the limit is underused
     */
    void startCall(MonotonicTime now, int completedMark, boolean baseline) {
        calledAt = now;
        completedWithAllOut = completedMark;
        baselineCall = baseline;
    }

    MonotonicTime calledAt() {
        return calledAt;
    }

    int completedMark() {
        return completedWithAllOut;
    }

    boolean isBaselineCall() {
        return baselineCall;
    }

    /** Whether its present call has already cut the limit. */
    boolean hasCutLimit() {
        return limitCut;
    }

    void markLimitCut(boolean cut) {
        limitCut = cut;
    }
}
