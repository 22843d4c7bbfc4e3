import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The link to the executor breaks now and then, and what the executor says first on a new link
 * comes in pieces. No keyed request may run twice.
 */
public final class Case1 {
    private static final int SECONDS = Integer.getInteger("seconds", 45);
    private static final long SEED = Long.getLong("seed", 1);
    private static final int PER_SECOND = 60;

    /** Of the first milliseconds of a new link, what the executor says comes in pieces. */
    private static final int PIECES_MILLIS = 120;

    private static final int PIECE_BYTES = 8;
    private static final int PIECE_EVERY_MILLIS = 3;

    /** What the dispatcher sent. */
    private static final class Sent {
        final String className;
        final byte[] body;
        volatile boolean over;

        Sent(String className, byte[] body) {
            this.className = className;
            this.body = body;
        }
    }

    private static final Map<String, Sent> SENT = new ConcurrentHashMap<>();
    private static Common.Record record;

    /** Follows the executor's part of the protocol page. It keeps no results and no keys. */
    private static final class Executor {
        private final ScheduledExecutorService later = Executors.newScheduledThreadPool(1);
        private final Random random = new Random(SEED);
        private final long started = System.nanoTime();
        private final List<byte[]> notices = new ArrayList<>();

        /** The runs that have not ended. */
        private final Set<String> running = new HashSet<>();

        final Map<String, Integer> starts = new HashMap<>();
        private int onCores;
        private Link link;
        private int links;

        private final class Link {
            final Socket socket;
            private final OutputStream out;
            private final ConcurrentLinkedDeque<byte[]> waiting = new ConcurrentLinkedDeque<>();
            private final long since = System.nanoTime();

            Link(Socket socket) throws IOException {
                this.socket = socket;
                out = socket.getOutputStream();
                Common.daemon(this::write);
            }

            void say(byte[] bytes) {
                waiting.add(bytes);
                synchronized (waiting) {
                    waiting.notify();
                }
            }

            private void write() throws Exception {
                while (!socket.isClosed()) {
                    byte[] next;
                    synchronized (waiting) {
                        while ((next = waiting.poll()) == null) {
                            waiting.wait(100);
                            if (socket.isClosed()) {
                                return;
                            }
                        }
                    }
                    int at = 0;
                    while (at < next.length) {
                        boolean pieces =
                                Common.TROUBLE
                                        && links > 1
                                        && System.nanoTime() - since < PIECES_MILLIS * 1_000_000L;
                        int length = pieces ? Math.min(PIECE_BYTES, next.length - at) : next.length - at;
                        out.write(next, at, length);
                        at += length;
                        if (pieces) {
                            Thread.sleep(PIECE_EVERY_MILLIS);
                        }
                    }
                }
            }
        }

        void talk(Socket socket) throws IOException {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Link mine = new Link(socket);
            for (String line = Common.line(in); line != null; line = Common.line(in)) {
                String[] words = line.split(" ");
                byte[] body =
                        words[0].equals("EXEC")
                                ? Common.body(in, Integer.parseInt(words[3]))
                                : null;
                synchronized (this) {
                    if (!words[0].equals("JOIN") && mine != link) {
                        return; // a new link replaced it
                    }
                    switch (words[0]) {
                        case "JOIN" -> {
                            links++;
                            link = mine;
                            record.line("link " + links + " JOIN " + words[1]);
                            mine.say(
                                    Common.ascii(
                                            "WELCOME WARM "
                                                    + (60_000 + (System.nanoTime() - started) / 1_000_000)
                                                    + "\r\n"));
                            for (int i = Integer.parseInt(words[1]); i < notices.size(); i++) {
                                mine.say(notices.get(i));
                            }
                        }
                        case "METER" ->
                                mine.say(
                                        Common.ascii(
                                                "METERS " + words[1] + " 0.5 " + onCores + " 0.1 4\r\n"));
                        case "DIAG" -> mine.say(Common.ascii("DIAGNOSED " + words[1] + " OK\r\n"));
                        case "EXEC" -> exec(words[1], words[2], body);
                        case "KILL" -> {
                            if (running.remove(words[1])) {
                                onCores--;
                                notice("EXIT", words[1] + " STOPPED 0 0", new byte[0]);
                            }
                        }
                        default -> mine.say(Common.ascii("BAD " + words[0] + " -\r\n"));
                    }
                }
            }
        }

        private void exec(String id, String className, byte[] body) {
            Sent sent = SENT.get(id);
            if (sent == null
                    || !sent.className.equals(className)
                    || !java.util.Arrays.equals(sent.body, body)) {
                link.say(Common.ascii("BAD EXEC " + id + "\r\n"));
            } else if (running.contains(id)) {
                record.line("EXEC " + id + " " + className + " (runs already, nothing happens)");
            } else if (sent.over) {
                notice("EXIT", id + " MOOT 0 0", new byte[0]);
            } else {
                int start = starts.merge(id, 1, Integer::sum);
                record.line("EXEC " + id + " " + className + " starts run " + start);
                running.add(id);
                work(id, body);
            }
        }

        /** Work of 15 ms in the mean, 4 ms at the least. */
        private void work(String id, byte[] body) {
            onCores++;
            double millis = 4 + 11 * Math.exp(0.6 * random.nextGaussian() - 0.18);
            after(
                    millis,
                    () -> {
                        if (!running.remove(id)) {
                            return; // stopped
                        }
                        onCores--;
                        record.line("run of " + id + " ended");
                        byte[] result = Common.ascii("done " + new String(body, StandardCharsets.ISO_8859_1));
                        notice("EXIT", id + " OK " + (int) millis + " " + result.length, result);
                    });
        }

        private void after(double millis, Runnable then) {
            later.schedule(
                    () -> {
                        synchronized (this) {
                            then.run();
                        }
                    },
                    (long) (millis * 1000),
                    TimeUnit.MICROSECONDS);
        }

        private void notice(String kind, String rest, byte[] body) {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.writeBytes(Common.ascii(kind + " " + (notices.size() + 1) + " " + rest + "\r\n"));
            bytes.writeBytes(body);
            bytes.writeBytes(Common.ascii("\r\n"));
            notices.add(bytes.toByteArray());
            if (link != null) {
                link.say(bytes.toByteArray());
            }
        }

        /** The link breaks; the runs go on. */
        synchronized void cut() throws IOException {
            if (link != null) {
                record.line("the link breaks");
                link.socket.close();
            }
        }
    }

    private static String config(int listen, int executor, int naming) {
        return """
            {"name": "n1", "listen": "127.0.0.1:%d", "executor": "127.0.0.1:%d",
             "naming": "127.0.0.1:%d", "seed": "1d2c3b4a59687706",
             "stop_ms": 4000, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
             "settings": {
              "step_ns": 2000000, "group_size": 1, "over_share_worth": 0.05,
              "customers": [{"name": "saskatoon-intl", "share": 0.53, "quota_rps": 90.0},
                            {"name": "regina-intl", "share": 0.47, "quota_rps": 80.0}],
              "services": [
               {"name": "lookup", "effect": "pure", "worth": 1.0, "late_value": 0.0,
                "aim_ns": 1100000000, "give_up_ns": 4500000000, "window_ns": 13500000000},
               {"name": "record", "effect": "token", "worth": 2.0, "late_value": 0.0,
                "aim_ns": 1800000000, "give_up_ns": 4500000000, "window_ns": 13500000000}],
              "domain": {"advert": "allowance", "class_calls": [false, false],
               "class_skip_worth": [0.0, 0.0], "cold": false, "cpus": 6, "entry_kb": 20.0,
               "gauges": ["core_use", "on_cores", "heap_share", "links"], "heeded_ns": 1000000000,
               "keepalive_max_ns": 30000000000, "linger_ns": 200000000, "memory_kb": 400000.0,
               "run_mem_factor": 8.0, "stop_mode": "discard", "tells_gone": true, "upstreams": 1},
              "goal": {"whole": 0.5, "worst_class": 0.15, "worst_tenant": 0.3, "worst_window": 0.05},
              "bounds": {"max_retry_after_ns": 1000000000, "retry_after": true},
              "rules": {"answer_slack_ns": 80000000, "cold_share": 0.2, "drain_grace_ns": 2500000000,
               "fall_multiple": 5.0, "fall_ns": 1500000000, "ramp_time_ns": 13000000000}}}
            """
                .formatted(listen, executor, naming);
    }

    public static void main(String[] args) throws Exception {
        Path folder = Path.of(args[0]).toAbsolutePath();
        Path root = folder.getParent().getParent();
        Path temporary = Files.createTempDirectory("case1-");
        int status = 2;
        record = new Common.Record(folder.resolve("record.txt"));
        try {
            status = play(root, temporary);
        } finally {
            record.close();
            Common.deleteAll(temporary);
        }
        System.exit(status);
    }

    private static int play(Path root, Path temporary) throws Exception {
        int listen = Common.freePort();
        int executorPort = Common.freePort();
        int namingPort = Common.freePort();
        Executor executor = new Executor();
        Common.serve(executorPort, executor::talk);
        Common.nameService(namingPort);
        Path file = temporary.resolve("config.json");
        Files.writeString(file, config(listen, executorPort, namingPort));
        Random random = new Random(SEED);
        Map<String, Integer> words = new ConcurrentHashMap<>();
        try (Common.Node node =
                new Common.Node(root, temporary, "n1", "127.0.0.1:" + listen, file)) {
            if (!Common.awaitGreen(listen, node, 30)) {
                System.err.println("the node is not ready");
                System.err.println(Files.readString(node.log));
                return 2;
            }
            Common.Dispatcher dispatcher = null;
            long start = System.nanoTime();
            long nextBreak = start + 3_000_000_000L;
            for (int i = 0; i < SECONDS * PER_SECOND; i++) {
                long due = start + i * 1_000_000_000L / PER_SECOND;
                TimeUnit.NANOSECONDS.sleep(Math.max(0, due - System.nanoTime()));
                if (Common.TROUBLE && System.nanoTime() > nextBreak) {
                    executor.cut();
                    nextBreak = System.nanoTime() + 1_500_000_000L + random.nextInt(1_000_000_000);
                }
                if (dispatcher == null || !dispatcher.isFree()) {
                    dispatcher =
                            new Common.Dispatcher(
                                    listen,
                                    (id, word, fields, body) -> {
                                        SENT.get(id).over = true;
                                        record.line("answer " + id + " " + word);
                                        words.merge(word, 1, Integer::sum);
                                    });
                }
                String id = String.format("%016x", random.nextLong());
                boolean sign = random.nextInt(2) == 0;
                String className = sign ? "record" : "lookup";
                byte[] body = Common.ascii(className + " of " + id);
                String fields =
                        "req=" + id + ",ts=" + System.currentTimeMillis() + ",via=1,owner=" + (random.nextBoolean() ? "saskatoon-intl" : "regina-intl") + ",need=24.5,level=0.5000"
                                + (sign
                                        ? String.format(",opkey=%016x%016x", random.nextLong(), random.nextLong())
                                        : ",subject=" + id);
                SENT.put(id, new Sent(className, body));
                record.line("sent " + id + " " + className);
                dispatcher.send(id, className, fields, body);
            }
            Thread.sleep(3500);
            if (!node.process.isAlive()) {
                System.err.println("the node ended");
                return 2;
            }
        }
        List<String> twice;
        synchronized (executor) {
            twice =
                    executor.starts.entrySet().stream()
                            .filter(run -> run.getValue() > 1)
                            .map(Map.Entry::getKey)
                            .filter(id -> SENT.get(id).className.equals("record"))
                            .toList();
        }
        long unanswered = SENT.values().stream().filter(sent -> !sent.over).count();
        String summary =
                "sent " + SENT.size() + ", answers " + words + ", unanswered " + unanswered
                        + ", links " + executor.links + ", keyed requests run twice " + twice.size() + " " + twice;
        record.line(summary);
        System.out.println(summary);
        if (words.getOrDefault("ACK", 0) < SENT.size() / 2) {
            System.err.println("too few were served for a case");
            return 2;
        }
        return twice.isEmpty() ? 0 : 1;
    }
}
