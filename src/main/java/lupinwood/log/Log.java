package lupinwood.log;

import java.io.PrintStream;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Lines to one stream, written by a thread of its own: who logs never waits for who reads. A flood is cut to so many
 * lines a second, and the log says how many were left out.
 */
public final class Log {
    private static final int WAITING = 1024;
    private static final int LINES_A_SECOND = 50;
    private static final int MOST_CHARS = 400;

    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(WAITING);
    private final PrintStream out;
    private final Supplier<Instant> clock;
    private long second;
    private int thisSecond;
    private long leftOut;

    public Log(PrintStream out, Supplier<Instant> clock) {
        this.out = out;
        this.clock = clock;
    }

    /** The log of this process, on standard error, with its writer. */
    public static Log start() {
        Log log = new Log(System.err, Instant::now);
        Thread writer = new Thread(log::write, "log");
        writer.setDaemon(true);
        writer.start();
        return log;
    }

    public synchronized void line(String text) {
        Instant now = clock.get();
        if (now.getEpochSecond() != second) {
            second = now.getEpochSecond();
            thisSecond = 0;
            if (leftOut > 0 && lines.offer(now + " " + leftOut + " lines left out")) {
                leftOut = 0;
            }
        }
        String cut = text.length() > MOST_CHARS ? text.substring(0, MOST_CHARS) + "..." : text;
        if (++thisSecond > LINES_A_SECOND || !lines.offer(now + " " + cut.replace('\n', ' ').replace('\r', ' '))) {
            leftOut++;
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
