package lupinwood.reload;

import java.util.Objects;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;

/**
 * Whether a move to another executor is kept. The new address has so long to say WELCOME; then the
 * node goes back to the one before, which has as long; then it tries the new one again, and so on,
 * since the newest configuration is what is wanted. Nothing is sent to either until it said
 * WELCOME, so nothing can run twice on the way. No I/O.
 *
 * @param <A> an address
 */
public final class ExecutorMigration<A> {
    /** What to do now. */
    public enum Step {
        NOTHING,
        GO_BACK,
        TRY_AGAIN
    }

    /** The address that last said WELCOME, or null. */
    private A good;

    private A wanted;

    /** Where the node is connecting to, or connected. */
    private A current;

    /**
     * Until when the current one may say WELCOME; never, where it did, or where there is no other.
     */
    private MonotonicTime until = MonotonicTime.NEVER;

    private NanoDuration clientTimeout = NanoDuration.ZERO;

    public ExecutorMigration(A first) {
        wanted = first;
        current = first;
    }

    /**
     * A configuration names this address.
     *
     * @param within how long it has to say WELCOME; zero for as long as it takes
     * @return whether the node is to connect there
     */
    public boolean to(A next, NanoDuration within, MonotonicTime now) {
        clientTimeout = within;
        boolean moves = !next.equals(current);
        wanted = next;
        current = next;
        if (moves) {
            wait(now);
        }
        return moves;
    }

    /** The current one said WELCOME. */
    public void welcomed() {
        good = current;
        until = MonotonicTime.NEVER;
    }

    /** When {@link #look} may have something to say. */
    public MonotonicTime due() {
        return until;
    }

    /** What the passing of time asks for; after it, {@link #current} is where to connect. */
    public Step look(MonotonicTime now) {
        if (now.isBefore(until)) {
            return Step.NOTHING;
        }
        boolean back = current.equals(wanted);
        current = back ? good : wanted;
        wait(now);
        return back ? Step.GO_BACK : Step.TRY_AGAIN;
    }

    private void wait(MonotonicTime now) {
        boolean hasOther = good != null && !Objects.equals(good, wanted);
        until =
                hasOther && clientTimeout.isPositive()
                        ? now.plus(clientTimeout)
                        : MonotonicTime.NEVER;
    }

    public A current() {
        return current;
    }

    /** Whether the node is where its newest configuration wants it. */
    public boolean isWhereWanted() {
        return current.equals(wanted);
    }
}
