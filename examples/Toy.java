import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Toy stand-ins for all that a node talks to, on the loopback addresses of config.json and on those of
 * moved.json, and a dispatcher that sends one ticket for each line on standard input: TRACK BODY. Tickets of the
 * track unlock with the same body are tries of one.
 */
final class Toy {
    private static final int EXECUTOR = 4400;
    private static final int INDEX = 8900;
    private static final int NAMING = 8500;
    private static final int NODE = 5050;
    private static final int MOVED = 10;
    private static final long WORK_MS = 150;
    private static final long CALL_MS = 50;

    private final long started = System.currentTimeMillis();
    private final ScheduledExecutorService later = Executors.newScheduledThreadPool(1, Toy::daemon);
    private final Map<String, String> tracks = new ConcurrentHashMap<>();
    private final Map<String, byte[]> bodies = new ConcurrentHashMap<>();
    private final List<byte[]> notices = new ArrayList<>();
    /** Where notices go; a new link replaces the one before. */
    private OutputStream link;

    public static void main(String[] args) throws Exception {
        Toy toy = new Toy();
        for (int more = 0; more <= MOVED; more += MOVED) {
            toy.stand(EXECUTOR + more, toy::execute);
            toy.stand(INDEX + more, toy::index);
            toy.stand(NAMING + more, toy::naming);
        }
        toy.dispatch();
    }

    private interface Talk {
        void with(InputStream in, OutputStream out) throws IOException;
    }

    private static Thread daemon(Runnable job) {
        Thread thread = new Thread(job);
        thread.setDaemon(true);
        return thread;
    }

    private void stand(int port, Talk talk) throws IOException {
        ServerSocket socket = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        daemon(() -> {
            while (true) {
                try {
                    Socket one = socket.accept();
                    daemon(() -> {
                        try (one) {
                            talk.with(new BufferedInputStream(one.getInputStream()), one.getOutputStream());
                        } catch (IOException e) {
                            System.out.println("port " + port + ": " + e.getMessage());
                        }
                    }).start();
                } catch (IOException e) {
                    System.out.println("port " + port + " no longer stands: " + e.getMessage());
                    return;
                }
            }
        }).start();
    }

    // ---- the executor: each run takes a while, and calls once unless its track is history ----

    private void execute(InputStream in, OutputStream out) throws IOException {
        for (String line = line(in); line != null; line = line(in)) {
            String[] words = line.split(" ");
            switch (words[0]) {
                case "JOIN" -> join(out, Integer.parseInt(words[1]));
                case "METER" -> say(out, "METERS " + words[1] + " 0.5 " + tracks.size() + " 0.1 1\r\n");
                case "DIAG" -> say(out, "DIAGNOSED " + words[1] + " OK\r\n");
                case "EXEC" -> {
                    bodies.put(words[1], body(in, words[3]));
                    tracks.put(words[1], words[2]);
                    System.out.println("executor: runs " + words[1] + " of " + words[2]);
                    after(WORK_MS, () -> workDone(words[1]));
                }
                case "RETURN" -> {
                    bodies.put(words[1], body(in, words[2]));
                    after(WORK_MS, () -> end(words[1]));
                }
                default -> throw new IOException("the executor knows no " + words[0]);
            }
        }
    }

    private synchronized void join(OutputStream out, int last) throws IOException {
        System.out.println("executor: a link that has read " + last + " of " + notices.size() + " notices");
        link = out;
        say(out, "WELCOME WARM " + (System.currentTimeMillis() - started) + "\r\n");
        for (byte[] notice : notices.subList(last, notices.size())) {
            say(out, "", notice);
        }
    }

    private synchronized void notice(String kind, String rest, byte[] body) throws IOException {
        byte[] head = (kind + " " + (notices.size() + 1) + " " + rest + " " + body.length + "\r\n")
                .getBytes(StandardCharsets.UTF_8);
        byte[] whole = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, whole, head.length, body.length);
        notices.add(whole);
        say(link, "", whole);
    }

    private void workDone(String id) throws IOException {
        if ("history".equals(tracks.get(id))) {
            end(id);
        } else {
            byte[] question = bodies.get(id);
            notice("CALLOUT", id, question);
        }
    }

    private void end(String id) throws IOException {
        tracks.remove(id);
        byte[] result = ("done: " + text(bodies.remove(id))).getBytes(StandardCharsets.UTF_8);
        notice("EXIT", id + " OK " + WORK_MS, result);
    }

    // ---- the index: hears a question, answers it after a while ----

    private void index(InputStream in, OutputStream out) throws IOException {
        for (String line = line(in); line != null; line = line(in)) {
            String[] words = line.split(" ");
            if (words[0].equals("GET")) {
                byte[] reply = ("[" + text(body(in, words[3])) + "]").getBytes(StandardCharsets.UTF_8);
                after(CALL_MS, () -> say(out, words[1] + " HIT " + reply.length + "\r\n", reply));
            }
        }
    }

    // ---- the name service: takes each report ----

    private void naming(InputStream in, OutputStream out) throws IOException {
        for (String line = line(in); line != null; line = line(in)) {
            int length = 0;
            for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
                if (header.startsWith("Content-Length: ")) {
                    length = Integer.parseInt(header.substring(16));
                }
            }
            in.readNBytes(length);
            say(out, "HTTP/1.1 204 No Content\r\n\r\n");
        }
    }

    // ---- the dispatcher ----

    private void dispatch() throws Exception {
        Socket node = connect();
        InputStream in = new BufferedInputStream(node.getInputStream());
        OutputStream out = node.getOutputStream();
        BufferedReader lines = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        Map<String, String> sent = new HashMap<>();
        Thread answers = daemon(() -> {
            try {
                for (List<String> answer = array(in); answer != null; answer = array(in)) {
                    synchronized (sent) {
                        String line = sent.remove(answer.get(0));
                        System.out.println("node: " + String.join(" ", answer) + "   <- " + line);
                        sent.notifyAll();
                    }
                }
                System.out.println("the node closed the connection");
            } catch (IOException e) {
                System.out.println("the connection to the node broke: " + e.getMessage());
            }
        });
        answers.start();
        say(out, array("HEALTH", "1000000")); // who connects and says nothing for long is closed
        int tag = 0;
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            int space = line.indexOf(' ');
            String track = space < 0 ? line : line.substring(0, space);
            String body = space < 0 ? "" : line.substring(space + 1);
            long now = System.currentTimeMillis();
            String hash = HexFormat.of().toHexDigits(body.hashCode());
            String mark = track.equals("unlock") ? ",opkey=" + hash : "";
            String fields = "req=" + HexFormat.of().toHexDigits(now << 16 | ++tag) + ",ts=" + now
                    + ",via=1,owner=north,need=24.5,level=0.5" + mark;
            synchronized (sent) {
                sent.put("" + tag, line);
            }
            say(out, array("REQ", "" + tag, track, fields, body));
        }
        synchronized (sent) {
            while (!sent.isEmpty() && answers.isAlive()) {
                sent.wait(1000);
            }
        }
    }

    /** The node may still be starting. */
    private static Socket connect() throws InterruptedException, IOException {
        for (int tries = 0; ; tries++) {
            try {
                Socket node = new Socket(InetAddress.getLoopbackAddress(), NODE);
                Thread.sleep(500); // time for its link to the executor
                return node;
            } catch (IOException e) {
                if (tries == 50) {
                    throw e;
                }
                Thread.sleep(200);
            }
        }
    }

    // ---- bytes ----

    private interface Job {
        void run() throws IOException;
    }

    private void after(long millis, Job job) {
        later.schedule(() -> {
            try {
                job.run();
            } catch (IOException e) {
                System.out.println("nobody reads: " + e.getMessage());
            }
        }, millis, TimeUnit.MILLISECONDS);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static void say(OutputStream out, String text) throws IOException {
        synchronized (out) {
            out.write(text.getBytes(StandardCharsets.UTF_8));
        }
    }

    private static void say(OutputStream out, String line, byte[] body) throws IOException {
        say(out, line + text(body) + "\r\n");
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return line.toString().strip();
            }
            line.append((char) b);
        }
        return null;
    }

    private static byte[] body(InputStream in, String length) throws IOException {
        byte[] body = in.readNBytes(Integer.parseInt(length));
        in.readNBytes(2);
        return body;
    }

    private static String array(String... words) {
        StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            int length = word.getBytes(StandardCharsets.UTF_8).length;
            text.append('$').append(length).append("\r\n").append(word).append("\r\n");
        }
        return text.toString();
    }

    private static List<String> array(InputStream in) throws IOException {
        String head = line(in);
        if (head == null) {
            return null;
        }
        List<String> words = new ArrayList<>();
        for (int left = Integer.parseInt(head.substring(1)); left > 0; left--) {
            words.add(text(body(in, line(in).substring(1))));
        }
        return words;
    }
}
