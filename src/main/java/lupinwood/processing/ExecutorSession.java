package lupinwood.processing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.ResourceUsage;
import lupinwood.processing.CommandDelivery.State;

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
    private static final long NO_QUERY_TAG = 0;

    private final Executor executor;
    private final QueryTagSequence queryTags;
    private final RequestTable requests;
    private final TimerService timers;
    private final EventLoopClock clock;
    private final Supplier<RequestValidator> validator;
    private final Consumer<String> log;

    /** The number of the current connection; it grows by one with each restored connection. */
    private long currentConnection;

    /**
     * The tag of the first resource usage query on the current connection. Its reply arrives after
     * all executor messages that were not delivered while the connection was lost, so it proves
     * that those have been read. {@link #NO_QUERY_TAG} on the first connection, which has no such
     * query.
     */
    private long recoveryQueryTag = NO_QUERY_TAG;

    /** Whether the reply to the recovery query has not arrived yet. */
    private boolean awaitsRecovery;

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
            QueryTagSequence queryTags,
            RequestTable requests,
            TimerService timers,
            EventLoopClock clock,
            Supplier<RequestValidator> validator,
            Consumer<String> log) {
        this.executor = executor;
        this.queryTags = queryTags;
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
        activeRequest.runsAtServer = !executor.usesExecutorConnection(incomingRequest.className());
        boolean written =
                executor.run(
                        incomingRequest.attemptId(),
                        incomingRequest.className(),
                        incomingRequest.body());
        activeRequest.runDelivery.onWriteAttempted(written, currentConnection, queryTags.last());
    }

    /**
     * Sends a run command in doubt again, for a request whose response was written or is no longer
     * needed. The completion that the executor reports tells whether the earlier command was read.
     */
    void runIfInDoubt(ActiveRequest activeRequest) {
        if (activeRequest.runDelivery.is(State.IN_DOUBT)) {
            run(activeRequest);
        }
    }

    /**
     * Stops a run if the executor can; otherwise the run continues, and the request ends when the
     * run ends.
     */
    void stop(ActiveRequest activeRequest) {
        if (canStop && activeRequest.started && !activeRequest.runsAtServer) {
            executor.stop(activeRequest.incomingRequest.attemptId());
        }
    }

    /** Sends a run the reply to the call that it waits for. */
    void giveReply(ActiveRequest activeRequest, byte[] reply) {
        activeRequest.unconfirmedReply = CallReply.of(reply);
        writeReply(activeRequest);
    }

    /** Lets a run continue without its call; false if the executor can't do that for this run. */
    boolean skipCall(ActiveRequest activeRequest) {
        if (!canSkipCalls || activeRequest.runsAtServer) {
            return false;
        }
        activeRequest.unconfirmedReply = CallReply.skip();
        writeReply(activeRequest);
        return true;
    }

    private void writeReply(ActiveRequest activeRequest) {
        CallReply reply = activeRequest.unconfirmedReply;
        boolean written = reply.writeTo(executor, activeRequest.incomingRequest.attemptId());
        reply.delivery.onWriteAttempted(written, currentConnection, queryTags.last());
    }

    /**
     * Asks for resource usage. The reply with the returned tag proves that all earlier commands
     * were read, except those in doubt, unless the connection is lost in between.
     */
    long askResourceUsage() {
        long queryTag = queryTags.next();
        executor.askResourceUsage(queryTag);
        return queryTag;
    }

    // ---- executor capabilities ----

    boolean canSkipCalls() {
        return canSkipCalls;
    }

    /**
     * Records that the executor refused to stop a run: the executor is not asked to stop one again.
     */
    void disableStop() {
        canStop = false;
    }

    /**
     * Records that the executor refused to skip a call: the executor is not asked to skip one
     * again. Returns false if that was known before.
     */
    boolean disableSkippingCalls() {
        boolean wasEnabled = canSkipCalls;
        canSkipCalls = false;
        return wasEnabled;
    }

    /**
     * The runs that were told to continue without their call, where the executor may not have read
     * that yet.
     */
    List<ActiveRequest> skippingCalls() {
        return requests.started().stream().filter(ActiveRequest::isSkippingCall).toList();
    }

    // ---- command confirmation ----

    /**
     * Handles a restored connection. The reply to a resource usage query sent now arrives after all
     * executor messages that were not delivered while the connection was lost.
     */
    void onConnectionRestored() {
        currentConnection++;
        awaitsRecovery = true;
        recoveryQueryTag = queryTags.next();
        executor.askResourceUsage(recoveryQueryTag);
    }

    /**
     * Handles a run's need for a call, which proves that the run command and the reply to its
     * previous call were read.
     */
    void onCallNeeded(ActiveRequest activeRequest) {
        activeRequest.runDelivery.onProvenRead();
        activeRequest.unconfirmedReply = null;
    }

    /**
     * Handles the reply to a resource usage query. It proves that all commands written to the
     * current connection before the query were read. Until the reply to the recovery query begins
     * the recovery, other replies prove nothing, and neither does a late one of an earlier
     * connection.
     */
    void onResourceUsage(long queryTag, ResourceUsage usage) {
        boolean isOfEarlierConnection = queryTag < recoveryQueryTag;
        boolean overtakesRecovery = awaitsRecovery && queryTag > recoveryQueryTag;
        if (isOfEarlierConnection || overtakesRecovery) {
            return;
        }
        if (awaitsRecovery) {
            awaitsRecovery = false;
            recover();
        } else {
            requests.started().forEach(activeRequest -> confirmBefore(queryTag, activeRequest));
        }
        resolveDoubts(usage.wantingCore());
    }

    private static void confirmBefore(long queryTag, ActiveRequest activeRequest) {
        activeRequest.runDelivery.onQueryReply(queryTag);
        CallReply reply = activeRequest.unconfirmedReply;
        if (reply != null) {
            reply.delivery.onQueryReply(queryTag);
            if (reply.delivery.is(State.READ)) {
                activeRequest.callBody = reply.skipsCall() ? null : activeRequest.callBody;
                activeRequest.unconfirmedReply = null;
            }
        }
    }

    /**
     * Recovers after a lost connection, on which the last commands may not have been read. Commands
     * that were never written are written now; replies only if their request is still open. A safe
     * request's run command is sent again even if it was written, because a run in progress ignores
     * it. All other commands written to an earlier connection and not known to be read are in
     * doubt. Commands already written to the restored connection are not: they arrive in their
     * turn. Stop commands are not sent again.
     */
    private void recover() {
        for (ActiveRequest activeRequest : runsOnConnection()) {
            activeRequest.runDelivery.onRecovery(currentConnection);
            if (activeRequest.unconfirmedReply != null) {
                activeRequest.unconfirmedReply.delivery.onRecovery(currentConnection);
            }
        }
        writeUnread();
    }

    /** The requests for which a run was requested, except runs at servers. */
    private List<ActiveRequest> runsOnConnection() {
        return requests.started().stream()
                .filter(activeRequest -> !activeRequest.runsAtServer)
                .toList();
    }

    /**
     * Handles a connection that takes commands again after a hand-over to another one failed.
     * Nothing written before is lost, but commands given meanwhile were not written.
     */
    void onHandOverAbandoned() {
        if (!awaitsRecovery) {
            writeUnread();
        }
    }

    /** Writes the commands that the executor has not read, or may read twice. */
    private void writeUnread() {
        for (ActiveRequest activeRequest : runsOnConnection()) {
            CommandDelivery run = activeRequest.runDelivery;
            if (run.is(State.UNSENT) || (run.is(State.IN_DOUBT) && isSafe(activeRequest))) {
                run(activeRequest);
            }
            CallReply reply = activeRequest.unconfirmedReply;
            if (reply != null && reply.delivery.is(State.UNSENT) && !activeRequest.answered) {
                writeReply(activeRequest);
            }
        }
    }

    private boolean isSafe(ActiveRequest activeRequest) {
        return validator.get().isSafe(activeRequest.incomingRequest);
    }

    /**
     * Sends commands in doubt again once it is proved that they were not read. They must not be
     * repeated without proof: an idempotent run might just have ended and would run twice, and a
     * run that has its reply would take a repeated one for the reply to its next call. The executor
     * reports how many requests use or wait for a core. That number includes every run on a core
     * (and whatever else uses the cores), and every executor message sent before it has been read
     * by now. If it is at most the number of runs that are known to be on a core, no run in doubt
     * is on a core, so the executor read none of the commands in doubt. Otherwise resource usage is
     * polled again after each reply that contains the number; without the number nothing is
     * resolved or polled.
     *
     * <p>The logged count is the number of commands sent again.
     *
     * @param wantingCore how many requests use or wait for a core at the executor; NaN if unknown
     */
    private void resolveDoubts(double wantingCore) {
        int certainCount = 0;
        List<ActiveRequest> inDoubt = new ArrayList<>();
        for (ActiveRequest activeRequest : requests.started()) {
            if (isInDoubt(activeRequest)) {
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

    private static boolean isInDoubt(ActiveRequest activeRequest) {
        return activeRequest.runDelivery.is(State.IN_DOUBT) || isReplyInDoubt(activeRequest);
    }

    /** A request that has its response needs no reply any more, so none is in doubt. */
    private static boolean isReplyInDoubt(ActiveRequest activeRequest) {
        CallReply reply = activeRequest.unconfirmedReply;
        return reply != null && reply.delivery.is(State.IN_DOUBT) && !activeRequest.answered;
    }

    private static boolean isCertainlyOnCore(ActiveRequest activeRequest) {
        return !activeRequest.runsAtServer
                && activeRequest.runDelivery.is(State.READ)
                && activeRequest.callBody == null
                && activeRequest.unconfirmedReply == null;
    }

    private void resend(ActiveRequest activeRequest) {
        if (activeRequest.runDelivery.is(State.IN_DOUBT)) {
            run(activeRequest);
        } else {
            writeReply(activeRequest);
        }
    }

    private void pollDoubts() {
        doubtPoll = null;
        askResourceUsage();
    }

    @Override
    public String toString() {
        return "connection="
                + currentConnection
                + " awaitsRecovery="
                + awaitsRecovery
                + " recoveryQuery="
                + recoveryQueryTag;
    }
}
