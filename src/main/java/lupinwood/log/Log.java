package lupinwood.log;

import java.io.PrintStream;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.regex.Pattern;

/**
 * Lines to one stream, written by a thread of its own: who logs never waits for who reads. A flood
 * is cut to so many lines of a kind a second, so that it hides nothing else, and the log says how
 * many were left out.
 */
public final class Log {
    private static final int WAITING = 1024;
    private static final int OF_A_KIND_A_SECOND = 5;
    private static final int KINDS = 40;
    private static final int MOST_CHARS = 400;
    private static final Pattern DIGITS = Pattern.compile("[0-9]+");

    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(WAITING);
    private final PrintStream out;
    private final Supplier<Instant> clock;

    /** How many lines came in this second, by kind. */
    private final Map<String, Integer> came = new TreeMap<>();

    private long second;

    public Log(PrintStream out, Supplier<Instant> clock) {
        this.out = out;
        this.clock = clock;
    }

    /** The log of this process, on standard error, with its writer. */
    public static Log start() {
        Log log = new Log(System.err, WallClock::now);
        Thread writer = new Thread(log::write, "log");
        writer.setDaemon(true);
        writer.start();
        return log;
    }

    public synchronized void line(String text) {
        Instant now = clock.get();
        if (now.getEpochSecond() != second) {
            second = now.getEpochSecond();
            came.forEach(
                    (kind, count) -> {
                        if (count > OF_A_KIND_A_SECOND) {
                            lines.offer(
                                    now
                                            + " left out "
                                            + (count - OF_A_KIND_A_SECOND)
                                            + " lines like: "
                                            + kind);
                        }
                    });
            came.clear();
        }
        String cut =
                (text.length() > MOST_CHARS ? text.substring(0, MOST_CHARS) + "..." : text)
                        .replace('\n', ' ')
                        .replace('\r', ' ');
        String kind = DIGITS.matcher(cut).replaceAll("N");
        boolean known = came.size() < KINDS || came.containsKey(kind);
        if (came.merge(known ? kind : "others", 1, Integer::sum) <= OF_A_KIND_A_SECOND) {
            lines.offer(now + " " + cut);
        }
    }

    public void problem(String what, Throwable cause) {
        StackTraceElement[] trace = cause.getStackTrace();
        line(what + ": " + cause + (trace.length > 0 ? " at " + trace[0] : ""));
    }

    /** Writes what waits now. */
    public void drain() {
        for (String line = lines.poll(); line != null; line = lines.poll()) {
            out.println(line);
        }
        out.flush();
    }

    private void write() {
        try {
            while (true) {
                String line = lines.poll(1, TimeUnit.SECONDS);
                if (line != null) {
                    out.println(line);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
