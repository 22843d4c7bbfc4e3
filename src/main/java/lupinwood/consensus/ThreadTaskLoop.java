package lupinwood.consensus;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.log.Log;

/** A task loop on its own thread, with the machine's monotonic clock. */
final class ThreadTaskLoop implements TaskLoop {
    /**
     * Bound on the queued tasks for messages from other threads. Further messages are dropped, as
     * if the network had lost them.
     */
    private static final int MAX_QUEUED_TASKS = 4096;

    private static final long CLOSE_TIMEOUT_MILLIS = 200;

    private final Log log;
    private final ScheduledThreadPoolExecutor scheduler =
            new ScheduledThreadPoolExecutor(
                    1,
                    task -> {
                        Thread worker = new Thread(task, "fleet");
                        worker.setDaemon(true);
                        return worker;
                    });

    ThreadTaskLoop(Log log) {
        this.log = log;
        scheduler.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        scheduler.setRemoveOnCancelPolicy(true);
    }

    @Override
    public void execute(Runnable task) {
        try {
            scheduler.execute(guarded(task));
        } catch (RejectedExecutionException e) {
            // The loop was closed; the task is dropped.
        }
    }

    /** Runs a task for a message from another thread, unless the queue is full. */
    void offer(Runnable task) {
        if (scheduler.getQueue().size() < MAX_QUEUED_TASKS) {
            execute(task);
        }
    }

    @Override
    @SuppressWarnings("FutureReturnValueIgnored") // a guarded task logs its own failure
    public void after(NanoDuration delay, Runnable task) {
        try {
            scheduler.schedule(guarded(task), Math.max(0, delay.nanos()), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            // The loop was closed; the task is dropped.
        }
    }

    @Override
    public MonotonicTime now() {
        return new MonotonicTime(System.nanoTime());
    }

    private Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                log.problem("fleet: task failed", e);
            }
        };
    }

    void close() {
        scheduler.shutdown();
        try {
            scheduler.awaitTermination(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
