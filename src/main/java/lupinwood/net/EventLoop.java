package lupinwood.net;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.log.Log;
import lupinwood.log.WallClock;
import lupinwood.processing.RequestProcessor;
import lupinwood.processing.TimerService;

/**
 * The one event loop thread: it takes in what came, tells the request processor, settles once, then
 * lets the writes go. Nothing else touches the request processor, the deadlines or the adapters'
 * own state.
 */
final class EventLoop {
    /**
     * Where socket threads wait when deciding falls behind, which in turn lets the senders wait.
     */
    private static final int MOST_NEWS = 1024;

    /**
     * How much of what was read may wait there. A read of many small messages makes as many
     * objects.
     */
    private static final int MOST_BYTES = 1 << 20;

    private static final int MOST_AT_ONCE = 256;

    /**
     * No further hand-over is taken in once a round has dealt with so many messages: answers to
     * them gather until the round writes, and what other connections and timers wait for is due.
     */
    private static final int MAX_MESSAGES_PER_ROUND = 1024;

    /**
     * Rounds begin no closer together: what comes at rest is dealt with at once, what follows waits
     * as long.
     */
    static final long PACE = TimeUnit.MILLISECONDS.toNanos(1);

    private static final long LONGEST_STOP = 50;
    private static final long LONGEST_WAIT = TimeUnit.SECONDS.toNanos(1);

    private final BlockingQueue<Runnable> inbox = new ArrayBlockingQueue<>(MOST_NEWS);

    /** What this thread tells itself: it must never wait for room in its own inbox. */
    private final Deque<Runnable> own = new ArrayDeque<>();

    private final Semaphore room = new Semaphore(MOST_BYTES);
    private final List<Runnable> writers = new ArrayList<>();
    private final MonotonicTime begun = clock();
    private final LongSupplier steady;
    private final long begunAt;
    private final TimerService deadlines;
    private final Log log;
    private final Thread thread = new Thread(this::decide, "decider");
    private RequestProcessor processor;

    /** How many messages the present round has dealt with. */
    private int messagesInRound;

    private boolean stopped;

    EventLoop(TimerService deadlines, LongSupplier steady, Log log) {
        this.steady = steady;
        begunAt = steady.getAsLong();
        this.deadlines = deadlines;
        this.log = log;
    }

    /** What the machine's clock shows, by which requests are stamped. It may be set, either way. */
    static MonotonicTime clock() {
        Instant instant = WallClock.now();
        return new MonotonicTime(instant.getEpochSecond() * 1_000_000_000L + instant.getNano());
    }

    /** The time by which all is due: it began as the machine's clock stood, and never steps. */
    MonotonicTime time() {
        return begun.plus(new NanoDuration(steady.getAsLong() - begunAt));
    }

    private void advance() {
        processor.advance(time());
        processor.setWallClock(clock());
    }

    /** Called after each round, to write what gathered in it. */
    void addWriter(Runnable writer) {
        writers.add(writer);
    }

    void start(RequestProcessor decidesFor) {
        processor = decidesFor;
        // Guards against a node that listens and no longer decides: it is better gone, and started
        // anew.
        thread.setUncaughtExceptionHandler(
                (dead, cause) -> {
                    log.problem("deciding ended", cause);
                    log.drain();
                    Runtime.getRuntime().halt(1);
                });
        thread.start();
    }

    /** Returns once it decides no more, or soon. */
    void stop() throws InterruptedException {
        tell(() -> stopped = true);
        thread.join(LONGEST_STOP);
    }

    /** How much news waits for this thread. */
    int waiting() {
        return inbox.size();
    }

    void tell(Runnable news) {
        if (Thread.currentThread() == thread) {
            own.add(news);
            return;
        }
        try {
            inbox.put(news);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** How many bytes were read and wait for this thread. */
    int waitingBytes() {
        return MOST_BYTES - room.availablePermits();
    }

    /**
     * All that one read brought: one hand-over, however many messages. Waits for room, and with it
     * the senders.
     */
    void tell(List<Runnable> news, int bytes) {
        if (!news.isEmpty()) {
            int share = Math.min(bytes, MOST_BYTES);
            room.acquireUninterruptibly(share);
            tell(
                    () -> {
                        room.release(share);
                        messagesInRound += news.size();
                        news.forEach(this::guarded);
                    });
        }
    }

    private void decide() {
        try {
            while (!stopped) {
                Runnable first = await();
                long begun = System.nanoTime();
                round(first);
                rest(begun);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Under load news gathers meanwhile, and no socket thread has to wake this one for each piece.
     * A wake-up left over from the inbox ends a parking at once, so it may take several.
     */
    private static void rest(long begun) {
        for (long left = PACE - (System.nanoTime() - begun);
                left > 0 && !Thread.currentThread().isInterrupted();
                left = PACE - (System.nanoTime() - begun)) {
            LockSupport.parkNanos(left);
        }
    }

    private Runnable await() throws InterruptedException {
        if (!own.isEmpty()) {
            return own.poll();
        }
        long wait = Math.min(LONGEST_WAIT, deadlines.earliest().nanos() - time().nanos());
        return wait > 0 ? inbox.poll(wait, TimeUnit.NANOSECONDS) : inbox.poll();
    }

    private void round(Runnable first) {
        int reported = 0;
        messagesInRound = 0;
        advance();
        for (Runnable news = first;
                news != null;
                news =
                        ++reported < MOST_AT_ONCE && messagesInRound < MAX_MESSAGES_PER_ROUND
                                ? next()
                                : null) {
            // Guards against a long round: what came during it must not look as if from the future.
            advance();
            guarded(news);
        }
        guarded(() -> deadlines.runDue(processor.now()));
        guarded(processor::settle);
        writers.forEach(this::guarded);
    }

    private Runnable next() {
        return own.isEmpty() ? inbox.poll() : own.poll();
    }

    /**
     * Guards against one piece of news that can't be dealt with: it must not end all the others.
     */
    private void guarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            log.problem("a step failed", e);
        }
    }
}
