package lupinwood.net;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import lupinwood.admission.AdmissionController;
import lupinwood.log.Log;
import lupinwood.processing.RequestProcessor;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/** A node on loopback sockets; the test plays all others by hand. */
abstract class SocketTest {
    static final int RESPONSE_TIMEOUT_MS = 20_000;
    static final String SETTINGS =
            """
            {"domain": {"cpus": 2, "memory_kb": 100000.0, "run_mem_factor": 4.0, "entry_kb": 1.0,
              "calls_out": 2.0, "below": "one_for_all", "class_calls": [true, true],
              "advert": "allowance", "upstreams": 1,
              "gauges": ["core_use", "on_cores"], "keepalive_max_ns": 30000000000, "linger_ns": 200000000,
              "stop_mode": "off"}, "step_ns": 4000000, "azs": ["a b", "c"],
             "rules": {"fall_multiple": 5.0, "fall_ns": 2000000000, "drain_grace_ns": 2},
             "customers": [{"name": "acme", "quota_rps": 54.0}], "bounds": {"max_retry_after_ns": 1000000000},
             "services": [
              {"name": "look", "effect": "pure", "aim_ns": 3000000000, "give_up_ns": 9000000000,
               "worth": 1.0},
              {"name": "pay", "effect": "token", "aim_ns": 3000000000, "give_up_ns": 9000000000,
               "window_ns": 9000000000, "worth": 3.0}]}""";

    /** One side of a connection, read by lines and lengths. */
    final class End {
        final Socket socket;
        private final InputStream in;

        End(Socket socket) throws IOException {
            this.socket = socket;
            opened.add(socket);
            socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
            in = new BufferedInputStream(socket.getInputStream());
        }

        InputStream in() {
            return in;
        }

        void say(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        String bytes(int count) throws IOException {
            return new String(in.readNBytes(count), StandardCharsets.ISO_8859_1);
        }

        /** The next line, or null at the end. */
        String line() throws IOException {
            StringBuilder line = new StringBuilder();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) {
                    return null;
                }
                line.append((char) b);
            }
            return line.toString().strip();
        }

        /** The next line that isn't about resource usage; those are answered. */
        String command() throws IOException {
            long end = System.nanoTime() + RESPONSE_TIMEOUT_MS * 1_000_000L;
            String line = line();
            while (line != null && line.startsWith("METER ") && System.nanoTime() < end) {
                say("METERS " + line.substring(6) + " 0.5 1\r\n");
                line = line();
            }
            return line;
        }

        /** The next answer's words; the available capacity, which changes, is left out. */
        String answer() throws IOException {
            String head = line();
            if (head == null) {
                return null;
            }
            List<String> words = new ArrayList<>();
            for (int left = Integer.parseInt(head.substring(1)); left > 0; left--) {
                int length = Integer.parseInt(line().substring(1));
                words.add(bytes(length));
                bytes(2);
            }
            return String.join(" ", words).replaceAll("signal=[0-9.]+", "+");
        }

        /**
         * Whether the other side ended it, and said nothing before but the wish that this one does.
         */
        boolean isOverOnceRequested() {
            try {
                String last = answer();
                return last == null || (last.equals("0 FIN") && isOver());
            } catch (SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true;
            }
        }

        /** Whether the other side ended it. */
        boolean isOver() {
            try {
                return in.read() < 0;
            } catch (SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true;
            }
        }
    }

    final class Place implements Closeable {
        final ServerSocket socket;

        Place() throws IOException {
            socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
        }

        End accept() throws IOException {
            return new End(socket.accept());
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    @TempDir Path directory;
    final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    final Log log = new Log(new PrintStream(logged, true), Instant::now);
    final List<Socket> opened = new ArrayList<>();

    /** What keeps threads of the node; the end of the test lets them go. */
    final List<CountDownLatch> blocked = new ArrayList<>();

    Place executorPlace;
    Place dependencyPlace;
    Place registryPlace;
    InetSocketAddress listen;
    NodeServer serving;
    End executor;

    /** How the node's own clock runs, how it decides, and what it is told. */
    private final AtomicLong skipped = new AtomicLong();

    private final long begun = System.nanoTime();

    /** Its time goes on by {@link #skip} alone. */
    boolean standsStill;

    private long steady() {
        return (standsStill ? begun : System.nanoTime()) + skipped.get();
    }

    RequestProcessor.PolicyFactory maker = AdmissionController::new;
    String settings = SETTINGS;
    int stopMs = 15_000;
    boolean withoutDependency;
    String name = "n1";

    void open() throws Exception {
        executorPlace = new Place();
        dependencyPlace = new Place();
        registryPlace = new Place();
        try (Place free = new Place()) {
            listen =
                    new InetSocketAddress(
                            InetAddress.getLoopbackAddress(), free.socket.getLocalPort());
        }
        serving = new NodeServer(config(), maker, log, this::steady);
    }

    void start() throws Exception {
        open();
        serving.start();
        executor = executorPlace.accept();
        assertThat(executor.line()).isEqualTo("JOIN 0");
        executor.say("WELCOME WARM 12\r\n");
    }

    @AfterEach
    void stop() throws Exception {
        blocked.forEach(CountDownLatch::countDown);
        for (Socket socket : opened) {
            socket.close();
        }
        if (serving == null) {
            return;
        }
        Thread leaving = leave();
        while (leaving.isAlive()) {
            skip(0.2); // nobody has to wait for the node's pauses
            leaving.join(2);
        }
        executorPlace.close();
        dependencyPlace.close();
        registryPlace.close();
    }

    void skipOnly(double seconds) {
        skipped.addAndGet((long) (seconds * 1e9));
    }

    /** The node's own clock goes on at once by so much; what is due then is done. */
    void skip(double seconds) {
        skipOnly(seconds);
        serving.eventLoop().tell(() -> {});
    }

    /** The notice to leave, on a thread of its own. */
    Thread leave() {
        Thread leaving =
                new Thread(
                        () -> {
                            try {
                                serving.leave();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        leaving.start();
        return leaving;
    }

    /**
     * Keeps the event loop thread until the latch that is returned is down; it is kept once this
     * returns. The end of the test lets it go in any case.
     */
    CountDownLatch block() throws InterruptedException {
        CountDownLatch go = new CountDownLatch(1);
        CountDownLatch here = new CountDownLatch(1);
        blocked.add(go);
        serving.eventLoop()
                .tell(
                        () -> {
                            here.countDown();
                            try {
                                go.await();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        await(here);
        return go;
    }

    static void await(CountDownLatch latch) {
        try {
            assertThat(latch.await(RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    NodeConfig config() throws Exception {
        return read(text());
    }

    String text() {
        return "{\"name\":\""
                + name
                + "\",\"listen\":\"127.0.0.1:"
                + listen.getPort()
                + "\",\"executor\":\"127.0.0.1:"
                + executorPlace.socket.getLocalPort()
                + (withoutDependency
                        ? ""
                        : "\",\"index\":\"127.0.0.1:" + dependencyPlace.socket.getLocalPort())
                + "\",\"naming\":\"127.0.0.1:"
                + registryPlace.socket.getLocalPort()
                + "\",\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":"
                + stopMs
                + ","
                + "\"limits\":{\"sockets\":256},\"settings\":"
                + settings
                + "}";
    }

    NodeConfig read(String json) throws Exception {
        return NodeConfig.read(Files.writeString(directory.resolve("config.json"), json));
    }

    End upstream() throws Exception {
        End end = new End(new Socket(listen.getAddress(), listen.getPort()));
        for (int tag = 1; ; tag++) {
            end.say(array("HEALTH", "" + tag));
            if (end.answer().equals(tag + " GREEN +")) {
                return end;
            }
            Thread.sleep(5);
        }
    }

    /** Listens, and says of whatever comes that it was heard. */
    static InetSocketAddress hears(Acceptor acceptor) throws IOException {
        acceptor.setHandler(
                new IoHandlerAdapter() {
                    @Override
                    public void messageReceived(IoSession session, Object message) {
                        session.write(IoBuffer.wrap("heard\n".getBytes(StandardCharsets.US_ASCII)));
                    }
                });
        acceptor.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return acceptor.getLocalAddress();
    }

    static String array(String... words) {
        StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        return text.toString();
    }

    static String request(int tag, String className, String body) {
        return request(tag, className, body, className.equals("pay") ? ",opkey=ab12" : "");
    }

    /** With more fields, which count where they are there twice. */
    static String request(int tag, String className, String body, String more) {
        String fields =
                String.format(
                        "req=%016x,ts=%d,via=1,owner=acme,need=20.5,level=0.5%s",
                        tag, System.currentTimeMillis(), more);
        return array("REQ", "" + tag, className, fields, body);
    }

    void exit(int notice, int tag, String result) throws IOException {
        executor.say(
                String.format(
                        "EXIT %d %016x OK 5 %d\r\n%s\r\n", notice, tag, result.length(), result));
    }

    void expectRun(int tag, String className, String body) throws IOException {
        String command = String.format("EXEC %016x %s %d", tag, className, body.length());
        assertThat(executor.command()).isEqualTo(command);
        assertThat(executor.bytes(body.length() + 2)).isEqualTo(body + "\r\n");
    }

    /** An upstream load balancer whose request 101 runs. */
    End callerWithRun() throws Exception {
        End caller = upstream();
        caller.say(request(101, "look", "a"));
        expectRun(101, "look", "a");
        return caller;
    }

    /** The executor says that the run waits for a call. */
    void callOut(int notice, int tag) throws IOException {
        executor.say(String.format("CALLOUT %d %016x 3\r\nask\r\n", notice, tag));
    }

    static void expectCall(End dependency, int tag) throws IOException {
        assertThat(dependency.line()).matches(String.format("GET %016x [0-9]+ 3", tag));
        assertThat(dependency.line()).isEqualTo("ask");
    }

    void expectReply(int tag, String reply) throws IOException {
        assertThat(executor.command())
                .isEqualTo(String.format("RETURN %016x %d", tag, reply.length()));
        assertThat(executor.bytes(reply.length() + 2)).isEqualTo(reply + "\r\n");
    }

    interface Fact {
        boolean holds() throws Exception;
    }

    /** Waits for what others do, for as long as a test may last; what is then still false fails. */
    static void until(Fact fact) throws Exception {
        long end = System.nanoTime() + RESPONSE_TIMEOUT_MS * 1_000_000L;
        while (!fact.holds() && System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        assertThat(fact.holds()).isTrue();
    }

    void untilLogged(String text) throws Exception {
        until(
                () -> {
                    log.drain();
                    return logged.toString(UTF_8).contains(text);
                });
    }
}
