package lupinwood.experiment;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/**
 * Links between numbered parties that lose, delay, repeat and reorder, and can be cut each way by
 * itself.
 */
final class SimulatedNetwork {
    private final SimulatedTime time;
    private final Random random;
    private final Set<Long> cut = new HashSet<>();

    /** The share of messages lost, and of those that come twice. */
    double loss;

    double repeats;

    /** Seconds, at the least and on top at the most; one in a hundred takes ten times as long. */
    double least = 0.0005;

    double more = 0.003;
    private long messages;

    SimulatedNetwork(SimulatedTime time, Random random) {
        this.time = time;
        this.random = random;
    }

    private static long pair(int from, int to) {
        return (long) from << 32 | to;
    }

    void cut(int from, int to) {
        cut.add(pair(from, to));
    }

    void mend(int from, int to) {
        cut.remove(pair(from, to));
    }

    void mendAll() {
        cut.clear();
    }

    boolean isCut(int from, int to) {
        return cut.contains(pair(from, to));
    }

    /** A message that arrives by doing its job, once, twice or never. */
    void send(int from, int to, Runnable arrives) {
        messages++;
        if (isCut(from, to) || random.nextDouble() < loss) {
            return;
        }
        for (int copies = random.nextDouble() < repeats ? 2 : 1; copies > 0; copies--) {
            double takes = least + more * random.nextDouble() * (random.nextInt(100) == 0 ? 10 : 1);
            time.after(
                    takes,
                    () -> {
                        if (!isCut(from, to)) {
                            arrives.run();
                        }
                    });
        }
    }

    long messages() {
        return messages;
    }
}
