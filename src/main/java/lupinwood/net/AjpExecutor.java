package lupinwood.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.IntUnaryOperator;
import java.util.function.Supplier;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.TimerSet;
import lupinwood.ajp.BackReader;
import lupinwood.ajp.BadPacket;
import lupinwood.ajp.Requests;
import lupinwood.balancing.OutlierLimits;
import lupinwood.balancing.RetryBudget;
import lupinwood.balancing.ServerPool;
import lupinwood.processing.AttemptId;
import lupinwood.processing.Completion;
import lupinwood.processing.RequestProcessor;
import lupinwood.settings.ParsedSettings;
import lupinwood.settings.Schema;

/**
 * Servers that speak AJP and carry out requests. Which one gets which, and out of what budget a try
 * is made again, is decided by {@link ServerPool} and {@link RetryBudget}. A request goes to
 * another server only where nothing ran for certain, or where its request class is pure. Belongs to
 * the event loop thread.
 */
final class AjpExecutor {
    private static final int PACKET = 8192;
    private static final int MOST_RESULT = 64 * 1024;

    /** Requests that no server may have now; past that they end without having run. */
    private static final int MOST_WAITING = 256;

    private static final int FARTHEST = 2;
    private static final double SAVED_UP = 10;

    /** A connection at rest for longer is asked first whether anybody is there. */
    private static final NanoDuration JUST_USED = NanoDuration.ofSeconds(0.5);

    private static final NanoDuration PONG_WAIT = NanoDuration.ofSeconds(0.25);
    private static final NanoDuration LONGEST_REST = NanoDuration.ofSeconds(5);

    private record Server(
            InetSocketAddress address,
            String secret,
            Set<String> requestClasses,
            Deque<ServerConnection> resting) {}

    /** A request that servers are to carry out. */
    private static final class Run {
        final AttemptId id;
        final String className;
        final byte[] body;
        final MonotonicTime began;
        final List<Integer> tried = new ArrayList<>();

        /** Ends the run if no server may have it in time; null while it does not wait. */
        private TimerSet.Timer waitTimer;

        Run(AttemptId id, String className, byte[] body, MonotonicTime began) {
            this.id = id;
            this.className = className;
            this.body = body;
            this.began = began;
        }
    }

    private final LinkContext context;
    private final List<Server> servers = new ArrayList<>();
    private final Set<String> requestClasses = new HashSet<>();
    private final Set<String> safe = new HashSet<>();
    private final Map<String, NanoDuration> timeout = new HashMap<>();
    private final ServerPool pool;

    /** How long a run whose connection is gone may go on. */
    private final NanoDuration linger;

    private final RetryBudget budget =
            new RetryBudget(OutlierLimits.DEFAULTS.retryRatio(), SAVED_UP);
    private final Deque<Run> waiting = new ArrayDeque<>();
    private final Set<ServerConnection> toFlush = new HashSet<>();
    private TimerSet.Timer back;

    /**
     * By servers: requests that might have gone there, that ended, that failed, and what the others
     * took.
     */
    private final long[] offered;

    private final long[] endedThere;
    private final long[] failedThere;
    private final double[] tookThere;

    /**
     * Connections at once, and those that may hold a descriptor: that connect, stand, or have not
     * ended yet.
     */
    private int mostOpen;

    private int open;

    /** How many may be out at a server, by agreement; null for no such bound. */
    private IntUnaryOperator most;

    /** Servers of a lower one are asked first; null where all are alike. */
    private int[] distance;

    /**
     * What a request that tries a server for all nodes carries besides; null where each tries for
     * itself.
     */
    private Supplier<Map<String, String>> mark;

    private RequestProcessor processor;

    AjpExecutor(ParsedSettings parsedSettings, long seed, LinkContext context) {
        this.context = context;
        for (String name : parsedSettings.items(Schema.SERVER)) {
            String at = "server " + name + " ";
            Set<String> carried = Set.of(parsedSettings.value(at + "tracks").split(","));
            servers.add(
                    new Server(
                            NodeConfig.address(parsedSettings.value(at + "address")),
                            parsedSettings.value(at + "secret"),
                            carried,
                            new ArrayDeque<>()));
            requestClasses.addAll(carried);
        }
        for (String className : requestClasses) {
            timeout.put(
                    className,
                    new NanoDuration(
                            Long.parseLong(
                                    parsedSettings.value("track " + className + " abandon-time"))));
            if (parsedSettings.value("track " + className + " effect").equals("pure")) {
                safe.add(className);
            }
        }
        linger =
                new NanoDuration(
                        Long.parseLong(
                                parsedSettings.values().getOrDefault("machine linger", "0")));
        pool = new ServerPool(parsedSettings.items(Schema.SERVER), OutlierLimits.DEFAULTS, seed);
        mostOpen = mostConnections();
        offered = new long[servers.size()];
        endedThere = new long[servers.size()];
        failedThere = new long[servers.size()];
        tookThere = new double[servers.size()];
        context.eventLoop().addWriter(this::flush);
    }

    void serve(RequestProcessor served) {
        processor = served;
    }

    /** As many as the pool can use at once. */
    int mostConnections() {
        return servers.size() * OutlierLimits.DEFAULTS.maxInFlight();
    }

    /** From now on no more connections at once; requests past that wait. */
    void allow(int connections) {
        mostOpen = connections;
    }

    /** These rest and no others; what waits may have a place elsewhere now. */
    void rest(List<String> names) {
        pool.setCordonedServers(names);
        sendWaiting();
        watchForBack();
    }

    void markProbation(Supplier<Map<String, String>> by) {
        mark = by;
    }

    /** The pool that chooses among them, for who decides in common with other nodes. */
    ServerPool pool() {
        return pool;
    }

    boolean carriesOut(String className) {
        return requestClasses.contains(className);
    }

    /** It will end, by itself; so there is always somebody to ask. */
    boolean run(AttemptId id, String className, byte[] body) {
        budget.recordFirstAttempt();
        for (int i = 0; i < servers.size(); i++) {
            offered[i] += servers.get(i).requestClasses().contains(className) ? 1 : 0;
        }
        send(new Run(id, className, body, processor.now()));
        return true;
    }

    private void send(Run run) {
        int server = open < mostOpen || resting() != null ? choose(run) : -1;
        if (server >= 0) {
            stopWaitTimer(run);
            run.tried.add(server);
            begin(run, server);
        } else if (waiting.size() >= MOST_WAITING) {
            endUnsent(run);
        } else {
            waiting.add(run);
            if (run.waitTimer == null) {
                MonotonicTime timesOutAt = run.began.plus(timeout.get(run.className));
                run.waitTimer = context.deadlines().schedule(timesOutAt, () -> timeOut(run));
            }
            watchForBack();
        }
    }

    private void timeOut(Run run) {
        if (waiting.remove(run)) {
            endUnsent(run);
        }
    }

    private void endUnsent(Run run) {
        stopWaitTimer(run);
        processor.onRunCompleted(run.id, Completion.NOTHING_STARTED, NanoDuration.ZERO, null);
    }

    private void stopWaitTimer(Run run) {
        context.deadlines().cancel(run.waitTimer);
        run.waitTimer = null;
    }

    /** A connection that carries no request, or null. */
    private ServerConnection resting() {
        return servers.stream()
                .map(server -> server.resting().peekLast())
                .filter(Objects::nonNull)
                .findAny()
                .orElse(null);
    }

    private int choose(Run run) {
        if (most == null) {
            return pool.acquireServer(
                    processor.now(),
                    run.tried,
                    one -> servers.get(one).requestClasses().contains(run.className));
        }
        for (int away = 0; away <= FARTHEST; away++) {
            int of = away;
            int server =
                    pool.acquireServer(
                            processor.now(),
                            run.tried,
                            one ->
                                    servers.get(one).requestClasses().contains(run.className)
                                            && distance[one] == of
                                            && pool.inFlightCount(one) < most.applyAsInt(one));
            if (server >= 0) {
                return server;
            }
        }
        return -1;
    }

    /**
     * By agreement with other nodes, from now on.
     *
     * @param away how far each server is: 0, 1 or 2; nearer ones get a request first
     * @param may how many may be out at a server now
     */
    void share(int[] away, IntUnaryOperator may) {
        distance = away;
        most = may;
    }

    /** The shares have changed: what waits may have a place now. */
    void shared() {
        sendWaiting();
    }

    long offered(int server) {
        return offered[server];
    }

    long ended(int server) {
        return endedThere[server];
    }

    long failed(int server) {
        return failedThere[server];
    }

    /** Seconds, of those that went well, together. */
    double took(int server) {
        return tookThere[server];
    }

    /**
     * Guards against requests that wait while nothing ends: a server that may be tried again is
     * reason enough.
     */
    private void watchForBack() {
        context.deadlines().cancel(back);
        back =
                waiting.isEmpty() || pool.nextProbeAt(processor.now()).equals(MonotonicTime.NEVER)
                        ? null
                        : context.deadlines()
                                .schedule(pool.nextProbeAt(processor.now()), this::sendWaiting);
    }

    private void sendWaiting() {
        for (int left = waiting.size(); left > 0; left--) {
            send(waiting.poll());
        }
    }

    private void begin(Run run, int server) {
        Deque<ServerConnection> resting = servers.get(server).resting();
        ServerConnection line = resting.poll();
        if (line == null) {
            if (open >= mostOpen && resting() != null) {
                resting().close(); // another server's gives its place
            }
            line = new ServerConnection(server);
            open++;
            line.run = run;
            line.connect(context.sockets(), servers.get(server).address());
        } else {
            line.take(run);
        }
        line.watch();
    }

    private void flush() {
        toFlush.forEach(line -> line.outbox().flush());
        toFlush.clear();
    }

    /** One connection to a server, with one request at a time. */
    private final class ServerConnection extends OutboundConnection<BackReader.Event> {
        private final int server;

        /** The request that is out on it, or null. */
        private Run run;

        private MonotonicTime sentAt = processor.now();
        private boolean written;
        private boolean requested;
        private boolean slow;
        private int bodyFrom;
        private MonotonicTime restsSince;
        private TimerSet.Timer rest;
        private TimerSet.Timer pong;
        private TimerSet.Timer target;
        private TimerSet.Timer cap;
        private boolean over;

        /** It holds no descriptor any more. */
        private boolean gone;

        ServerConnection(int server) {
            super(context.eventLoop(), new ResponseParser());
            this.server = server;
        }

        private void take(Run next) {
            run = next;
            sentAt = processor.now();
            context.deadlines().cancel(rest);
            if (JUST_USED.compareTo(processor.now().since(restsSince)) < 0) {
                requested = true;
                outbox().add(Requests.ping());
                toFlush.add(this);
                pong =
                        context.deadlines()
                                .schedule(
                                        processor.now().plus(PONG_WAIT),
                                        () -> end(Completion.NO_PONG));
            } else {
                write();
            }
        }

        /** From now on it is out there: slow past the target, given up at its timeout. */
        private void watch() {
            slow = false;
            NanoDuration most = pool.slowAttemptThreshold();
            if (most.isPositive()) {
                target =
                        context.deadlines()
                                .schedule(
                                        processor.now().plus(most),
                                        () -> {
                                            slow = true;
                                            pool.onAttemptSlow(server);
                                        });
            }
            cap =
                    context.deadlines()
                            .schedule(
                                    run.began.plus(timeout.get(run.className)),
                                    () -> end(Completion.GIVEN_UP));
        }

        private void write() {
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Host", "lupinwood");
            headers.put("Content-Type", "application/octet-stream");
            headers.put("X-Try", run.id.digits());
            if (mark != null && pool.isOnProbation(server)) {
                headers.putAll(mark.get());
            }
            outbox().add(
                            Requests.forward(
                                    "POST",
                                    "/" + run.className,
                                    headers,
                                    run.body.length,
                                    servers.get(server).secret()));
            bodyFrom = 0;
            if (run.body.length > 0) {
                part(PACKET);
            }
            written = true;
            toFlush.add(this);
        }

        /** The next part of the body; an empty one where the server asks for more than there is. */
        private void part(int most) {
            outbox().add(Requests.part(run.body, bodyFrom, most, PACKET));
            bodyFrom += Requests.partLength(run.body, bodyFrom, most, PACKET);
            toFlush.add(this);
        }

        @Override
        void stands() {
            if (over) {
                outbox().closeNow();
            } else if (run != null) {
                write();
            }
        }

        @Override
        Runnable read(BackReader.Event event) {
            return () -> {
                if (over) {
                    return;
                }
                if (event instanceof BackReader.Pong && requested) {
                    requested = false;
                    context.deadlines().cancel(pong);
                    write();
                } else if (event instanceof BackReader.More more && written) {
                    part(more.most());
                } else if (event instanceof BackReader.Answer answer && written) {
                    answered(answer);
                } else {
                    end(Completion.MALFORMED); // it goes on after its end, or answers what nobody
                    // asked
                }
            };
        }

        private void answered(BackReader.Answer answer) {
            Run done = run;
            boolean well = answer.status() / 100 == 2 && answer.body() != null;
            boolean reusable = answer.reuse() && bodyFrom >= done.body.length;
            written = false; // it answered, so it runs no more
            release(well ? ServerPool.AttemptCompletion.WELL : ServerPool.AttemptCompletion.FAILED);
            if (reusable) {
                restsSince = processor.now();
                servers.get(server).resting().addFirst(this);
                rest =
                        context.deadlines()
                                .schedule(processor.now().plus(LONGEST_REST), this::close);
            } else {
                close();
            }
            conclude(done, well ? Completion.WELL : Completion.FAILED, answer.body());
            sendWaiting();
            watchForBack();
        }

        /** The request is no longer out on this connection. */
        private void release(ServerPool.AttemptCompletion completion) {
            context.deadlines().cancel(pong);
            context.deadlines().cancel(target);
            context.deadlines().cancel(cap);
            NanoDuration took = processor.now().since(sentAt);
            boolean wasSlow = slow;
            endedThere[server]++;
            failedThere[server] += completion == ServerPool.AttemptCompletion.WELL ? 0 : 1;
            tookThere[server] +=
                    completion == ServerPool.AttemptCompletion.WELL ? took.seconds() : 0;
            if (completion == ServerPool.AttemptCompletion.FAILED
                    && written
                    && linger.isPositive()) {
                // AJP can't stop a run: it may go on there, and counts as out for as long.
                context.deadlines()
                        .schedule(
                                processor.now().plus(linger),
                                () -> {
                                    pool.onAttemptEnded(
                                            server, completion, took, wasSlow, processor.now());
                                    sendWaiting();
                                });
            } else {
                pool.onAttemptEnded(server, completion, took, wasSlow, processor.now());
            }
            run = null;
            written = false;
            requested = false;
        }

        private void close() {
            over = true;
            servers.get(server).resting().remove(this);
            context.deadlines().cancel(rest);
            toFlush.remove(this);
            hangUp();
        }

        private void end(Completion why) {
            Run lost = run;
            boolean wasWritten = written;
            close();
            if (lost != null) {
                release(ServerPool.AttemptCompletion.FAILED);
                Completion ending =
                        wasWritten || why.outcome().provesNeverRan() ? why : Completion.NOT_WRITTEN;
                context.log()
                        .line(
                                "a ticket at the server "
                                        + pool.serverName(server)
                                        + " ended: "
                                        + ending);
                conclude(lost, ending, null);
                sendWaiting();
                watchForBack();
            }
        }

        @Override
        void ended(Completion ending) {
            open -= gone ? 0 : 1;
            gone = true;
            if (!over) {
                end(ending);
            } else {
                sendWaiting();
            }
        }
    }

    /**
     * The request ends, unless nothing ran, or running it again does no harm, and the budget has a
     * try left.
     */
    private void conclude(Run run, Completion ending, byte[] result) {
        boolean mayAgain =
                ending != Completion.WELL
                        && ending != Completion.GIVEN_UP
                        && (ending.outcome().provesNeverRan() || safe.contains(run.className));
        if (mayAgain && budget.tryAcquireRetry()) {
            send(run);
        } else {
            processor.onRunCompleted(run.id, ending, processor.now().since(run.began), result);
        }
    }

    /** Answers as messages of a connection. */
    private static final class ResponseParser implements Parser<BackReader.Event> {
        private final BackReader reader = new BackReader(PACKET, MOST_RESULT);

        @Override
        public BackReader.Event next(ByteBuffer in) throws ProtocolException {
            try {
                return reader.next(in);
            } catch (BadPacket e) {
                throw new ProtocolException("AJP: " + e.getMessage());
            }
        }
    }
}
