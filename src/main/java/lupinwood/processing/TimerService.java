package lupinwood.processing;

import lupinwood.admission.MonotonicTime;
import lupinwood.admission.TimerSet;
import lupinwood.admission.TimerSet.Timer;

/**
 * The timers of the request processor, ordered by due time and then by when they were scheduled. It
 * is the processor's only timer queue.
 *
 * <p>Owned by the event loop thread.
 */
public final class TimerService {
    private final TimerSet timers = new TimerSet();

    /** Schedules an action for this time. */
    public Timer schedule(MonotonicTime time, Runnable action) {
        return timers.add(time, action);
    }

    /** Cancels a timer; ignored if it has fired already or is null. */
    public void cancel(Timer timer) {
        timers.remove(timer);
    }

    /** The number of scheduled timers. */
    public int size() {
        return timers.size();
    }

    /** When the first timer is due; {@link MonotonicTime#NEVER} if there is none. */
    public MonotonicTime earliest() {
        Timer first = timers.first();
        return first == null ? MonotonicTime.NEVER : first.dueAt();
    }

    /**
     * Fires the timers that are due. Timers that their actions schedule wait for the next call, so
     * this always ends.
     */
    public void runDue(MonotonicTime now) {
        for (Timer timer : timers.dueBy(now)) {
            if (timers.remove(timer)) {
                timer.run();
            }
        }
    }
}
