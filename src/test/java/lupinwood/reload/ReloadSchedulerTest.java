package lupinwood.reload;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.reload.ReloadScheduler.Reading;
import org.junit.jupiter.api.Test;

/**
 * A file with a version that is written to, and what the decisions make of it, as a printed trace.
 */
final class ReloadSchedulerTest {
    private MonotonicTime now = new MonotonicTime(100_000_000_000L);
    private int version = 1;
    private MonotonicTime written = new MonotonicTime(1);
    private Reading reading = Reading.WHOLE;
    private final List<String> trace = new ArrayList<>();
    private ReloadScheduler scheduler;

    private FileFingerprint look() {
        return new FileFingerprint("v" + version, written);
    }

    private void start(boolean watches) {
        scheduler = new ReloadScheduler(watches, look(), now);
    }

    private void write(Reading next) {
        version++;
        written = now;
        reading = next;
    }

    /** Goes on for as long, doing what is due. */
    private void pass(double seconds) {
        MonotonicTime end = now.plus(NanoDuration.ofSeconds(seconds));
        while (!end.isBefore(scheduler.next())) {
            now = now.isBefore(scheduler.next()) ? scheduler.next() : now;
            look(look());
        }
        now = end;
    }

    private void look(FileFingerprint before) {
        if (scheduler.looked(before, now)) {
            ReloadScheduler.Verdict verdict = scheduler.judge(before, look(), reading, now);
            if (verdict != ReloadScheduler.Verdict.READ_AGAIN) {
                long ms = now.since(new MonotonicTime(100_000_000_000L)).nanos() / 1_000_000;
                trace.add(ms + " " + verdict + " v" + version);
            }
        }
    }

    @Test
    void aSignalAppliesAWholeFileAtOnceAndOnlyOnce() {
        start(false);
        pass(1);
        write(Reading.WHOLE);
        scheduler.signalled(now);
        scheduler.signalled(now);
        pass(5);
        scheduler.signalled(now);
        pass(5);
        assertThat(trace).containsExactly("1000 APPLY v2", "6000 APPLY v2");
        assertThat(scheduler.next()).isEqualTo(MonotonicTime.NEVER);
    }

    @Test
    void withoutASignalAChangedFileIsObservedWhereItIsWatchedAndNowhereElse() {
        start(true);
        pass(1);
        write(Reading.WHOLE);
        pass(3);
        assertThat(trace).containsExactly("1250 APPLY v2");
        trace.clear();
        start(false);
        write(Reading.WHOLE);
        pass(3);
        assertThat(trace).isEmpty();
    }

    @Test
    void bothTriggersForOneChangeMakeTheWatchSilent() {
        start(true);
        pass(1.1);
        write(Reading.WHOLE);
        scheduler.signalled(now);
        pass(3);
        assertThat(trace).containsExactly("1100 APPLY v2");
    }

    @Test
    void aFileBeingWrittenIsReadAgainUntilItIsWholeAndAnEndlessOneIsReported() {
        start(false);
        write(Reading.UNUSABLE);
        scheduler.signalled(now);
        pass(0.5);
        write(Reading.WHOLE);
        pass(5);
        assertThat(trace).containsExactly("550 APPLY v3");
        trace.clear();
        write(Reading.UNUSABLE);
        scheduler.signalled(now);
        pass(3);
        assertThat(trace).containsExactly("6500 REPORT v4");
    }

    @Test
    void whatCantProveThatItIsWholeWaitsUntilItIsStill() {
        start(true);
        pass(0.2);
        write(Reading.USABLE);
        pass(0.08);
        write(Reading.USABLE);
        pass(5);
        assertThat(trace).containsExactly("400 APPLY v3");
    }

    @Test
    void anOldFileMovedIntoPlaceIsNotWaitedForTwice() {
        start(false);
        pass(1);
        version++;
        written = new MonotonicTime(5); // kept its old date
        reading = Reading.USABLE;
        scheduler.signalled(now);
        pass(1);
        assertThat(trace).containsExactly("1000 APPLY v2");
    }

    @Test
    void aChangeDuringTheReadingDoesNotCount() {
        start(false);
        scheduler.signalled(now);
        FileFingerprint before = look();
        write(Reading.WHOLE);
        look(before);
        assertThat(trace).isEmpty();
        pass(1);
        assertThat(trace).containsExactly("50 APPLY v2");
    }

    @Test
    void aWriterThatNeverStopsIsReportedToWhoRequested() {
        start(false);
        scheduler.signalled(now);
        for (int i = 0; i < 300; i++) {
            write(Reading.UNUSABLE);
            pass(0.05);
        }
        assertThat(trace).hasSize(1).first().asString().contains("REPORT");
    }

    @Test
    void aDateInTheFutureHoldsNothingBackForLong() {
        start(true);
        write(Reading.USABLE);
        written = now.plus(NanoDuration.ofSeconds(3600));
        pass(2);
        assertThat(trace).hasSize(1).first().asString().endsWith("APPLY v2");
    }
}
