package lupinwood.experiment;

/**
 * How much a stand-in server bears: it counts what it has in hand, gets slower past that, and
 * breaks for a while when it is far past it. It knows nothing of who sends.
 */
final class ServerBehavior {
    private static final double BREAKS_AT = 1.5;
    private static final long DOWN_MILLIS = 4000;

    private final int bears;
    private final long takesMillis;
    private int inHand;
    private int most;
    private int broke;
    private long downUntil;
    private boolean errs;

    ServerBehavior(int bears, long takesMillis) {
        this.bears = bears;
        this.takesMillis = takesMillis;
    }

    /**
     * Whether the request was carried out; it takes its time in any case, unless the server is
     * down.
     */
    boolean carriesOut() {
        long takes;
        synchronized (this) {
            if (errs || System.currentTimeMillis() < downUntil) {
                return false;
            }
            inHand++;
            most = Math.max(most, inHand);
            if (inHand > bears * BREAKS_AT) {
                broke++;
                downUntil = System.currentTimeMillis() + DOWN_MILLIS;
            }
            takes = Math.round(takesMillis * Math.max(1, (double) inHand / bears));
        }
        try {
            Thread.sleep(takes);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        synchronized (this) {
            inHand--;
            return System.currentTimeMillis() >= downUntil;
        }
    }

    /** Down, or erring fast, from now on or no more. */
    synchronized void errs(boolean from) {
        errs = from;
    }

    synchronized int most() {
        return most;
    }

    synchronized int broke() {
        return broke;
    }

    synchronized int inHand() {
        return inHand;
    }
}
