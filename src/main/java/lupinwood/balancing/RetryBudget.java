package lupinwood.balancing;

/**
 * How many tries may be made again: a small share of the first ones, at any size, with a little
 * saved up for quiet times. When all servers fail, repeats stay that share and no storm comes of
 * them.
 */
public final class RetryBudget {
    private final double share;
    private final double most;
    private double saved;
    private long firsts;
    private long repeats;

    /**
     * @param share repeats for each first try, from 0 to 1
     * @param most how many may be saved up
     */
    public RetryBudget(double share, double most) {
        this.share = share;
        this.most = most;
        saved = most;
    }

    /** A request is tried for the first time. */
    public void first() {
        firsts++;
        saved = Math.min(most, saved + share);
    }

    /** Whether one more try may be made again; it is then taken off. */
    public boolean again() {
        if (saved < 1) {
            return false;
        }
        saved--;
        repeats++;
        return true;
    }

    public long firsts() {
        return firsts;
    }

    public long repeats() {
        return repeats;
    }
}
