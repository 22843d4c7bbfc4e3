import java.io.ByteArrayOutputStream;
import java.io.Closeable;
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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** What the cases share: the record, ports, settings, the node's process and small wire helpers. */
final class Kit implements Closeable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root;
    final Path temp;
    private final PrintWriter record;
    private final long begun = System.currentTimeMillis();
    private final List<Process> started = new ArrayList<>();

    /** Use: Kit ROOT CASE-FOLDER. */
    Kit(String[] words) throws IOException {
        root = Path.of(words[0]).toAbsolutePath();
        record = new PrintWriter(Files.newBufferedWriter(Path.of(words[1], "record.txt")));
        temp = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        note("trouble=" + (trouble ? 1 : 0));
    }

    synchronized void note(String line) {
        record.printf("%7d ms  %s%n", System.currentTimeMillis() - begun, line);
        record.flush();
    }

    synchronized void say(String line) {
        note(line);
        System.out.println(line);
    }

    @Override
    public void close() {
        for (Process one : started) {
            one.destroyForcibly();
        }
        try (Stream<Path> all = Files.walk(temp)) {
            all.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            // The temporary folder is gone already.
        }
    }

    /** A loopback port that is free now. */
    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    static void daemon(Runnable job) {
        Thread thread = new Thread(job, "stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    // ---- the node ----

    /** The line of this name in the deploy file. */
    String deployed(String name) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(name + " = \"")) {
                int from = line.indexOf('"') + 1;
                int end = from;
                while (line.charAt(end) != '"') {
                    end += line.charAt(end) == '\\' ? 2 : 1;
                }
                return line.substring(from, end).replace("\\\"", "\"").replace("\\\\", "\\");
            }
        }
        throw new IOException("the deploy file has no " + name);
    }

    /** Starts a node by the deploy file's command; further words are put behind that command. */
    Node node(String name, String json, String more) throws IOException {
        Path config = Files.createDirectories(temp.resolve(name)).resolve("config.json");
        Files.writeString(config, json);
        Path log = temp.resolve(name).resolve("log.txt");
        ProcessBuilder shell =
                new ProcessBuilder("/bin/sh", "-c", deployed("run") + more).directory(root.toFile());
        shell.environment().put("RELAY_CONFIG", config.toString());
        shell.environment().put("RELAY_NAME", name);
        shell.environment().put("TMPDIR", Files.createDirectories(temp.resolve("tmp")).toString());
        shell.redirectErrorStream(true).redirectOutput(log.toFile());
        Process process = shell.start();
        started.add(process);
        return new Node(process, config, log);
    }

    /** A node's process. */
    final class Node {
        final Process process;
        final Path config;
        final Path log;

        private Node(Process process, Path config, Path log) {
            this.process = process;
            this.config = config;
            this.log = log;
        }

        void signal(String name) throws IOException, InterruptedException {
            note("signal " + name + " to the node");
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        boolean isAlive() {
            return process.isAlive();
        }

        /** The last lines of its log go into the record. */
        void noteLog(int lines) throws IOException {
            List<String> all = Files.readAllLines(log, StandardCharsets.ISO_8859_1);
            note("the last lines of the node's log:");
            all.subList(Math.max(0, all.size() - lines), all.size()).forEach(l -> note("  | " + l));
        }
    }

    /** A class of requests in the settings. */
    record Service(
            String name, String effect, long aimMs, long giveUpMs, long windowMs, boolean calls) {}

    /** A deployment: its classes, its tenants with their quotas, and what differs in two sections. */
    record Site(
            List<Service> services,
            Map<String, Double> tenants,
            Map<String, String> domain,
            String rules) {
        Service service(String name) {
            return services.stream().filter(one -> one.name().equals(name)).findFirst().orElseThrow();
        }
    }

    /** One node of rueda-uy, with its figures. */
    static Site rueda() {
        return new Site(
                List.of(
                        new Service("fare-quote", "pure", 2700, 9000, 5000, true),
                        new Service("trip-history", "pure", 2700, 9000, 5000, false),
                        new Service("unlock", "token", 1800, 4300, 13020, true)),
                new java.util.TreeMap<>(
                        Map.of("montevideo", 54.0, "canelones", 50.0, "maldonado", 43.0, "salto", 34.0)),
                Map.of(),
                "\"drain_grace_ns\":1800000000,\"fall_multiple\":6.0,\"fall_ns\":2000000000,"
                        + "\"answer_slack_ns\":60000000,\"cold_share\":0.2,\"ramp_time_ns\":18000000000");
    }

    /** One node of prairie-scans, with its figures. */
    static Site prairieScans() {
        return new Site(
                List.of(
                        new Service("tile-view", "pure", 2700, 10000, 5000, true),
                        new Service("label-read", "pure", 2700, 8600, 5000, true),
                        new Service("derivative-build", "pure", 3400, 14000, 5000, true),
                        new Service("accession-commit", "side_effect", 4100, 14000, 5000, true)),
                new java.util.TreeMap<>(
                        Map.of(
                                "aspen-parkland", 22.0, "south-sask", 18.0, "red-river", 16.0,
                                "cypress-hills", 15.0, "qu-appelle", 8.0, "souris-valley", 5.0)),
                Map.of(
                        "below", "\"tier\"", "cpus", "2", "memory_kb", "14000.0",
                        "class_skip_worth", "[0.6,0.6,0.6,0.0]", "stop_mode", "\"freeze\""),
                "\"drain_grace_ns\":2000000000,\"fall_multiple\":5.0,\"fall_ns\":1500000000,"
                        + "\"answer_slack_ns\":100000000,\"cold_share\":0.2,\"ramp_time_ns\":17000000000");
    }

    /** The platform's JSON for one node of a deployment. */
    static String json(
            String name,
            int listen,
            int executor,
            int index,
            int naming,
            long stopMs,
            Site site) {
        Map<String, String> domain = new LinkedHashMap<>();
        domain.put("advert", "\"allowance\"");
        domain.put("below", "\"one_for_all\"");
        domain.put("calls_out", "4.5");
        domain.put("calls_over_ns", "5000000000");
        domain.put("cold", "false");
        domain.put("cpus", "6");
        domain.put("entry_kb", "125.2");
        domain.put("fresh_ns", "0");
        domain.put("gauges", "[\"core_use\",\"on_cores\",\"heap_share\",\"links\"]");
        domain.put("heeded_ns", "1000000000");
        domain.put("keepalive_max_ns", "30000000000");
        domain.put("linger_ns", "200000000");
        domain.put("memory_kb", "49836.0");
        domain.put("passes_deadline", "false");
        domain.put("real_checks", "true");
        domain.put("registry_follows", "false");
        domain.put("run_mem_factor", "8.0");
        domain.put("stop_mode", "\"off\"");
        domain.put("tells_gone", "true");
        domain.put("upstreams", "3");
        StringBuilder calls = new StringBuilder();
        StringBuilder skips = new StringBuilder();
        StringBuilder list = new StringBuilder();
        for (Service one : site.services()) {
            String comma = list.length() > 0 ? "," : "";
            calls.append(comma).append(one.calls());
            skips.append(comma).append("0.0");
            list.append(comma)
                    .append("{\"name\":\"" + one.name() + "\",\"effect\":\"" + one.effect() + "\"")
                    .append(",\"aim_ns\":" + one.aimMs() + "000000")
                    .append(",\"give_up_ns\":" + one.giveUpMs() + "000000")
                    .append(",\"window_ns\":" + one.windowMs() + "000000")
                    .append(",\"late_value\":0.2")
                    .append(",\"worth\":" + (one.effect().equals("pure") ? "1.0" : "3.0") + "}");
        }
        domain.put("class_calls", "[" + calls + "]");
        domain.put("class_skip_worth", "[" + skips + "]");
        domain.putAll(site.domain());
        StringBuilder tenants = new StringBuilder();
        site.tenants()
                .forEach(
                        (tenant, quota) ->
                                tenants.append(tenants.length() > 0 ? "," : "")
                                        .append("{\"name\":\"" + tenant + "\",\"quota_rps\":" + quota)
                                        .append(",\"share\":" + 1.0 / site.tenants().size() + "}"));
        StringBuilder texts = new StringBuilder();
        domain.forEach(
                (key, value) ->
                        texts.append(texts.length() > 0 ? "," : "")
                                .append("\"" + key + "\":" + value));
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + listen + "\""
                + ",\"executor\":\"127.0.0.1:" + executor + "\""
                + ",\"index\":\"127.0.0.1:" + index + "\""
                + ",\"naming\":\"127.0.0.1:" + naming + "\""
                + ",\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":" + stopMs
                + ",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":512}"
                + ",\"settings\":{\"step_ns\":4000000,\"group_size\":10,\"over_share_worth\":0.05"
                + ",\"customers\":[" + tenants + "]"
                + ",\"services\":[" + list + "]"
                + ",\"domain\":{" + texts + "}"
                + ",\"goal\":{\"whole\":0.45,\"worst_class\":0.3,\"worst_tenant\":0.1,\"worst_window\":0.15}"
                + ",\"bounds\":{\"max_retry_after_ns\":1000000000,\"retry_after\":true}"
                + ",\"rules\":{" + site.rules() + "}}}";
    }

    // ---- wires ----

    /** What is said on one connection; it ends when this returns. */
    interface Talk {
        void with(Socket socket, InputStream in, OutputStream out) throws IOException;
    }

    /** A loopback address where a stand-in talks to each who connects. */
    static ServerSocket listen(Talk talk) throws IOException {
        ServerSocket server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 200);
        daemon(
                () -> {
                    while (!server.isClosed()) {
                        try {
                            Socket one = server.accept();
                            one.setTcpNoDelay(true);
                            daemon(
                                    () -> {
                                        try (one) {
                                            talk.with(
                                                    one,
                                                    new java.io.BufferedInputStream(
                                                            one.getInputStream()),
                                                    one.getOutputStream());
                                        } catch (IOException e) {
                                            // The other side went.
                                        }
                                    });
                        } catch (IOException e) {
                            return;
                        }
                    }
                });
        return server;
    }

    /** A line without its CR LF; null at the end. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream(64);
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1);
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return null;
    }

    /** So many bytes and the CR LF behind them. */
    static byte[] body(InputStream in, String length) throws IOException {
        byte[] body = in.readNBytes(Integer.parseInt(length));
        in.readNBytes(2);
        return body;
    }

    /** A line and, if there is one, its body, in one write. */
    static byte[] message(String line, byte[] body) {
        byte[] head = (line + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        if (body == null) {
            return head;
        }
        byte[] all = java.util.Arrays.copyOf(head, head.length + body.length + 2);
        System.arraycopy(body, 0, all, head.length, body.length);
        all[all.length - 2] = '\r';
        all[all.length - 1] = '\n';
        return all;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A RESP array of bulk strings. */
    static byte[] array(byte[]... items) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(bytes("*" + items.length + "\r\n"));
        for (byte[] item : items) {
            out.writeBytes(bytes("$" + item.length + "\r\n"));
            out.writeBytes(item);
            out.writeBytes(bytes("\r\n"));
        }
        return out.toByteArray();
    }

    /** The next RESP array; null at the end. */
    static List<byte[]> array(InputStream in) throws IOException {
        String head = line(in);
        if (head == null || !head.startsWith("*")) {
            return null;
        }
        List<byte[]> items = new ArrayList<>();
        for (int left = Integer.parseInt(head.substring(1)); left > 0; left--) {
            String length = line(in);
            if (length == null) {
                return null;
            }
            items.add(body(in, length.substring(1)));
        }
        return items;
    }

    /** A registry that takes each report. */
    static ServerSocket registry() throws IOException {
        return listen(
                (socket, in, out) -> {
                    for (String line = line(in); line != null; line = line(in)) {
                        int length = 0;
                        for (String header = line(in);
                                header != null && !header.isEmpty();
                                header = line(in)) {
                            if (header.toLowerCase().startsWith("content-length:")) {
                                length = Integer.parseInt(header.substring(15).trim());
                            }
                        }
                        in.readNBytes(length);
                        out.write(bytes("HTTP/1.1 204 No Content\r\n\r\n"));
                    }
                });
    }

    /** An index that answers each call well, after some milliseconds. */
    static ServerSocket index(long millis) throws IOException {
        return listen(
                (socket, in, out) -> {
                    for (String line = line(in); line != null; line = line(in)) {
                        String[] words = line.split(" ");
                        if (words[0].equals("GET")) {
                            byte[] question = body(in, words[3]);
                            sleep(millis);
                            out.write(message(words[1] + " HIT " + question.length, question));
                        }
                    }
                });
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
