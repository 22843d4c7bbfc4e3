package lupinwood.admission;

/**
 * Graceful shutdown, rule 3 of the conventions: nothing that arrives later than half the grace
 * after the notice is run (the other half is margin), and all that was read is answered a little
 * before the stop.
 *
 * <pre>last answers = stop - max(0.05 * (stop - notice), 4 ticks)</pre>
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class DrainPolicy {
    /** The part of the grace in which arrivals are still admitted. */
    private static final double ADMITTED_SHARE_OF_GRACE = 0.5;

    /** The part of the drain that is kept for the last answers to go out. */
    private static final double ANSWER_MARGIN_SHARE = 0.05;

    /** The same in ticks, for short drains. */
    private static final int ANSWER_MARGIN_TICKS = 4;

    private PolicySettings settings;
    private MonotonicTime noticeAt;
    private MonotonicTime stopAt;

    DrainPolicy(PolicySettings settings) {
        this.settings = settings;
    }

    void update(PolicySettings changed) {
        settings = changed;
    }

    /** Notice came that the machine will be stopped after so long. */
    void begin(MonotonicTime now, NanoDuration untilStop) {
        noticeAt = now;
        stopAt = now.plus(untilStop);
    }

    boolean isDraining() {
        return noticeAt != null;
    }

    /** When all that was read has to be answered; only while draining. */
    MonotonicTime lastAnswersAt() {
        NanoDuration margin =
                stopAt.since(noticeAt)
                        .times(ANSWER_MARGIN_SHARE)
                        .max(settings.machine().tick().times(ANSWER_MARGIN_TICKS));
        return stopAt.minus(margin);
    }

    /** The earlier of that and the moment by which a request's client wants its answer. */
    MonotonicTime answerBy(AdmittedRequest request) {
        return isDraining() && lastAnswersAt().isBefore(request.answerBy())
                ? lastAnswersAt()
                : request.answerBy();
    }

    /** Whether a request arrived too late to be run here. */
    boolean rejects(AdmittedRequest request, MonotonicTime now) {
        if (!isDraining()) {
            return false;
        }
        MonotonicTime admittedUntil =
                noticeAt.plus(settings.drainGrace().times(ADMITTED_SHARE_OF_GRACE));
        return !request.arrivedAt().isBefore(admittedUntil) || !now.isBefore(lastAnswersAt());
    }
}
