package lupinwood.processing;

import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.TimerSet;
import lupinwood.processing.CommandDelivery.State;

/**
 * Sends the executor commands about runs and tracks which of them it is known to have read, because
 * the last commands before a connection is lost may be lost with it. Also tracks whether the
 * executor can stop runs and skip calls.
 *
 * <p>Owned by the event loop thread.
 */
final class ExecutorSession {
    /**
     * How long after its client's timeout a request counts as over at the executor too. Its
     * response is on the way for a part of that time, and the two may see the timeout at different
     * moments.
     */
    private static final NanoDuration OVER_MARGIN = NanoDuration.ofSeconds(0.25);

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

    /** Fires when the next request with a run command in doubt is over; null if there is none. */
    private TimerSet.Timer overTimer;

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
     * Handles a client that no longer waits for a request. The request is over, also for the
     * executor, so a run command in doubt can be sent again.
     */
    void onAborted(ActiveRequest activeRequest) {
        activeRequest.aborted = true;
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
    void onResourceUsage(long queryTag) {
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
     * doubt, and nothing that the executor reports proves that one was not read: resource usage
     * does not count a run that waits for a disk. They stay in doubt until a message about the run
     * arrives or the request is over. Commands already written to the restored connection are not
     * in doubt: they arrive in their turn. Stop commands are not sent again.
     */
    private void recover() {
        int runsInDoubt = 0;
        int repliesInDoubt = 0;
        for (ActiveRequest activeRequest : runsOnConnection()) {
            activeRequest.runDelivery.onRecovery(currentConnection);
            runsInDoubt += isRunInDoubt(activeRequest) ? 1 : 0;
            if (activeRequest.unconfirmedReply != null) {
                activeRequest.unconfirmedReply.delivery.onRecovery(currentConnection);
                repliesInDoubt += isReplyInDoubt(activeRequest) ? 1 : 0;
            }
        }
        if (runsInDoubt + repliesInDoubt > 0) {
            log.accept(
                    "executor connection recovered connection="
                            + currentConnection
                            + " runsInDoubt="
                            + runsInDoubt
                            + " repliesInDoubt="
                            + repliesInDoubt);
        }
        writeUnread();
        scheduleOverTimer();
    }

    private boolean isRunInDoubt(ActiveRequest activeRequest) {
        return activeRequest.runDelivery.is(State.IN_DOUBT) && !isSafe(activeRequest);
    }

    /** A request that has its response needs no reply any more, so none is in doubt. */
    private static boolean isReplyInDoubt(ActiveRequest activeRequest) {
        return activeRequest.unconfirmedReply.delivery.is(State.IN_DOUBT)
                && !activeRequest.answered;
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
    void onHandOverFailed() {
        if (!awaitsRecovery) {
            writeUnread();
        }
    }

    /** Writes the commands that the executor has not read, or may read twice without harm. */
    private void writeUnread() {
        for (ActiveRequest activeRequest : runsOnConnection()) {
            CommandDelivery run = activeRequest.runDelivery;
            if (run.is(State.UNSENT)
                    || (run.is(State.IN_DOUBT) && mayRunCommandBeRepeated(activeRequest))) {
                run(activeRequest);
            }
            CallReply reply = activeRequest.unconfirmedReply;
            if (reply != null && reply.delivery.is(State.UNSENT) && !activeRequest.answered) {
                writeReply(activeRequest);
            }
        }
    }

    private boolean mayRunCommandBeRepeated(ActiveRequest activeRequest) {
        return isSafe(activeRequest) || isOver(activeRequest);
    }

    private boolean isSafe(ActiveRequest activeRequest) {
        return validator.get().isSafe(activeRequest.incomingRequest);
    }

    /**
     * Whether the request is over at the executor too, which then starts no run of it and reports
     * whether one is still in progress. The response alone does not tell: a run command sent right
     * behind it may arrive before it.
     */
    private boolean isOver(ActiveRequest activeRequest) {
        return activeRequest.aborted || !clock.now().isBefore(overAt(activeRequest));
    }

    private static MonotonicTime overAt(ActiveRequest activeRequest) {
        return activeRequest.clientWaitsUntil.plus(OVER_MARGIN);
    }

    private void scheduleOverTimer() {
        timers.cancel(overTimer);
        overTimer =
                runsOnConnection().stream()
                        .filter(this::isRunInDoubt)
                        .filter(activeRequest -> !isOver(activeRequest))
                        .map(ExecutorSession::overAt)
                        .min(Comparator.naturalOrder())
                        .map(overAt -> timers.schedule(overAt, this::onRequestsOver))
                        .orElse(null);
    }

    private void onRequestsOver() {
        writeUnread();
        scheduleOverTimer();
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
