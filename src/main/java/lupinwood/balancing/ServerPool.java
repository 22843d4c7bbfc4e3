package lupinwood.balancing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.function.IntPredicate;
import lupinwood.admission.Histogram;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;

/**
 * The servers that may carry out a request, as one of their clients sees them.
 *
 * <p>A request goes where it is expected to be done soonest: by how long a server's latest took,
 * times how many it would then have. A failure counts as long as a slow success, however fast it
 * came, so that a server that fails fast attracts no more work. How many may be out to each follows
 * the design's rule: times 0.9 once for each run past TARGET, flagged in flight, or failed; one
 * more for each fast one while half is used. A server that fails so many times in a row is left out
 * for a time that doubles, and comes back with one request at a time until that does well.
 */
public final class ServerPool {
    /** How a run at a server ended. */
    public enum AttemptEnd {
        /** With an answer that shows that the server does its work. */
        WELL,
        /** With an error, or not at all. */
        FAILED,
        /**
         * Its caller left, or it was given up for another reason than the server's: nothing is
         * learned of it.
         */
        UNKNOWN
    }

    private static final double LATEST = 8; // runs whose time is remembered
    private static final double BASELINE = 32;
    private static final double ENOUGH = 6;
    private static final double START = 4;
    private static final double SLOWER = 3; // TARGET is so many baseline median
    private static final double CUT = 0.9;
    private static final double UNTRIED = 0.9;
    private static final double FORGOTTEN =
            5; // seconds after which half of what is known of an idle server is left
    private static final NanoDuration ASK_AGAIN = NanoDuration.ofSeconds(0.1);
    private static final NanoDuration FIRST_GUESS = NanoDuration.ofSeconds(0.05);

    private static final class ServerState {
        final String name;
        int out;
        double limit = START;

        /** Seconds, a mean over the latest; below zero before the first. */
        double took = -1;

        /** When something was learned of it last. */
        MonotonicTime latest;

        int failuresInRow;
        int timesLeftOut;

        /** Null while it isn't left out. */
        MonotonicTime backAt;

        MonotonicTime leftOutAt;

        /**
         * Somebody else found it well since it was left out: that is worth one request, and no
         * more.
         */
        boolean vouched;

        /** It came back, and has yet to do well. */
        boolean onProbation;

        /** Nothing new is sent there, by agreement with others and not for what is seen of it. */
        boolean cordons;

        ServerState(String name) {
            this.name = name;
        }

        /** What was known before counts less the longer ago it was learned. */
        void learn(double seconds, MonotonicTime now) {
            double known = took < 0 ? seconds : took * left(now);
            took = known + (seconds - known) / LATEST;
            latest = now;
        }

        double left(MonotonicTime now) {
            return Math.pow(0.5, now.since(latest).seconds() / FORGOTTEN);
        }
    }

    private final List<ServerState> states = new ArrayList<>();
    private final OutlierLimits limits;
    private final Random random;

    /** What runs took while a server had less than half of what it may: the pool's own calm. */
    private final Histogram baseline = new Histogram(BASELINE);

    private int turn;
    private HealthChecker healthChecker = HealthChecker.ALONE;

    public ServerPool(List<String> servers, OutlierLimits limits, long seed) {
        servers.forEach(name -> states.add(new ServerState(name)));
        this.limits = limits;
        random = new Random(seed);
    }

    /** Asks before each trial, and tells what it came to. */
    public void checkHealthBy(HealthChecker requested) {
        healthChecker = requested;
    }

    /**
     * What another node's trial found. Well, and since the server was left out here: then it is
     * tried here too, soon, and not by all nodes at once. It is not trusted over what is seen here;
     * what failed there changes nothing.
     */
    public void onHealthCheckResult(
            String server, boolean well, MonotonicTime at, MonotonicTime now) {
        for (ServerState book : states) {
            if (well
                    && book.name.equals(server)
                    && book.backAt != null
                    && !book.vouched
                    && book.leftOutAt.isBefore(at)) {
                book.vouched = true;
                MonotonicTime soon = now.plus(limits.leftOutFirst().times(random.nextDouble()));
                book.backAt = soon.isBefore(book.backAt) ? soon : book.backAt;
            }
        }
    }

    /**
     * These rest and no others: nothing new is sent there. One that rests no more is eased in: it
     * begins with one request at a time, and is at work once that did well.
     */
    public void rest(Collection<String> names) {
        for (ServerState book : states) {
            boolean cordons = names.contains(book.name);
            if (book.cordons && !cordons) {
                book.onProbation = true;
                book.backAt = null;
                book.limit = 1;
            }
            book.cordons = cordons;
        }
    }

    /** Those that rest and have nothing of this node any more. */
    public List<String> drained() {
        return states.stream()
                .filter(book -> book.cordons && book.out == 0)
                .map(book -> book.name)
                .toList();
    }

    /** The servers that are left out now. */
    public List<String> leftOut() {
        return states.stream().filter(book -> book.backAt != null).map(book -> book.name).toList();
    }

    private boolean mayComeBack(ServerState book, MonotonicTime now) {
        return !now.isBefore(book.backAt) && (book.vouched || healthChecker.mayTry(book.name));
    }

    public int size() {
        return states.size();
    }

    public String name(int server) {
        return states.get(server).name;
    }

    public int out(int server) {
        return states.get(server).out;
    }

    /** How many may be out to it now. */
    public int limit(int server) {
        ServerState book = states.get(server);
        return book.onProbation || book.backAt != null ? 1 : (int) Math.floor(book.limit);
    }

    public boolean isOnProbation(int server) {
        return states.get(server).onProbation;
    }

    public boolean isLeftOut(int server) {
        return states.get(server).backAt != null;
    }

    /**
     * Where a request is to go now; it then counts as out there. Below zero where no server may
     * have one more.
     *
     * @param tried servers that it went to before, which get it only if all others may not
     */
    public int send(MonotonicTime now, List<Integer> tried) {
        return send(now, tried, server -> true);
    }

    /**
     * Chooses a server and counts the attempt as in flight there.
     *
     * @param may which servers carry out requests of its kind
     */
    public int send(MonotonicTime now, List<Integer> tried, IntPredicate may) {
        int best = best(now, tried, may);
        if (best < 0 && !tried.isEmpty()) {
            best = best(now, List.of(), may);
        }
        if (best >= 0) {
            ServerState book = states.get(best);
            if (book.backAt != null) {
                book.backAt = null;
                book.onProbation = true;
            }
            book.out++;
            turn = best + 1;
        }
        return best;
    }

    private int best(MonotonicTime now, List<Integer> tried, IntPredicate may) {
        int best = -1;
        double soonest = Double.MAX_VALUE;
        for (int i = 0; i < states.size(); i++) {
            int server = (turn + i) % states.size();
            ServerState book = states.get(server);
            boolean back = book.backAt == null || mayComeBack(book, now);
            if (book.cordons
                    || !back
                    || book.out >= limit(server)
                    || tried.contains(server)
                    || !may.test(server)) {
                continue;
            }
            // One that was left out is tried before all others: it costs one request, and nothing
            // else shows it well.
            double expected = book.backAt != null ? -1 : (book.out + 1) * expected(book, now);
            if (expected < soonest) {
                soonest = expected;
                best = server;
            }
        }
        return best;
    }

    /**
     * One that was never tried is expected to be a little faster than the fastest, so that it is.
     * What is known of one that gets no work halves again and again: else a server that was slow
     * once would never be seen to be fast.
     */
    private double expected(ServerState book, MonotonicTime now) {
        double fastest =
                states.stream()
                        .filter(one -> one.took >= 0)
                        .mapToDouble(one -> one.took)
                        .min()
                        .orElse(FIRST_GUESS.seconds());
        if (book.took < 0) {
            return fastest * UNTRIED;
        }
        return Math.max(Math.min(book.took, fastest * UNTRIED), book.took * book.left(now));
    }

    /** What a run may take before it is slow; zero while that isn't known. */
    public NanoDuration target() {
        return baseline.weight() < ENOUGH
                ? NanoDuration.ZERO
                : NanoDuration.ofSeconds(SLOWER * baseline.median());
    }

    /** A run is past TARGET and still out; to be told once a run. */
    public void slow(int server) {
        cut(states.get(server));
    }

    private static void cut(ServerState book) {
        book.limit = Math.max(1, book.limit * CUT);
    }

    /**
     * A run is no longer out.
     *
     * @param wasSlow whether {@link #slow} was told of it
     */
    public void ended(
            int server, AttemptEnd end, NanoDuration took, boolean wasSlow, MonotonicTime now) {
        ServerState book = states.get(server);
        boolean halfUsed = book.out * 2 >= book.limit;
        boolean wasBaseline = book.out * 2 < Math.max(START, book.limit);
        book.out--;
        if (end == AttemptEnd.UNKNOWN) {
            return;
        }
        if (book.onProbation) {
            healthChecker.tried(book.name, end == AttemptEnd.WELL);
        }
        if (end == AttemptEnd.FAILED) {
            book.learn(Math.max(took.seconds(), SLOWER * expectedBaseline()), now);
            if (!wasSlow) {
                cut(book);
            }
            if (++book.failuresInRow >= limits.failures() || book.onProbation) {
                leaveOut(book, now);
            }
            return;
        }
        book.learn(took.seconds(), now);
        book.failuresInRow = 0;
        if (book.onProbation) {
            book.onProbation = false;
            book.limit = 1;
        }
        book.timesLeftOut = Math.max(0, book.timesLeftOut - (wasSlow ? 0 : 1));
        boolean odd = baseline.weight() >= ENOUGH && took.seconds() > SLOWER * baseline.median();
        if (wasBaseline && (!odd || random.nextInt(8) == 0)) {
            baseline.add(
                    took.seconds()); // of the odd one in eight, as slowness must not become the
            // calm at once
        }
        if (!wasSlow && !odd && halfUsed) {
            book.limit = Math.min(limits.mostOut(), book.limit + 1);
        }
    }

    private double expectedBaseline() {
        return baseline.weight() > 0 ? baseline.median() : FIRST_GUESS.seconds();
    }

    /**
     * Twice as long each time, and a little more or less, so that many clients don't come back as
     * one.
     */
    private void leaveOut(ServerState book, MonotonicTime now) {
        double factor =
                Math.pow(2, Math.min(30, book.timesLeftOut++)) * (0.75 + random.nextDouble() / 2);
        NanoDuration duration =
                limits.leftOutFirst().times(Math.min(factor, 1e6)).min(limits.leftOutMost());
        book.backAt = now.plus(duration);
        book.leftOutAt = now;
        book.vouched = false;
        book.onProbation = false;
        book.failuresInRow = 0;
        book.limit = 1;
    }

    /** When a server that is left out may be tried again, the soonest; never where none is. */
    public MonotonicTime nextBack(MonotonicTime now) {
        return states.stream()
                .filter(book -> book.backAt != null && !book.cordons)
                .map(
                        book ->
                                now.isBefore(book.backAt) || mayComeBack(book, now)
                                        ? book.backAt
                                        : now.plus(ASK_AGAIN))
                .min(MonotonicTime::compareTo)
                .orElse(MonotonicTime.NEVER);
    }
}
