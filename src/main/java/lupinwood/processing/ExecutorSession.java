package lupinwood.processing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.ResourceUsage;

/**
 * Sends the executor commands about runs and tracks which of them it is known to have read, because
 * the last commands before a connection is lost may be lost with it. Also tracks whether the
 * executor can stop runs and skip calls.
 *
 * <p>Owned by the event loop thread.
 */
final class ExecutorSession {
    /** How often resource usage is polled while commands are in doubt. */
    private static final NanoDuration DOUBT_POLL_INTERVAL = NanoDuration.ofSeconds(0.004);

    /** A tag that no query has. */
    private static final long NO_TAG = 0;

    private final Executor executor;
    private final TagSequence tags;
    private final RequestTable requests;
    private final TimerService timers;
    private final EventLoopClock clock;
    private final Supplier<RequestValidator> validator;
    private final Consumer<String> log;

    /**
     * The tag of the resource usage query that was sent on a restored connection. Its reply proves
     * that all executor messages missed while the connection was lost have been read. {@link
     * #NO_TAG} while no such reply is awaited.
     */
    private long recoveryTag = NO_TAG;

    /** Whether the executor can stop runs; assumed until it refuses to. */
    private boolean canStop = true;

    /** Whether the executor can let runs continue without a call; assumed until it refuses to. */
    private boolean canSkipCalls = true;

    /** The next poll of resource usage that resolves doubts; null if none is scheduled. */
    private TimerService.Timer doubtPoll;

    /**
     * Creates a session that has no connection yet.
     *
     * @param validator supplies the current validator, which knows which requests may run twice
     */
    ExecutorSession(
            Executor executor,
            TagSequence tags,
            RequestTable requests,
            TimerService timers,
            EventLoopClock clock,
            Supplier<RequestValidator> validator,
            Consumer<String> log) {
        this.executor = executor;
        this.tags = tags;
        this.requests = requests;
        this.timers = timers;
        this.clock = clock;
        this.validator = validator;
        this.log = log;
    }

    // ---- commands ----

    /** Asks the executor to run a request. */
    void run(ActiveRequest activeRequest) {
        IncomingRequest incomingRequest = activeRequest.incomingRequest;
        activeRequest.lastTagBeforeRun = tags.last();
        activeRequest.runsAtServer = !executor.isOnLink(incomingRequest.className());
        activeRequest.runSent =
                executor.run(
                        incomingRequest.attemptId(),
                        incomingRequest.className(),
                        incomingRequest.body());
    }

    /**
     * Sends a run command in doubt again, for a request whose response was written or is no longer
     * needed. Such a command can't start a run any more, and the reply tells whether the request
     * runs.
     */
    void runIfInDoubt(ActiveRequest activeRequest) {
        if (activeRequest.inDoubt && !activeRequest.runConfirmed) {
            activeRequest.inDoubt = false;
            run(activeRequest);
        }
    }

    /**
     * Stops a run if the executor can; otherwise the run continues, and its request is over at its
     * end.
     */
    void stop(ActiveRequest activeRequest) {
        if (canStop && activeRequest.started && !activeRequest.runsAtServer) {
            executor.stop(activeRequest.incomingRequest.attemptId());
        }
    }

    /** Sends a run the reply to the call that it waits for. */
    void giveReply(ActiveRequest activeRequest, byte[] reply) {
        activeRequest.unconfirmedReply = reply;
        giveReply(activeRequest);
    }

    /** Lets a run continue without its call; false if the executor can't do that for this run. */
    boolean skipCall(ActiveRequest activeRequest) {
        if (!canSkipCalls || activeRequest.runsAtServer) {
            return false;
        }
        giveReply(activeRequest, ActiveRequest.SKIP_CALL);
        return true;
    }

    private void giveReply(ActiveRequest activeRequest) {
        activeRequest.lastTagBeforeReply = tags.last();
        AttemptId id = activeRequest.incomingRequest.attemptId();
        activeRequest.replySent =
                activeRequest.isSkippingCall()
                        ? executor.skipCall(id)
                        : executor.giveReply(id, activeRequest.unconfirmedReply);
    }

    /**
     * Asks for resource usage. The reply with the returned tag proves that all earlier commands
     * were read.
     */
    long askResourceUsage() {
        long tag = tags.next();
        executor.askResourceUsage(tag);
        return tag;
    }

    // ---- executor capabilities ----

    boolean canSkipCalls() {
        return canSkipCalls;
    }

    /** Records that the executor refused to stop a run: it is not asked again. */
    void disableStop() {
        canStop = false;
    }

    /**
     * Records that the executor refused to skip a call: it is not asked again. Returns false if
     * that was known before.
     */
    boolean disableSkippingCalls() {
        boolean wasEnabled = canSkipCalls;
        canSkipCalls = false;
        return wasEnabled;
    }

    /** The runs that were told to continue without their call and may not have read that yet. */
    List<ActiveRequest> skippingCalls() {
        return requests.started().stream().filter(ActiveRequest::isSkippingCall).toList();
    }

    // ---- command confirmation ----

    /**
     * Handles a restored connection. Resource usage queried now arrives after all missed messages.
     */
    void onConnectionRestored() {
        recoveryTag = tags.next();
        executor.askResourceUsage(recoveryTag);
    }

    /**
     * Handles a run's need for a call, which proves that the run command and the reply to its
     * previous call were read.
     */
    void onCallNeeded(ActiveRequest activeRequest) {
        activeRequest.runConfirmed = true;
        activeRequest.inDoubt = false;
        activeRequest.unconfirmedReply = null;
    }

    /**
     * Handles the reply to a resource usage query: all commands before the query with this tag were
     * read.
     */
    void onResourceUsage(long tag, ResourceUsage usage) {
        if (recoveryTag != NO_TAG && tag == recoveryTag) {
            recoveryTag = NO_TAG;
            recover();
        } else if (recoveryTag == NO_TAG) {
            requests.started().forEach(activeRequest -> confirmBefore(tag, activeRequest));
        }
        if (recoveryTag == NO_TAG) {
            resolveDoubts(usage.wantingCore());
        }
    }

    private static void confirmBefore(long tag, ActiveRequest activeRequest) {
        activeRequest.runConfirmed |=
                activeRequest.runSent
                        && !activeRequest.inDoubt
                        && tag > activeRequest.lastTagBeforeRun;
        if (activeRequest.replySent
                && !activeRequest.inDoubt
                && tag > activeRequest.lastTagBeforeReply) {
            activeRequest.callBody = activeRequest.isSkippingCall() ? null : activeRequest.callBody;
            activeRequest.unconfirmedReply = null;
        }
    }

    /**
     * Recovers after a lost connection, on which the last commands may not have been read. Commands
     * that were never written are written now. A safe request's run command is sent again even if
     * it was written, because a run in progress ignores it. All other unconfirmed commands are in
     * doubt.
     */
    private void recover() {
        requests.started().stream()
                .filter(activeRequest -> !activeRequest.runsAtServer)
                .forEach(this::recover);
    }

    private void recover(ActiveRequest activeRequest) {
        if (!activeRequest.runConfirmed) {
            if (activeRequest.runSent && !validator.get().isSafe(activeRequest.incomingRequest)) {
                activeRequest.inDoubt = true;
            } else {
                run(activeRequest);
            }
        } else if (activeRequest.unconfirmedReply != null && !activeRequest.answered) {
            activeRequest.inDoubt = activeRequest.replySent;
            if (!activeRequest.inDoubt) {
                giveReply(activeRequest);
            }
        }
    }

    /**
     * Sends commands in doubt again once it is proved that they were not read. They must not be
     * repeated without proof: an idempotent run might just have ended and would run twice, and a
     * run that has its reply would take a repeated one for the reply to its next call. The number
     * of requests that use or wait for a core is the proof: it counts every run there (and whatever
     * else uses the cores), and all executor messages before it have been read. If it is no more
     * than the number of runs that are certainly there, no run in doubt is there, so none of the
     * commands was read. Until then it is polled.
     *
     * @param wantingCore how many requests use or wait for a core at the executor; NaN if unknown
     */
    private void resolveDoubts(double wantingCore) {
        int certainCount = 0;
        List<ActiveRequest> inDoubt = new ArrayList<>();
        for (ActiveRequest activeRequest : requests.started()) {
            if (activeRequest.inDoubt) {
                inDoubt.add(activeRequest);
            } else if (isCertainlyOnCore(activeRequest)) {
                certainCount++;
            }
        }
        if (inDoubt.isEmpty() || Double.isNaN(wantingCore)) {
            return;
        }
        if (wantingCore <= certainCount) {
            log.accept("resent commands lost with the executor connection count=" + inDoubt.size());
            inDoubt.forEach(this::resend);
        } else if (doubtPoll == null) {
            MonotonicTime next = clock.now().plus(DOUBT_POLL_INTERVAL);
            doubtPoll = timers.schedule(next, this::pollDoubts);
        }
    }

    private static boolean isCertainlyOnCore(ActiveRequest activeRequest) {
        return !activeRequest.runsAtServer
                && activeRequest.runConfirmed
                && activeRequest.callBody == null
                && activeRequest.unconfirmedReply == null;
    }

    private void resend(ActiveRequest activeRequest) {
        activeRequest.inDoubt = false;
        if (!activeRequest.runConfirmed) {
            run(activeRequest);
        } else if (!activeRequest.answered) {
            giveReply(activeRequest);
        }
    }

    private void pollDoubts() {
        doubtPoll = null;
        askResourceUsage();
    }
}
