package lupinwood.processing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.RecordingServer;
import lupinwood.admission.SettingsMap;
import lupinwood.admission.SubjectId;
import lupinwood.admission.UpstreamId;

/**
 * An executor that follows the protocol, its connection, and an {@link ExecutorSession} that uses
 * it. Every step happens when the test asks for it: a command is read, a message is delivered, a
 * run moves on, the connection breaks. What was not read of a connection when it breaks is lost.
 * Messages about runs are numbered and delivered again on the next connection if they were not
 * read.
 *
 * <p>Not thread-safe.
 */
final class SimulatedExecutor implements Executor {
    /** Where a run is. */
    enum Phase {
        /** It works, or waits for a core or a disk. */
        WORKING,
        /** It waits for the reply to its call. */
        AT_CALL
    }

    private static final class Run {
        Phase phase = Phase.WORKING;
        int calls;
    }

    private sealed interface Command {
        record Start(AttemptId id) implements Command {}

        record Reply(AttemptId id, int call) implements Command {}

        record Query(long tag) implements Command {}
    }

    private sealed interface Message {
        record Welcome() implements Message {}

        record RunEnded(int number, AttemptId id, Completion completion) implements Message {}

        record CallNeeded(int number, AttemptId id, int call) implements Message {}

        record Usage(long tag) implements Message {}
    }

    private static final NanoDuration CLIENT_TIMEOUT = NanoDuration.ofSeconds(5);
    private static final MonotonicTime START = new MonotonicTime(1_000_000_000_000L);

    final TimerService timers = new TimerService();
    final EventLoopClock clock = new EventLoopClock(START);
    final QueryTagSequence queryTags = new QueryTagSequence();
    final RequestTable requests;

    /** What went wrong: a second run of an unsafe request, or a reply given to a run twice. */
    final List<String> violations = new ArrayList<>();

    /** The request classes whose runs are carried out by servers, without this connection. */
    final Set<String> classesAtServers = new HashSet<>();

    private final ExecutorSession session;
    private final List<String> log = new ArrayList<>();
    private final Deque<Command> toExecutor = new ArrayDeque<>();
    private final Deque<Message> toNode = new ArrayDeque<>();
    private final List<Message> numbered = new ArrayList<>();
    private final Map<AttemptId, Run> runs =
            new TreeMap<>((a, b) -> a.digits().compareTo(b.digits()));
    private final Map<AttemptId, Integer> starts = new HashMap<>();
    private final Set<AttemptId> over = new HashSet<>();
    private final Map<String, Integer> repliesRead = new TreeMap<>();
    private int lastNumberRead;
    private boolean connected = true;
    private boolean welcomed = true;

    SimulatedExecutor() {
        RecordingServer settings =
                new RecordingServer()
                        .set("services.0.name=pure services.1.name=token services.2.name=effect");
        RequestValidator validator = new RequestValidator(new SettingsMap(settings.settings));
        requests = new RequestTable(8, new EndedUnsafeAttempts(8, clock, () -> validator));
        session =
                new ExecutorSession(
                        this, queryTags, requests, timers, clock, () -> validator, log::add);
    }

    // ---- steps of the node ----

    /** Starts the run of a new request and returns its attempt id. */
    AttemptId start(int number, String className) {
        AttemptId id = new AttemptId(String.format("%016x", number));
        IncomingRequest incomingRequest =
                new IncomingRequest(
                        id,
                        className,
                        "acme",
                        new SubjectId(0),
                        new UpstreamId(1),
                        clock.now(),
                        10,
                        0.5,
                        null,
                        new byte[0]);
        ActiveRequest request =
                new ActiveRequest(
                        new ConnectionId(0),
                        number,
                        incomingRequest,
                        clock.now().plus(CLIENT_TIMEOUT));
        requests.add(request);
        requests.markStarted(request);
        session.run(request);
        return id;
    }

    /** Whether the node knows of a call of this request that has no reply yet. */
    boolean isCallPending(AttemptId id) {
        ActiveRequest request = requests.find(id);
        return request != null && request.callBody != null && request.unconfirmedReply == null;
    }

    /** Gives the run the reply to the call that it waits for. */
    void reply(AttemptId id) {
        ActiveRequest request = requests.find(id);
        byte[] reply = request.callBody;
        request.callBody = null;
        session.giveReply(request, reply);
    }

    /** Lets the run continue without the call that it waits for. */
    void skip(AttemptId id) {
        session.skipCall(requests.find(id));
    }

    /** Asks for resource usage. */
    void query() {
        session.askResourceUsage();
    }

    /** The node answers a request without a result. The executor does not know of it yet. */
    void fail(AttemptId id) {
        requests.find(id).answered = true;
    }

    /** The client no longer waits, which the executor knows, and the node reads its abort. */
    void abort(AttemptId id) {
        over.add(id);
        ActiveRequest request = requests.find(id);
        request.answered = true;
        session.onAborted(request);
    }

    /** Whether the node has not answered a request yet. */
    boolean isOpen(AttemptId id) {
        ActiveRequest request = requests.find(id);
        return request != null && !request.answered;
    }

    /**
     * Moves the clock to the first timer and fires it. Requests whose clients no longer wait by
     * then are over for the executor.
     */
    void fireTimer() {
        clock.advance(timers.earliest());
        endRequestsOfClientsThatLeft();
        timers.runDue(clock.now());
    }

    /** Moves the clock past the time that clients wait. */
    void passClientTimeout() {
        clock.advance(clock.now().plus(CLIENT_TIMEOUT));
        endRequestsOfClientsThatLeft();
        timers.runDue(clock.now());
    }

    private void endRequestsOfClientsThatLeft() {
        requests.started().stream()
                .filter(request -> !clock.now().isBefore(request.clientWaitsUntil))
                .forEach(request -> over.add(request.incomingRequest.attemptId()));
    }

    // ---- steps of the executor and its connection ----

    /** Whether the executor has a command to read. */
    boolean hasCommand() {
        return !toExecutor.isEmpty();
    }

    /** The executor reads the next command. */
    void readCommand() {
        Command command = toExecutor.remove();
        if (command instanceof Command.Start start) {
            onStart(start.id());
        } else if (command instanceof Command.Reply reply) {
            onReply(reply);
        } else if (command instanceof Command.Query query) {
            toNode.add(new Message.Usage(query.tag()));
        }
    }

    private void onStart(AttemptId id) {
        if (runs.containsKey(id)) {
            return; // for a request that runs already nothing happens
        }
        if (over.contains(id)) {
            send(new Message.RunEnded(numbered.size() + 1, id, Completion.NOTHING_STARTED));
            return;
        }
        if (starts.merge(id, 1, Integer::sum) > 1) {
            violations.add("started twice: " + id.digits());
        }
        runs.put(id, new Run());
    }

    private void onReply(Command.Reply reply) {
        String call = reply.id().digits() + " call " + reply.call();
        if (repliesRead.merge(call, 1, Integer::sum) > 1) {
            violations.add("reply given twice: " + call);
        }
        Run run = runs.get(reply.id());
        if (run != null && run.phase == Phase.AT_CALL) {
            if (run.calls != reply.call()) {
                violations.add("reply given to call " + run.calls + ": " + call);
            }
            run.phase = Phase.WORKING;
        }
    }

    /** Whether the node has a message to read. */
    boolean hasMessage() {
        return !toNode.isEmpty();
    }

    /** The node reads the next message. */
    void deliver() {
        Message message = toNode.remove();
        if (message instanceof Message.Welcome) {
            welcomed = true;
            session.onConnectionRestored();
        } else if (message instanceof Message.Usage usage) {
            session.onResourceUsage(usage.tag());
        } else if (message instanceof Message.RunEnded ended) {
            if (ended.number() > lastNumberRead) {
                lastNumberRead = ended.number();
                ActiveRequest request = requests.find(ended.id());
                if (request != null) {
                    requests.remove(request.id);
                }
            }
        } else if (message instanceof Message.CallNeeded needed
                && needed.number() > lastNumberRead) {
            lastNumberRead = needed.number();
            onCallNeeded(needed);
        }
    }

    private void onCallNeeded(Message.CallNeeded needed) {
        ActiveRequest request = requests.find(needed.id());
        if (request != null) {
            session.onCallNeeded(request);
            request.callBody = Integer.toString(needed.call()).getBytes(StandardCharsets.US_ASCII);
        }
    }

    /** Where the run of a request is; null if it has none. */
    Phase phase(AttemptId id) {
        Run run = runs.get(id);
        return run == null ? null : run.phase;
    }

    /** How many calls the run of a request has made. */
    int calls(AttemptId id) {
        return runs.get(id).calls;
    }

    /** A run makes a call. */
    void call(AttemptId id) {
        Run run = runs.get(id);
        run.phase = Phase.AT_CALL;
        run.calls++;
        send(new Message.CallNeeded(numbered.size() + 1, id, run.calls));
    }

    /** A run ends. */
    void end(AttemptId id) {
        runs.remove(id);
        send(new Message.RunEnded(numbered.size() + 1, id, Completion.WELL));
    }

    private void send(Message message) {
        numbered.add(message);
        if (connected) {
            toNode.add(message);
        }
    }

    boolean isConnected() {
        return connected;
    }

    /** The connection breaks: what neither side has read of it is lost. */
    void breakConnection() {
        connected = false;
        welcomed = false;
        toExecutor.clear();
        toNode.clear();
    }

    /** A new connection is made; the executor sends the messages that were not read again. */
    void connect() {
        connected = true;
        toNode.add(new Message.Welcome());
        toNode.addAll(numbered.subList(lastNumberRead, numbered.size()));
    }

    /** The node reads all messages and the executor all commands, until there are none. */
    void exchangeAll() {
        while (hasCommand() || hasMessage()) {
            if (hasCommand()) {
                readCommand();
            } else {
                deliver();
            }
        }
    }

    /**
     * Whether a request is over for the executor: it starts no run of it and ends one at a call.
     */
    boolean isOver(AttemptId id) {
        return over.contains(id);
    }

    /** How often a request was started. */
    int starts(AttemptId id) {
        return starts.getOrDefault(id, 0);
    }

    /** How often the executor read a reply to this call of a request. */
    int repliesRead(AttemptId id, int call) {
        return repliesRead.getOrDefault(id.digits() + " call " + call, 0);
    }

    // ---- the port ----

    private boolean write(Command command) {
        if (welcomed) {
            toExecutor.add(command);
        }
        return welcomed;
    }

    @Override
    public boolean usesExecutorConnection(String className) {
        return !classesAtServers.contains(className);
    }

    @Override
    public boolean run(AttemptId id, String className, byte[] body) {
        if (classesAtServers.contains(className)) {
            starts.merge(id, 1, Integer::sum);
            return true;
        }
        return write(new Command.Start(id));
    }

    @Override
    public boolean giveReply(AttemptId id, byte[] reply) {
        int call = Integer.parseInt(new String(reply, StandardCharsets.US_ASCII));
        return write(new Command.Reply(id, call));
    }

    @Override
    public boolean skipCall(AttemptId id) {
        byte[] call = requests.find(id).callBody;
        return giveReply(id, call);
    }

    @Override
    public boolean stop(AttemptId id) {
        return welcomed;
    }

    @Override
    public void askResourceUsage(long queryTag) {
        write(new Command.Query(queryTag));
    }

    @Override
    public void checkDeep(long queryTag) {
        throw new UnsupportedOperationException("no health checks here");
    }

    /** All that decides what can still happen, for telling states apart. */
    String state() {
        StringBuilder state = new StringBuilder();
        for (ActiveRequest request : requests.started()) {
            state.append(request.tag)
                    .append(request.runDelivery)
                    .append(request.callBody != null)
                    .append(request.answered)
                    .append(request.aborted);
            if (request.unconfirmedReply != null) {
                state.append(request.unconfirmedReply.delivery);
            }
        }
        runs.forEach((id, run) -> state.append(id.digits()).append(run.phase).append(run.calls));
        return state.append(starts)
                .append(over)
                .append(repliesRead)
                .append(toExecutor)
                .append(toNode)
                .append(numbered.size())
                .append(' ')
                .append(lastNumberRead)
                .append(connected)
                .append(welcomed)
                .append(queryTags.last())
                .append(' ')
                .append(session)
                .append(timers.size())
                .toString();
    }
}
