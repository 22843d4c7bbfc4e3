package lupinwood.admission;

/**
 * Graceful shutdown: a request that arrives after the first half of the grace period, which begins
 * with the notice, is not run (the other half is a margin), and every request that was read is
 * answered shortly before the node is stopped.
 *
 * <pre>last answers = stop - max(0.05 * (stop - notice), 4 ticks)</pre>
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class DrainPolicy {
    /** The part of the grace period in which arrivals are still admitted. */
    private static final double ADMISSION_GRACE_RATIO = 0.5;

    /**
     * The part of the time between notice and stop that is reserved for sending the last answers.
     */
    private static final double ANSWER_MARGIN_RATIO = 0.05;

    /** The least time reserved for the last answers, in ticks, for short drains. */
    private static final int ANSWER_MARGIN_TICKS = 4;

    private PolicySettings settings;
    private MonotonicTime noticeAt;
    private MonotonicTime stopAt;

    DrainPolicy(PolicySettings settings) {
        this.settings = settings;
    }

    void update(PolicySettings newSettings) {
        settings = newSettings;
    }

    /** Begins the drain: the node will be stopped after this duration. */
    void begin(MonotonicTime now, NanoDuration timeUntilStop) {
        noticeAt = now;
        stopAt = now.plus(timeUntilStop);
    }

    boolean isDraining() {
        return noticeAt != null;
    }

    /** When every request that was read must be answered; defined only while draining. */
    MonotonicTime lastAnswersDeadline() {
        NanoDuration margin =
                stopAt.since(noticeAt)
                        .times(ANSWER_MARGIN_RATIO)
                        .max(settings.machine().tick().times(ANSWER_MARGIN_TICKS));
        return stopAt.minus(margin);
    }

    /**
     * The latest time for the answer of a request: its own answer deadline or, if earlier, that of
     * the drain.
     */
    MonotonicTime answerDeadline(AdmittedRequest request) {
        return isDraining() && lastAnswersDeadline().isBefore(request.answerDeadline())
                ? lastAnswersDeadline()
                : request.answerDeadline();
    }

    /** Whether a request arrived too late in the drain to be run here. */
    boolean rejects(AdmittedRequest request, MonotonicTime now) {
        if (!isDraining()) {
            return false;
        }
        MonotonicTime admittedUntil =
                noticeAt.plus(settings.drainGrace().times(ADMISSION_GRACE_RATIO));
        return !request.arrivedAt().isBefore(admittedUntil) || !now.isBefore(lastAnswersDeadline());
    }
}
