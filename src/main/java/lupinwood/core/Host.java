package lupinwood.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import lupinwood.node.Effect;
import lupinwood.node.Gauges;
import lupinwood.node.Moment;
import lupinwood.node.Node;
import lupinwood.node.Server;
import lupinwood.node.Settings;
import lupinwood.node.Span;
import lupinwood.node.Ticket;
import lupinwood.node.TicketId;
import lupinwood.node.Track;
import lupinwood.node.TrackId;

/**
 * The machine as its node sees it. News is told to this by one thread, which sets the time first
 * with {@link #advance} and ends each round of news with {@link #settle}.
 */
public final class Host implements Server {
    /** Makes the node once the executor is up. */
    public interface Maker {
        Node make(Server server, long seed, Map<String, String> settings);
    }

    /** How much this may keep; none of it is the node's own reckoning of memory. */
    public record Bounds(int connections, int tickets, int receipts, long receiptBytes) {}

    /** Where results go. */
    public record Ports(
            Dispatchers dispatchers, Executor executor, Index index, Consumer<String> log) {}

    /** How long a connection may be idle where the settings don't tell. */
    private static final Span ALWAYS_IDLE = Span.ofSeconds(3600);

    /**
     * On sockets the window of a receipted ticket is longer by this; a repeat so late is not run.
     */
    private static final Span WINDOW_SLACK = Span.ofSeconds(0.05);

    private static final Span ASK_AGAIN = Span.ofSeconds(0.004);

    /**
     * What stands for a command that was not carried out, seen in answer to calls to be left out.
     */
    private static final String UNNAMED = "-";

    private Map<String, String> settings;
    private final long seed;
    private final Maker maker;
    private final Ports ports;
    private final Deadlines deadlines;
    private final Connections connections;
    private final Slots<Taken> tickets;
    private final Map<TryId, Taken> byTry = new HashMap<>();

    /**
     * Those that were given to run: what goes through these must not grow with all that are held.
     */
    private final Set<Taken> started = new LinkedHashSet<>();

    private final Receipts receipts;
    private Admission admission;
    private final Tags tags = new Tags();
    private final List<String> gaugeNames;
    private final WakeUps wakeUps;
    private final HealthChecks checks;

    /** News of the host's own making, told once the node has said all it has to say. */
    private final Deque<Runnable> news = new ArrayDeque<>();

    /** Null while nobody asks for it. */
    private Answers answers;

    private Moment now;

    /**
     * How far the machine's clock stands ahead of the time told here; less than nothing where it
     * stands behind.
     */
    private Span clockAhead = Span.ZERO;

    private Node node;

    /** When the executor was started; null before its first word. */
    private Moment bornAt;

    /** Whether the executor was cold when the node was made. */
    private boolean bornCold;

    private double advice = -1;
    private boolean leaving;
    private Moment lastTicket;
    private long connectionsEver;

    /** The tag whose gauges, when they come, prove that all commands before were read; by link. */
    private long replayTag;

    /**
     * Whether the executor may stop runs, and let them go on without a call; so until it says
     * otherwise.
     */
    private boolean stops = true;

    private boolean skips = true;

    /** When gauges are asked for to settle doubts, or null. */
    private Deadlines.Deadline doubts;

    public Host(
            Map<String, String> settings,
            long seed,
            Maker maker,
            Ports ports,
            Deadlines deadlines,
            Bounds bounds,
            Moment now) {
        this.settings = settings;
        this.seed = seed;
        this.maker = maker;
        this.ports = ports;
        this.deadlines = deadlines;
        this.now = now;
        lastTicket = now;
        // Dispatchers close idle connections by then; what is left was forgotten.
        Settings read = new Settings(settings);
        Span longestIdle = read.span("domain.keepalive_max_ns");
        admission = new Admission(read);
        connections =
                new Connections(
                        bounds.connections(),
                        longestIdle.isPositive() ? longestIdle : ALWAYS_IDLE,
                        admission.longestAbandon(),
                        ports.dispatchers(),
                        deadlines,
                        this::now);
        tickets = new Slots<>(bounds.tickets());
        receipts = new Receipts(bounds.receipts(), bounds.receiptBytes());
        String gauges = read.text("domain.gauges");
        gaugeNames = gauges.isEmpty() ? List.of() : List.of(gauges.split(","));
        wakeUps =
                new WakeUps(
                        gaugeNames,
                        deadlines,
                        ports.executor(),
                        tags,
                        this::now,
                        known -> node.wake(known));
        checks = new HealthChecks(deadlines, ports.executor(), tags, this::now, this::sayHealth);
    }

    /** From now on each final answer is told, or that its caller left before it. */
    public void answersTo(Answers told) {
        answers = told;
    }

    private void tell(Arrival arrival, Answer.Word word) {
        if (answers != null) {
            Span took = now.since(arrival.reached()).max(Span.ZERO);
            answers.answered(
                    arrival.track(),
                    word,
                    took,
                    admission.says(arrival).agreed().compareTo(took) < 0);
        }
    }

    // ---- time ----

    /** Sets the time; a clock that was set back stands still until it is caught up with. */
    public void advance(Moment moment) {
        now = now.isBefore(moment) ? moment : now;
    }

    /**
     * What the machine's clock, by which tickets are stamped, shows at this time; it may step
     * either way.
     */
    public void clockShows(Moment moment) {
        clockAhead = moment.since(now);
    }

    /** All that came in at this moment has been told. */
    public void settle() {
        if (node != null) {
            node.settle();
            while (!news.isEmpty()) {
                news.poll().run();
                if (news.isEmpty()) {
                    node.settle();
                }
            }
        }
    }

    // ---- dispatchers ----

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
        connections.end(connection, Ending.CLOSED_BY_PEER);
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
     * A ticket came; null where it can't be read. False where the tag is still open: the dispatcher
     * has lost count, and no answer could be told apart.
     */
    public boolean arrived(ConnectionId connection, long tag, Arrival stamped) {
        if (connections.isClosing(connection)) {
            // Guards against a ticket read with what ended its connection: it is owed an answer,
            // and must not run.
            if (connections.open(connection, tag) == null) {
                ports.dispatchers()
                        .answer(connection, tag, Answer.bounced(advice, Span.ZERO, false));
            }
            return true;
        }
        lastTicket = now;
        if (connections.open(connection, tag) != null) {
            return false;
        }
        boolean tooMany = connections.isFull(connection);
        if (node == null || tooMany || tickets.isFull()) {
            String why = node == null ? "before the executor was up" : "beyond what may be open";
            ports.log().accept("bounced a ticket that came " + why);
            Span pause = Span.ofSeconds(node == null ? 1 : 0);
            ports.dispatchers().answer(connection, tag, Answer.bounced(advice, pause, false));
            if (tooMany) {
                connections.fault(connection);
            }
            return true;
        }
        // The window counts in the clock by which tickets are stamped, all else in one that never
        // steps.
        Receipts.Receipt receipt =
                stamped == null ? null : receipts.find(stamped.receipt(), stamped.reached());
        Arrival arrival =
                stamped == null ? null : stamped.reachedAt(stamped.reached().minus(clockAhead));
        if (receipt == null && arrival != null && arrival.receipt() != null && receipts.isFull()) {
            // Guards against a flood of marks that are seen once: what could not be remembered must
            // not run.
            ports.log().accept("bounced a ticket whose mark there is no room to remember");
            ports.dispatchers()
                    .answer(connection, tag, Answer.bounced(advice, Span.ofSeconds(1), false));
            connections.unwanted(connection);
            return true;
        }
        boolean idInUse = arrival != null && byTry.containsKey(arrival.tryId());
        String fault =
                connections.isStubborn(connection)
                        ? "on a connection asked to close"
                        : admission.fault(arrival, receipt, idInUse, now);
        if (fault != null) {
            ports.log().accept("abandoned a ticket " + fault);
            ports.dispatchers()
                    .answer(connection, tag, Answer.plain(Answer.Word.ABANDONED, advice));
            if (fault.equals(Admission.TOO_LATE)) {
                tell(arrival, Answer.Word.ABANDONED);
                connections.unwanted(connection);
            } else if (fault.equals(Admission.NO_TIME)) {
                connections.strike(connection);
            } else {
                connections.fault(connection);
            }
            return true;
        }
        Taken taken = new Taken(connection, tag, arrival);
        taken.id = new TicketId(tickets.put(taken));
        byTry.put(arrival.tryId(), taken);
        connections.begin(connection, tag, taken.id);
        take(taken, receipt);
        return true;
    }

    private void take(Taken taken, Receipts.Receipt original) {
        Arrival arrival = taken.arrival;
        taken.original = original;
        Span waited = now.since(arrival.reached()).max(Span.ZERO);
        taken.handle =
                node.take(
                        new Ticket(
                                taken.id,
                                admission.track(arrival),
                                admission.customer(arrival),
                                arrival.subject(),
                                arrival.caller(),
                                arrival.patience().isPositive()
                                        ? admission.waits(arrival).minus(waited)
                                        : Span.ZERO,
                                arrival.work(),
                                arrival.memoryKb(),
                                arrival.rank(),
                                arrival.repeat(),
                                waited,
                                original == null ? null : original.ticket));
    }

    /** The dispatcher waits no more for it. */
    public void aborted(ConnectionId connection, long tag) {
        TicketId ticket = connections.open(connection, tag);
        if (ticket != null) {
            connections.end(connection, tag);
            connections.unwanted(connection);
            left(ticket);
        }
    }

    /**
     * What can't be read came on it: nothing more is, and it ends once all that is open on it is
     * answered.
     */
    public void malformed(ConnectionId connection) {
        connections.end(connection, Ending.MALFORMED);
    }

    /** A message on it was begun and never ended. */
    public void leftOff(ConnectionId connection) {
        connections.end(connection, Ending.SAID_NOTHING);
    }

    private void left(TicketId id) {
        Taken taken = tickets.get(id.number());
        if (taken != null && !taken.answered) {
            taken.answered = true;
            tell(taken.arrival, Answer.Word.ABANDONED);
            askIfUnsure(taken);
            taken.handle.left();
        }
    }

    public void checked(ConnectionId connection, long tag, boolean real) {
        connections.touch(connection);
        checks.check(connection, tag, real);
    }

    private void sayHealth(ConnectionId connection, long tag, boolean well) {
        ports.dispatchers()
                .answer(
                        connection,
                        tag,
                        Answer.plain(well ? Answer.Word.GOOD : Answer.Word.NOT_GOOD, advice));
    }

    private void answer(Taken taken, Answer answer) {
        if (!taken.answered) {
            taken.answered = true;
            tell(taken.arrival, answer.word());
            ports.dispatchers().answer(taken.connection, taken.tag, answer);
            connections.end(taken.connection, taken.tag);
        }
    }

    // ---- executor ----

    /** A link stands. The first makes the node, whose life began when the executor's did. */
    public void welcomed(boolean cold, Span age) {
        if (node != null) {
            // Gauges asked for now come after all notices that were missed.
            replayTag = tags.next();
            ports.executor().askGauges(replayTag);
            return;
        }
        if (leaving) {
            return; // a node that leaves before it had an executor begins nothing
        }
        bornCold = cold;
        Moment present = now;
        now = now.minus(age);
        bornAt = now;
        node = maker.make(this, seed, told(settings));
        now = present;
        ports.log().accept("the executor is up, " + (cold ? "cold" : "warm"));
    }

    /** Whether the executor is there, and warm, or started so long ago that it is. */
    public boolean isWarm(Span warmAfter) {
        return bornAt != null && (!bornCold || now.since(bornAt).compareTo(warmAfter) >= 0);
    }

    private Map<String, String> told(Map<String, String> from) {
        Map<String, String> told = new HashMap<>(from);
        told.put("domain.cold", Boolean.toString(bornCold));
        if (!skips) {
            told.remove("domain.class_skip_worth");
        }
        return told;
    }

    /** Settings that may be taken over in one step, made outside of the deciding thread. */
    public static final class Tuning {
        private final Map<String, String> settings;
        private final Admission admission;

        public Tuning(Map<String, String> settings) {
            this.settings = Map.copyOf(settings);
            admission = new Admission(new Settings(settings));
        }
    }

    /**
     * Takes over settings that differ only in what may change while the node runs; false once it
     * leaves, since the notice to leave was given under the old ones.
     */
    public boolean retune(Tuning tuning) {
        if (leaving) {
            return false;
        }
        if (node != null) {
            node.retune(told(tuning.settings));
        }
        settings = tuning.settings;
        admission = tuning.admission;
        return true;
    }

    /** What ran there will never end, and may have had its effect. */
    public void executorStartedAnew() {
        ports.log().accept("the executor was started anew, its runs are lost");
        List.copyOf(started)
                .forEach(
                        taken -> {
                            if (!taken.elsewhere) {
                                lost(taken.arrival.tryId(), Ending.EXECUTOR_GONE);
                            }
                        });
    }

    /**
     * After a lost link: what was sent last may not have been read. What was never written is
     * written now, and a pure ticket's run may be asked for twice, since a run that goes on ignores
     * it. All else is in doubt.
     */
    private void sendAgain() {
        started.forEach(
                taken -> {
                    if (taken.elsewhere) {
                        return;
                    }
                    if (!taken.startKnown) {
                        if (taken.sent && track(taken).effect() != Effect.PURE) {
                            taken.unsure = true;
                        } else {
                            askToRun(taken);
                        }
                    } else if (taken.unreadReply != null && !taken.answered) {
                        taken.unsure = taken.replySent;
                        if (!taken.unsure) {
                            giveReply(taken);
                        }
                    }
                });
    }

    private void giveReply(Taken taken) {
        taken.repliedAfter = tags.last();
        TryId id = taken.arrival.tryId();
        taken.replySent =
                taken.unreadReply == Taken.NO_CALL
                        ? ports.executor().skipCall(id)
                        : ports.executor().giveReply(id, taken.unreadReply);
    }

    /**
     * Commands in doubt must not simply be given again: a receipted run might have ended just now
     * and run twice, and a run that has its reply would take the same for that to its next call.
     * The gauge of tickets on the cores tells: it counts every run there (and what else uses them),
     * and all notices up to it were read before. Where it counts no more than the runs that are
     * there for certain, none of those in doubt is, so none of the commands was read. Until it does
     * it is asked for again.
     */
    private void settleDoubts(double onCores) {
        int[] certain = {0};
        List<Taken> doubtful = new ArrayList<>();
        started.forEach(
                taken -> {
                    if (taken.unsure) {
                        doubtful.add(taken);
                    } else if (!taken.elsewhere
                            && taken.startKnown
                            && taken.callBody == null
                            && taken.unreadReply == null) {
                        certain[0]++;
                    }
                });
        if (doubtful.isEmpty() || Double.isNaN(onCores)) {
            return;
        }
        if (onCores <= certain[0]) {
            ports.log().accept("commands lost with a link, given again: " + doubtful.size());
            for (Taken taken : doubtful) {
                taken.unsure = false;
                if (!taken.startKnown) {
                    askToRun(taken);
                } else if (!taken.answered) {
                    giveReply(taken);
                }
            }
        } else if (doubts == null) {
            doubts =
                    deadlines.at(
                            now.plus(ASK_AGAIN),
                            () -> {
                                doubts = null;
                                ports.executor().askGauges(tags.next());
                            });
        }
    }

    private Track track(Taken taken) {
        return admission.says(taken.arrival);
    }

    public void exited(TryId id, Ending ending, Span took, byte[] result) {
        Taken taken = byTry.get(id);
        if (taken == null || !taken.started) {
            return;
        }
        dropCall(taken);
        if (!ending.outcome().provesNeverRan()) {
            connections.trust(taken.connection);
        }
        Receipts.Receipt receipt = receipts.of(taken.id);
        if (ending == Ending.WELL && receipt != null) {
            receipts.keepResult(receipt, result);
        }
        conclude(taken, ending, took, result);
        if (ending == Ending.WELL && receipt != null) {
            receipts.over(receipt);
            tellWaiting(receipt, result);
        }
    }

    /** A run ended of which the executor tells nothing. */
    private void lost(TryId id, Ending ending) {
        exited(id, ending, Span.ZERO, null);
    }

    /**
     * The final answer of a run, or of a repeat, unless one was given; and the node hears of the
     * end.
     */
    private void conclude(Taken taken, Ending ending, Span took, byte[] result) {
        answer(
                taken,
                ending == Ending.WELL
                        ? Answer.satisfied(advice, result)
                        : Answer.plain(Answer.Word.ABANDONED, advice));
        taken.handle.ended(ending.outcome(), took);
    }

    private void tellWaiting(Receipts.Receipt receipt, byte[] result) {
        List<TicketId> waiting = new ArrayList<>(receipt.waiting);
        receipt.waiting.clear();
        waiting.forEach(id -> reused(id, result));
    }

    /** A repeat has its original's result, or null where there is none to be had. */
    private void reused(TicketId id, byte[] result) {
        Taken taken = tickets.get(id.number());
        if (taken != null) {
            conclude(taken, result == null ? Ending.FAILED : Ending.WELL, Span.ZERO, result);
        }
    }

    public void calledOut(TryId id, byte[] body) {
        Taken taken = byTry.get(id);
        if (taken != null && taken.started) {
            connections.trust(taken.connection);
            taken.startKnown = true;
            taken.unsure = false;
            taken.unreadReply = null;
            taken.callBody = body;
            taken.handle.needsCall();
        }
    }

    /**
     * The executor would not run it: that ends it. Stopping runs and going on without a call are
     * tried where the settings speak of them, and given up for good at the first of this. Of other
     * commands only the log tells.
     */
    public void notCarriedOut(String command, TryId id) {
        ports.log().accept("the executor did not carry out " + command + " " + id.digits());
        Taken taken = byTry.get(id);
        switch (command) {
            case "EXEC" -> {
                if (taken != null) {
                    lost(id, Ending.NOT_CARRIED_OUT);
                    connections.fault(taken.connection);
                }
            }
            case "KILL" -> stops = false; // the run goes on to its end, as it would have
            // Where the answer names neither, it can be only to those whose call was to be left
            // out.
            case "BYPASS", UNNAMED ->
                    started.stream()
                            .filter(
                                    one ->
                                            one.unreadReply == Taken.NO_CALL
                                                    && (one == taken || command.equals(UNNAMED)))
                            .toList()
                            .forEach(this::mustCall);
            default -> {}
        }
    }

    /**
     * No call can be left out here: its run still waits for one, which is made now where that does
     * no harm.
     */
    private void mustCall(Taken taken) {
        if (skips) {
            skips = false;
            node.retune(told(settings));
        }
        taken.unreadReply = null;
        if (track(taken).effect() != Effect.PURE) {
            lost(taken.arrival.tryId(), Ending.FAILED);
        } else if (!taken.answered) {
            taken.handle.needsCall();
        }
    }

    public void gaugesRead(long tag, double[] values) {
        if (replayTag != 0 && tag == replayTag) {
            replayTag = 0;
            sendAgain();
        } else if (replayTag == 0) {
            started.forEach(
                    taken -> {
                        taken.startKnown |= taken.sent && !taken.unsure && tag > taken.startedAfter;
                        if (taken.replySent && !taken.unsure && tag > taken.repliedAfter) {
                            taken.callBody =
                                    taken.unreadReply == Taken.NO_CALL ? null : taken.callBody;
                            taken.unreadReply = null;
                        }
                    });
        }
        if (replayTag == 0) {
            settleDoubts(Gauges.named(gaugeNames, values).wantingCore());
        }
        wakeUps.read(tag, values);
    }

    /** Asks for gauges; when those of this tag come, all commands before were read. */
    public long askGauges() {
        long tag = tags.next();
        ports.executor().askGauges(tag);
        return tag;
    }

    public void diagnosed(long tag, boolean well) {
        checks.diagnosed(tag, well);
    }

    // ---- index ----

    public void callEnded(TryId id, Ending ending, byte[] reply) {
        Taken taken = byTry.get(id);
        if (taken == null || taken.calledAt == null) {
            return;
        }
        Span took = now.since(taken.calledAt);
        endCall(taken);
        if (ending == Ending.WELL) {
            taken.callBody = null;
            taken.unreadReply = reply;
            giveReply(taken);
        }
        taken.handle.callEnded(ending.outcome(), took);
    }

    private void endCall(Taken taken) {
        deadlines.callOff(taken.callCap);
        taken.callCap = null;
        taken.calledAt = null;
    }

    private void dropCall(Taken taken) {
        if (taken.calledAt != null) {
            ports.index().giveUp(taken.arrival.tryId());
            endCall(taken);
        }
    }

    private void askToRun(Taken taken) {
        taken.startedAfter = tags.last();
        taken.elsewhere = !ports.executor().isOnLink(taken.arrival.track());
        taken.sent =
                ports.executor()
                        .run(taken.arrival.tryId(), taken.arrival.track(), taken.arrival.body());
    }

    /** Once answered nothing can start any more, so asking is safe, and tells whether it runs. */
    private void askIfUnsure(Taken taken) {
        if (taken.unsure && !taken.startKnown) {
            taken.unsure = false;
            askToRun(taken);
        }
    }

    // ---- what the node asks ----

    @Override
    public Moment now() {
        return now;
    }

    @Override
    public void run(TicketId ticket) {
        Taken taken = tickets.get(ticket.number());
        if (taken != null) {
            taken.started = true;
            started.add(taken);
            askToRun(taken);
        }
    }

    /** What can't be stopped goes on to its end, and its ticket is over then. */
    @Override
    public void stop(TicketId ticket) {
        Taken taken = tickets.get(ticket.number());
        if (stops && taken != null && taken.started && !taken.elsewhere) {
            ports.executor().stop(taken.arrival.tryId());
        }
    }

    @Override
    public void bounce(TicketId ticket, boolean askNoOther, Span comeBackAfter) {
        Taken taken = tickets.get(ticket.number());
        if (taken != null) {
            answer(taken, Answer.bounced(advice, comeBackAfter, askNoOther));
            connections.unwanted(taken.connection);
        }
    }

    @Override
    public void fail(TicketId ticket) {
        Taken taken = tickets.get(ticket.number());
        if (taken != null) {
            dropCall(taken);
            answer(taken, Answer.plain(Answer.Word.ABANDONED, advice));
            askIfUnsure(taken);
        }
    }

    @Override
    public void call(TicketId ticket, Span cap) {
        Taken taken = tickets.get(ticket.number());
        if (taken != null && taken.callBody != null) {
            dropCall(taken); // a second call gives up the first
            TryId id = taken.arrival.tryId();
            taken.calledAt = now;
            taken.callCap =
                    deadlines.at(
                            now.plus(cap),
                            () -> {
                                ports.index().giveUp(id);
                                callEnded(id, Ending.GIVEN_UP, null);
                            });
            ports.index().call(id, cap, taken.callBody);
        }
    }

    /** Where no run can go on without its call the ticket can only fail. */
    @Override
    public void skipCall(TicketId ticket) {
        Taken taken = tickets.get(ticket.number());
        if (taken == null) {
            return;
        }
        if (skips && !taken.elsewhere) {
            taken.unreadReply = Taken.NO_CALL;
            giveReply(taken);
        } else {
            news.add(() -> lost(taken.arrival.tryId(), Ending.FAILED));
        }
    }

    @Override
    public void reuse(TicketId ticket) {
        news.add(
                () -> {
                    Taken taken = tickets.get(ticket.number());
                    if (taken == null) {
                        return;
                    }
                    Receipts.Receipt original = taken.original;
                    // Guards against one mark on two bodies: the other's result must not be handed
                    // out for this one.
                    boolean same =
                            original != null && Arrays.equals(original.body, taken.arrival.body());
                    if (same && original.result == null && !original.over) {
                        original.waiting.add(ticket);
                    } else {
                        reused(ticket, same ? original.result : null);
                    }
                });
    }

    @Override
    public void remember(TicketId ticket, Span span) {
        Taken taken = tickets.get(ticket.number());
        if (taken == null || taken.arrival.receipt() == null) {
            return;
        }
        Moment ends = now.plus(span).plus(WINDOW_SLACK).plus(clockAhead);
        Receipts.Receipt receipt =
                receipts.remember(taken.arrival.receipt(), ticket, ends, taken.arrival.body());
        dropOnceOver(receipt, admission.track(taken.arrival));
    }

    /**
     * A repeat that came in time may be read up to its abandon time later; that time may grow
     * meanwhile, by a configuration, and the receipt must outlive it all the same.
     */
    private void dropOnceOver(Receipts.Receipt receipt, TrackId track) {
        Moment over = receipt.ends.plus(admission.says(track).abandon()).minus(clockAhead);
        if (now.isBefore(over)) {
            deadlines.at(over, () -> dropOnceOver(receipt, track));
        } else {
            receipts.drop(receipt);
        }
    }

    @Override
    public void forget(TicketId ticket) {
        Receipts.Receipt receipt = receipts.of(ticket);
        if (receipt != null) {
            receipts.drop(receipt);
            news.add(() -> tellWaiting(receipt, null));
        }
    }

    @Override
    public void health(boolean good, boolean fromStore) {
        checks.set(good, fromStore);
    }

    @Override
    public void advise(double value) {
        advice = value;
    }

    @Override
    public void closeIdle(Span idle) {
        connections.closeIdle(idle);
    }

    @Override
    public void wakeAt(Moment moment) {
        wakeUps.at(moment);
    }

    @Override
    public void over(TicketId ticket) {
        Taken taken = tickets.remove(ticket.number());
        if (taken == null) {
            return;
        }
        byTry.remove(taken.arrival.tryId(), taken);
        started.remove(taken);
        dropCall(taken);
        // Guards against a ticket that is over and yet owed an answer; none should be.
        answer(taken, Answer.plain(Answer.Word.ABANDONED, advice));
        Receipts.Receipt receipt = receipts.of(ticket);
        if (receipt != null && receipt.result == null) {
            receipts.over(receipt);
            news.add(() -> tellWaiting(receipt, null));
        }
    }

    @Override
    public void log(String line) {
        ports.log().accept(line);
    }

    // ---- leaving ----

    /** The machine will be stopped after this long. */
    public void leave(Span until) {
        if (!leaving) {
            leaving = true;
            wakeUps.leave();
            lastTicket = now;
            if (node != null) {
                node.leave(until);
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

    public Span sinceLastTicket() {
        return now.since(lastTicket);
    }

    /** Whether everything read has its answer. */
    public boolean isAnswered() {
        return connections.openTickets() == 0 && checks.isIdle();
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
                + connections.openTickets()
                + ", tickets "
                + tickets.size()
                + ", receipts "
                + receipts.size()
                + ", deadlines "
                + deadlines.size();
    }
}
