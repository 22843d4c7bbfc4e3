package lupinwood.admission;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Moves each request through its states; at each step it asks the node for the actions needed and
 * informs the rules. Each request gets one final answer, unless its client is gone before: its
 * result, {@link #reject} or {@link #fail}.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class RequestLifecycle {
    private final ServerActions server;
    private final AdmissionRules rules;
    private final boolean canStopRuns;
    private PolicySettings settings;

    /** All requests that need an answer or take memory, by order of arrival. */
    private final TreeMap<Long, AdmittedRequest> openRequests = new TreeMap<>();

    RequestLifecycle(ServerActions server, AdmissionRules rules, PolicySettings settings) {
        this.server = server;
        this.rules = rules;
        this.settings = settings;
        canStopRuns = settings.machine().canStopRuns();
    }

    void update(PolicySettings newSettings) {
        settings = newSettings;
    }

    // Arrival and end.

    /** Registers a request that was read; it takes memory from now on. */
    void register(AdmittedRequest request) {
        openRequests.put(request.arrivalNumber(), request);
        rules.memory.reserve(request.received().memoryKb());
    }

    /** Adds a request to the queue for a core. */
    void enqueue(AdmittedRequest request) {
        rules.idempotency.remember(request);
        rules.inFlight.enter(request);
        rules.queue.add(request);
    }

    /** Answers a retry from the result of its original, at once or when that is available. */
    void answerFromOriginal(AdmittedRequest request) {
        request.moveTo(AdmittedRequest.State.AWAITING_ORIGINAL);
        server.answerFromOriginal(request.id());
    }

    /** Rejects all open requests; those that may have run are failed instead. */
    void rejectAll(RejectionReason reason) {
        for (AdmittedRequest request : List.copyOf(openRequests.values())) {
            reject(request, reason, NanoDuration.ZERO);
        }
    }

    /**
     * Final answer: the request never ran here. A request that has run, or a retry whose original
     * may have run, is failed instead, since a rejection promises that nothing ran.
     */
    void reject(AdmittedRequest request, RejectionReason reason, NanoDuration retryAfter) {
        if (request.hasRun()
                || request.needsNoAnswer()
                || request.isInState(AdmittedRequest.State.AWAITING_ORIGINAL)) {
            fail(request);
            return;
        }
        server.log("request rejected id=" + request.id().number() + " reason=" + reason.logName());
        server.reject(
                request.id(),
                rules.rejections.discouragesOtherNodes(request, server.now()),
                rules.rejections.retryAfter(request, retryAfter));
        request.markNeedsNoAnswer();
        request.refundQuota();
        finish(request);
    }

    /**
     * Final answer: an error, with nothing promised about whether the request ran. Does nothing if
     * the request needs no answer any more. A request that is running or calling is not finished by
     * this: it takes memory until the executor ends the run and {@link #onCompleted} is called. In
     * any other state it is finished at once, even if its run has begun and waits to call.
     */
    void fail(AdmittedRequest request) {
        if (request.needsNoAnswer()) {
            return;
        }
        request.markNeedsNoAnswer();
        request.markFailed();
        server.fail(request.id());
        if (request.isInState(AdmittedRequest.State.CALLING)) {
            abandonCall(request);
        } else if (!request.isInState(AdmittedRequest.State.RUNNING)) {
            finish(request);
        } else if (canStopRuns) {
            server.stop(request.id());
        }
    }

    /** Handles a request whose client no longer waits for it. */
    void onClientGone(AdmittedRequest request) {
        request.markNeedsNoAnswer();
        if (request.isInState(AdmittedRequest.State.RUNNING) && canStopRuns) {
            server.stop(request.id());
        } else if (!request.hasRun()) {
            // A request withdrawn before its due time counts neither for its tenant's quota nor as
            // a request that its class served late: a faulty client may send and withdraw hundreds.
            if (server.now().isBefore(request.dueAt())) {
                request.refundQuota();
                rules.utility.onWithdrawn(request.classIndex());
            }
            finish(request);
        }
    }

    /**
     * Ends a request. Its deadline timer is cancelled: it would hold the request until the
     * deadline, so that a client that withdraws its requests at once could fill the heap.
     */
    private void finish(AdmittedRequest request) {
        rules.timers.cancel(request.deadlineTimer());
        leaveCores(request);
        rules.queue.remove(request);
        rules.callQueue.remove(request);
        request.moveTo(AdmittedRequest.State.FINISHED);
        openRequests.remove(request.arrivalNumber());
        if (request.isProvenNeverRun()) {
            rules.idempotency.forget(request);
        }
        rules.memory.release(
                request.received().memoryKb() + (request.hasRun() ? runMemoryKb(request) : 0));
        rules.inFlight.leave(request);
        server.release(request.id());
    }

    // Running.

    /** Starts the run of a queued request. */
    void run(AdmittedRequest request) {
        rules.queue.remove(request);
        request.markRun();
        rules.memory.reserve(runMemoryKb(request));
        enterCores(request);
        server.run(request.id());
    }

    /** The memory that a running request takes beyond that of a queued one, in kilobytes. */
    double runMemoryKb(AdmittedRequest request) {
        return request.received().memoryKb() * (settings.runMemoryFactor() - 1);
    }

    /** Handles the end of a run, or of the original that a retry waits for. */
    void onCompleted(AdmittedRequest request, Outcome outcome) {
        boolean wasRunning = request.isInState(AdmittedRequest.State.RUNNING);
        if (request.isInState(AdmittedRequest.State.CALLING)) {
            abandonCall(request);
        }
        leaveCores(request);
        boolean isInTime = !request.needsNoAnswer() && !request.dueAt().isBefore(server.now());
        if (outcome == Outcome.OK && isInTime) {
            rules.utility.onServedInTime(request.classIndex());
        }
        if (outcome == Outcome.OK && wasRunning) {
            rules.cost.onRunSucceeded(request, request.coreSeconds());
        }
        request.markCompleted(outcome);
        finish(request);
    }

    private void enterCores(AdmittedRequest request) {
        rules.coreTime.advance(server.now(), rules.concurrency.running());
        request.enterCores(rules.coreTime.coreSecondsPerRun());
        rules.concurrency.onRunStarted();
    }

    private void leaveCores(AdmittedRequest request) {
        if (request.isInState(AdmittedRequest.State.RUNNING)) {
            rules.coreTime.advance(server.now(), rules.concurrency.running());
            request.leaveCores(rules.coreTime.coreSecondsPerRun());
            rules.concurrency.onRunPaused();
        }
    }

    // Downstream calls.

    /** Handles a run that cannot continue without a downstream call. */
    void onCallNeeded(AdmittedRequest request) {
        leaveCores(request);
        rules.inFlight.enter(request);
        request.classState().callSequence().onCallNeeded(request.successfulCalls());
        NanoDuration callTime = rules.dependency.callTime(server.now());
        boolean isTooSlow =
                target(request).filter(limit -> callTime.compareTo(limit) > 0).isPresent();
        if (request.requestClass().skippedCallValue() > 0 && isTooSlow) {
            skipCallOrFail(request);
        } else {
            rules.callQueue.add(request);
        }
    }

    /** Makes the call that a request waits for. */
    void call(AdmittedRequest request) {
        rules.callQueue.remove(request);
        request.moveTo(AdmittedRequest.State.CALLING);
        // Requests that wait to call don't load the dependency. A node that starts cold with a
        // shared dependency makes one call at a time until a baseline is known; if the waiting
        // requests counted here, no call would be a baseline call and no baseline would ever
        // become known.
        int waitingToCall = rules.hasNoBaseline() ? rules.callQueue.size() : 0;
        boolean isBaselineCall =
                rules.inFlight.limit().isUnderusedBy(rules.inFlight.inFlight() - waitingToCall);
        rules.concurrency.onCallStarted();
        request.startCall(server.now(), rules.dependency.onCallStarted(), isBaselineCall);
        NanoDuration timeout = rules.callTimeout.timeout(request, server.now());
        server.call(request.id(), timeout);
        MonotonicTime callMadeAt = request.calledAt();
        target(request)
                .filter(target -> target.compareTo(timeout) < 0)
                .ifPresent(target -> checkTargetAfter(request, callMadeAt, target));
        request.setLimitReduced(false);
    }

    private void checkTargetAfter(
            AdmittedRequest request, MonotonicTime callMadeAt, NanoDuration target) {
        rules.timers.scheduleAfter(target, () -> onTargetPassed(request, callMadeAt, target));
    }

    /**
     * Handles a call that is past its target: the limit is reduced at once, not when the call
     * returns.
     */
    @SuppressWarnings("ReferenceEquality") // the time object identifies the call
    private void onTargetPassed(
            AdmittedRequest request, MonotonicTime callMadeAt, NanoDuration target) {
        if (!request.isInState(AdmittedRequest.State.CALLING) || request.calledAt() != callMadeAt) {
            return;
        }
        reduceLimit(request);
        int laterSuccessfulCalls =
                rules.dependency.successfulCallsAfter(request.expectedSuccessfulCalls());
        switch (rules.retryPolicy.onOverdue(
                request, laterSuccessfulCalls, request.failedCallAttempts())) {
            case KEEP_WAITING -> checkTargetAfter(request, callMadeAt, target);
            case FAIL -> fail(request);
            case CALL_ANEW -> {
                request.markCallAttemptFailed();
                abandonCall(request);
                call(request);
            }
        }
    }

    /** Handles the end of a call. */
    void onCallCompleted(AdmittedRequest request, Outcome outcome, NanoDuration duration) {
        if (!request.isInState(AdmittedRequest.State.CALLING)) {
            return;
        }
        rules.concurrency.onCallEnded();
        double slack = request.classState().baseline().slack(duration);
        rules.dependency.onCallEnded(duration, slack, !rules.hasNoBaseline());
        if (outcome == Outcome.OK) {
            onCallAnswered(request, duration, slack < 1);
        } else {
            onCallFailed(request, outcome);
        }
    }

    private void onCallAnswered(AdmittedRequest request, NanoDuration duration, boolean slow) {
        rules.dependency.onCallSucceeded();
        releaseCall(request);
        if (target(request).filter(target -> duration.compareTo(target) > 0).isPresent()) {
            reduceLimit(request);
        } else {
            rules.inFlight.limit().onFastCall(rules.inFlight.inFlight());
            if (request.isBaselineCall()) {
                request.classState().baseline().add(duration, slow, request.arrivalNumber());
            }
        }
        CallSequence calls = request.classState().callSequence();
        calls.onCallSucceeded(request.successfulCalls());
        request.markCallSucceeded();
        if (!calls.predictAnotherCall(request.successfulCalls())) {
            rules.inFlight.leave(request);
        }
        enterCores(request);
    }

    private void onCallFailed(AdmittedRequest request, Outcome outcome) {
        reduceLimit(request);
        request.moveTo(AdmittedRequest.State.WAITING_TO_CALL);
        if (outcome == Outcome.TIMED_OUT) {
            abandonCall(request);
            skipCallOrFail(request);
            return;
        }
        releaseCall(request);
        request.markCallAttemptFailed();
        int attempts = request.failedCallAttempts();
        if (!rules.retryPolicy.mayRetry(outcome, request.requestClass(), attempts)) {
            skipCallOrFail(request);
            return;
        }
        double backoffSeconds = rules.cost.meanCoreSeconds(server.now()) * attempts;
        rules.timers.scheduleAfter(
                NanoDuration.ofSeconds(backoffSeconds),
                () -> {
                    if (request.isInState(AdmittedRequest.State.WAITING_TO_CALL)
                            && !request.needsNoAnswer()) {
                        rules.callQueue.add(request);
                    }
                });
    }

    /**
     * Skips the call where the request class has a positive skippedCallValue and the request still
     * needs an answer, else fails the request. Used when the call timed out, failed or could not
     * return in time, and instead of queueing the call while the expected call duration exceeds the
     * target.
     */
    void skipCallOrFail(AdmittedRequest request) {
        if (request.requestClass().skippedCallValue() > 0 && !request.needsNoAnswer()) {
            server.skipCall(request.id());
            enterCores(request);
        } else {
            fail(request);
        }
    }

    /**
     * Gives up a call. It still counts as in flight for the linger time, since the dependency may
     * go on with it.
     */
    private void abandonCall(AdmittedRequest request) {
        rules.timers.scheduleAfter(settings.callLinger(), () -> releaseCall(request));
        if (request.isInState(AdmittedRequest.State.CALLING)) {
            rules.concurrency.onCallEnded();
        }
        request.moveTo(AdmittedRequest.State.WAITING_TO_CALL);
    }

    private void releaseCall(AdmittedRequest request) {
        rules.dependency
                .onCallReleased(request.calledAt(), server.now())
                .ifPresent(nextCallAt -> rules.timers.scheduleAt(nextCallAt, () -> {}));
    }

    /**
     * Reduces the in-flight limit, at most once per attempt: when the call exceeds its target or
     * when it fails. One call has up to three attempts.
     */
    private void reduceLimit(AdmittedRequest request) {
        if (request.hasReducedLimit() || target(request).isEmpty()) {
            return;
        }
        request.setLimitReduced(true);
        rules.inFlight.limit().onSlowOrFailedCall();
        double limit = rules.inFlight.limit().limit();
        server.log(String.format(Locale.ROOT, "in-flight limit reduced limit=%.1f", limit));
    }

    private static Optional<NanoDuration> target(AdmittedRequest request) {
        return request.classState().baseline().target(request.requestClass());
    }
}
