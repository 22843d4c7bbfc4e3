package lupinwood.reload;

import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;

/**
 * Decides when a configuration is read anew and whether what was read counts. It is told of
 * signals, of looks at the files and of each reading, with the time from outside; it does no I/O
 * and belongs to one thread.
 *
 * <p>Two triggers may come for one change: each leads to a reading, but what was read and applied
 * once is not read again until the files look different or a signal asks for it. A file that is
 * being written is never half applied: what changed while it was read doesn't count, what can't be
 * used is read again until the files have been still for {@link #RESPONSE_TIMEOUT}, and what can't
 * prove by its form that it is whole counts only once they have been still for {@link #QUIET}.
 */
public final class ReloadScheduler {
    /** Files that can't be used may be unfinished until they have been still for as long. */
    public static final NanoDuration RESPONSE_TIMEOUT = NanoDuration.ofSeconds(1);

    /** Files whose form can't prove that they are whole are taken for finished after as long. */
    public static final NanoDuration QUIET = NanoDuration.ofSeconds(0.1);

    /** How often unfinished files are looked at. */
    public static final NanoDuration AGAIN = NanoDuration.ofSeconds(0.05);

    /** How often files at rest are looked at. */
    public static final NanoDuration EVERY = NanoDuration.ofSeconds(0.25);

    /** A writer that never stops keeps nobody waiting for longer. */
    public static final NanoDuration LONGEST = NanoDuration.ofSeconds(10);

    /** What one reading came to. */
    public enum Reading {
        /** It can be used, and its form proves that nothing is missing at its end. */
        WHOLE,
        /** It can be used. */
        USABLE,
        /** It can't. */
        UNUSABLE
    }

    /** What to do about a reading. */
    public enum Verdict {
        APPLY,
        REPORT,
        READ_AGAIN
    }

    private final boolean watches;

    /** What the files looked like when they were read to an end, for better or worse. */
    private FileFingerprint settled;

    private FileFingerprint observed;
    private MonotonicTime observedAt;

    /** A signal came that no reading has answered. */
    private boolean requested;

    private MonotonicTime requestedAt;
    private MonotonicTime next;

    /**
     * @param watches whether a changed file is reason enough to read it
     */
    public ReloadScheduler(boolean watches, FileFingerprint atStart, MonotonicTime now) {
        this.watches = watches;
        settled = atStart;
        observed = atStart;
        observedAt = now;
        next = watches ? now.plus(EVERY) : MonotonicTime.NEVER;
    }

    /** A signal asks for a reading; several before it starts ask for one. */
    public void signalled(MonotonicTime now) {
        if (!requested) {
            requested = true;
            requestedAt = now;
        }
        next = now;
    }

    /** Whether no signal waits for its answer. */
    public boolean isAtRest() {
        return !requested;
    }

    /** When to look next; {@link MonotonicTime#NEVER} where only a signal can be the reason. */
    public MonotonicTime next() {
        return next;
    }

    /** The files were looked at: whether to read them now. */
    public boolean looked(FileFingerprint fingerprint, MonotonicTime now) {
        if (!fingerprint.equals(observed)) {
            observed = fingerprint;
            observedAt = now;
        }
        boolean due = requested || (watches && !fingerprint.equals(settled));
        if (!due) {
            rest(now);
        }
        return due;
    }

    /**
     * The files were read.
     *
     * @param before the look just before the reading
     * @param after the look just after it
     */
    public Verdict judge(
            FileFingerprint before, FileFingerprint after, Reading reading, MonotonicTime now) {
        if (!after.equals(observed)) {
            observed = after;
            observedAt = now;
        }
        boolean changing = !before.equals(after);
        boolean usable = reading != Reading.UNUSABLE;
        NanoDuration needed =
                reading == Reading.WHOLE ? NanoDuration.ZERO : usable ? QUIET : RESPONSE_TIMEOUT;
        boolean tiredOf = requested && LONGEST.compareTo(now.since(requestedAt)) < 0;
        if ((changing || stillFor(after, now).compareTo(needed) < 0) && !tiredOf) {
            next = now.plus(AGAIN);
            return Verdict.READ_AGAIN;
        }
        settled = after;
        requested = false;
        rest(now);
        return usable && !changing ? Verdict.APPLY : Verdict.REPORT;
    }

    /**
     * By the files' own word, or by how long they have looked the same where that lies in the
     * future.
     */
    private NanoDuration stillFor(FileFingerprint fingerprint, MonotonicTime now) {
        NanoDuration watched = now.since(observedAt);
        return fingerprint.changed().isBefore(now)
                ? now.since(fingerprint.changed()).max(watched)
                : watched;
    }

    private void rest(MonotonicTime now) {
        next = watches ? now.plus(EVERY) : MonotonicTime.NEVER;
    }
}
