package lupinwood.processing;

import java.util.function.Supplier;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;

/**
 * The event loop's time, set from outside, and its offset from the clock that stamps requests.
 *
 * <p>Owned by the event loop thread.
 */
final class EventLoopClock {
    private MonotonicTime now;

    /** How far the stamping clock is ahead of this one; negative if it is behind. */
    private NanoDuration stampLead = NanoDuration.ZERO;

    EventLoopClock(MonotonicTime now) {
        this.now = now;
    }

    MonotonicTime now() {
        return now;
    }

    /**
     * Sets the time; ignored while {@code time} is before the current time, so the clock never goes
     * back.
     */
    void advance(MonotonicTime time) {
        now = now.isBefore(time) ? time : now;
    }

    /** Sets the current time of the stamping clock, which may step in either direction. */
    void setStampTime(MonotonicTime time) {
        stampLead = time.since(now);
    }

    /** Converts a time of the stamping clock to this clock. */
    MonotonicTime fromStamp(MonotonicTime stamp) {
        return stamp.minus(stampLead);
    }

    /** Converts a time of this clock to the stamping clock. */
    MonotonicTime toStamp(MonotonicTime time) {
        return time.plus(stampLead);
    }

    /** How long ago a time was; zero if it is in the future. */
    NanoDuration elapsedSince(MonotonicTime time) {
        return now.since(time).max(NanoDuration.ZERO);
    }

    /** Performs an action with the clock set to this time. */
    <T> T callAt(MonotonicTime time, Supplier<T> action) {
        MonotonicTime realNow = now;
        now = time;
        T result = action.get();
        now = realNow;
        return result;
    }
}
