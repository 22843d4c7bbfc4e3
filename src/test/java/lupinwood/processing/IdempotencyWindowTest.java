package lupinwood.processing;

import static org.assertj.core.api.Assertions.assertThat;

import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that an idempotent request runs once within its window, which is 0.8 s here. */
final class IdempotencyWindowTest extends RequestProcessorFixture {
    @BeforeEach
    void startWithShortWindow() {
        settingsSource.set("services.1.window_ns=800000000");
        start();
    }

    private static MonotonicTime after(MonotonicTime time, int millis) {
        return time.plus(NanoDuration.ofSeconds(millis / 1e3));
    }

    /** Makes a request with the key {@code k} arrive; the policy does not decide yet. */
    private long read(String body, MonotonicTime reached) {
        tag++;
        processor.arrived(currentConnection, tag, arrivalAt(tag, "token", "k", body, reached));
        return tag;
    }

    /**
     * Guards against a second run after another use of the key: a request whose time stamp lay
     * ahead of the clock counted as later than the window, replaced the record, and took the key
     * with it when it was withdrawn.
     */
    @Test
    void requestStampedAheadOfTheClockDoesNotEndTheWindow() {
        completeRun(arrive("token", "k", "a"), Completion.WELL, "paid");
        advanceMillis(660);
        long stampedAhead = read("other", after(now, 230));
        handle(() -> processor.aborted(currentConnection, stampedAhead));
        advanceMillis(90);
        arrive("token", "k", "a");
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1 a
                0 1 SERVED paid
                660 log request failed reason=idempotency_key_reused
                660 2 FAILED
                750 3 SERVED paid
                """);
    }

    /**
     * Guards against a second run where the original's own time stamp lay ahead of the clock: its
     * window counts from that stamp, but was taken to begin when the request was read.
     */
    @Test
    void windowCountsFromATimeStampAheadOfTheClock() {
        long original = read("a", after(now, 200));
        handle(() -> {});
        completeRun(original, Completion.WELL, "paid");
        advanceMillis(950);
        arrive("token", "k", "a");
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1 a
                0 1 SERVED paid
                950 2 SERVED paid
                """);
    }

    /**
     * Guards against a second run of an attempt that is read late: a later request with the key,
     * after the window, replaced the original's record, and took the key with it when it was
     * withdrawn before it ran.
     */
    @Test
    void forgottenLaterRequestLeavesTheOriginalKnown() {
        MonotonicTime first = now;
        completeRun(arrive("token", "k", "a"), Completion.WELL, "paid");
        advanceMillis(900);
        long withdrawn = read("a", now);
        handle(() -> processor.aborted(currentConnection, withdrawn));
        advanceMillis(50);
        read("a", after(first, 700));
        handle(() -> {});
        assertThat(recorded())
                .isEqualTo(
                        """
                0 run 1 a
                0 1 SERVED paid
                950 3 SERVED paid
                """);
    }
}
