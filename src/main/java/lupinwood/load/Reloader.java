package lupinwood.load;

import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import lupinwood.admission.MonotonicTime;
import lupinwood.log.Log;
import lupinwood.net.NodeConfig;
import lupinwood.net.NodeServer;
import lupinwood.reload.FileFingerprint;
import lupinwood.reload.ReloadScheduler;

/**
 * Reads a node's configuration anew when asked to or when its files change, on a thread of its own.
 * What it does next is said by {@link ReloadScheduler}; a burst of signals ends in the newest
 * files, since each reading begins after the signal that it answers.
 */
public final class Reloader {
    private final Loader loader;
    private final NodeServer serving;
    private final Log log;
    private final ReloadScheduler scheduler;

    /** The files of the configuration read last. */
    private List<Path> files;

    private boolean signalled;
    private final Deque<Runnable> jobs = new ArrayDeque<>();

    /** Whether the triggers are at rest. */
    private boolean idle = true;

    /**
     * @param loaded what the node was started with
     * @param looked what its files looked like before they were read
     */
    public Reloader(
            Loader loader,
            Loader.Loaded loaded,
            FileFingerprint looked,
            boolean watches,
            NodeServer serving,
            Log log) {
        this.loader = loader;
        this.serving = serving;
        this.log = log;
        files = loaded.files();
        // What the first file includes was not known at that look; it counts as looked at if that
        // file is the same.
        // This order: a change between the two then counts as one that was not seen yet.
        FileFingerprint all = FileFingerprints.at(files);
        FileFingerprint atStart = loader.look().equals(looked) ? all : looked;
        scheduler = new ReloadScheduler(watches, atStart, clock());
    }

    public void start() {
        Thread thread = new Thread(this::work, "reload");
        thread.setDaemon(true);
        thread.start();
    }

    /** May be called by any thread; never waits for a reading. */
    public synchronized void signal() {
        signalled = true;
        notifyAll();
    }

    /** Whether every signal so far was answered by a reading, and none is to be made again. */
    public synchronized boolean isIdle() {
        return !signalled && idle;
    }

    private void work() {
        try {
            while (true) {
                Runnable job = await();
                if (job != null) {
                    job.run();
                    continue;
                }
                FileFingerprint before = FileFingerprints.at(files);
                if (scheduler.looked(before, clock())) {
                    read(before);
                }
                rest();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void rest() {
        idle = scheduler.isAtRest();
    }

    /** A job that is to be done here first, or null. */
    private synchronized Runnable await() throws InterruptedException {
        while (!signalled) {
            if (!jobs.isEmpty()) {
                return jobs.poll();
            }
            MonotonicTime next = scheduler.next();
            if (next.equals(MonotonicTime.NEVER)) {
                wait();
                continue;
            }
            long millis = TimeUnit.NANOSECONDS.toMillis(next.since(clock()).nanos()) + 1;
            if (millis <= 0) {
                return null;
            }
            wait(millis);
            if (!signalled && jobs.isEmpty() && !clock().isBefore(next)) {
                return null;
            }
        }
        signalled = false;
        idle = false;
        scheduler.signalled(clock());
        return null;
    }

    /** Has it done between two readings, on the thread that reads. */
    synchronized void job(Runnable job) {
        jobs.add(job);
        notifyAll();
    }

    private void read(FileFingerprint before) {
        Loader.Loaded loaded = null;
        String trouble = "";
        try {
            loaded = loader.load();
            files = loaded.files();
        } catch (NodeConfig.UnusableConfiguration e) {
            trouble = e.getMessage();
        } catch (RuntimeException e) {
            log.problem(
                    "nothing reloaded", e); // a fault of the program must not end all later reloads
            trouble = "a fault of the program";
        }
        ReloadScheduler.Reading reading =
                loaded == null
                        ? ReloadScheduler.Reading.UNUSABLE
                        : loaded.provesWhole()
                                ? ReloadScheduler.Reading.WHOLE
                                : ReloadScheduler.Reading.USABLE;
        switch (scheduler.judge(before, FileFingerprints.at(files), reading, clock())) {
            case APPLY -> serving.reload(loaded.config());
            case REPORT ->
                    log.line(
                            "nothing reloaded: "
                                    + (trouble.isEmpty() ? "its files keep changing" : trouble));
            case READ_AGAIN -> {}
            default -> throw new IllegalStateException();
        }
    }

    private static MonotonicTime clock() {
        Instant instant = Instant.now();
        return new MonotonicTime(instant.getEpochSecond() * 1_000_000_000L + instant.getNano());
    }
}
