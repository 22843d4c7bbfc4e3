import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two servers carry out requests; one goes down for a while, and the other then has somewhat more to
 * do than it can. The node must not end.
 */
public final class Case3 {
    private static final int SECONDS = Integer.getInteger("seconds", 55);
    private static final long SEED = Long.getLong("seed", 1);
    private static final int PER_SECOND = Integer.getInteger("rate", 570);

    /** What one server does at once, and for how long. */
    private static final int PLACES = 24;

    private static final double WORK_MILLIS = 50;
    /** At most 2 KiB by the protocol page. */
    private static final int BODY_BYTES = 1800;

    private static final int DOWN_AFTER = 15;
    private static final int DOWN_FOR = Integer.getInteger("downfor", 24);

    private static Common.Record record;

    /** Nothing runs there: all classes are carried out by servers. It says WELCOME and its gauges. */
    private static void executor(Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (String line = Common.line(in); line != null; line = Common.line(in)) {
            String[] words = line.split(" ");
            String reply =
                    switch (words[0]) {
                        case "JOIN" -> "WELCOME WARM 60000";
                        case "METER" -> "METERS " + words[1] + " 0.1 0 0.1 4";
                        case "DIAG" -> "DIAGNOSED " + words[1] + " OK";
                        default -> "BAD " + words[0] + " -";
                    };
            socket.getOutputStream().write(Common.ascii(reply + "\r\n"));
        }
    }

    private static String config(int listen, int executor, int naming, int first, int second) {
        return """
            name n1
            listen "127.0.0.1:%d"
            executor "127.0.0.1:%d"
            naming "127.0.0.1:%d"
            seed "1d2c3b4a59687706"
            stop 4s
            step 5ms
            limits { cores 1; memory 192MB; descriptors 512 }
            machine { cores 24; memory 400MB; below nothing; linger 200ms
                gauges core_use on_cores heap_share links; idle-connections 30s }
            goal { whole 65%%; worst-track 25%%; worst-window 10%% }
            bounced { come-back-after-most 1s; tells-when #true }
            rules { drain-grace 2.2s; crowd 4; crowd-over 1.8s }
            track seam.preview { effect pure; agreed-time 8s; abandon-time 25s }
            track seam.model { effect pure; credit 4; agreed-time 20s; abandon-time 60s }
            track blast-permit { effect receipted; credit 6; agreed-time 9s; abandon-time 30s; window 45s }
            server dock-1 { address "127.0.0.1:%d"; tracks seam.preview seam.model blast-permit }
            server dock-2 { address "127.0.0.1:%d"; tracks seam.preview seam.model blast-permit }
            """
                .formatted(listen, executor, naming, first, second);
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
        int first = Common.freePort();
        int second = Common.freePort();
        Common.serve(executorPort, Case3::executor);
        Common.nameService(namingPort);
        AtomicInteger ran = new AtomicInteger();
        server("dock-1", first, ran);
        AjpServer dock2 = server("dock-2", second, ran);
        Path file = temporary.resolve("node.kdl");
        Files.writeString(file, config(listen, executorPort, namingPort, first, second));
        Random random = new Random(SEED);
        Map<String, Integer> words = new ConcurrentHashMap<>();
        boolean died;
        String log;
        try (Common.Node node = new Common.Node(root, temporary, "n1", "127.0.0.1:" + listen, file)) {
            if (!Common.awaitGreen(listen, node, 30)) {
                System.err.println("the node is not ready");
                System.err.println(Files.readString(node.log));
                return 2;
            }
            List<Common.Dispatcher> dispatchers = new ArrayList<>();
            long start = System.nanoTime();
            boolean down = false;
            boolean back = false;
            for (long i = 0; i < (long) SECONDS * PER_SECOND && node.process.isAlive(); i++) {
                long due = start + i * 1_000_000_000L / PER_SECOND;
                TimeUnit.NANOSECONDS.sleep(Math.max(0, due - System.nanoTime()));
                double at = (System.nanoTime() - start) / 1e9;
                if (Common.TROUBLE && !down && at > DOWN_AFTER) {
                    dock2.close();
                    record.line("dock-2 is down");
                    down = true;
                }
                if (down && !back && at > DOWN_AFTER + DOWN_FOR) {
                    server("dock-2", second, ran);
                    record.line("dock-2 is back");
                    back = true;
                }
                try {
                    Common.Dispatcher dispatcher =
                            dispatchers.stream().filter(Common.Dispatcher::isFree).findFirst().orElse(null);
                    if (dispatcher == null) {
                        dispatcher =
                                new Common.Dispatcher(
                                        listen,
                                        (id, word, fields, body) -> {
                                            record.line("answer " + id + " " + word + " " + fields);
                                            words.merge(word, 1, Integer::sum);
                                        });
                        dispatchers.add(dispatcher);
                    }
                    String id = String.format("%016x", random.nextLong());
                    int share = random.nextInt(10);
                    String className = share < 5 ? "seam.preview" : share < 8 ? "seam.model" : "blast-permit";
                    record.line("sent " + id + " " + className);
                    dispatcher.send(
                            id,
                            className,
                            "req=" + id + ",ts=" + System.currentTimeMillis()
                                    + ",via=1,need=24.5,level=0.5000"
                                    + (share < 8
                                            ? ",subject=" + id
                                            : String.format(",opkey=%016x%016x", random.nextLong(), random.nextLong())),
                            Common.ascii(String.format("%-" + BODY_BYTES + "s", className + " " + id)));
                } catch (IOException e) {
                    record.line("sending failed: " + e.getMessage());
                }
            }
            Thread.sleep(node.process.isAlive() ? 3000 : 0);
            died = !node.process.isAlive();
            if (died) {
                String said = "the node's process ended with status " + node.process.exitValue();
                record.line(said);
                System.out.println(said);
            }
            log = Files.readString(node.log);
        }
        record.line("the end of the node's log:\n" + log.substring(Math.max(0, log.length() - 3000)));
        if (Boolean.getBoolean("log")) {
            System.out.println(log);
        }
        String summary = "answers " + words + ", runs at the servers " + ran + ", the node ended by itself: " + died;
        record.line(summary);
        System.out.println(summary);
        if (!died && words.getOrDefault("ACK", 0) < 1000) {
            System.err.println("too few were served for a case");
            return 2;
        }
        return died ? 1 : 0;
    }

    private static AjpServer server(String name, int port, AtomicInteger ran) throws IOException {
        return new AjpServer(
                port,
                PLACES,
                (uri, body) -> {
                    ran.incrementAndGet();
                    record.line(name + " runs " + body.trim());
                    return WORK_MILLIS;
                });
    }
}
