package lupinwood.net;

/**
 * How many accepted connections may hold descriptors at once. Each counts from before it is
 * accepted until the system has its descriptor back, whatever the deciding thread knows of it by
 * then: what can't be held yet waits in the system's queue, where it takes none. Told by the
 * accepting threads and by the one that closes.
 */
final class AcceptLimit {
    private int most;
    private int held;

    /**
     * @param places descriptors; with none nobody comes in
     */
    synchronized void allow(int places) {
        most = places;
        notifyAll();
    }

    /**
     * Takes the place of a connection to be accepted; false where none came free within so many
     * milliseconds.
     */
    synchronized boolean enter(long millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        for (long left = millis;
                held >= most && left > 0;
                left = (end - System.nanoTime() + 999_999) / 1_000_000) {
            wait(left);
        }
        if (held >= most) {
            return false;
        }
        held++;
        return true;
    }

    /** So many places are free again. */
    synchronized void leave(int places) {
        held -= places;
        notifyAll();
    }

    synchronized int held() {
        return held;
    }
}
