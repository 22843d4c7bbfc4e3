package lupinwood.admission;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The way of a request through its states, and what each step has the machine do and the rules
 * learn. Each request has one final answer: its result, {@link #reject} or {@link #fail}.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class RequestLifecycle {
    private final ServerActions server;
    private final AdmissionRules rules;
    private final boolean canStopRuns;
    private PolicySettings settings;

    /** All that are owed an answer or take memory, in the order of arrival. */
    private final TreeMap<Long, AdmittedRequest> open = new TreeMap<>();

    RequestLifecycle(ServerActions server, AdmissionRules rules, PolicySettings settings) {
        this.server = server;
        this.rules = rules;
        this.settings = settings;
        canStopRuns = settings.machine().canStopRuns();
    }

    void update(PolicySettings changed) {
        settings = changed;
    }

    // ---- arrival and end ----

    /** A request was read; it takes memory from now on. */
    void open(AdmittedRequest request) {
        open.put(request.number(), request);
        rules.memory.reserve(request.request().memoryKb());
    }

    /** Takes a request into the queue for a core. */
    void enqueue(AdmittedRequest request) {
        rules.idempotency.remember(request);
        rules.inFlight.enter(request);
        rules.queue.add(request);
    }

    /** Has a retry answered from its original's result, now or once that is there. */
    void answerFromOriginal(AdmittedRequest request) {
        request.moveTo(AdmittedRequest.State.AWAITING_ORIGINAL);
        server.answerFromOriginal(request.id());
    }

    /** Rejects all that are open; what ran is failed instead. */
    void rejectAll(RejectionReason reason) {
        for (AdmittedRequest request : List.copyOf(open.values())) {
            reject(request, reason, NanoDuration.ZERO);
        }
    }

    /**
     * Final answer: it never ran here. One that did run, here or as its original, is failed
     * instead, since a rejection promises that nothing ran.
     */
    void reject(AdmittedRequest request, RejectionReason reason, NanoDuration retryAfter) {
        if (request.hasRun()
                || request.isAnswered()
                || request.is(AdmittedRequest.State.AWAITING_ORIGINAL)) {
            fail(request);
            return;
        }
        server.log("request rejected id=" + request.id().number() + " reason=" + reason.logName());
        server.reject(
                request.id(),
                rules.rejections.discouragesOtherNodes(request, server.now()),
                rules.rejections.retryAfter(request, retryAfter));
        request.markAnswered();
        request.refundQuota();
        finish(request);
    }

    /**
     * Final answer: an error, with nothing promised. Nothing happens if it has its answer. A
     * request whose run has begun isn't finished by this: it takes memory until the executor ends
     * the run and {@link #onCompleted} comes.
     */
    void fail(AdmittedRequest request) {
        if (request.isAnswered()) {
            return;
        }
        request.markAnswered();
        request.markFailed();
        server.fail(request.id());
        if (request.is(AdmittedRequest.State.CALLING)) {
            giveUpCall(request);
        } else if (!request.is(AdmittedRequest.State.RUNNING)) {
            finish(request);
        } else if (canStopRuns) {
            server.stop(request.id());
        }
    }

    /** Nobody waits for the request any more. */
    void onClientGone(AdmittedRequest request) {
        request.markAnswered();
        if (request.is(AdmittedRequest.State.RUNNING) && canStopRuns) {
            server.stop(request.id());
        } else if (!request.hasRun()) {
            // Whoever leaves before the objective passed has asked for nothing: a client gone wild
            // may send and withdraw hundreds, which are neither its tenant's quota nor a class
            // served badly.
            if (server.now().isBefore(request.due())) {
                request.refundQuota();
                rules.utility.onWithdrawn(request.classIndex());
            }
            finish(request);
        }
    }

    private void finish(AdmittedRequest request) {
        leaveCores(request);
        rules.queue.remove(request);
        rules.callQueue.remove(request);
        request.moveTo(AdmittedRequest.State.FINISHED);
        open.remove(request.number());
        if (request.hasProvablyNotRun()) {
            rules.idempotency.release(request);
        }
        rules.memory.release(
                request.request().memoryKb() + (request.hasRun() ? runMemoryKb(request) : 0));
        rules.inFlight.leave(request);
        server.release(request.id());
    }

    // ---- running ----

    /** Starts a queued request on a core. */
    void run(AdmittedRequest request) {
        rules.queue.remove(request);
        request.markRun();
        rules.memory.reserve(runMemoryKb(request));
        enterCores(request);
        server.run(request.id());
    }

    /** What running takes of the memory budget beyond being queued. */
    double runMemoryKb(AdmittedRequest request) {
        return request.request().memoryKb() * (settings.runMemoryFactor() - 1);
    }

    /** The run ended, or the retry's original did. */
    void onCompleted(AdmittedRequest request, Outcome outcome) {
        boolean wasRunning = request.is(AdmittedRequest.State.RUNNING);
        if (request.is(AdmittedRequest.State.CALLING)) {
            giveUpCall(request);
        }
        leaveCores(request);
        boolean inTime = !request.isAnswered() && !request.due().isBefore(server.now());
        if (outcome == Outcome.OK && inTime) {
            rules.utility.onServedInTime(request.classIndex());
        }
        if (outcome == Outcome.OK && wasRunning) {
            rules.cost.onCompleted(request, request.coreSeconds());
        }
        request.markEnded(outcome);
        finish(request);
    }

    private void enterCores(AdmittedRequest request) {
        rules.coreTime.advance(server.now(), rules.concurrency.running());
        request.startRun(rules.coreTime.givenSeconds());
        rules.concurrency.onRunning();
    }

    private void leaveCores(AdmittedRequest request) {
        if (request.is(AdmittedRequest.State.RUNNING)) {
            rules.coreTime.advance(server.now(), rules.concurrency.running());
            request.pauseRun(rules.coreTime.givenSeconds());
            rules.concurrency.onNotRunning();
        }
    }

    // ---- calling downstream ----

    /** The run can't go on without a call. */
    void onCallNeeded(AdmittedRequest request) {
        leaveCores(request);
        rules.inFlight.enter(request);
        request.classState().callSequence().onCallNeeded(request.callsEnded());
        NanoDuration callTime = rules.dependency.callTime(server.now());
        boolean tooSlow = target(request).filter(it -> callTime.compareTo(it) > 0).isPresent();
        if (request.requestClass().skippedCallValue() > 0 && tooSlow) {
            skipCallOrFail(request);
        } else {
            rules.callQueue.add(request);
        }
    }

    /** Makes the call that a request waits for. */
    void call(AdmittedRequest request) {
        rules.callQueue.remove(request);
        request.moveTo(AdmittedRequest.State.CALLING);
        // Those that wait for their turn to call don't load the dependency: while that turn is one
        // call at a time, since no baseline is known yet, they must not keep it from ever being
        // known.
        int waiting = rules.hasNoBaseline() ? rules.callQueue.size() : 0;
        boolean baseline =
                rules.inFlight.limit().isUnderusedBy(rules.inFlight.inFlight() - waiting);
        rules.concurrency.onCalling();
        request.startCall(server.now(), rules.dependency.onCallMade(), baseline);
        NanoDuration timeout = rules.callTimeout.timeout(request, server.now());
        server.call(request.id(), timeout);
        MonotonicTime thisCall = request.calledAt();
        target(request)
                .filter(target -> target.compareTo(timeout) < 0)
                .ifPresent(target -> watchCallIn(request, thisCall, target));
        request.markLimitCut(false);
    }

    private void watchCallIn(AdmittedRequest request, MonotonicTime thisCall, NanoDuration target) {
        rules.timers.scheduleAfter(target, () -> onTargetPassed(request, thisCall, target));
    }

    /** A call is past its target while it is out: the limit comes down now, not when it returns. */
    @SuppressWarnings("ReferenceEquality") // the time's object stands for this one call
    private void onTargetPassed(
            AdmittedRequest request, MonotonicTime thisCall, NanoDuration target) {
        if (!request.is(AdmittedRequest.State.CALLING) || request.calledAt() != thisCall) {
            return;
        }
        cutLimit(request);
        int completedLater = rules.dependency.completedSince(request.completedMark());
        switch (rules.retries.onOverdue(request, completedLater, request.callAttempts())) {
            case KEEP_WAITING -> watchCallIn(request, thisCall, target);
            case FAIL -> fail(request);
            case CALL_ANEW -> {
                request.markCallAttemptFailed();
                giveUpCall(request);
                call(request);
            }
        }
    }

    /** A call came to its end. */
    void onCallCompleted(AdmittedRequest request, Outcome outcome, NanoDuration took) {
        if (!request.is(AdmittedRequest.State.CALLING)) {
            return;
        }
        rules.concurrency.onNotCalling();
        double slack = request.classState().baseline().slack(took);
        rules.dependency.onLatency(took, slack, !rules.hasNoBaseline());
        if (outcome == Outcome.OK) {
            onCallAnswered(request, took, slack < 1);
        } else {
            onCallFailed(request, outcome);
        }
    }

    private void onCallAnswered(AdmittedRequest request, NanoDuration took, boolean slow) {
        rules.dependency.onCallCompleted();
        takeCallOutOfFlight(request);
        if (target(request).filter(target -> took.compareTo(target) > 0).isPresent()) {
            cutLimit(request);
        } else {
            rules.inFlight.limit().onFastCall(rules.inFlight.inFlight());
            if (request.isBaselineCall()) {
                request.classState().baseline().add(took, slow, request.number());
            }
        }
        CallSequence calls = request.classState().callSequence();
        calls.onCallEnded(request.callsEnded());
        request.markCallEnded();
        if (!calls.isAnotherCallLikely(request.callsEnded())) {
            rules.inFlight.leave(request);
        }
        enterCores(request);
    }

    private void onCallFailed(AdmittedRequest request, Outcome outcome) {
        cutLimit(request);
        request.moveTo(AdmittedRequest.State.WAITING_TO_CALL);
        if (outcome == Outcome.TIMED_OUT) {
            giveUpCall(request);
            skipCallOrFail(request);
            return;
        }
        takeCallOutOfFlight(request);
        request.markCallAttemptFailed();
        int attempts = request.callAttempts();
        if (!rules.retries.mayRetry(outcome, request.requestClass(), attempts)) {
            skipCallOrFail(request);
            return;
        }
        double backoffSeconds = rules.cost.meanCost(server.now()) * attempts;
        rules.timers.scheduleAfter(
                NanoDuration.ofSeconds(backoffSeconds),
                () -> {
                    if (request.is(AdmittedRequest.State.WAITING_TO_CALL)
                            && !request.isAnswered()) {
                        rules.callQueue.add(request);
                    }
                });
    }

    /**
     * Goes on without the call where the settings pay for an answer without it: when the call timed
     * out or failed, in time for it, and at once while calls take longer than their target.
     */
    void skipCallOrFail(AdmittedRequest request) {
        if (request.requestClass().skippedCallValue() > 0 && !request.isAnswered()) {
            server.skipCall(request.id());
            enterCores(request);
        } else {
            fail(request);
        }
    }

    /** Rule 4: a call that was given up stays in flight at the dependency for a while. */
    private void giveUpCall(AdmittedRequest request) {
        rules.timers.scheduleAfter(settings.callLinger(), () -> takeCallOutOfFlight(request));
        if (request.is(AdmittedRequest.State.CALLING)) {
            rules.concurrency.onNotCalling();
        }
        request.moveTo(AdmittedRequest.State.WAITING_TO_CALL);
    }

    private void takeCallOutOfFlight(AdmittedRequest request) {
        rules.dependency
                .onCallOutOfFlight(request.calledAt(), server.now())
                .ifPresent(nextCallAt -> rules.timers.scheduleAt(nextCallAt, () -> {}));
    }

    /**
     * The limit comes down at most once an attempt: past its target while it is out, or when it is
     * dropped. One call has up to three attempts.
     */
    private void cutLimit(AdmittedRequest request) {
        if (request.hasCutLimit() || target(request).isEmpty()) {
            return;
        }
        request.markLimitCut(true);
        rules.inFlight.limit().onSlowOrDroppedCall();
        double limit = rules.inFlight.limit().limit();
        server.log(String.format(Locale.ROOT, "in-flight limit reduced limit=%.1f", limit));
    }

    private static Optional<NanoDuration> target(AdmittedRequest request) {
        return request.classState().baseline().target(request.requestClass());
    }
}
