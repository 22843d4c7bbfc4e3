import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A sound executor as the protocol page has it: it runs the requests that dispatchers have sent, each
 * for some milliseconds with a call in between where its class calls, keeps its notices, and answers
 * BAD to a run of a request that no dispatcher sent.
 */
final class Work {
    /** A request that a dispatcher wrote to the node. */
    static final class Sent {
        final String id;
        final String className;
        final byte[] body;
        final String key;
        boolean over;
        boolean running;
        boolean waits;
        int runs;

        Sent(String id, String className, byte[] body, String key) {
            this.id = id;
            this.className = className;
            this.body = body;
            this.key = key;
        }
    }

    private final Kit kit;
    private final Map<String, Long> workMillis;
    private final Map<String, Boolean> calls;
    private final Map<String, Sent> sent = new HashMap<>();
    private final List<byte[]> notices = new ArrayList<>();
    private final ScheduledExecutorService later =
            Executors.newScheduledThreadPool(
                    2,
                    job -> {
                        Thread thread = new Thread(job, "executor");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final long begun = System.currentTimeMillis();
    private final ServerSocket server;
    private OutputStream link;
    private Socket linkSocket;
    private int onCores;
    private int cores = 6;

    /** How many runs began, by key or by id where there is no key. */
    final Map<String, Integer> runs = new HashMap<>();

    int badCommands;

    Work(Kit kit, Map<String, Long> workMillis, Map<String, Boolean> calls) throws IOException {
        this.kit = kit;
        this.workMillis = workMillis;
        this.calls = calls;
        server = Kit.listen(this::talk);
    }

    int port() {
        return server.getLocalPort();
    }

    synchronized void wrote(Sent request) {
        sent.put(request.id, request);
    }

    /** It was answered, or its client has gone. */
    synchronized void over(String id) {
        Sent request = sent.get(id);
        if (request != null) {
            request.over = true;
            if (request.waits) {
                end(request, "STOPPED", null);
            }
        }
    }

    private void talk(Socket socket, InputStream in, OutputStream out) throws IOException {
        for (String line = Kit.line(in); line != null; line = Kit.line(in)) {
            String[] words = line.split(" ");
            switch (words[0]) {
                case "JOIN" -> join(socket, out, Integer.parseInt(words[1]));
                case "METER" -> meter(out, words[1]);
                case "DIAG" -> say(out, Kit.message("DIAGNOSED " + words[1] + " OK", null));
                case "EXEC" -> exec(out, words[1], words[2], Kit.body(in, words[3]));
                case "RETURN" -> reply(words[1], Kit.body(in, words[2]));
                default -> say(
                        out,
                        Kit.message(
                                "BAD " + words[0] + " " + (words.length > 1 ? words[1] : "-"),
                                null));
            }
        }
    }

    private synchronized void say(OutputStream out, byte[] message) throws IOException {
        out.write(message);
    }

    private synchronized void join(Socket socket, OutputStream out, int last) throws IOException {
        link = out;
        linkSocket = socket;
        out.write(
                Kit.message("WELCOME WARM " + (System.currentTimeMillis() - begun), null));
        for (int i = last; i < notices.size(); i++) {
            out.write(notices.get(i));
        }
    }

    private synchronized void meter(OutputStream out, String tag) throws IOException {
        double use = Math.min(1, onCores / (double) cores);
        out.write(Kit.message("METERS " + tag + " " + use + " " + onCores + " 0.2 10", null));
    }

    private synchronized void exec(OutputStream out, String id, String className, byte[] body)
            throws IOException {
        Sent request = sent.get(id);
        if (request == null
                || !request.className.equals(className)
                || !java.util.Arrays.equals(request.body, body)) {
            badCommands++;
            out.write(Kit.message("BAD EXEC " + id, null));
            return;
        }
        if (request.running) {
            return;
        }
        if (request.over) {
            notice("EXIT", id + " MOOT 0", null);
            return;
        }
        request.running = true;
        request.runs++;
        runs.merge(request.key == null ? id : request.key, 1, Integer::sum);
        kit.note("run    " + id + " " + className + (request.key == null ? "" : " key=" + request.key));
        long millis = workMillis.getOrDefault(className, 50L);
        work(
                millis,
                () -> {
                    if (!calls.getOrDefault(className, false)) {
                        end(request, "OK", result(request));
                    } else if (request.over) {
                        end(request, "STOPPED", null);
                    } else {
                        request.waits = true;
                        byte[] question = Kit.bytes("about " + id);
                        notice("CALLOUT", id + " " + question.length, question);
                    }
                });
    }

    static byte[] result(Sent request) {
        return Kit.bytes("done " + request.id);
    }

    private synchronized void reply(String id, byte[] body) {
        Sent request = sent.get(id);
        if (request != null && request.waits) {
            request.waits = false;
            work(5, () -> end(request, "OK", result(request)));
        }
    }

    private void work(long millis, Runnable then) {
        onCores++;
        later.schedule(
                () -> {
                    synchronized (this) {
                        onCores--;
                        then.run();
                    }
                },
                millis,
                TimeUnit.MILLISECONDS);
    }

    private synchronized void end(Sent request, String how, byte[] result) {
        request.running = false;
        request.waits = false;
        request.over = true;
        notice(
                "EXIT",
                request.id + " " + how + " 50" + (result == null ? "" : " " + result.length),
                result);
    }

    private void notice(String kind, String rest, byte[] body) {
        byte[] notice = Kit.message(kind + " " + (notices.size() + 1) + " " + rest, body);
        notices.add(notice);
        try {
            if (link != null) {
                link.write(notice);
            }
        } catch (IOException e) {
            // The next link gets it.
        }
    }
}
