package lupinwood.processing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import lupinwood.admission.AdmissionPolicy;
import lupinwood.admission.Idempotency;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.Request;
import lupinwood.admission.RequestClassId;
import lupinwood.admission.RequestId;
import lupinwood.admission.ResourceUsage;
import lupinwood.admission.ServerActions;
import lupinwood.admission.SettingsMap;

/**
 * The machine as its node sees it. News is told to this by one thread, which sets the time first
 * with {@link #advance} and ends each round of news with {@link #settle}.
 */
public final class RequestProcessor implements ServerActions {
    /** Makes the node once the executor is up. */
    public interface PolicyFactory {
        AdmissionPolicy make(ServerActions server, long seed, Map<String, String> settings);
    }

    /** How much this may keep; none of it is the node's own reckoning of memory. */
    public record TableLimits(
            int connections, int requests, int idempotencyRecords, long idempotencyBytes) {}

    /** Where results go. */
    public record Ports(
            UpstreamConnections upstreams,
            Executor executor,
            Dependency dependency,
            Consumer<String> log) {}

    /** How long a connection may be idle where the settings don't tell. */
    private static final NanoDuration ALWAYS_IDLE = NanoDuration.ofSeconds(3600);

    /**
     * On sockets the window of an idempotent request is longer by this; a repeat so late is not
     * run.
     */
    private static final NanoDuration WINDOW_SLACK = NanoDuration.ofSeconds(0.05);

    /**
     * What stands for a command that was not carried out, seen in answer to calls to be left out.
     */
    private static final String UNNAMED = "-";

    private Map<String, String> settings;
    private final long seed;
    private final PolicyFactory maker;
    private final Ports ports;
    private final TimerService deadlines;
    private final ConnectionTable connections;
    private final RequestTable requests;
    private final ExecutorSession session;
    private final DownstreamCalls calls;
    private final IdempotencyStore idempotencyStore;
    private RequestValidator validator;
    private final TagSequence tags = new TagSequence();
    private final List<String> resourceUsageNames;
    private final WakeUpScheduler wakeUps;
    private final HealthChecks checks;

    /**
     * News of the request processor's own making, told once the node has said all it has to say.
     */
    private final Deque<Runnable> news = new ArrayDeque<>();

    /** Null while nobody asks for it. */
    private ResponseListener answers;

    private final EventLoopClock clock;

    private AdmissionPolicy node;

    /** When the executor was started; null before its first word. */
    private MonotonicTime bornAt;

    /** Whether the executor was cold when the node was made. */
    private boolean bornCold;

    private double availableCapacity = -1;
    private boolean leaving;
    private MonotonicTime lastRequestAt;
    private long connectionsEver;

    public RequestProcessor(
            Map<String, String> settings,
            long seed,
            PolicyFactory maker,
            Ports ports,
            TimerService deadlines,
            TableLimits bounds,
            MonotonicTime now) {
        this.settings = settings;
        this.seed = seed;
        this.maker = maker;
        this.ports = ports;
        this.deadlines = deadlines;
        clock = new EventLoopClock(now);
        lastRequestAt = clock.now();
        // Upstream load balancers close idle connections by then; what is left was forgotten.
        SettingsMap read = new SettingsMap(settings);
        NanoDuration longestIdle = read.duration("domain.keepalive_max_ns");
        validator = new RequestValidator(read);
        connections =
                new ConnectionTable(
                        bounds.connections(),
                        longestIdle.isPositive() ? longestIdle : ALWAYS_IDLE,
                        validator.longestTimeout(),
                        ports.upstreams(),
                        deadlines,
                        clock::now);
        requests = new RequestTable(bounds.requests());
        session =
                new ExecutorSession(
                        ports.executor(),
                        tags,
                        requests,
                        deadlines,
                        clock,
                        this::isSafe,
                        ports.log());
        calls = new DownstreamCalls(ports.dependency(), requests, session, deadlines, clock);
        idempotencyStore =
                new IdempotencyStore(bounds.idempotencyRecords(), bounds.idempotencyBytes());
        String resourceUsage = read.text("domain.gauges");
        resourceUsageNames =
                resourceUsage.isEmpty() ? List.of() : List.of(resourceUsage.split(","));
        wakeUps =
                new WakeUpScheduler(
                        resourceUsageNames,
                        deadlines,
                        ports.executor(),
                        tags,
                        clock::now,
                        known -> node.wake(known));
        checks = new HealthChecks(deadlines, ports.executor(), tags, clock::now, this::sayHealth);
    }

    /** From now on each final answer is told, or that its caller left before it. */
    public void answersTo(ResponseListener reported) {
        answers = reported;
    }

    private void tell(IncomingRequest incomingRequest, Response.Kind word) {
        if (answers != null) {
            NanoDuration took = clock.elapsedSince(incomingRequest.reached());
            answers.answered(
                    incomingRequest.className(),
                    word,
                    took,
                    validator.requestClass(incomingRequest).latencyObjective().compareTo(took) < 0);
        }
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

    /** All that came in at this moment has been told. */
    public void settle() {
        if (node != null) {
            node.decide();
            while (!news.isEmpty()) {
                news.poll().run();
                if (news.isEmpty()) {
                    node.decide();
                }
            }
        }
    }

    // ---- upstream load balancers ----

    /** A place for a new connection, or null where there is none. */
    public ConnectionId connected() {
        connectionsEver++;
        return connections.add();
    }

    /** The connection can be written to now. */
    public void greet(ConnectionId connection) {
        connections.greet(connection);
    }

    public void halfClosed(ConnectionId connection) {
        connections.end(connection, Completion.CLOSED_BY_PEER);
    }

    /** All that was written to a connection that ends has gone out. */
    public void written(ConnectionId connection) {
        connections.written(connection);
    }

    /** Nobody waits any more for what was open on it. */
    public void disconnected(ConnectionId connection) {
        connections.remove(connection).forEach(this::left);
    }

    /**
     * A request came; null where it can't be read. False where the tag is still open: the upstream
     * load balancer has lost count, and no answer could be told apart.
     */
    public boolean arrived(ConnectionId connection, long tag, IncomingRequest stamped) {
        if (connections.isClosing(connection)) {
            // Guards against a request read with what ended its connection: it is owed an answer,
            // and must not run.
            if (connections.open(connection, tag) == null) {
                ports.upstreams()
                        .answer(
                                connection,
                                tag,
                                Response.rejected(availableCapacity, NanoDuration.ZERO, false));
            }
            return true;
        }
        lastRequestAt = clock.now();
        if (connections.open(connection, tag) != null) {
            return false;
        }
        boolean tooMany = connections.isFull(connection);
        if (node == null || tooMany || requests.isFull()) {
            String why = node == null ? "before the executor was up" : "beyond what may be open";
            ports.log().accept("bounced a ticket that came " + why);
            NanoDuration pause = NanoDuration.ofSeconds(node == null ? 1 : 0);
            ports.upstreams()
                    .answer(connection, tag, Response.rejected(availableCapacity, pause, false));
            if (tooMany) {
                connections.fault(connection);
            }
            return true;
        }
        // The window counts in the clock by which requests are stamped, all else in one that never
        // steps.
        IdempotencyStore.IdempotencyRecord idempotencyRecord =
                stamped == null
                        ? null
                        : idempotencyStore.find(stamped.idempotencyKey(), stamped.reached());
        IncomingRequest incomingRequest =
                stamped == null ? null : stamped.reachedAt(clock.fromStamp(stamped.reached()));
        if (idempotencyRecord == null
                && incomingRequest != null
                && incomingRequest.idempotencyKey() != null
                && idempotencyStore.isFull()) {
            // Guards against a flood of marks that are seen once: what could not be remembered must
            // not run.
            ports.log().accept("bounced a ticket whose mark there is no room to remember");
            ports.upstreams()
                    .answer(
                            connection,
                            tag,
                            Response.rejected(availableCapacity, NanoDuration.ofSeconds(1), false));
            connections.unwanted(connection);
            return true;
        }
        boolean idInUse = incomingRequest != null && requests.contains(incomingRequest.attemptId());
        Optional<RequestFault> fault =
                connections.isStubborn(connection)
                        ? Optional.of(RequestFault.CONNECTION_ASKED_TO_CLOSE)
                        : validator.fault(incomingRequest, idempotencyRecord, idInUse, clock.now());
        if (fault.isPresent()) {
            refuse(connection, tag, incomingRequest, fault.get());
            return true;
        }
        ActiveRequest activeRequest = new ActiveRequest(connection, tag, incomingRequest);
        requests.add(activeRequest);
        connections.begin(connection, tag, activeRequest.id);
        take(activeRequest, idempotencyRecord);
        return true;
    }

    /** An unsound request fails at once, and costs its connection what the fault tells of it. */
    private void refuse(
            ConnectionId connection,
            long tag,
            IncomingRequest incomingRequest,
            RequestFault fault) {
        ports.log().accept("abandoned a ticket " + fault.logText());
        ports.upstreams()
                .answer(connection, tag, Response.plain(Response.Kind.FAILED, availableCapacity));
        switch (fault.kind()) {
            case LATE -> {
                tell(incomingRequest, Response.Kind.FAILED);
                connections.unwanted(connection);
            }
            case INVALID_DURATION -> connections.strike(connection);
            case CALLER -> connections.fault(connection);
        }
    }

    private void take(ActiveRequest activeRequest, IdempotencyStore.IdempotencyRecord original) {
        IncomingRequest incomingRequest = activeRequest.incomingRequest;
        activeRequest.original = original;
        NanoDuration waited = clock.elapsedSince(incomingRequest.reached());
        activeRequest.listener =
                node.admit(
                        new Request(
                                activeRequest.id,
                                validator.requestClassId(incomingRequest),
                                validator.tenantId(incomingRequest),
                                incomingRequest.subject(),
                                incomingRequest.upstreamId(),
                                incomingRequest.clientTimeout().isPositive()
                                        ? validator.effectiveTimeout(incomingRequest).minus(waited)
                                        : NanoDuration.ZERO,
                                incomingRequest.work(),
                                incomingRequest.memoryKb(),
                                incomingRequest.rank(),
                                incomingRequest.repeat(),
                                waited,
                                original == null ? null : original.requestId));
    }

    /** The upstream load balancer waits no more for it. */
    public void aborted(ConnectionId connection, long tag) {
        RequestId requestId = connections.open(connection, tag);
        if (requestId != null) {
            connections.end(connection, tag);
            connections.unwanted(connection);
            left(requestId);
        }
    }

    /**
     * What can't be read came on it: nothing more is, and it ends once all that is open on it is
     * answered.
     */
    public void malformed(ConnectionId connection) {
        connections.end(connection, Completion.MALFORMED);
    }

    /** A message on it was begun and never ended. */
    public void leftOff(ConnectionId connection) {
        connections.end(connection, Completion.SAID_NOTHING);
    }

    private void left(RequestId id) {
        ActiveRequest activeRequest = requests.get(id);
        if (activeRequest != null && !activeRequest.answered) {
            activeRequest.answered = true;
            tell(activeRequest.incomingRequest, Response.Kind.FAILED);
            session.runIfInDoubt(activeRequest);
            activeRequest.listener.onClientGone();
        }
    }

    public void checked(ConnectionId connection, long tag, boolean real) {
        connections.touch(connection);
        checks.check(connection, tag, real);
    }

    private void sayHealth(ConnectionId connection, long tag, boolean well) {
        ports.upstreams()
                .answer(
                        connection,
                        tag,
                        Response.plain(
                                well ? Response.Kind.HEALTHY : Response.Kind.UNHEALTHY,
                                availableCapacity));
    }

    private void answer(ActiveRequest activeRequest, Response answer) {
        if (!activeRequest.answered) {
            activeRequest.answered = true;
            tell(activeRequest.incomingRequest, answer.word());
            ports.upstreams().answer(activeRequest.connection, activeRequest.tag, answer);
            connections.end(activeRequest.connection, activeRequest.tag);
        }
    }

    // ---- executor ----

    /** A link stands. The first makes the node, whose life began when the executor's did. */
    public void welcomed(boolean cold, NanoDuration age) {
        if (node != null) {
            // Resource usage asked for now come after all notices that were missed.
            session.linkRestored();
            return;
        }
        if (leaving) {
            return; // a node that leaves before it had an executor begins nothing
        }
        bornCold = cold;
        bornAt = clock.now().minus(age);
        node = clock.callAt(bornAt, () -> maker.make(this, seed, settingsForPolicy(settings)));
        ports.log().accept("the executor is up, " + (cold ? "cold" : "warm"));
    }

    /** Whether the executor is there, and warm, or started so long ago that it is. */
    public boolean isWarm(NanoDuration warmAfter) {
        return bornAt != null && (!bornCold || clock.now().since(bornAt).compareTo(warmAfter) >= 0);
    }

    private Map<String, String> settingsForPolicy(Map<String, String> from) {
        Map<String, String> settings = new HashMap<>(from);
        settings.put("domain.cold", Boolean.toString(bornCold));
        if (!session.canSkipCalls()) {
            settings.remove("domain.class_skip_worth");
        }
        return settings;
    }

    /** Settings that may be taken over in one step, made outside of the event loop thread. */
    public static final class ReloadableSettings {
        private final Map<String, String> settings;
        private final RequestValidator validator;

        public ReloadableSettings(Map<String, String> settings) {
            this.settings = Map.copyOf(settings);
            validator = new RequestValidator(new SettingsMap(settings));
        }
    }

    /**
     * Takes over settings that differ only in what may change while the node runs; false once it
     * leaves, since the notice to leave was given under the old ones.
     */
    public boolean retune(ReloadableSettings tuning) {
        if (leaving) {
            return false;
        }
        if (node != null) {
            node.updateSettings(settingsForPolicy(tuning.settings));
        }
        settings = tuning.settings;
        validator = tuning.validator;
        return true;
    }

    /** What ran there will never end, and may have had its effect. */
    public void executorStartedAnew() {
        ports.log().accept("the executor was started anew, its runs are lost");
        List.copyOf(requests.started())
                .forEach(
                        activeRequest -> {
                            if (!activeRequest.offLink) {
                                lost(
                                        activeRequest.incomingRequest.attemptId(),
                                        Completion.EXECUTOR_GONE);
                            }
                        });
    }

    private boolean isSafe(ActiveRequest activeRequest) {
        return validator.requestClass(activeRequest.incomingRequest).idempotency()
                == Idempotency.SAFE;
    }

    public void exited(AttemptId id, Completion ending, NanoDuration took, byte[] result) {
        ActiveRequest activeRequest = requests.find(id);
        if (activeRequest == null || !activeRequest.started) {
            return;
        }
        calls.cancel(activeRequest);
        if (!ending.outcome().provesNeverRan()) {
            connections.trust(activeRequest.connection);
        }
        IdempotencyStore.IdempotencyRecord idempotencyRecord =
                idempotencyStore.of(activeRequest.id);
        if (ending == Completion.WELL && idempotencyRecord != null) {
            idempotencyStore.keepResult(idempotencyRecord, result);
        }
        conclude(activeRequest, ending, took, result);
        if (ending == Completion.WELL && idempotencyRecord != null) {
            idempotencyStore.over(idempotencyRecord);
            answerWaiting(idempotencyRecord, result);
        }
    }

    /** A run ended of which the executor tells nothing. */
    private void lost(AttemptId id, Completion ending) {
        exited(id, ending, NanoDuration.ZERO, null);
    }

    /**
     * The final answer of a run, or of a repeat, unless one was given; and the node hears of the
     * end.
     */
    private void conclude(
            ActiveRequest activeRequest, Completion ending, NanoDuration took, byte[] result) {
        answer(
                activeRequest,
                ending == Completion.WELL
                        ? Response.served(availableCapacity, result)
                        : Response.plain(Response.Kind.FAILED, availableCapacity));
        activeRequest.listener.onCompleted(ending.outcome(), took);
    }

    private void answerWaiting(
            IdempotencyStore.IdempotencyRecord idempotencyRecord, byte[] result) {
        List<RequestId> waiting = new ArrayList<>(idempotencyRecord.waiting);
        idempotencyRecord.waiting.clear();
        waiting.forEach(id -> reused(id, result));
    }

    /** A repeat has its original's result, or null where there is none to be had. */
    private void reused(RequestId id, byte[] result) {
        ActiveRequest activeRequest = requests.get(id);
        if (activeRequest != null) {
            conclude(
                    activeRequest,
                    result == null ? Completion.FAILED : Completion.WELL,
                    NanoDuration.ZERO,
                    result);
        }
    }

    public void calledOut(AttemptId id, byte[] body) {
        ActiveRequest activeRequest = requests.find(id);
        if (activeRequest != null && activeRequest.started) {
            connections.trust(activeRequest.connection);
            session.callReceived(activeRequest);
            activeRequest.callBody = body;
            activeRequest.listener.onCallNeeded();
        }
    }

    /**
     * The executor would not run it: that ends it. Stopping runs and going on without a call are
     * tried where the settings speak of them, and given up for good at the first of this. Of other
     * commands only the log tells.
     */
    public void notCarriedOut(String command, AttemptId id) {
        ports.log().accept("the executor did not carry out " + command + " " + id.digits());
        ActiveRequest activeRequest = requests.find(id);
        switch (command) {
            case "EXEC" -> {
                if (activeRequest != null) {
                    lost(id, Completion.NOT_CARRIED_OUT);
                    connections.fault(activeRequest.connection);
                }
            }
            case "KILL" -> session.disableStop(); // the run goes on to its end, as it would have
            // Where the answer names neither, it can be only to those whose call was to be left
            // out.
            case "BYPASS", UNNAMED ->
                    session.skippingCalls().stream()
                            .filter(one -> one == activeRequest || command.equals(UNNAMED))
                            .forEach(this::mustCall);
            default -> {}
        }
    }

    /**
     * No call can be left out here: its run still waits for one, which is made now where that does
     * no harm.
     */
    private void mustCall(ActiveRequest activeRequest) {
        if (session.disableSkippingCalls()) {
            node.updateSettings(settingsForPolicy(settings));
        }
        activeRequest.unreadReply = null;
        if (!isSafe(activeRequest)) {
            lost(activeRequest.incomingRequest.attemptId(), Completion.FAILED);
        } else if (!activeRequest.answered) {
            activeRequest.listener.onCallNeeded();
        }
    }

    public void resourceUsageRead(long tag, double[] values) {
        ResourceUsage usage = ResourceUsage.named(resourceUsageNames, values);
        session.resourceUsageRead(tag, usage);
        wakeUps.read(tag, usage);
    }

    /** Asks for resource usage; when those of this tag come, all commands before were read. */
    public long askResourceUsage() {
        return session.askResourceUsage();
    }

    public void diagnosed(long tag, boolean well) {
        checks.diagnosed(tag, well);
    }

    // ---- index ----

    public void callEnded(AttemptId id, Completion ending, byte[] reply) {
        calls.ended(id, ending, reply);
    }

    // ---- what the node asks ----

    @Override
    public MonotonicTime now() {
        return clock.now();
    }

    @Override
    public void run(RequestId requestId) {
        ActiveRequest activeRequest = requests.get(requestId);
        if (activeRequest != null) {
            requests.markStarted(activeRequest);
            session.run(activeRequest);
        }
    }

    /** What can't be stopped goes on to its end, and its request is over then. */
    @Override
    public void stop(RequestId requestId) {
        ActiveRequest activeRequest = requests.get(requestId);
        if (activeRequest != null) {
            session.stop(activeRequest);
        }
    }

    @Override
    public void reject(RequestId requestId, boolean doNotRetryElsewhere, NanoDuration retryAfter) {
        ActiveRequest activeRequest = requests.get(requestId);
        if (activeRequest != null) {
            answer(
                    activeRequest,
                    Response.rejected(availableCapacity, retryAfter, doNotRetryElsewhere));
            connections.unwanted(activeRequest.connection);
        }
    }

    @Override
    public void fail(RequestId requestId) {
        ActiveRequest activeRequest = requests.get(requestId);
        if (activeRequest != null) {
            calls.cancel(activeRequest);
            answer(activeRequest, Response.plain(Response.Kind.FAILED, availableCapacity));
            session.runIfInDoubt(activeRequest);
        }
    }

    @Override
    public void call(RequestId requestId, NanoDuration cap) {
        calls.call(requestId, cap);
    }

    /** Where no run can go on without its call the request can only fail. */
    @Override
    public void skipCall(RequestId requestId) {
        ActiveRequest activeRequest = requests.get(requestId);
        if (activeRequest != null && !session.skipCall(activeRequest)) {
            news.add(() -> lost(activeRequest.incomingRequest.attemptId(), Completion.FAILED));
        }
    }

    @Override
    public void answerFromOriginal(RequestId requestId) {
        news.add(
                () -> {
                    ActiveRequest activeRequest = requests.get(requestId);
                    if (activeRequest == null) {
                        return;
                    }
                    IdempotencyStore.IdempotencyRecord original = activeRequest.original;
                    // Guards against one mark on two bodies: the other's result must not be handed
                    // out for this one.
                    boolean same =
                            original != null
                                    && Arrays.equals(
                                            original.body, activeRequest.incomingRequest.body());
                    if (same && original.result == null && !original.over) {
                        original.waiting.add(requestId);
                    } else {
                        reused(requestId, same ? original.result : null);
                    }
                });
    }

    @Override
    public void remember(RequestId requestId, NanoDuration duration) {
        ActiveRequest activeRequest = requests.get(requestId);
        if (activeRequest == null || activeRequest.incomingRequest.idempotencyKey() == null) {
            return;
        }
        MonotonicTime ends = clock.toStamp(clock.now().plus(duration).plus(WINDOW_SLACK));
        IdempotencyStore.IdempotencyRecord idempotencyRecord =
                idempotencyStore.remember(
                        activeRequest.incomingRequest.idempotencyKey(),
                        requestId,
                        ends,
                        activeRequest.incomingRequest.body());
        dropOnceOver(idempotencyRecord, validator.requestClassId(activeRequest.incomingRequest));
    }

    /**
     * A repeat that came in time may be read up to its timeout later; that time may grow meanwhile,
     * by a configuration, and the idempotency record must outlive it all the same.
     */
    private void dropOnceOver(
            IdempotencyStore.IdempotencyRecord idempotencyRecord, RequestClassId classId) {
        MonotonicTime over =
                clock.fromStamp(
                        idempotencyRecord.ends.plus(validator.requestClass(classId).timeout()));
        if (clock.now().isBefore(over)) {
            deadlines.schedule(over, () -> dropOnceOver(idempotencyRecord, classId));
        } else {
            idempotencyStore.drop(idempotencyRecord);
        }
    }

    @Override
    public void forget(RequestId requestId) {
        IdempotencyStore.IdempotencyRecord idempotencyRecord = idempotencyStore.of(requestId);
        if (idempotencyRecord != null) {
            idempotencyStore.drop(idempotencyRecord);
            news.add(() -> answerWaiting(idempotencyRecord, null));
        }
    }

    @Override
    public void reportHealth(boolean good, boolean fromStore) {
        checks.set(good, fromStore);
    }

    @Override
    public void reportAvailableCapacity(double value) {
        availableCapacity = value;
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
        ActiveRequest activeRequest = requests.remove(requestId);
        if (activeRequest == null) {
            return;
        }

        calls.cancel(activeRequest);
        // Guards against a request that is over and yet owed an answer; none should be.
        answer(activeRequest, Response.plain(Response.Kind.FAILED, availableCapacity));
        IdempotencyStore.IdempotencyRecord idempotencyRecord = idempotencyStore.of(requestId);
        if (idempotencyRecord != null && idempotencyRecord.result == null) {
            idempotencyStore.over(idempotencyRecord);
            news.add(() -> answerWaiting(idempotencyRecord, null));
        }
    }

    @Override
    public void log(String line) {
        ports.log().accept(line);
    }

    // ---- leaving ----

    /** The machine will be stopped after this long. */
    public void leave(NanoDuration until) {
        if (!leaving) {
            leaving = true;
            wakeUps.leave();
            lastRequestAt = clock.now();
            if (node != null) {
                node.drain(until);
            }
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

    public NanoDuration sinceLastRequest() {
        return clock.now().since(lastRequestAt);
    }

    /** Whether everything read has its answer. */
    public boolean isAnswered() {
        return connections.openRequests() == 0 && checks.isIdle();
    }

    public int connectionCount() {
        return connections.size();
    }

    /** How many came so far, those without a place among them. */
    public long connectionsEver() {
        return connectionsEver;
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
                + idempotencyStore.size()
                + ", deadlines "
                + deadlines.size();
    }
}
