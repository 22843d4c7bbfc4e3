package lupinwood.net;

/**
 * How many accepted connections may hold descriptors at once. Each counts from before it is
 * accepted until the system has its descriptor back, whatever the event loop thread knows of it by
 * then: what can't be held yet waits in the system's queue, where it takes none. Told by the
 * accepting threads and by the one that closes.
 */
final class AcceptLimit {
    private int most;
    private int openCount;

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
                openCount >= most && left > 0;
                left = (end - System.nanoTime() + 999_999) / 1_000_000) {
            wait(left);
        }
        if (openCount >= most) {
            return false;
        }
        openCount++;
        return true;
    }

    /** So many places are free again. */
    synchronized void leave(int places) {
        openCount -= places;
        notifyAll();
    }

    synchronized int openCount() {
        return openCount;
    }
}
