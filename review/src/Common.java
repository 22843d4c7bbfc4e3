import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** What the cases share: the record, processes by the deploy file's command, and small servers on loopback. */
final class Common {
    private Common() {}

    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    /** The record of one play; each line has the milliseconds since its start. */
    static final class Record implements Closeable {
        private final PrintWriter out;
        private final long start = System.nanoTime();

        Record(Path file) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(file));
        }

        synchronized void line(String text) {
            out.printf("%9.1f %s%n", (System.nanoTime() - start) / 1e6, text);
        }

        @Override
        public synchronized void close() {
            out.close();
        }
    }

    /** The text between the quotes of an entry of deploy/balancer.toml. */
    static String deployCommand(Path root, String entry) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(entry + " = \"")) {
                int from = line.indexOf('"') + 1;
                return line.substring(from, line.indexOf('"', from));
            }
        }
        throw new IOException("deploy/balancer.toml has no " + entry);
    }

    /** One node, started by the deploy file's run command from the root, its log in a file. */
    static final class Node implements Closeable {
        final Process process;
        final Path log;

        Node(Path root, Path folder, String name, String listen, Path config) throws IOException {
            Path temporary = Files.createDirectories(folder.resolve("tmp-" + name));
            log = folder.resolve(name + ".log");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployCommand(root, "run"));
            builder.directory(root.toFile());
            builder.environment().put("RELAY_NAME", name);
            builder.environment().put("RELAY_LISTEN", listen);
            builder.environment().put("RELAY_CONFIG", config.toString());
            builder.environment().put("TMPDIR", temporary.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            // also where the play is ended from outside
            Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        }

        long pid() {
            return process.pid();
        }

        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(pid())).start().waitFor();
        }

        @Override
        public void close() {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    interface Talk {
        void on(Socket socket) throws Exception;
    }

    /** Accepts connections on a port of its own, each on a thread of its own. */
    static ServerSocket serve(int port, Talk talk) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(LOOPBACK, port), 256);
        daemon(
                () -> {
                    while (!server.isClosed()) {
                        Socket socket = server.accept();
                        socket.setTcpNoDelay(true);
                        daemon(
                                () -> {
                                    try (socket) {
                                        talk.on(socket);
                                    }
                                });
                    }
                });
        return server;
    }

    interface Job {
        void run() throws Exception;
    }

    static Thread daemon(Job job) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                job.run();
                            } catch (IOException | InterruptedException e) {
                                // the connection or the play is over
                            } catch (Exception e) {
                                e.printStackTrace();
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
        return null;
    }

    static byte[] bytes(InputStream in, int length) throws IOException {
        byte[] read = in.readNBytes(length);
        if (read.length < length) {
            throw new EOFException();
        }
        return read;
    }

    /** A body and the CR LF behind it. */
    static byte[] body(InputStream in, int length) throws IOException {
        byte[] body = bytes(in, length);
        bytes(in, 2);
        return body;
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** The name service: takes every report with 204. */
    static ServerSocket nameService(int port) throws IOException {
        return serve(
                port,
                socket -> {
                    InputStream in = new BufferedInputStream(socket.getInputStream());
                    while (true) {
                        String request = line(in);
                        if (request == null) {
                            return;
                        }
                        int length = 0;
                        for (String head = line(in); head != null && !head.isEmpty(); head = line(in)) {
                            if (head.toLowerCase().startsWith("content-length:")) {
                                length = Integer.parseInt(head.substring(15).trim());
                            }
                        }
                        bytes(in, length);
                        socket.getOutputStream().write(ascii("HTTP/1.1 204 No Content\r\n\r\n"));
                    }
                });
    }

    /** RESP: one array of bulk strings. */
    static byte[] array(byte[]... items) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(ascii("*" + items.length + "\r\n"));
        for (byte[] item : items) {
            out.write(ascii("$" + item.length + "\r\n"));
            out.write(item);
            out.write(ascii("\r\n"));
        }
        return out.toByteArray();
    }

    static List<byte[]> readArray(InputStream in) throws IOException {
        String head = line(in);
        if (head == null) {
            return null;
        }
        List<byte[]> items = new ArrayList<>();
        for (int left = Integer.parseInt(head.substring(1)); left > 0; left--) {
            String length = line(in);
            if (length == null) {
                return null;
            }
            items.add(body(in, Integer.parseInt(length.substring(1))));
        }
        return items;
    }

    /** A dispatcher's connection: requests under tags, answers to who listens. */
    static final class Dispatcher implements Closeable {
        interface Heard {
            /** The answer's word (GREEN, RED for health checks), fields and body. */
            void answer(String id, String word, String fields, byte[] body);
        }

        private final Socket socket;
        private final Map<Long, String> open = new HashMap<>();
        private long tag;
        private boolean last;
        private boolean ended;

        Dispatcher(int port, Heard heard) throws IOException {
            socket = new Socket();
            socket.connect(new InetSocketAddress(LOOPBACK, port), 2000);
            socket.setTcpNoDelay(true);
            daemon(
                    () -> {
                        try {
                            InputStream in = new BufferedInputStream(socket.getInputStream());
                            for (List<byte[]> items = readArray(in);
                                    items != null;
                                    items = readArray(in)) {
                                long answered = Long.parseLong(text(items.get(0)));
                                if (answered == 0) {
                                    synchronized (this) {
                                        last = true;
                                    }
                                    continue;
                                }
                                String id;
                                synchronized (this) {
                                    id = open.remove(answered);
                                }
                                heard.answer(
                                        id,
                                        text(items.get(1)),
                                        items.size() > 2 ? text(items.get(2)) : "",
                                        items.size() > 3 ? items.get(3) : new byte[0]);
                            }
                        } finally {
                            synchronized (this) {
                                ended = true;
                            }
                        }
                    });
        }

        private static String text(byte[] bytes) {
            return new String(bytes, StandardCharsets.ISO_8859_1);
        }

        /** Whether a new request may be sent on it. */
        synchronized boolean isFree() {
            return !last && !ended && open.size() < 32;
        }

        synchronized void send(String id, String className, String fields, byte[] body)
                throws IOException {
            open.put(++tag, id);
            socket.getOutputStream()
                    .write(
                            array(
                                    ascii("REQ"),
                                    ascii(Long.toString(tag)),
                                    ascii(className),
                                    ascii(fields),
                                    body));
        }

        synchronized void health() throws IOException {
            open.put(++tag, "health");
            socket.getOutputStream().write(array(ascii("HEALTH"), ascii(Long.toString(tag))));
        }

        /** The requests without an answer. */
        synchronized List<String> open() {
            return new ArrayList<>(open.values());
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Waits until a health check on a connection of its own hears GREEN; false after so long. */
    static boolean awaitGreen(int port, Node node, double seconds) throws Exception {
        long end = System.nanoTime() + (long) (seconds * 1e9);
        while (System.nanoTime() < end && node.process.isAlive()) {
            boolean[] green = new boolean[1];
            try (Dispatcher check =
                    new Dispatcher(
                            port, (id, word, fields, body) -> green[0] = word.equals("GREEN"))) {
                check.health();
                Thread.sleep(100);
                if (green[0]) {
                    return true;
                }
            } catch (IOException e) {
                Thread.sleep(100);
            }
        }
        return false;
    }

    static void deleteAll(Path folder) throws IOException {
        if (Files.exists(folder)) {
            try (Stream<Path> all = Files.walk(folder)) {
                for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.deleteIfExists(path);
                }
            }
        }
    }
}
