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
import lupinwood.ajp.BackReader;
import lupinwood.ajp.BadPacket;
import lupinwood.ajp.Requests;
import lupinwood.core.Deadlines;
import lupinwood.core.Ending;
import lupinwood.core.Host;
import lupinwood.core.TryId;
import lupinwood.node.Moment;
import lupinwood.node.Span;
import lupinwood.pools.Budget;
import lupinwood.pools.Pool;
import lupinwood.pools.Rules;
import lupinwood.settings.Meaning;
import lupinwood.settings.Schema;

/**
 * Servers that speak AJP and carry out tickets. Which one gets which, and out of what budget a try
 * is made again, is decided by {@link Pool} and {@link Budget}. A ticket goes to another server
 * only where nothing ran for certain, or where its track is pure. Belongs to the deciding thread.
 */
final class AjpServers {
    private static final int PACKET = 8192;
    private static final int MOST_RESULT = 64 * 1024;

    /** Tickets that no server may have now; past that they end without having run. */
    private static final int MOST_WAITING = 256;

    private static final int FARTHEST = 2;
    private static final double SAVED_UP = 10;

    /** A connection at rest for longer is asked first whether anybody is there. */
    private static final Span JUST_USED = Span.ofSeconds(0.5);

    private static final Span PONG_WAIT = Span.ofSeconds(0.25);
    private static final Span LONGEST_REST = Span.ofSeconds(5);

    private record Server(
            InetSocketAddress address, String secret, Set<String> tracks, Deque<Line> resting) {}

    /** A ticket that servers are to carry out. */
    private static final class Run {
        final TryId id;
        final String track;
        final byte[] body;
        final Moment began;
        final List<Integer> tried = new ArrayList<>();

        Run(TryId id, String track, byte[] body, Moment began) {
            this.id = id;
            this.track = track;
            this.body = body;
            this.began = began;
        }
    }

    private final Means means;
    private final List<Server> servers = new ArrayList<>();
    private final Set<String> tracks = new HashSet<>();
    private final Set<String> pure = new HashSet<>();
    private final Map<String, Span> abandon = new HashMap<>();
    private final Pool pool;

    /** How long a run whose connection is gone may go on. */
    private final Span linger;

    private final Budget budget = new Budget(Rules.USUAL.repeatShare(), SAVED_UP);
    private final Deque<Run> waiting = new ArrayDeque<>();
    private final Set<Line> toFlush = new HashSet<>();
    private Deadlines.Deadline back;

    /**
     * By servers: tickets that might have gone there, that ended, that failed, and what the others
     * took.
     */
    private final long[] asked;

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
     * What a ticket that tries a server for all nodes carries besides; null where each tries for
     * itself.
     */
    private Supplier<Map<String, String>> mark;

    private Host host;

    AjpServers(Meaning meaning, long seed, Means means) {
        this.means = means;
        for (String name : meaning.items(Schema.SERVER)) {
            String at = "server " + name + " ";
            Set<String> carried = Set.of(meaning.value(at + "tracks").split(","));
            servers.add(
                    new Server(
                            NodeConfig.address(meaning.value(at + "address")),
                            meaning.value(at + "secret"),
                            carried,
                            new ArrayDeque<>()));
            tracks.addAll(carried);
        }
        for (String track : tracks) {
            abandon.put(
                    track,
                    new Span(Long.parseLong(meaning.value("track " + track + " abandon-time"))));
            if (meaning.value("track " + track + " effect").equals("pure")) {
                pure.add(track);
            }
        }
        linger = new Span(Long.parseLong(meaning.values().getOrDefault("machine linger", "0")));
        pool = new Pool(meaning.items(Schema.SERVER), Rules.USUAL, seed);
        mostOpen = mostConnections();
        asked = new long[servers.size()];
        endedThere = new long[servers.size()];
        failedThere = new long[servers.size()];
        tookThere = new double[servers.size()];
        means.decider().addWriter(this::flush);
    }

    void serve(Host served) {
        host = served;
    }

    /** As many as the pool can use at once. */
    int mostConnections() {
        return servers.size() * Rules.USUAL.mostOut();
    }

    /** From now on no more connections at once; tickets past that wait. */
    void allow(int connections) {
        mostOpen = connections;
    }

    /** These rest and no others; what waits may have a place elsewhere now. */
    void rest(List<String> names) {
        pool.rest(names);
        sendWaiting();
        watchForBack();
    }

    void markTrials(Supplier<Map<String, String>> by) {
        mark = by;
    }

    /** The pool that chooses among them, for who decides in common with other nodes. */
    Pool pool() {
        return pool;
    }

    boolean carriesOut(String track) {
        return tracks.contains(track);
    }

    /** It will end, by itself; so there is always somebody to ask. */
    boolean run(TryId id, String track, byte[] body) {
        budget.first();
        for (int i = 0; i < servers.size(); i++) {
            asked[i] += servers.get(i).tracks().contains(track) ? 1 : 0;
        }
        send(new Run(id, track, body, host.now()));
        return true;
    }

    private void send(Run run) {
        int server = open < mostOpen || resting() != null ? choose(run) : -1;
        if (server >= 0) {
            run.tried.add(server);
            begin(run, server);
        } else if (waiting.size() >= MOST_WAITING) {
            host.exited(run.id, Ending.NOTHING_STARTED, Span.ZERO, null);
        } else {
            waiting.add(run);
            means.deadlines()
                    .at(
                            run.began.plus(abandon.get(run.track)),
                            () -> {
                                if (waiting.remove(run)) {
                                    host.exited(run.id, Ending.NOTHING_STARTED, Span.ZERO, null);
                                }
                            });
            watchForBack();
        }
    }

    /** A connection that carries no ticket, or null. */
    private Line resting() {
        return servers.stream()
                .map(server -> server.resting().peekLast())
                .filter(Objects::nonNull)
                .findAny()
                .orElse(null);
    }

    private int choose(Run run) {
        if (most == null) {
            return pool.send(
                    host.now(), run.tried, one -> servers.get(one).tracks().contains(run.track));
        }
        for (int away = 0; away <= FARTHEST; away++) {
            int of = away;
            int server =
                    pool.send(
                            host.now(),
                            run.tried,
                            one ->
                                    servers.get(one).tracks().contains(run.track)
                                            && distance[one] == of
                                            && pool.out(one) < most.applyAsInt(one));
            if (server >= 0) {
                return server;
            }
        }
        return -1;
    }

    /**
     * By agreement with other nodes, from now on.
     *
     * @param away how far each server is: 0, 1 or 2; nearer ones get a ticket first
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

    long asked(int server) {
        return asked[server];
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
     * Guards against tickets that wait while nothing ends: a server that may be tried again is
     * reason enough.
     */
    private void watchForBack() {
        means.deadlines().callOff(back);
        back =
                waiting.isEmpty() || pool.nextBack(host.now()).equals(Moment.NEVER)
                        ? null
                        : means.deadlines().at(pool.nextBack(host.now()), this::sendWaiting);
    }

    private void sendWaiting() {
        for (int left = waiting.size(); left > 0; left--) {
            send(waiting.poll());
        }
    }

    private void begin(Run run, int server) {
        Deque<Line> resting = servers.get(server).resting();
        Line line = resting.poll();
        if (line == null) {
            if (open >= mostOpen && resting() != null) {
                resting().close(); // another server's gives its place
            }
            line = new Line(server);
            open++;
            line.run = run;
            line.connect(means.sockets(), servers.get(server).address());
        } else {
            line.take(run);
        }
        line.watch();
    }

    private void flush() {
        toFlush.forEach(line -> line.outbox().flush());
        toFlush.clear();
    }

    /** One connection to a server, with one ticket at a time. */
    private final class Line extends Outbound<BackReader.Event> {
        private final int server;

        /** The ticket that is out on it, or null. */
        private Run run;

        private Moment sentAt = host.now();
        private boolean written;
        private boolean asked;
        private boolean slow;
        private int bodyFrom;
        private Moment restsSince;
        private Deadlines.Deadline rest;
        private Deadlines.Deadline pong;
        private Deadlines.Deadline target;
        private Deadlines.Deadline cap;
        private boolean over;

        /** It holds no descriptor any more. */
        private boolean gone;

        Line(int server) {
            super(means.decider(), new AnswerParser());
            this.server = server;
        }

        private void take(Run next) {
            run = next;
            sentAt = host.now();
            means.deadlines().callOff(rest);
            if (JUST_USED.compareTo(host.now().since(restsSince)) < 0) {
                asked = true;
                outbox().add(Requests.ping());
                toFlush.add(this);
                pong = means.deadlines().at(host.now().plus(PONG_WAIT), () -> end(Ending.NO_PONG));
            } else {
                write();
            }
        }

        /** From now on it is out there: slow past the target, given up at its abandon time. */
        private void watch() {
            slow = false;
            Span most = pool.target();
            if (most.isPositive()) {
                target =
                        means.deadlines()
                                .at(
                                        host.now().plus(most),
                                        () -> {
                                            slow = true;
                                            pool.slow(server);
                                        });
            }
            cap =
                    means.deadlines()
                            .at(run.began.plus(abandon.get(run.track)), () -> end(Ending.GIVEN_UP));
        }

        private void write() {
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Host", "lupinwood");
            headers.put("Content-Type", "application/octet-stream");
            headers.put("X-Try", run.id.digits());
            if (mark != null && pool.isOnTrial(server)) {
                headers.putAll(mark.get());
            }
            outbox().add(
                            Requests.forward(
                                    "POST",
                                    "/" + run.track,
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
                if (event instanceof BackReader.Pong && asked) {
                    asked = false;
                    means.deadlines().callOff(pong);
                    write();
                } else if (event instanceof BackReader.More more && written) {
                    part(more.most());
                } else if (event instanceof BackReader.Answer answer && written) {
                    answered(answer);
                } else {
                    end(Ending.MALFORMED); // it goes on after its end, or answers what nobody asked
                }
            };
        }

        private void answered(BackReader.Answer answer) {
            Run done = run;
            boolean well = answer.status() / 100 == 2 && answer.body() != null;
            boolean reusable = answer.reuse() && bodyFrom >= done.body.length;
            written = false; // it answered, so it runs no more
            release(well ? Pool.End.WELL : Pool.End.FAILED);
            if (reusable) {
                restsSince = host.now();
                servers.get(server).resting().addFirst(this);
                rest = means.deadlines().at(host.now().plus(LONGEST_REST), this::close);
            } else {
                close();
            }
            conclude(done, well ? Ending.WELL : Ending.FAILED, answer.body());
            sendWaiting();
            watchForBack();
        }

        /** The ticket is no longer out on this connection. */
        private void release(Pool.End end) {
            means.deadlines().callOff(pong);
            means.deadlines().callOff(target);
            means.deadlines().callOff(cap);
            Span took = host.now().since(sentAt);
            boolean wasSlow = slow;
            endedThere[server]++;
            failedThere[server] += end == Pool.End.WELL ? 0 : 1;
            tookThere[server] += end == Pool.End.WELL ? took.seconds() : 0;
            if (end == Pool.End.FAILED && written && linger.isPositive()) {
                // AJP can't stop a run: it may go on there, and counts as out for as long.
                means.deadlines()
                        .at(
                                host.now().plus(linger),
                                () -> {
                                    pool.ended(server, end, took, wasSlow, host.now());
                                    sendWaiting();
                                });
            } else {
                pool.ended(server, end, took, wasSlow, host.now());
            }
            run = null;
            written = false;
            asked = false;
        }

        private void close() {
            over = true;
            servers.get(server).resting().remove(this);
            means.deadlines().callOff(rest);
            toFlush.remove(this);
            hangUp();
        }

        private void end(Ending why) {
            Run lost = run;
            boolean wasWritten = written;
            close();
            if (lost != null) {
                release(Pool.End.FAILED);
                Ending ending =
                        wasWritten || why.outcome().provesNeverRan() ? why : Ending.NOT_WRITTEN;
                means.log()
                        .line("a ticket at the server " + pool.name(server) + " ended: " + ending);
                conclude(lost, ending, null);
                sendWaiting();
                watchForBack();
            }
        }

        @Override
        void ended(Ending ending) {
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
     * The ticket ends, unless nothing ran, or running it again does no harm, and the budget has a
     * try left.
     */
    private void conclude(Run run, Ending ending, byte[] result) {
        boolean mayAgain =
                ending != Ending.WELL
                        && ending != Ending.GIVEN_UP
                        && (ending.outcome().provesNeverRan() || pure.contains(run.track));
        if (mayAgain && budget.again()) {
            send(run);
        } else {
            host.exited(run.id, ending, host.now().since(run.began), result);
        }
    }

    /** Answers as messages of a connection. */
    private static final class AnswerParser implements Parser<BackReader.Event> {
        private final BackReader reader = new BackReader(PACKET, MOST_RESULT);

        @Override
        public BackReader.Event next(ByteBuffer in) throws Malformed {
            try {
                return reader.next(in);
            } catch (BadPacket e) {
                throw new Malformed("AJP: " + e.getMessage());
            }
        }
    }
}
