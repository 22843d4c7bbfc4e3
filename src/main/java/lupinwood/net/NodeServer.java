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
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.SettingsMap;
import lupinwood.consensus.ConfigApplier;
import lupinwood.log.Log;
import lupinwood.processing.RequestProcessor;
import lupinwood.processing.TableLimits;
import lupinwood.processing.TimerService;
import lupinwood.reload.ConfigDiff;
import lupinwood.settings.ChangeEffect;
import lupinwood.settings.Schema;

/** One real node: its sockets, its event loop thread, and how it leaves. */
public final class NodeServer {
    /**
     * What the descriptors are for. What the process itself and its links need comes first, so that
     * no crowd can take it; upstream load balancers may have half of all in any case; of the rest
     * what goes below gets what it needs, half at the most.
     *
     * @param upstreams how many of their connections have a place at once
     * @param closing how many more may be open that come in, or make room and are closed
     * @param calls connections to the shared dependency
     * @param runs connections to servers that carry out requests
     */
    record Descriptors(int upstreams, int closing, int calls, int runs) {
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
        static int own(int open, int proxies, int voters) {
            return open + LATER + proxies + EXECUTOR + RegistryClient.MOST_AT_ONCE + 2 * voters;
        }

        /**
         * How many calls may be out at once; the settings tell a mean, and 32 were never too many
         * so far.
         */
        static int callsOf(NodeConfig config) {
            if (config.dependency() == null) {
                return 0;
            }
            SettingsMap settings = new SettingsMap(config.settings());
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

    /** The part of the heap that incomplete messages of all upstreams may take together. */
    private static final double INCOMPLETE_MESSAGES_SHARE = 0.1;

    private static final NanoDuration LOOK_AGAIN = NanoDuration.ofSeconds(0.02);

    /**
     * Without a request for so long, upstream load balancers have learned that this node leaves.
     */
    private static final NanoDuration QUIET = NanoDuration.ofSeconds(1);

    /**
     * Divides the time from the notice to leave to the stop. All requests are to be answered within
     * {@code answered}. Three phases of {@code part} follow: upstream load balancers close their
     * connections, as asked to; those open until then are closed by this node; the process exits by
     * itself. {@code part} is a twelfth of the time, at most {@link #LONGEST_PART}.
     */
    record DrainSequence(NanoDuration answered, NanoDuration part) {
        private static final NanoDuration LONGEST_PART = NanoDuration.ofSeconds(0.2);

        static DrainSequence within(NanoDuration stop) {
            NanoDuration part = stop.times(1.0 / 12).min(LONGEST_PART);
            return new DrainSequence(stop.minus(part.times(3)), part);
        }
    }

    /** The event loop thread takes a step well within this many seconds; past it, it is stuck. */
    private static final long LONGEST_STEP = 30;

    private static final NanoDuration FIGURES_EVERY = NanoDuration.ofSeconds(10);

    /** What the node goes by. Changed by one reload at a time, never by the event loop thread. */
    private volatile NodeConfig config;

    /** How long the event loop thread was busy with the latest reload; zero before the first. */
    public NanoDuration latestStep() {
        return latestStep;
    }

    /** What stands open, told by the event loop thread. */
    public String figures() {
        CompletableFuture<String> reported = new CompletableFuture<>();
        eventLoop.tell(() -> reported.complete(processor.stateLogLine()));
        return reported.completeOnTimeout("", LONGEST_STEP, TimeUnit.SECONDS).join();
    }

    /**
     * Where the executor last said WELCOME; another than the configured one while a move there
     * failed.
     */
    private volatile InetSocketAddress executorAt;

    private volatile NanoDuration latestStep = NanoDuration.ZERO;
    private final RequestProcessor.PolicyFactory maker;
    private final Log log;
    private final TimerService deadlines = new TimerService();
    private final EventLoop eventLoop;
    private final Sockets sockets;
    private final RespListener listener;

    /** Null where the configuration has none, which then loads nothing of it. */
    private final AjpListener ajp;

    private final ExecutorClient executor;

    /** Null where no server carries out requests, which then loads nothing of it. */
    private final AjpExecutor servers;

    /** Null where the configuration names no voters, which then loads nothing of it. */
    private final ClusterMembership fleet;

    private volatile Runnable drainRequested = () -> {};

    /** Null until told; a node without a fleet never loads it. */
    private volatile Supplier<ConfigApplier> configApplier;

    private final DependencyClient dependencyClient;
    private final RegistryClient registryClient;
    private final RequestProcessor processor;
    private final CountDownLatch quiet = new CountDownLatch(1);
    private final CountDownLatch left = new CountDownLatch(1);

    /**
     * Whether the listener was opened, and whether the notice to leave has come; under this
     * object's lock.
     */
    private boolean open;

    private boolean drainNotified;

    public NodeServer(NodeConfig config, RequestProcessor.PolicyFactory maker, Log log) {
        this(config, maker, log, System::nanoTime);
    }

    /** With a clock of the caller's, in nanoseconds, which never goes back. */
    NodeServer(
            NodeConfig config, RequestProcessor.PolicyFactory maker, Log log, LongSupplier steady) {
        this.config = config;
        this.maker = maker;
        this.log = log;
        eventLoop = new EventLoop(deadlines, steady, log);
        sockets = new Sockets(log);
        IncompleteMessageBudget incompleteMessages =
                new IncompleteMessageBudget(TableSizes.share(INCOMPLETE_MESSAGES_SHARE));
        listener = new RespListener(eventLoop, deadlines, incompleteMessages, log);
        ajp =
                config.parsedSettings().value("ajp listen") == null
                        ? null
                        : new AjpListener(
                                config.parsedSettings(),
                                eventLoop,
                                deadlines,
                                incompleteMessages,
                                log);
        LinkContext context = new LinkContext(sockets, eventLoop, deadlines, log);
        executor = new ExecutorClient(config.executor(), at -> executorAt = at, context);
        servers =
                config.parsedSettings().items(Schema.SERVER).isEmpty()
                        ? null
                        : new AjpExecutor(config.parsedSettings(), config.seed(), context);
        fleet =
                config.parsedSettings().items(Schema.VOTER).isEmpty()
                        ? null
                        : new ClusterMembership(
                                config.parsedSettings(),
                                servers,
                                deadlines,
                                () -> configApplier == null ? null : configApplier.get(),
                                () -> drainRequested.run(),
                                log);
        TableSizes sizes = TableSizes.of(TableSizes.share(1));
        int all = Math.min(config.sockets(), OpenFiles.limit());
        int voters = config.parsedSettings().items(Schema.VOTER).size();
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
        sockets.allow(descriptors.upstreams() + descriptors.closing());
        incompleteMessages.divideAmong(descriptors.upstreams() + descriptors.closing());
        log.line(
                "descriptors "
                        + all
                        + ": dispatchers "
                        + descriptors.upstreams()
                        + " and "
                        + descriptors.closing()
                        + ", calls "
                        + descriptors.calls()
                        + ", runs "
                        + descriptors.runs()
                        + ", own "
                        + own
                        + "; tickets "
                        + sizes.requests()
                        + ", receipts "
                        + sizes.idempotencyRecords()
                        + " with "
                        + sizes.idempotencyBytes() / 1024
                        + " KB");
        dependencyClient = new DependencyClient(config.dependency(), descriptors.calls(), context);
        registryClient = new RegistryClient(config.registryAddress(), config.name(), context);
        processor =
                new RequestProcessor(
                        config.settings(),
                        config.seed(),
                        maker,
                        new RequestProcessor.Ports(
                                ajp == null ? listener : new UpstreamListeners(listener, ajp),
                                servers == null ? executor : new ExecutorRouter(executor, servers),
                                dependencyClient,
                                log::line),
                        deadlines,
                        new TableLimits(
                                descriptors.upstreams(),
                                sizes.requests(),
                                sizes.idempotencyRecords(),
                                sizes.idempotencyBytes()),
                        eventLoop.time());
    }

    /** What the fleet's word to leave sets going; to be set before {@link #start}. */
    public void onDrainRequested(Runnable job) {
        drainRequested = job;
    }

    /** Who checks and takes the fleet's text; to be set before {@link #start}. */
    public void onText(Supplier<ConfigApplier> who) {
        configApplier = who;
    }

    /**
     * Listens and serves until told to leave; an address in use is told by the exception. Told
     * before the listener opens, it never opens it, and returns false.
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
        // Before the listener opens: what comes through it at once must find who is to take it.
        eventLoop.tell(
                () -> {
                    listener.serve(processor);
                    if (ajp != null) {
                        ajp.serve(processor);
                    }
                    dependencyClient.serve(processor);
                    if (servers != null) {
                        servers.serve(processor);
                    }
                    executor.serve(processor);
                    registryClient.serve(processor);
                    if (fleet != null) {
                        fleet.serve(processor);
                    }
                    tellFigures();
                });
        synchronized (this) {
            if (drainNotified) {
                return false;
            }
            sockets.listen(config.listen(), listener::newPeer);
            log.line(config.name() + " listens on " + config.listen());
            if (ajp != null) {
                InetSocketAddress also =
                        NodeConfig.address(config.parsedSettings().value("ajp listen"));
                sockets.listenAlso(also, ajp::newPeer);
                log.line(config.name() + " listens for AJP on " + also);
            }
            eventLoop.start(processor);
            open = true;
        }
        return true;
    }

    private void tellFigures() {
        log.line(processor.stateLogLine());
        if (fleet != null) {
            log.line(fleet.figures());
        }
        deadlines.schedule(processor.now().plus(FIGURES_EVERY), this::tellFigures);
    }

    /**
     * Takes over a configuration read anew, as far as a node that runs can. All that may fail
     * happens before the step, on the caller's thread; the step itself is one of the deciding
     * thread, and tells whether it was taken. One caller at a time.
     */
    public ConfigDiff reload(NodeConfig next) {
        ConfigDiff diff = ConfigDiff.between(config.parsedSettings(), next.parsedSettings());
        diff.steps()
                .forEach(
                        step ->
                                log.line(
                                        (diff.isRefused() ? "not reloaded: " : "reload: ")
                                                + step.said()
                                                + (step.change() == ChangeEffect.REFUSED
                                                        ? ", since " + step.because()
                                                        : "")));
        if (diff.isRefused()) {
            log.line(
                    "nothing reloaded: "
                            + diff.steps().stream()
                                    .filter(s -> s.change() == ChangeEffect.REFUSED)
                                    .map(ConfigDiff.Step::name)
                                    .collect(Collectors.joining(", "))
                            + " can't change while the node runs");
            return diff;
        }
        NodeConfig now;
        try {
            now = config.with(diff.result());
        } catch (NodeConfig.UnusableConfiguration e) {
            log.line("nothing reloaded: " + e.getMessage());
            return diff;
        }
        RequestProcessor.ReloadableSettings tuning =
                new RequestProcessor.ReloadableSettings(now.settings());
        CompletableFuture<Boolean> step = new CompletableFuture<>();
        eventLoop.tell(
                () -> {
                    long begun = System.nanoTime();
                    try {
                        boolean took = takeOver(now, tuning);
                        latestStep = new NanoDuration(System.nanoTime() - begun);
                        step.complete(took);
                    } finally {
                        step.complete(false); // counts only where the line before didn't get there
                    }
                });
        boolean taken = step.completeOnTimeout(false, LONGEST_STEP, TimeUnit.SECONDS).join();
        if (taken) {
            config = now;
            if (fleet != null) {
                fleet.reach(
                        now.parsedSettings()); // here and not in the step: it may look a name up
            }
        }
        String stays =
                diff.steps().stream()
                        .filter(s -> s.change() == ChangeEffect.RESTART)
                        .map(ConfigDiff.Step::name)
                        .collect(Collectors.joining(", "));
        if (!stays.isEmpty()) {
            log.line("can't change while the node runs, and stays as it was: " + stays);
        }
        log.line(
                taken
                        ? "reloaded: executor "
                                + now.executor()
                                + ", index "
                                + (now.dependency() == null ? "none" : now.dependency())
                                + ", naming "
                                + now.registryAddress()
                                + (diff.isEmpty() ? "; nothing changed" : "")
                        : "nothing reloaded: the node was told to leave");
        return diff;
    }

    /** The step. Nothing in it can fail for what the configuration says. */
    private boolean takeOver(NodeConfig now, RequestProcessor.ReloadableSettings tuning) {
        if (!processor.updateSettings(tuning)) {
            return false;
        }
        long within =
                now.parsedSettings().number("moves welcome-within", BigDecimal.ZERO).longValue();
        executor.moveTo(now.executor(), new NanoDuration(within));
        dependencyClient.moveTo(now.dependency());
        registryClient.moveTo(now.registryAddress());
        return true;
    }

    /** For who has to hold the order of events. */
    EventLoop eventLoop() {
        return eventLoop;
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
     * door stays open while upstream load balancers that have not learned of it still come: they
     * hear when to come back, which a refused connection can't tell.
     */
    public void leave() throws InterruptedException {
        boolean again;
        synchronized (this) {
            again = drainNotified;
            drainNotified = true;
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
        NanoDuration stop = config.stop();
        DrainSequence parts = DrainSequence.within(stop);
        if (fleet != null) {
            fleet.leave();
        }
        eventLoop.tell(
                () -> {
                    processor.drain(parts.answered());
                    registryClient.leave();
                    lookUntil(
                            processor.now().plus(parts.answered()),
                            () ->
                                    processor.isAnswered()
                                            && QUIET.compareTo(processor.sinceLastRequest()) < 0,
                            quiet);
                });
        quiet.await(stop.nanos(), TimeUnit.NANOSECONDS);
        sockets.stopListening();
        CountDownLatch closed = new CountDownLatch(1);
        eventLoop.tell(
                () -> {
                    processor.requestCloseOfConnections();
                    lookUntil(processor.now().plus(parts.part()), this::isEmpty, closed);
                });
        closed.await(stop.nanos(), TimeUnit.NANOSECONDS);
        eventLoop.tell(
                () -> {
                    processor.beginCloseOfConnections();
                    lookUntil(processor.now().plus(parts.part()), this::isEmpty, left);
                });
        left.await(stop.nanos(), TimeUnit.NANOSECONDS);
        eventLoop.stop();
        sockets.dispose();
        if (fleet != null) {
            fleet.end();
        }
        log.line("left");
    }

    /**
     * Guards against a connection that was accepted and not yet told here: its request would end
     * with the process.
     */
    private boolean isEmpty() {
        return processor.isAnswered()
                && processor.connectionCount() == 0
                && processor.totalConnectionCount() == sockets.accepted();
    }

    private void lookUntil(MonotonicTime last, BooleanSupplier done, CountDownLatch reported) {
        if (done.getAsBoolean() || !processor.now().isBefore(last)) {
            reported.countDown();
        } else {
            deadlines.schedule(
                    processor.now().plus(LOOK_AGAIN), () -> lookUntil(last, done, reported));
        }
    }
}
