package lupinwood.processing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.ResourceUsage;

/**
 * The commands about runs that the executor was given, and which of them it is known to have read:
 * a link that is lost may lose the last ones. Whether it can stop runs and skip calls is learned
 * here too.
 *
 * <p>Owned by the event loop thread.
 */
final class ExecutorSession {
    /** While commands are in doubt the executor's cores are looked at so often. */
    private static final NanoDuration DOUBT_POLL_INTERVAL = NanoDuration.ofSeconds(0.004);

    /** No question has this tag. */
    private static final long NO_TAG = 0;

    private final Executor executor;
    private final TagSequence tags;
    private final RequestTable requests;
    private final TimerService timers;
    private final EventLoopClock clock;
    private final Supplier<RequestValidator> validator;
    private final Consumer<String> log;

    /**
     * The tag whose resource usage, when it comes, proves that all notices missed by the loss of a
     * link were read; {@link #NO_TAG} while none is awaited.
     */
    private long replayTag = NO_TAG;

    /** Whether the executor may stop runs; so until it says otherwise. */
    private boolean canStop = true;

    /** Whether the executor may let runs go on without a call; so until it says otherwise. */
    private boolean canSkipCalls = true;

    /** When resource usage is asked for next to settle doubts, or null. */
    private TimerService.Timer doubtPoll;

    /**
     * A session before its first link.
     *
     * @param validator the one in force, which tells what may run twice
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

    /** Asks for a run. */
    void run(ActiveRequest activeRequest) {
        IncomingRequest incomingRequest = activeRequest.incomingRequest;
        activeRequest.lastTagBeforeRun = tags.last();
        activeRequest.offLink = !executor.isOnLink(incomingRequest.className());
        activeRequest.runSent =
                executor.run(
                        incomingRequest.attemptId(),
                        incomingRequest.className(),
                        incomingRequest.body());
    }

    /** Once answered nothing can start any more, so asking is safe, and tells whether it runs. */
    void runIfInDoubt(ActiveRequest activeRequest) {
        if (activeRequest.inDoubt && !activeRequest.runConfirmed) {
            activeRequest.inDoubt = false;
            run(activeRequest);
        }
    }

    /** Stops a run; one that can't be stopped goes on to its end, and its request is over then. */
    void stop(ActiveRequest activeRequest) {
        if (canStop && activeRequest.started && !activeRequest.offLink) {
            executor.stop(activeRequest.incomingRequest.attemptId());
        }
    }

    /** Hands a run the reply to the call that it waits for. */
    void giveReply(ActiveRequest activeRequest, byte[] reply) {
        activeRequest.unreadReply = reply;
        giveReply(activeRequest);
    }

    /** Lets a run go on without its call; false where no run can. */
    boolean skipCall(ActiveRequest activeRequest) {
        if (!canSkipCalls || activeRequest.offLink) {
            return false;
        }
        giveReply(activeRequest, ActiveRequest.NO_CALL);
        return true;
    }

    private void giveReply(ActiveRequest activeRequest) {
        activeRequest.lastTagBeforeReply = tags.last();
        AttemptId id = activeRequest.incomingRequest.attemptId();
        activeRequest.replySent =
                activeRequest.isSkippingCall()
                        ? executor.skipCall(id)
                        : executor.giveReply(id, activeRequest.unreadReply);
    }

    /** Asks for resource usage; when that of this tag comes, all commands before were read. */
    long askResourceUsage() {
        long tag = tags.next();
        executor.askResourceUsage(tag);
        return tag;
    }

    // ---- what the executor can do ----

    boolean canSkipCalls() {
        return canSkipCalls;
    }

    /** The executor refused to stop a run: it is asked for no other. */
    void disableStop() {
        canStop = false;
    }

    /** The executor refused to skip a call: it is asked for no other. False where known before. */
    boolean disableSkippingCalls() {
        boolean wasEnabled = canSkipCalls;
        canSkipCalls = false;
        return wasEnabled;
    }

    /** The runs that were told to go on without their call and may not have read so. */
    List<ActiveRequest> skippingCalls() {
        return requests.started().stream().filter(ActiveRequest::isSkippingCall).toList();
    }

    // ---- what was read ----

    /** A link stands again. Resource usage asked for now comes after all notices missed. */
    void linkRestored() {
        replayTag = tags.next();
        executor.askResourceUsage(replayTag);
    }

    /** A run needs a call, so it read the command to run it and the reply to its call before. */
    void callReceived(ActiveRequest activeRequest) {
        activeRequest.runConfirmed = true;
        activeRequest.inDoubt = false;
        activeRequest.unreadReply = null;
    }

    /** Resource usage was read, and so all commands before the question with this tag. */
    void resourceUsageRead(long tag, ResourceUsage usage) {
        if (replayTag != NO_TAG && tag == replayTag) {
            replayTag = NO_TAG;
            sendAgain();
        } else if (replayTag == NO_TAG) {
            requests.started().forEach(activeRequest -> confirmBefore(tag, activeRequest));
        }
        if (replayTag == NO_TAG) {
            settleDoubts(usage.wantingCore());
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
            activeRequest.unreadReply = null;
        }
    }

    /**
     * After a lost link: what was sent last may not have been read. What was never written is
     * written now, and a safe request's run may be asked for twice, since a run that goes on
     * ignores it. All else is in doubt.
     */
    private void sendAgain() {
        requests.started().stream()
                .filter(activeRequest -> !activeRequest.offLink)
                .forEach(this::sendAgain);
    }

    private void sendAgain(ActiveRequest activeRequest) {
        if (!activeRequest.runConfirmed) {
            if (activeRequest.runSent && !validator.get().isSafe(activeRequest.incomingRequest)) {
                activeRequest.inDoubt = true;
            } else {
                run(activeRequest);
            }
        } else if (activeRequest.unreadReply != null && !activeRequest.answered) {
            activeRequest.inDoubt = activeRequest.replySent;
            if (!activeRequest.inDoubt) {
                giveReply(activeRequest);
            }
        }
    }

    /**
     * Commands in doubt must not simply be given again: an idempotent run might have ended just now
     * and run twice, and a run that has its reply would take the same for that to its next call.
     * The gauge of requests on the cores tells: it counts every run there (and what else uses
     * them), and all notices up to it were read before. Where it counts no more than the runs that
     * are there for certain, none of those in doubt is, so none of the commands was read. Until it
     * does it is asked for again.
     *
     * @param wantingCore the requests that run or wait for a core there; NaN where not known
     */
    private void settleDoubts(double wantingCore) {
        int certain = 0;
        List<ActiveRequest> doubtful = new ArrayList<>();
        for (ActiveRequest activeRequest : requests.started()) {
            if (activeRequest.inDoubt) {
                doubtful.add(activeRequest);
            } else if (isCertainlyOnCore(activeRequest)) {
                certain++;
            }
        }
        if (doubtful.isEmpty() || Double.isNaN(wantingCore)) {
            return;
        }
        if (wantingCore <= certain) {
            log.accept("commands lost with a link, given again: " + doubtful.size());
            doubtful.forEach(this::giveAgain);
        } else if (doubtPoll == null) {
            MonotonicTime next = clock.now().plus(DOUBT_POLL_INTERVAL);
            doubtPoll = timers.schedule(next, this::pollDoubts);
        }
    }

    private static boolean isCertainlyOnCore(ActiveRequest activeRequest) {
        return !activeRequest.offLink
                && activeRequest.runConfirmed
                && activeRequest.callBody == null
                && activeRequest.unreadReply == null;
    }

    private void giveAgain(ActiveRequest activeRequest) {
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
