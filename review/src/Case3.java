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
 * comes in pieces; runs wait for a disk in between. No effectful request may run twice.
 */
public final class Case3 {
    private static final int SECONDS = Integer.getInteger("seconds", 75);
    private static final long SEED = Long.getLong("seed", 1);
    private static final int PER_SECOND = 120;

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

        /** On which link each request was first run. */
        final Map<String, Integer> firstLink = new HashMap<>();

        /** Run again on a later link, and on the same link. */
        final List<String> laterLink = new ArrayList<>();

        final List<String> sameLink = new ArrayList<>();
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
                if (start == 1) {
                    firstLink.put(id, links);
                } else if (className.equals("order-place")) {
                    (firstLink.get(id) == links ? sameLink : laterLink).add(id);
                }
                work(id, body);
            }
        }

        /** Works, waits for a disk, works: on the cores but for the wait. */
        private void work(String id, byte[] body) {
            double scale = Math.exp(0.4 * random.nextGaussian() - 0.08);
            String className = SENT.get(id).className;
            double work = scale * (className.equals("basket-quote") ? 36 : 15);
            double wait = scale * (className.equals("basket-quote") ? 30 : className.equals("order-place") ? 5 : 13);
            onCores++;
            after(
                    work / 2,
                    () -> {
                        onCores--;
                        after(
                                wait,
                                () -> {
                                    onCores++;
                                    after(work / 2, () -> end(id, body, work + wait));
                                });
                    });
        }

        private void end(String id, byte[] body, double millis) {
            onCores--;
            running.remove(id);
            record.line("run of " + id + " ended");
            byte[] result = Common.ascii("done " + new String(body, StandardCharsets.ISO_8859_1));
            notice("EXIT", id + " OK " + (int) millis + " " + result.length, result);
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

    private static String config(int listen, int executor, int index, int naming) {
        return """
            {"name": "n1", "listen": "127.0.0.1:%d", "executor": "127.0.0.1:%d",
             "index": "127.0.0.1:%d", "naming": "127.0.0.1:%d", "seed": "1d2c3b4a59687706",
             "stop_ms": 4000, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
             "settings": {
              "step_ns": 4000000, "group_size": 1, "over_share_worth": 0.05,
              "customers": [{"name": "forno-etna", "share": 0.6, "quota_rps": 120.0},
                            {"name": "rosticceria-duomo", "share": 0.4, "quota_rps": 80.0}],
              "services": [
               {"name": "menu-view", "effect": "pure", "worth": 1.0, "late_value": 0.2,
                "aim_ns": 3600000000, "give_up_ns": 13000000000, "window_ns": 0},
               {"name": "basket-quote", "effect": "pure", "worth": 2.0, "late_value": 0.2,
                "aim_ns": 6700000000, "give_up_ns": 18000000000, "window_ns": 0},
               {"name": "order-place", "effect": "side_effect", "worth": 4.0, "late_value": 0.2,
                "aim_ns": 3300000000, "give_up_ns": 8900000000, "window_ns": 0}],
              "domain": {"advert": "floor", "below": "tier", "class_calls": [true, true, true],
               "class_skip_worth": [0.3, 0.5, 0.0], "cold": false, "cpus": 6, "entry_kb": 20.0,
               "gauges": ["core_use", "on_cores", "heap_share", "links"], "heeded_ns": 1000000000,
               "keepalive_max_ns": 30000000000, "linger_ns": 200000000, "memory_kb": 400000.0,
               "run_mem_factor": 4.0, "stop_mode": "off", "tells_gone": false, "upstreams": 1},
              "goal": {"whole": 0.4, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.3},
              "bounds": {"max_retry_after_ns": 1000000000, "retry_after": true},
              "rules": {"answer_slack_ns": 80000000, "cold_share": 0.2, "drain_grace_ns": 2000000000,
               "fall_multiple": 5.0, "fall_ns": 1500000000, "ramp_time_ns": 17000000000}}}
            """
                .formatted(listen, executor, index, naming);
    }

    public static void main(String[] args) throws Exception {
        Path folder = Path.of(args[0]).toAbsolutePath();
        Path root = folder.getParent().getParent();
        Path temporary = Files.createTempDirectory("case3-");
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
        int indexPort = Common.freePort(); // no run makes a call
        Executor executor = new Executor();
        Common.serve(executorPort, executor::talk);
        Common.nameService(namingPort);
        Path file = temporary.resolve("config.json");
        Files.writeString(file, config(listen, executorPort, indexPort, namingPort));
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
                    nextBreak = System.nanoTime() + 1_000_000_000L + random.nextInt(500_000_000);
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
                int share = random.nextInt(100);
                String className = share < 10 ? "menu-view" : share < 50 ? "basket-quote" : "order-place";
                byte[] body = Common.ascii(className + " of " + id);
                String fields =
                        "req=" + id + ",ts=" + System.currentTimeMillis() + ",via=1,owner=" + (random.nextBoolean() ? "forno-etna" : "rosticceria-duomo") + ",need=24.5,level=0.5000";
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
        synchronized (executor) {
            String summary =
                    "sent " + SENT.size() + ", answers " + words + ", unanswered "
                            + SENT.values().stream().filter(sent -> !sent.over).count()
                            + ", links " + executor.links + ", order-place run again on a later link "
                            + executor.laterLink + ", on the same link " + executor.sameLink;
            record.line(summary);
            System.out.println(summary);
        }
        if (words.getOrDefault("ACK", 0) < SENT.size() / 2) {
            System.err.println("too few were served for a case");
            return 2;
        }
        return executor.laterLink.isEmpty() && executor.sameLink.isEmpty() ? 0 : 1;
    }
}
