package lupinwood.experiment;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Carries out requests: some milliseconds of work, a call in between where the request class makes
 * one, more work, the result. It may be reached at several addresses; a new link replaces the one
 * before, and notices are kept for it.
 */
final class StandInExecutor {
    /** One run. */
    private static final class Run {
        final byte[] body;
        boolean waitsForReply;
        boolean over;

        Run(byte[] body) {
            this.body = body;
        }
    }

    private final long started = System.currentTimeMillis();
    private final ScheduledExecutorService later =
            Executors.newScheduledThreadPool(
                    1,
                    job -> {
                        Thread thread = new Thread(job, "lab executor");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final Map<String, Run> runs = new HashMap<>();
    private final List<byte[]> notices = new ArrayList<>();
    private final List<String> kinds = new ArrayList<>();
    private final long workMillis;
    private final Consumer<String> said;
    private final Audit audit;
    private int onCores;
    private int links;
    private OutputStream link;

    /**
     * @param workMillis how long a run works, each time
     * @param said hears of each run that starts
     */
    StandInExecutor(long workMillis, Audit audit, Consumer<String> said) {
        this.workMillis = workMillis;
        this.audit = audit;
        this.said = said;
    }

    /** What is said on a link. */
    void talk(InputStream in, OutputStream out) throws IOException {
        for (String line = WireFormat.line(in); line != null; line = WireFormat.line(in)) {
            String[] words = line.split(" ", 0);
            switch (words[0]) {
                case "JOIN" -> join(out, Integer.parseInt(words[1]));
                case "METER" -> meter(out, words[1]);
                case "DIAG" -> WireFormat.say(out, "DIAGNOSED " + words[1] + " OK", null);
                case "EXEC" -> run(words[1], words[2], WireFormat.body(in, words[3]));
                case "RETURN" -> {
                    WireFormat.body(in, words[2]);
                    reply(words[1]);
                }
                default -> throw new IOException("the executor knows no " + words[0]);
            }
        }
    }

    private synchronized void join(OutputStream out, int last) throws IOException {
        links++;
        link = out;
        WireFormat.say(out, "WELCOME WARM " + (System.currentTimeMillis() - started), null);
        for (int i = last; i < notices.size(); i++) {
            WireFormat.say(out, kinds.get(i), notices.get(i));
        }
    }

    private synchronized void meter(OutputStream out, String tag) throws IOException {
        WireFormat.say(out, "METERS " + tag + " 0.5 " + onCores + " 0.1 1", null);
    }

    private synchronized void run(String id, String className, byte[] body) {
        if (runs.containsKey(id)) {
            return; // for what runs already nothing happens
        }
        Run run = new Run(body);
        runs.put(id, run);
        audit.ran(id, className, new String(body, StandardCharsets.ISO_8859_1));
        said.accept(id + " of " + className);
        work(
                () -> {
                    if (className.equals("history")) {
                        end(id, run);
                    } else {
                        run.waitsForReply = true;
                        notice("CALLOUT", id + " " + body.length, body);
                    }
                });
    }

    private synchronized void reply(String id) {
        Run run = runs.get(id);
        if (run != null && run.waitsForReply) {
            run.waitsForReply = false;
            work(() -> end(id, run));
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the stand-in ends with its process
    private void work(Runnable then) {
        onCores++;
        later.schedule(
                () -> {
                    synchronized (this) {
                        onCores--;
                        then.run();
                    }
                },
                workMillis,
                TimeUnit.MILLISECONDS);
    }

    private void end(String id, Run run) {
        if (!run.over) {
            run.over = true;
            byte[] result = result(run.body);
            notice("EXIT", id + " OK " + workMillis + " " + result.length, result);
        }
    }

    /** What a run makes of a body. */
    static byte[] result(byte[] body) {
        return ("done: " + new String(body, StandardCharsets.ISO_8859_1))
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private void notice(String kind, String rest, byte[] body) {
        kinds.add(kind + " " + (notices.size() + 1) + " " + rest);
        notices.add(body);
        try {
            WireFormat.say(link, kinds.get(kinds.size() - 1), body);
        } catch (IOException e) {
            // The next link gets it.
        }
    }

    synchronized int links() {
        return links;
    }
}
