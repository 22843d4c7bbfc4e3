package lupinwood.admission;

import java.util.Comparator;

/**
 * A request from arrival until no further action or event can concern it: its times and its
 * progress.
 *
 * <p>Modified by {@link RequestLifecycle}, {@link TenantQuota} and {@link InFlightLimiter}, on the
 * thread of the {@link AdmissionController}; the other rules read it.
 */
final class AdmittedRequest {
    /** Orders by due time, and by arrival where due times are equal. */
    static final Comparator<AdmittedRequest> BY_DUE_TIME =
            Comparator.<AdmittedRequest, MonotonicTime>comparing(AdmittedRequest::dueAt)
                    .thenComparing(AdmittedRequest::arrivalNumber);

    /** The progress of a request. */
    enum State {
        QUEUED,
        RUNNING,
        WAITING_TO_CALL,
        CALLING,
        /** A retry that waits for the result of its original. */
        AWAITING_ORIGINAL,
        FINISHED
    }

    private final Request received;
    private final ClassState classState;
    private final long arrivalNumber;
    private final MonotonicTime arrivedAt;
    private final MonotonicTime dueAt;
    private final MonotonicTime answerDeadline;

    private State state = State.QUEUED;
    private boolean hasRun;
    private boolean provenNeverRan;
    private boolean needsNoAnswer;
    private boolean failed;
    private TimerSet.Timer deadlineTimer;
    private TenantQuota.Bucket quotaBucket;
    private boolean overQuota;

    private double coreClockSecondsAtEntry;
    private double coreSeconds;

    private boolean countedInFlight;
    private int successfulCalls;
    private int failedCallAttempts;
    private MonotonicTime calledAt;
    private int expectedSuccessfulCalls;
    private boolean limitReduced;
    private boolean baselineCall;

    /**
     * Creates the record of a request that was just read.
     *
     * @param arrivalNumber sequence number over all requests of this node
     * @param tick the node's time step; an answer is sent two ticks before the client gives up
     */
    AdmittedRequest(
            Request received,
            ClassState classState,
            long arrivalNumber,
            MonotonicTime now,
            NanoDuration tick) {
        this.received = received;
        this.classState = classState;
        this.arrivalNumber = arrivalNumber;
        arrivedAt = now.minus(received.waited());
        RequestClass requestClass = classState.settings();
        MonotonicTime clientTimeoutAt =
                received.clientTimeout().isPositive()
                        ? now.plus(received.clientTimeout())
                        : arrivedAt.plus(requestClass.timeout());
        answerDeadline = clientTimeoutAt.minus(tick.plus(tick));
        MonotonicTime objectiveAt =
                arrivedAt
                        .plus(requestClass.latencyObjective())
                        .plus(received.work().times(requestClass.objectiveStretch()));
        dueAt = objectiveAt.isBefore(answerDeadline) ? objectiveAt : answerDeadline;
    }

    Request received() {
        return received;
    }

    RequestId id() {
        return received.id();
    }

    ClassState classState() {
        return classState;
    }

    /** The present settings of its request class. */
    RequestClass requestClass() {
        return classState.settings();
    }

    int classIndex() {
        return received.classId().number();
    }

    long arrivalNumber() {
        return arrivalNumber;
    }

    MonotonicTime arrivedAt() {
        return arrivedAt;
    }

    /** The end of its latency objective, or the answer deadline where that is earlier. */
    MonotonicTime dueAt() {
        return dueAt;
    }

    /**
     * The latest time for a final answer: two ticks before the client gives up, so that every
     * request is answered before its client's timeout.
     */
    MonotonicTime answerDeadline() {
        return answerDeadline;
    }

    /** The timer that answers it at its deadline; null if none was set. */
    TimerSet.Timer deadlineTimer() {
        return deadlineTimer;
    }

    void setDeadlineTimer(TimerSet.Timer timer) {
        deadlineTimer = timer;
    }

    boolean isInState(State other) {
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

    /**
     * Whether it was never started here, or the outcome of its run proves that it had no effect.
     */
    boolean isProvenNeverRun() {
        return !hasRun || provenNeverRan;
    }

    void markRun() {
        hasRun = true;
    }

    /** Whether it has its final answer, or its client is gone. */
    boolean needsNoAnswer() {
        return needsNoAnswer;
    }

    boolean hasFailed() {
        return failed;
    }

    void markNeedsNoAnswer() {
        needsNoAnswer = true;
    }

    void markFailed() {
        failed = true;
    }

    /** Records how its run ended, or that of the original that it waits for. */
    void markCompleted(Outcome outcome) {
        failed |= outcome != Outcome.OK;
        provenNeverRan = outcome.provesNeverRan();
        needsNoAnswer = true;
    }

    void chargeTo(TenantQuota.Bucket bucket, boolean isOver) {
        quotaBucket = bucket;
        overQuota = isOver;
    }

    /** Whether its tenant had used up its quota when it arrived. */
    boolean isOverQuota() {
        return overQuota;
    }

    /** Whether its tenant sends far over its quota; false for a tenant without one. */
    boolean isOfBurstingTenant() {
        return quotaBucket != null && quotaBucket.isBursting();
    }

    /** Gives back to its tenant's quota what it took; for a request that never ran. */
    void refundQuota() {
        if (quotaBucket != null) {
            quotaBucket.refund(overQuota);
        }
    }

    /**
     * Records that it starts or resumes running.
     *
     * @param coreClockSeconds the reading of {@link CoreTimeClock}
     */
    void enterCores(double coreClockSeconds) {
        state = State.RUNNING;
        coreClockSecondsAtEntry = coreClockSeconds;
    }

    /**
     * Records that it leaves the cores, to call or because its run ended, and adds the core time
     * that it was given.
     */
    void leaveCores(double coreClockSeconds) {
        coreSeconds += coreClockSeconds - coreClockSecondsAtEntry;
        state = State.WAITING_TO_CALL;
    }

    /**
     * Core time given to it so far, in seconds, without the part since it last entered the cores.
     */
    double coreSeconds() {
        return coreSeconds;
    }

    boolean isCountedInFlight() {
        return countedInFlight;
    }

    void setCountedInFlight(boolean counted) {
        countedInFlight = counted;
    }

    /** The number of its calls that succeeded. */
    int successfulCalls() {
        return successfulCalls;
    }

    /** The number of failed attempts of its present call. */
    int failedCallAttempts() {
        return failedCallAttempts;
    }

    void markCallAttemptFailed() {
        failedCallAttempts++;
    }

    void markCallSucceeded() {
        successfulCalls++;
        failedCallAttempts = 0;
    }

    /**
     * Records that a call is made.
     *
     * @param expectedSuccessfulCalls see {@link DependencyLimiter#onCallStarted}
     * @param baseline whether the in-flight limit is underused when the call is made
     */
    void startCall(MonotonicTime now, int expectedSuccessfulCalls, boolean baseline) {
        calledAt = now;
        this.expectedSuccessfulCalls = expectedSuccessfulCalls;
        baselineCall = baseline;
    }

    MonotonicTime calledAt() {
        return calledAt;
    }

    int expectedSuccessfulCalls() {
        return expectedSuccessfulCalls;
    }

    boolean isBaselineCall() {
        return baselineCall;
    }

    /** Whether the present attempt of its call has already reduced the in-flight limit. */
    boolean hasReducedLimit() {
        return limitReduced;
    }

    void setLimitReduced(boolean reduced) {
        limitReduced = reduced;
    }
}
