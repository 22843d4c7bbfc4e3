package lupinwood.admission;

import lupinwood.admission.TimerSet.Timer;

/**
 * The timers of the decisions. Due tasks run in order of time, and in the order of scheduling where
 * times are equal. At most one wake-up of the node is requested at a time.
 *
 * <p>Owned by the thread of the {@link AdmissionPolicy}.
 */
public final class TimerQueue {
    private final TimerSet timers = new TimerSet();
    private final ServerActions server;
    private MonotonicTime requestedWakeUp = MonotonicTime.NEVER;

    /** Creates an empty queue that requests its wake-ups from this server. */
    public TimerQueue(ServerActions server) {
        this.server = server;
    }

    /** Runs the task at this time, or with the first wake-up after it. */
    public Timer scheduleAt(MonotonicTime time, Runnable task) {
        return timers.add(time, task);
    }

    /** Runs the task after this duration. */
    public Timer scheduleAfter(NanoDuration duration, Runnable task) {
        return scheduleAt(server.now().plus(duration), task);
    }

    /** Cancels a timer; ignored if it has run already or is null. */
    public void cancel(Timer timer) {
        timers.remove(timer);
    }

    /** The number of scheduled timers. */
    public int size() {
        return timers.size();
    }

    /**
     * Runs all tasks that are due, including those that become due meanwhile. A coarse clock may
     * wake the node slightly early; that wake-up no longer counts as pending, so {@link
     * #requestWakeUp} requests another.
     */
    public void runDue() {
        requestedWakeUp = MonotonicTime.NEVER;
        for (Timer next = timers.first();
                next != null && next.isDue(server.now());
                next = timers.first()) {
            timers.remove(next);
            next.run();
        }
    }

    /**
     * Requests a wake-up if the earliest timer is due before the wake-up requested already. For a
     * timer that is due already the wake-up is requested one nanosecond from now, since one in the
     * past would never come.
     */
    public void requestWakeUp() {
        Timer next = timers.first();
        MonotonicTime wakeUpAt = server.now().plus(new NanoDuration(1));
        if (next != null && wakeUpAt.isBefore(next.dueAt())) {
            wakeUpAt = next.dueAt();
        }
        if (next != null && wakeUpAt.isBefore(requestedWakeUp)) {
            requestedWakeUp = wakeUpAt;
            server.wakeAt(requestedWakeUp);
        }
    }
}
