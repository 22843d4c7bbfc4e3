package lupinwood.consensus;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.log.Log;

/** A thread of its own, on the machine's monotonic clock. */
final class ThreadTaskLoop implements TaskLoop {
    /**
     * What others may have waiting for it; what the consensus group hears past that is passed over,
     * and comes again.
     */
    private static final int MOST_WAITING = 4096;

    private static final long LONGEST_END = 200;

    private final Log log;
    private final ScheduledThreadPoolExecutor thread =
            new ScheduledThreadPoolExecutor(
                    1,
                    job -> {
                        Thread one = new Thread(job, "fleet");
                        one.setDaemon(true);
                        return one;
                    });

    ThreadTaskLoop(Log log) {
        this.log = log;
        thread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        thread.setRemoveOnCancelPolicy(true);
    }

    @Override
    public void execute(Runnable job) {
        try {
            thread.execute(guarded(job));
        } catch (RejectedExecutionException e) {
            // It was ended: nothing more is to be done.
        }
    }

    /** News from another thread, which may be too much. */
    void offer(Runnable job) {
        if (thread.getQueue().size() < MOST_WAITING) {
            execute(job);
        }
    }

    @Override
    @SuppressWarnings("FutureReturnValueIgnored") // a guarded job logs its own failure
    public void after(NanoDuration duration, Runnable job) {
        try {
            thread.schedule(guarded(job), Math.max(0, duration.nanos()), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            // It was ended.
        }
    }

    @Override
    public MonotonicTime now() {
        return new MonotonicTime(System.nanoTime());
    }

    private Runnable guarded(Runnable job) {
        return () -> {
            try {
                job.run();
            } catch (RuntimeException e) {
                log.problem("fleet: a step failed", e);
            }
        };
    }

    void end() {
        thread.shutdown();
        try {
            thread.awaitTermination(LONGEST_END, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
