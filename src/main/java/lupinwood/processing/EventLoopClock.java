package lupinwood.processing;

import java.util.function.Supplier;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;

/**
 * The event loop's time, set from outside, and how far the clock that stamps requests differs.
 *
 * <p>Owned by the event loop thread.
 */
final class EventLoopClock {
    private MonotonicTime now;

    /** How far the stamping clock is ahead; negative where it is behind. */
    private NanoDuration stampLead = NanoDuration.ZERO;

    EventLoopClock(MonotonicTime now) {
        this.now = now;
    }

    MonotonicTime now() {
        return now;
    }

    /** Sets the time; one that was set back stands still until it is caught up with. */
    void advance(MonotonicTime time) {
        now = now.isBefore(time) ? time : now;
    }

    /** Tells what the stamping clock, which may step either way, shows now. */
    void stampClockShows(MonotonicTime time) {
        stampLead = time.since(now);
    }

    /** A time of the stamping clock, by this one. */
    MonotonicTime fromStamp(MonotonicTime stamp) {
        return stamp.minus(stampLead);
    }

    /** A time of this clock, by the one that stamps requests. */
    MonotonicTime toStamp(MonotonicTime time) {
        return time.plus(stampLead);
    }

    /** How long ago that was; zero where it is still to come. */
    NanoDuration elapsedSince(MonotonicTime time) {
        return now.since(time).max(NanoDuration.ZERO);
    }

    /** Does something as if it were that time. */
    <T> T callAt(MonotonicTime time, Supplier<T> action) {
        MonotonicTime present = now;
        now = time;
        T result = action.get();
        now = present;
        return result;
    }
}
