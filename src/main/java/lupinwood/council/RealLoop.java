package lupinwood.council;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import lupinwood.log.Log;
import lupinwood.node.Moment;
import lupinwood.node.Span;

/** A thread of its own, on the machine's monotonic clock. */
final class RealLoop implements Loop {
    /**
     * What others may have waiting for it; what the council hears past that is passed over, and
     * comes again.
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

    RealLoop(Log log) {
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
    public void after(Span span, Runnable job) {
        try {
            thread.schedule(guarded(job), Math.max(0, span.nanos()), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            // It was ended.
        }
    }

    @Override
    public Moment now() {
        return new Moment(System.nanoTime());
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
