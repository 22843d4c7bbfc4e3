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
 * The node without its sockets: takes events of connections, executor and shared dependency, lets
 * the admission policy decide, and carries out what it decided through the ports. This class shows
 * the order of the steps; each step is done by a class of its own.
 *
 * <p>Owned by the event loop thread, which sets the time first with {@link #advance} and ends each
 * round of events with {@link #settle}.
 */
public final class RequestProcessor implements ServerActions {
    /** Makes the admission policy once the executor is up. */
    public interface PolicyFactory {
        /**
         * Makes a policy.
         *
         * @param server what the policy may ask for
         * @param seed where its chance begins
         * @param settings the configuration, with what is known of the executor
         */
        AdmissionPolicy make(ServerActions server, long seed, Map<String, String> settings);
    }

    /**
     * How much a processor may keep; none of it is the policy's own reckoning of memory.
     *
     * @param connections at most so many connections
     * @param requests at most so many requests that the policy has not released
     * @param idempotencyRecords at most so many requests remembered for their repeats
     * @param idempotencyBytes at most so many bytes of their bodies and results
     */
    public record TableLimits(
            int connections, int requests, int idempotencyRecords, long idempotencyBytes) {}

    /** Where results go. */
    public record Ports(
            UpstreamConnections upstreams,
            Executor executor,
            Dependency dependency,
            Consumer<String> log) {}

    /** Settings that may be taken over in one step, made outside of the event loop thread. */
    public static final class ReloadableSettings {
        private final Map<String, String> settings;
        private final RequestValidator validator;

        /** Reads all that a request processor needs of the settings. */
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

    /** The one in force; replaced with the settings. */
    private RequestValidator validator;

    /**
     * A processor that rejects all until the executor is up.
     *
     * @param settings the configuration, by entry
     * @param seed where the policy's chance begins
     * @param now the time at which it begins
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
        Supplier<RequestValidator> inForce = () -> validator;
        TagSequence tags = new TagSequence();
        Executor executor = ports.executor();
        connections =
                new ConnectionTable(
                        limits.connections(),
                        ProcessorSettings.longestIdle(settingsMap),
                        validator.longestTimeout(),
                        ports.upstreams(),
                        timers,
                        clock::now);
        requests = new RequestTable(limits.requests());
        session =
                new ExecutorSession(executor, tags, requests, timers, clock, inForce, ports.log());
        policyRunner =
                new PolicyRunner(policyFactory, seed, settings, clock, session::canSkipCalls);
        calls =
                new DownstreamCalls(
                        ports.dependency(), requests, connections, session, timers, clock);
        responses = new ResponseWriter(ports.upstreams(), connections, clock, inForce);
        IdempotencyStore store =
                new IdempotencyStore(limits.idempotencyRecords(), limits.idempotencyBytes());
        idempotency =
                new IdempotentRequests(
                        store, requests, responses, timers, clock, inForce, policyRunner::defer);
        runs =
                new RunCompletions(
                        requests, connections, calls, idempotency, responses, policyRunner::defer);
        wakeUps =
                new WakeUpScheduler(
                        resourceUsageNames, timers, executor, tags, clock::now, policyRunner::wake);
        checks = new HealthChecks(timers, executor, tags, clock::now, responses::answerHealthCheck);
        refusedCommands =
                new RefusedCommands(requests, connections, session, runs, policyRunner, inForce);
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
                        inForce,
                        ports.log());
    }

    /** From now on each final answer is reported, or that its caller left before it. */
    public void answersTo(ResponseListener listener) {
        responses.setListener(listener);
    }

    // ---- time ----

    /** Sets the time; a clock that was set back stands still until it is caught up with. */
    public void advance(MonotonicTime time) {
        clock.advance(time);
    }

    /**
     * What the machine's clock, by which requests are stamped, shows at this time; it may step
     * either way.
     */
    public void clockShows(MonotonicTime time) {
        clock.stampClockShows(time);
    }

    /** All events of this moment were given: the policy decides, until nothing follows from it. */
    public void settle() {
        policyRunner.settle();
    }

    // ---- upstream load balancers ----

    /** A place for a new connection, or null where there is none. */
    public ConnectionId connected() {
        return connections.add();
    }

    /** The connection can be written to now. */
    public void greet(ConnectionId connection) {
        connections.greet(connection);
    }

    /** The upstream load balancer sends nothing more on the connection, and may still read. */
    public void halfClosed(ConnectionId connection) {
        connections.end(connection, Completion.CLOSED_BY_PEER);
    }

    /** All that was written to a connection that ends has gone out. */
    public void written(ConnectionId connection) {
        connections.written(connection);
    }

    /** Nobody waits any more for what was open on it. */
    public void disconnected(ConnectionId connection) {
        connections.remove(connection).forEach(actions::clientGone);
    }

    /**
     * A request came.
     *
     * @param stamped null where it can't be read
     * @return false where the tag is still open: the upstream load balancer has lost count, and no
     *     answer could be told apart
     */
    public boolean arrived(ConnectionId connection, long tag, IncomingRequest stamped) {
        if (connections.isClosing(connection)) {
            intake.rejectOnClosing(connection, tag);
            return true;
        }
        drain.requestArrived();
        if (connections.open(connection, tag) != null) {
            return false;
        }
        intake.accept(connection, tag, stamped);
        return true;
    }

    /** The upstream load balancer waits no more for it. */
    public void aborted(ConnectionId connection, long tag) {
        RequestId requestId = connections.open(connection, tag);
        if (requestId != null) {
            connections.end(connection, tag);
            connections.unwanted(connection);
            actions.clientGone(requestId);
        }
    }

    /** What can't be read came on it: it ends once all that is open on it is answered. */
    public void malformed(ConnectionId connection) {
        connections.end(connection, Completion.MALFORMED);
    }

    /** A message on it was begun and never ended. */
    public void leftOff(ConnectionId connection) {
        connections.end(connection, Completion.SAID_NOTHING);
    }

    /**
     * A health check came.
     *
     * @param real it asks for real work of the executor
     */
    public void checked(ConnectionId connection, long tag, boolean real) {
        connections.touch(connection);
        checks.check(connection, tag, real);
    }

    // ---- executor ----

    /**
     * A link stands. The first makes the policy; later ones follow one that was lost.
     *
     * @param cold whether the executor has still to warm up
     * @param age how long ago the executor was started
     */
    public void welcomed(boolean cold, NanoDuration age) {
        if (policyRunner.isStarted()) {
            session.linkRestored();
        } else if (!drain.isBegun()) {
            // A node that drains before it had an executor begins nothing.
            policyRunner.start(this, cold, age);
            log("the executor is up, " + (cold ? "cold" : "warm"));
        }
    }

    /** Whether the executor is there, and warm, or started so long ago that it is. */
    public boolean isWarm(NanoDuration warmAfter) {
        return policyRunner.isWarm(warmAfter);
    }

    /**
     * Takes over settings that differ only in what may change while the node runs; false once it
     * drains, since the notice was given under the old ones.
     */
    public boolean retune(ReloadableSettings changed) {
        if (drain.isBegun()) {
            return false;
        }
        policyRunner.updateSettings(changed.settings);
        validator = changed.validator;
        return true;
    }

    /** What ran there will never end, and may have had its effect. */
    public void executorStartedAnew() {
        log("the executor was started anew, its runs are lost");
        runs.allLost();
    }

    /**
     * A run ended.
     *
     * @param elapsed how long it ran
     * @param result null unless it went well
     */
    public void exited(AttemptId id, Completion ending, NanoDuration elapsed, byte[] result) {
        runs.completed(id, ending, elapsed, result);
    }

    /**
     * A run needs a call of the shared dependency, and waits for its reply.
     *
     * @param body what to call with
     */
    public void calledOut(AttemptId id, byte[] body) {
        calls.needed(id, body);
    }

    /**
     * The executor would not carry out this command about an attempt, which ends a run that was to
     * start.
     */
    public void notCarriedOut(String command, AttemptId id) {
        log("the executor did not carry out " + command + " " + id.digits());
        refusedCommands.refused(command, id);
    }

    /**
     * Resource usage was read.
     *
     * @param tag the one it was asked for by
     * @param values in the order in which the settings name them
     */
    public void resourceUsageRead(long tag, double[] values) {
        ResourceUsage usage = ResourceUsage.named(resourceUsageNames, values);
        session.resourceUsageRead(tag, usage);
        wakeUps.read(tag, usage);
    }

    /** Asks for resource usage; when that of this tag comes, all commands before were read. */
    public long askResourceUsage() {
        return session.askResourceUsage();
    }

    /** The work of a deep health check, asked for by this tag, ended. */
    public void diagnosed(long tag, boolean healthy) {
        checks.diagnosed(tag, healthy);
    }

    // ---- shared dependency ----

    /**
     * A call ended.
     *
     * @param reply null unless it went well
     */
    public void callEnded(AttemptId id, Completion ending, byte[] reply) {
        calls.ended(id, ending, reply);
    }

    // ---- what the policy asks ----

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
    public void call(RequestId requestId, NanoDuration cap) {
        calls.call(requestId, cap);
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
    public void reportHealth(boolean good, boolean fromStore) {
        checks.set(good, fromStore);
    }

    @Override
    public void reportAvailableCapacity(double value) {
        responses.setAvailableCapacity(value);
    }

    @Override
    public void closeIdleConnections(NanoDuration idle) {
        connections.closeIdle(idle);
    }

    @Override
    public void wakeAt(MonotonicTime time) {
        wakeUps.at(time);
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

    /** Notice that the machine will be stopped after this long. */
    public void leave(NanoDuration until) {
        if (drain.begin()) {
            policyRunner.drain(until);
        }
    }

    /** Asks for no more on every connection. */
    public void closeConnections() {
        connections.leave();
    }

    /** Ends those that still stand; what is open on them is answered first. */
    public void endConnections() {
        connections.end();
    }

    /** How long ago the last request came, or the notice. */
    public NanoDuration sinceLastRequest() {
        return drain.sinceLastRequest();
    }

    /** Whether everything read has its answer. */
    public boolean isAnswered() {
        return drain.isAnswered();
    }

    /** How many connections stand. */
    public int connectionCount() {
        return connections.size();
    }

    /** How many came so far, those without a place among them. */
    public long connectionsEver() {
        return connections.everAdded();
    }

    /** What stands open, for the log. */
    public String figures() {
        return "connections "
                + connections.size()
                + ", open "
                + connections.openRequests()
                + ", tickets "
                + requests.size()
                + ", receipts "
                + idempotency.size()
                + ", deadlines "
                + timers.size();
    }
}
