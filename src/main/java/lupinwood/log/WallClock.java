package lupinwood.log;

import java.time.Instant;
import java.util.function.Supplier;

/**
 * The machine's wall clock, read in one place, so that the laboratory can have a process's clock go
 * wrong.
 */
public final class WallClock {
    private static volatile Supplier<Instant> source = Instant::now;

    private WallClock() {}

    public static Instant now() {
        return source.get();
    }

    /** For the laboratory's launcher only; 'serve' never calls it. */
    public static void readFrom(Supplier<Instant> other) {
        source = other;
    }
}
