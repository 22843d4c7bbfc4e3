package lupinwood.net;

import java.io.IOException;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import lupinwood.core.Deadlines;
import lupinwood.core.Host;
import lupinwood.council.Hands;
import lupinwood.log.Log;
import lupinwood.node.Moment;
import lupinwood.node.Settings;
import lupinwood.node.Span;
import lupinwood.reload.Plan;
import lupinwood.settings.Change;
import lupinwood.settings.Schema;

/** One real node: its sockets, its deciding thread, and how it leaves. */
public final class Serving {
    /**
     * What the descriptors are for. What the process itself and its links need comes first, so that
     * no crowd can take it; dispatchers may have half of all in any case; of the rest what goes
     * below gets what it needs, half at the most.
     *
     * @param dispatchers how many of their connections have a place at once
     * @param closing how many more may be open that come in, or make room and are closed
     * @param calls connections to the index
     * @param runs connections to servers that carry out tickets
     */
    record Descriptors(int dispatchers, int closing, int calls, int runs) {
        /**
         * Opened while the node runs: a file read again, a name looked up, and one more of each
         * kind.
         */
        private static final int LATER = 4;

        /** The link to the executor, and the next one. */
        private static final int EXECUTOR = 2;

        /**
         * One in so many may be about to close: a node lets in some hundred a second though none
         * closes by itself.
         */
        private static final int CLOSING = 8;

        /** The least of each kind below that is needed at all. */
        private static final int LEAST = 2;

        private static final int USUAL_CALLS = 32;

        /**
         * @param open what is open with all selectors made and no connection yet
         * @param voters of the fleet, each with a connection and the next one
         */
        static int own(int open, int doors, int voters) {
            return open + LATER + doors + EXECUTOR + NamingReporter.MOST_AT_ONCE + 2 * voters;
        }

        /**
         * How many calls may be out at once; the settings tell a mean, and 32 were never too many
         * so far.
         */
        static int callsOf(NodeConfig config) {
            if (config.index() == null) {
                return 0;
            }
            Settings settings = new Settings(config.settings());
            return settings.is("domain.below", "one_for_all")
                    ? (int)
                            Math.max(
                                    USUAL_CALLS,
                                    Math.ceil(
                                            2
                                                    * settings.number(
                                                            "domain.calls_out", Integer.MAX_VALUE)))
                    : Integer.MAX_VALUE;
        }

        /**
         * @param own what the process and its links need
         * @param mostCalls connections that calls can use at once, 0 where there is nothing below
         * @param mostRuns the same for servers
         */
        static Descriptors of(int all, int own, int mostCalls, int mostRuns) {
            int rest = Math.max(2 * LEAST + 2, all - own);
            int half = all / 2 + 1;
            int room = Math.max(0, (rest - half) / 2);
            double part = Math.min(1, room / Math.max(1.0, (double) mostCalls + mostRuns));
            int calls = Math.max(Math.min(LEAST, mostCalls), (int) (mostCalls * part));
            int runs = Math.max(Math.min(LEAST, mostRuns), (int) (mostRuns * part));
            int accepted = rest - calls - runs;
            int closing = Math.max(1, Math.min(accepted / CLOSING, accepted - half));
            return new Descriptors(accepted - closing, closing, calls, runs);
        }
    }

    private static final Span LOOK_AGAIN = Span.ofSeconds(0.02);

    /** Without a ticket for so long, dispatchers have learned that this node leaves. */
    private static final Span QUIET = Span.ofSeconds(1);

    /**
     * How the time to the stop is spent: by the first all is answered. The end after it has three
     * parts of one length: dispatchers close their connections, as they are asked to; those that
     * rest until this side ends them see the end; and the process is gone by itself. Where the stop
     * comes soon each is a twelfth of the time to it.
     */
    record Leaving(Span answered, Span part) {
        private static final Span LONGEST_PART = Span.ofSeconds(0.2);

        static Leaving within(Span stop) {
            Span part = stop.times(1.0 / 12).min(LONGEST_PART);
            return new Leaving(stop.minus(part.times(3)), part);
        }
    }

    /** The deciding thread takes a step well within this many seconds; past it, it is stuck. */
    private static final long LONGEST_STEP = 30;

    private static final Span FIGURES_EVERY = Span.ofSeconds(10);

    /** What the node goes by. Changed by one reload at a time, never by the deciding thread. */
    private volatile NodeConfig config;

    /** How long the deciding thread was busy with the latest reload; zero before the first. */
    public Span latestStep() {
        return latestStep;
    }

    /** What stands open, told by the deciding thread. */
    public String figures() {
        CompletableFuture<String> told = new CompletableFuture<>();
        decider.tell(() -> told.complete(host.figures()));
        return told.completeOnTimeout("", LONGEST_STEP, TimeUnit.SECONDS).join();
    }

    /**
     * Where the executor last said WELCOME; another than the configured one while a move there
     * failed.
     */
    private volatile InetSocketAddress executorAt;

    private volatile Span latestStep = Span.ZERO;
    private final Host.Maker maker;
    private final Log log;
    private final Deadlines deadlines = new Deadlines();
    private final Decider decider;
    private final Sockets sockets;
    private final DispatcherListener listener;

    /** Null where the configuration has none, which then loads nothing of it. */
    private final AjpFront ajp;

    private final ExecutorLink executor;

    /** Null where no server carries out tickets, which then loads nothing of it. */
    private final AjpServers servers;

    /** Null where the configuration names no voters, which then loads nothing of it. */
    private final FleetPart fleet;

    private volatile Runnable leaveAsked = () -> {};

    /** Null until told; a node without a fleet never loads it. */
    private volatile Supplier<Hands> hands;

    private final IndexLink index;
    private final NamingReporter naming;
    private final Host host;
    private final CountDownLatch quiet = new CountDownLatch(1);
    private final CountDownLatch left = new CountDownLatch(1);

    /**
     * Whether the door was opened, and whether the notice to leave has come; under this object's
     * lock.
     */
    private boolean open;

    private boolean told;

    public Serving(NodeConfig config, Host.Maker maker, Log log) {
        this(config, maker, log, System::nanoTime);
    }

    /** With a clock of the caller's, in nanoseconds, which never goes back. */
    Serving(NodeConfig config, Host.Maker maker, Log log, LongSupplier steady) {
        this.config = config;
        this.maker = maker;
        this.log = log;
        decider = new Decider(deadlines, steady, log);
        sockets = new Sockets(log);
        listener = new DispatcherListener(decider, deadlines, log);
        ajp =
                config.meaning().value("ajp listen") == null
                        ? null
                        : new AjpFront(config.meaning(), decider, deadlines, log);
        Means means = new Means(sockets, decider, deadlines, log);
        executor = new ExecutorLink(config.executor(), at -> executorAt = at, means);
        servers =
                config.meaning().items(Schema.SERVER).isEmpty()
                        ? null
                        : new AjpServers(config.meaning(), config.seed(), means);
        fleet =
                config.meaning().items(Schema.VOTER).isEmpty()
                        ? null
                        : new FleetPart(
                                config.meaning(),
                                servers,
                                deadlines,
                                () -> hands == null ? null : hands.get(),
                                () -> leaveAsked.run(),
                                log);
        Tables tables = Tables.of(Tables.share(1));
        int all = Math.min(config.sockets(), OpenFiles.limit());
        int voters = config.meaning().items(Schema.VOTER).size();
        int own =
                Descriptors.own(
                        OpenFiles.count(), (ajp == null ? 1 : 2) + (fleet == null ? 0 : 1), voters);
        Descriptors descriptors =
                Descriptors.of(
                        all,
                        own,
                        Descriptors.callsOf(config),
                        servers == null ? 0 : servers.mostConnections());
        if (servers != null) {
            servers.allow(descriptors.runs());
        }
        sockets.allow(descriptors.dispatchers() + descriptors.closing());
        log.line(
                "descriptors "
                        + all
                        + ": dispatchers "
                        + descriptors.dispatchers()
                        + " and "
                        + descriptors.closing()
                        + ", calls "
                        + descriptors.calls()
                        + ", runs "
                        + descriptors.runs()
                        + ", own "
                        + own
                        + "; tickets "
                        + tables.tickets()
                        + ", receipts "
                        + tables.receipts()
                        + " with "
                        + tables.receiptBytes() / 1024
                        + " KB");
        index = new IndexLink(config.index(), descriptors.calls(), means);
        naming = new NamingReporter(config.naming(), config.name(), means);
        host =
                new Host(
                        config.settings(),
                        config.seed(),
                        maker,
                        new Host.Ports(
                                ajp == null ? listener : new Fronts(listener, ajp),
                                servers == null ? executor : new Works(executor, servers),
                                index,
                                log::line),
                        deadlines,
                        new Host.Bounds(
                                descriptors.dispatchers(),
                                tables.tickets(),
                                tables.receipts(),
                                tables.receiptBytes()),
                        decider.time());
    }

    /** What the fleet's word to leave sets going; to be set before {@link #start}. */
    public void onLeaveAsked(Runnable job) {
        leaveAsked = job;
    }

    /** Who checks and takes the fleet's text; to be set before {@link #start}. */
    public void onText(Supplier<Hands> who) {
        hands = who;
    }

    /**
     * Listens and serves until told to leave; an address in use is told by the exception. Told
     * before the door opens, it never opens it, and returns false.
     */
    public boolean start() throws IOException {
        try {
            int answers = WarmUp.play(config.settings(), config.seed(), maker);
            log.line("warmed up by " + answers + " made-up tickets");
        } catch (RuntimeException e) {
            // A node that is slow at first is better than none.
            log.problem("no warm-up", e);
        }
        if (fleet != null) {
            fleet.start();
        }
        // Before the door opens: what comes through it at once must find who is to take it.
        decider.tell(
                () -> {
                    listener.serve(host);
                    if (ajp != null) {
                        ajp.serve(host);
                    }
                    index.serve(host);
                    if (servers != null) {
                        servers.serve(host);
                    }
                    executor.serve(host);
                    naming.serve(host);
                    if (fleet != null) {
                        fleet.serve(host);
                    }
                    tellFigures();
                });
        synchronized (this) {
            if (told) {
                return false;
            }
            sockets.listen(config.listen(), listener::newPeer);
            log.line(config.name() + " listens on " + config.listen());
            if (ajp != null) {
                InetSocketAddress also = NodeConfig.address(config.meaning().value("ajp listen"));
                sockets.listenAlso(also, ajp::newPeer);
                log.line(config.name() + " listens for AJP on " + also);
            }
            decider.start(host);
            open = true;
        }
        return true;
    }

    private void tellFigures() {
        log.line(host.figures());
        if (fleet != null) {
            log.line(fleet.figures());
        }
        deadlines.at(host.now().plus(FIGURES_EVERY), this::tellFigures);
    }

    /**
     * Takes over a configuration read anew, as far as a node that runs can. All that may fail
     * happens before the step, on the caller's thread; the step itself is one of the deciding
     * thread, and tells whether it was taken. One caller at a time.
     */
    public Plan reload(NodeConfig next) {
        Plan plan = Plan.between(config.meaning(), next.meaning());
        plan.steps()
                .forEach(
                        step ->
                                log.line(
                                        (plan.isRefused() ? "not reloaded: " : "reload: ")
                                                + step.said()
                                                + (step.change() == Change.REFUSED
                                                        ? ", since " + step.because()
                                                        : "")));
        if (plan.isRefused()) {
            log.line(
                    "nothing reloaded: "
                            + plan.steps().stream()
                                    .filter(s -> s.change() == Change.REFUSED)
                                    .map(Plan.Step::name)
                                    .collect(Collectors.joining(", "))
                            + " can't change while the node runs");
            return plan;
        }
        NodeConfig now;
        try {
            now = config.with(plan.result());
        } catch (NodeConfig.Unusable e) {
            log.line("nothing reloaded: " + e.getMessage());
            return plan;
        }
        Host.Tuning tuning = new Host.Tuning(now.settings());
        CompletableFuture<Boolean> step = new CompletableFuture<>();
        decider.tell(
                () -> {
                    long begun = System.nanoTime();
                    try {
                        boolean took = takeOver(now, tuning);
                        latestStep = new Span(System.nanoTime() - begun);
                        step.complete(took);
                    } finally {
                        step.complete(false); // counts only where the line before didn't get there
                    }
                });
        boolean taken = step.completeOnTimeout(false, LONGEST_STEP, TimeUnit.SECONDS).join();
        if (taken) {
            config = now;
            if (fleet != null) {
                fleet.reach(now.meaning()); // here and not in the step: it may look a name up
            }
        }
        String stays =
                plan.steps().stream()
                        .filter(s -> s.change() == Change.RESTART)
                        .map(Plan.Step::name)
                        .collect(Collectors.joining(", "));
        if (!stays.isEmpty()) {
            log.line("can't change while the node runs, and stays as it was: " + stays);
        }
        log.line(
                taken
                        ? "reloaded: executor "
                                + now.executor()
                                + ", index "
                                + (now.index() == null ? "none" : now.index())
                                + ", naming "
                                + now.naming()
                                + (plan.isEmpty() ? "; nothing changed" : "")
                        : "nothing reloaded: the node was told to leave");
        return plan;
    }

    /** The step. Nothing in it can fail for what the configuration says. */
    private boolean takeOver(NodeConfig now, Host.Tuning tuning) {
        if (!host.retune(tuning)) {
            return false;
        }
        long within = now.meaning().number("moves welcome-within", BigDecimal.ZERO).longValue();
        executor.moveTo(now.executor(), new Span(within));
        index.moveTo(now.index());
        naming.moveTo(now.naming());
        return true;
    }

    /** For who has to hold the order of events. */
    Decider decider() {
        return decider;
    }

    /**
     * What the node goes by: the last configuration that was taken over, in what can change while
     * it runs.
     */
    public NodeConfig goesBy() {
        return config;
    }

    /** Where the executor last said WELCOME; null before. */
    public InetSocketAddress executorAt() {
        return executorAt;
    }

    /**
     * The notice to leave: returns once everything read is answered, or just before the stop. The
     * door stays open while dispatchers that have not learned of it still come: they hear when to
     * come back, which a refused connection can't tell.
     */
    public void leave() throws InterruptedException {
        boolean again;
        synchronized (this) {
            again = told;
            told = true;
            if (!open) {
                log.line("left before the door opened");
                return;
            }
        }
        if (again) {
            left.await(config.stop().nanos(), TimeUnit.NANOSECONDS);
            return;
        }
        log.line("told to leave");
        Span stop = config.stop();
        Leaving parts = Leaving.within(stop);
        if (fleet != null) {
            fleet.leave();
        }
        decider.tell(
                () -> {
                    host.leave(parts.answered());
                    naming.leave();
                    lookUntil(
                            host.now().plus(parts.answered()),
                            () -> host.isAnswered() && QUIET.compareTo(host.sinceLastTicket()) < 0,
                            quiet);
                });
        quiet.await(stop.nanos(), TimeUnit.NANOSECONDS);
        sockets.stopListening();
        CountDownLatch closed = new CountDownLatch(1);
        decider.tell(
                () -> {
                    host.closeConnections();
                    lookUntil(host.now().plus(parts.part()), this::isEmpty, closed);
                });
        closed.await(stop.nanos(), TimeUnit.NANOSECONDS);
        decider.tell(
                () -> {
                    host.endConnections();
                    lookUntil(host.now().plus(parts.part()), this::isEmpty, left);
                });
        left.await(stop.nanos(), TimeUnit.NANOSECONDS);
        decider.stop();
        sockets.dispose();
        if (fleet != null) {
            fleet.end();
        }
        log.line("left");
    }

    /**
     * Guards against a connection that was accepted and not yet told here: its ticket would end
     * with the process.
     */
    private boolean isEmpty() {
        return host.isAnswered()
                && host.connectionCount() == 0
                && host.connectionsEver() == sockets.accepted();
    }

    private void lookUntil(Moment last, BooleanSupplier done, CountDownLatch told) {
        if (done.getAsBoolean() || !host.now().isBefore(last)) {
            told.countDown();
        } else {
            deadlines.at(host.now().plus(LOOK_AGAIN), () -> lookUntil(last, done, told));
        }
    }
}
