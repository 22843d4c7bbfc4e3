package lupinwood.processing;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import lupinwood.admission.AdmissionPolicy;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.RequestId;
import lupinwood.admission.ResourceUsage;
import lupinwood.admission.ServerActions;
import lupinwood.admission.SettingsMap;

/**
 * Processes requests without doing I/O: takes events of connections, the executor and the shared
 * dependency, lets the admission policy decide, and carries out its decisions through the ports.
 * This class defines the order of the steps; each step is performed by a class of its own.
 *
 * <p>Owned by the event loop thread, which sets the time with {@link #advance} before it passes in
 * events, and calls {@link #settle} after each batch of them.
 */
public final class RequestProcessor implements ServerActions {
    /** Creates the admission policy once the executor is connected. */
    public interface PolicyFactory {
        /**
         * Creates a policy.
         *
         * @param actions the actions that the policy may request
         * @param seed the seed of the policy's random numbers
         * @param settings the settings by entry, adjusted to what is known of the executor
         */
        AdmissionPolicy make(ServerActions actions, long seed, Map<String, String> settings);
    }

    /** The outputs of a processor. */
    public record Ports(
            UpstreamConnections upstreams,
            Executor executor,
            Dependency dependency,
            Consumer<String> log) {}

    /**
     * Settings for a reload: created on any thread, applied in one step on the event loop thread.
     */
    public static final class ReloadableSettings {
        private final Map<String, String> settings;
        private final RequestValidator validator;

        /** Reads the settings of the validator; the policy reads its own when they are applied. */
        public ReloadableSettings(Map<String, String> settings) {
            this.settings = Map.copyOf(settings);
            validator = new RequestValidator(new SettingsMap(settings));
        }
    }

    private final Ports ports;
    private final TimerService timers;
    private final EventLoopClock clock;
    private final ConnectionTable connections;
    private final RequestTable requests;
    private final ExecutorSession session;
    private final DownstreamCalls calls;
    private final ResponseWriter responses;
    private final IdempotentRequests idempotency;
    private final RunCompletions runs;
    private final List<String> resourceUsageNames;
    private final WakeUpScheduler wakeUps;
    private final HealthChecks checks;
    private final RefusedCommands refusedCommands;
    private final RequestActions actions;
    private final Drain drain;
    private final PolicyRunner policyRunner;
    private final RequestIntake intake;

    /** The current validator; replaced when settings are reloaded. */
    private RequestValidator validator;

    /**
     * Creates a processor that rejects all requests until the executor is connected.
     *
     * @param settings the configured settings, by entry
     * @param seed the seed of the policy's random numbers
     * @param now the current time
     */
    public RequestProcessor(
            Map<String, String> settings,
            long seed,
            PolicyFactory policyFactory,
            Ports ports,
            TimerService timers,
            TableLimits limits,
            MonotonicTime now) {
        this.ports = ports;
        this.timers = timers;
        clock = new EventLoopClock(now);
        SettingsMap settingsMap = new SettingsMap(settings);
        resourceUsageNames = ProcessorSettings.resourceUsageNames(settingsMap);
        validator = new RequestValidator(settingsMap);
        Supplier<RequestValidator> current = () -> validator;
        QueryTagSequence tags = new QueryTagSequence();
        Executor executor = ports.executor();
        connections =
                new ConnectionTable(
                        limits.connections(),
                        ProcessorSettings.idleTimeout(settingsMap),
                        validator.longestTimeout(),
                        ports.upstreams(),
                        timers,
                        clock::now);
        requests =
                new RequestTable(
                        limits.requests(),
                        new EndedUnsafeAttempts(limits.requests(), clock, current));
        session =
                new ExecutorSession(executor, tags, requests, timers, clock, current, ports.log());
        policyRunner =
                new PolicyRunner(policyFactory, seed, settings, clock, session::canSkipCalls);
        calls =
                new DownstreamCalls(
                        ports.dependency(), requests, connections, session, timers, clock);
        responses = new ResponseWriter(ports.upstreams(), connections, clock, current);
        IdempotencyStore store =
                new IdempotencyStore(limits.idempotencyRecords(), limits.idempotencyBytes());
        idempotency =
                new IdempotentRequests(
                        store, requests, responses, timers, clock, current, policyRunner::defer);
        runs =
                new RunCompletions(
                        requests, connections, calls, idempotency, responses, policyRunner::defer);
        wakeUps =
                new WakeUpScheduler(
                        resourceUsageNames, timers, executor, tags, clock::now, policyRunner::wake);
        checks = new HealthChecks(timers, executor, tags, clock::now, responses::answerHealthCheck);
        refusedCommands =
                new RefusedCommands(requests, connections, session, runs, policyRunner, current);
        actions =
                new RequestActions(
                        requests, connections, session, calls, responses, idempotency, runs);
        drain = new Drain(clock, wakeUps, connections, checks);
        intake =
                new RequestIntake(
                        connections,
                        requests,
                        idempotency,
                        responses,
                        policyRunner,
                        clock,
                        current,
                        ports.log());
    }

    /** Sets the listener that is told of final responses and of clients that leave before them. */
    public void setResponseListener(ResponseListener listener) {
        responses.setListener(listener);
    }

    // ---- time ----

    /** Sets the time; ignored while it is before the current time, so time never goes back. */
    public void advance(MonotonicTime time) {
        clock.advance(time);
    }

    /** Sets the time of the host clock that stamps requests; it may step in either direction. */
    public void setWallClock(MonotonicTime time) {
        clock.setStampTime(time);
    }

    /** Ends a batch of events: the policy decides until its decisions cause no further event. */
    public void settle() {
        policyRunner.settle();
    }

    // ---- upstream load balancers ----

    /** Adds a new connection and returns its id; null if there is no room for it. */
    public ConnectionId addConnection() {
        return connections.add();
    }

    /** Handles a connection that can now be written to. */
    public void onWritable(ConnectionId connection) {
        connections.onWritable(connection);
    }

    /** Handles an upstream load balancer that sends nothing more but may still read. */
    public void halfClosed(ConnectionId connection) {
        connections.beginClose(connection, Completion.CLOSED_BY_PEER);
    }

    /** Handles that everything written to a closing connection has been sent. */
    public void onFlushed(ConnectionId connection) {
        connections.onFlushed(connection);
    }

    /** Handles a closed connection: no client waits for its open requests any more. */
    public void disconnected(ConnectionId connection) {
        connections.remove(connection).forEach(actions::clientGone);
    }

    /**
     * Handles an arriving request.
     *
     * @param stampedRequest the request with its original time stamp; null if it can't be parsed
     * @return false if a request with this tag is still open and the connection is not closing: the
     *     upstream load balancer reused the tag, and the responses could not be told apart
     */
    public boolean arrived(ConnectionId connection, long tag, IncomingRequest stampedRequest) {
        if (connections.isClosing(connection)) {
            intake.rejectOnClosing(connection, tag);
            return true;
        }
        drain.onRequest();
        if (connections.findRequest(connection, tag) != null) {
            return false;
        }
        intake.accept(connection, tag, stampedRequest);
        return true;
    }

    /** Handles an abort: the upstream load balancer no longer waits for the request. */
    public void aborted(ConnectionId connection, long tag) {
        RequestId requestId = connections.findRequest(connection, tag);
        if (requestId != null) {
            connections.removeRequest(connection, tag);
            connections.countUnservedRequest(connection);
            actions.abort(requestId);
        }
    }

    /** Handles unparsable data: the connection closes once its open requests are answered. */
    public void malformed(ConnectionId connection) {
        connections.beginClose(connection, Completion.MALFORMED);
    }

    /** Handles a message that has stayed incomplete for too long. */
    public void onMessageIncomplete(ConnectionId connection) {
        connections.beginClose(connection, Completion.SAID_NOTHING);
    }

    /**
     * Handles a health check.
     *
     * @param deep whether it asks for real work of the executor
     */
    public void onHealthCheck(ConnectionId connection, long tag, boolean deep) {
        connections.onHealthCheck(connection);
        checks.check(connection, tag, deep);
    }

    // ---- executor ----

    /**
     * Handles an established executor connection. The first one creates the policy; each later one
     * replaces a lost connection.
     *
     * @param cold whether the executor is still warming up
     * @param age how long ago the executor was started
     */
    public void onExecutorConnected(boolean cold, NanoDuration age) {
        if (policyRunner.isStarted()) {
            session.onConnectionRestored();
        } else if (!drain.hasBegun()) {
            // A node that drains before its executor connected starts no policy.
            policyRunner.start(this, cold, age);
            log("executor connected state=" + (cold ? "cold" : "warm"));
        }
    }

    /**
     * Handles an executor connection that takes commands again after one that should have replaced
     * it failed. Commands that could not be written meanwhile are written now.
     */
    public void onExecutorHandOverFailed() {
        session.onHandOverFailed();
    }

    /** Whether the executor connected warm, or connected and was started at least this long ago. */
    public boolean isWarm(NanoDuration warmAfter) {
        return policyRunner.isWarm(warmAfter);
    }

    /**
     * Applies settings that differ from the current ones only in entries that may change while the
     * node runs. Returns false once it drains: the policy planned the drain with the old settings.
     */
    public boolean updateSettings(ReloadableSettings reloaded) {
        if (drain.hasBegun()) {
            return false;
        }
        policyRunner.updateSettings(reloaded.settings);
        validator = reloaded.validator;
        return true;
    }

    /** Handles an executor restart: its runs never complete, but may have had their effect. */
    public void onExecutorRestarted() {
        log("executor restarted, its runs are lost");
        runs.completeAllLost();
    }

    /**
     * Handles the completion of a run.
     *
     * @param elapsed how long the run took
     * @param result null unless the run succeeded
     */
    public void onRunCompleted(
            AttemptId id, Completion completion, NanoDuration elapsed, byte[] result) {
        runs.completed(id, completion, elapsed, result);
    }

    /**
     * Handles a run that needs a call to the shared dependency and waits for the reply.
     *
     * @param body the body of the call
     */
    public void onCallNeeded(AttemptId id, byte[] body) {
        calls.onCallNeeded(id, body);
    }

    /** Handles the refusal of a command about an attempt. Refusing a run command ends the run. */
    public void onCommandRefused(String command, AttemptId id) {
        log("executor refused command=" + command + " attempt=" + id.digits());
        refusedCommands.onRefused(command, id);
    }

    /**
     * Handles the reply to a resource usage query.
     *
     * @param queryTag the tag of the query
     * @param values the values, in the order in which the settings name them
     */
    public void resourceUsageRead(long queryTag, double[] values) {
        ResourceUsage usage = ResourceUsage.named(resourceUsageNames, values);
        session.onResourceUsage(queryTag);
        wakeUps.onResourceUsage(queryTag, usage);
    }

    /**
     * Asks for resource usage. The reply with the returned tag proves that all earlier commands
     * were read, except those in doubt, unless the connection is lost in between.
     */
    public long askResourceUsage() {
        return session.askResourceUsage();
    }

    /** Handles the result of the deep health check with this tag. */
    public void onDeepCheckCompleted(long queryTag, boolean healthy) {
        checks.onDeepCheckCompleted(queryTag, healthy);
    }

    // ---- shared dependency ----

    /**
     * Handles the completion of a call.
     *
     * @param reply null unless the call succeeded
     */
    public void callEnded(AttemptId id, Completion completion, byte[] reply) {
        calls.onCallEnded(id, completion, reply);
    }

    // ---- actions of the policy ----

    @Override
    public MonotonicTime now() {
        return clock.now();
    }

    @Override
    public void run(RequestId requestId) {
        actions.run(requestId);
    }

    @Override
    public void stop(RequestId requestId) {
        actions.stop(requestId);
    }

    @Override
    public void reject(RequestId requestId, boolean doNotRetryElsewhere, NanoDuration retryAfter) {
        actions.reject(requestId, doNotRetryElsewhere, retryAfter);
    }

    @Override
    public void fail(RequestId requestId) {
        actions.fail(requestId);
    }

    @Override
    public void call(RequestId requestId, NanoDuration timeout) {
        calls.call(requestId, timeout);
    }

    @Override
    public void skipCall(RequestId requestId) {
        actions.skipCall(requestId);
    }

    @Override
    public void answerFromOriginal(RequestId requestId) {
        idempotency.answerFromOriginal(requestId);
    }

    @Override
    public void remember(RequestId requestId, NanoDuration duration) {
        idempotency.remember(requestId, duration);
    }

    @Override
    public void forget(RequestId requestId) {
        idempotency.forget(requestId);
    }

    @Override
    public void reportHealth(boolean isHealthy, boolean isAnsweredAtOnce) {
        checks.setHealth(isHealthy, isAnsweredAtOnce);
    }

    @Override
    public void reportAvailableCapacity(double availableCapacity) {
        responses.setAvailableCapacity(availableCapacity);
    }

    @Override
    public void closeIdleConnections(NanoDuration idleTimeout) {
        connections.setIdleTimeout(idleTimeout);
    }

    @Override
    public void wakeAt(MonotonicTime time) {
        wakeUps.schedule(time);
    }

    @Override
    public void release(RequestId requestId) {
        actions.release(requestId);
    }

    @Override
    public void log(String line) {
        ports.log().accept(line);
    }

    // ---- drain ----

    /** Begins to drain: answers requests within this time. The caller closes connections later. */
    public void drain(NanoDuration timeToAnswer) {
        if (drain.begin()) {
            policyRunner.drain(timeToAnswer);
        }
    }

    /** Asks the upstreams to close all connections. */
    public void requestCloseOfConnections() {
        connections.requestCloseOfAll();
    }

    /** Closes the remaining connections, each after its open requests are answered. */
    public void beginCloseOfConnections() {
        connections.beginCloseOfAll();
    }

    /** Time since the last request arrived, or since the drain began if that was later. */
    public NanoDuration sinceLastRequest() {
        return drain.sinceLastRequest();
    }

    /** Whether every request and health check that was read has its response. */
    public boolean isAnswered() {
        return drain.isAnswered();
    }

    /** The number of connections. */
    public int connectionCount() {
        return connections.size();
    }

    /** The number of connections so far, including those that there was no room for. */
    public long totalConnectionCount() {
        return connections.totalCount();
    }

    /** A log line with the sizes of the processor's tables. */
    public String stateLogLine() {
        return "request processor state connections="
                + connections.size()
                + " openRequests="
                + connections.openRequests()
                + " requests="
                + requests.size()
                + " idempotencyRecords="
                + idempotency.size()
                + " timers="
                + timers.size();
    }
}
