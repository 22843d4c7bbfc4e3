package lupinwood.fleet;

import lupinwood.node.Span;

/**
 * What a fleet goes by.
 *
 * @param lease how long a duty is held without a word from the council
 * @param drift how far apart two nodes' clocks may run, as a share; both sides reckon with it
 * @param beat how long between two words of a node that holds nothing
 * @param beatHolding the same of one that holds a duty
 * @param silent without a word for so long a node is unknown
 * @param shunned a node that failed at a duty doesn't get it again for so long, the first time;
 *     twice as long each time
 * @param shunnedMost and no longer than this
 * @param mostMembers the book holds no more; a further node serves on and stands outside
 */
public record Rules(
        Span lease,
        double drift,
        Span beat,
        Span beatHolding,
        Span silent,
        Span shunned,
        Span shunnedMost,
        int mostMembers) {
    private static final double MOST_DRIFT = 0.2;

    public Rules {
        if (!lease.isPositive() || drift < 0 || drift > MOST_DRIFT) {
            throw new IllegalArgumentException("a lease of " + lease + " with a drift of " + drift);
        }
    }

    /** All else follows from the lease. */
    public static Rules of(Span lease, double drift) {
        return new Rules(
                lease,
                drift,
                lease.times(1.0 / 3),
                lease.times(1.0 / 6),
                lease.times(1.2),
                lease.times(2),
                lease.times(40),
                4096);
    }

    /** What a holder may count on, from before it asked, on a clock that may run slow. */
    public Span heldFor() {
        return lease.times(1 - drift);
    }

    /** When the council may count on the holder having stopped, on a clock that may run fast. */
    public Span lapsesAfter() {
        return lease.times(1 + drift);
    }
}
