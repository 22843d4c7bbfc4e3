package lupinwood.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import lupinwood.processing.Completion;
import org.apache.mina.core.session.IoSession;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A node as a process of its own under a real limit of descriptors; the test plays all others by
 * hand.
 */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class DescriptorsIT extends SocketTest {
    /** As the configuration has it. */
    private static final int LIMIT = 256;

    private Process process;
    private final Queue<String> lines = new ConcurrentLinkedQueue<>();

    /** The limit is the system's own, set by the shell that the node's process replaces. */
    private void startUnder(int limit) throws Exception {
        executorPlace = new Place();
        dependencyPlace = new Place();
        registryPlace = new Place();
        try (Place free = new Place()) {
            listen =
                    new InetSocketAddress(free.socket.getInetAddress(), free.socket.getLocalPort());
        }
        // However busy the machine is, it is not the time that turns a request away here.
        settings =
                SETTINGS.replace(
                        "\"aim_ns\": 3000000000, \"give_up_ns\": 9000000000",
                        "\"aim_ns\": 30000000000, \"give_up_ns\": 60000000000");
        Files.writeString(directory.resolve("config.json"), text());
        String path =
                Stream.of(System.getProperty("java.class.path").split(File.pathSeparator))
                        .map(part -> Path.of(part).toAbsolutePath().toString())
                        .collect(Collectors.joining(File.pathSeparator));
        process =
                new ProcessBuilder(
                                "/bin/sh",
                                "-c",
                                "ulimit -n "
                                        + limit
                                        + "; exec '"
                                        + System.getProperty("java.home")
                                        + "/bin/java' -Xshare:auto -Xmx64m -cp '"
                                        + path
                                        + "' lupinwood.cli.Main serve --config config.json")
                        .directory(directory.toFile())
                        .start();
        Thread reader =
                new Thread(
                        () -> {
                            try (BufferedReader log = process.errorReader()) {
                                for (String line = log.readLine();
                                        line != null;
                                        line = log.readLine()) {
                                    lines.add(line);
                                }
                            } catch (IOException e) {
                                // It went.
                            }
                        });
        reader.setDaemon(true);
        reader.start();
        executor = executorPlace.accept();
        assertThat(executor.line()).isEqualTo("JOIN 0");
        executor.say("WELCOME WARM 12\r\n");
    }

    @AfterEach
    void end() throws Exception {
        if (process != null) {
            signal("CONT");
            process.destroyForcibly();
            process.waitFor(20, TimeUnit.SECONDS);
            executorPlace.close();
            dependencyPlace.close();
            registryPlace.close();
        }
    }

    private void signal(String name) throws Exception {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid())
                .start()
                .waitFor();
    }

    private End connect() throws IOException {
        return new End(new Socket(listen.getAddress(), listen.getPort()));
    }

    private boolean isLogged(String text) {
        return lines.stream().anyMatch(line -> line.contains(text));
    }

    /** The most that were seen open at once, from now on. */
    private AtomicInteger mostOpen() {
        AtomicInteger most = new AtomicInteger();
        File open = new File("/proc/" + process.pid() + "/fd");
        Thread looks =
                new Thread(
                        () -> {
                            for (String[] now = open.list(); now != null; now = open.list()) {
                                most.accumulateAndGet(now.length, Math::max);
                            }
                        });
        looks.setDaemon(true);
        looks.start();
        return most;
    }

    /** The service registry closes each connection; tells how many it had. */
    private AtomicInteger refuseReports() {
        AtomicInteger had = new AtomicInteger();
        Thread service =
                new Thread(
                        () -> {
                            try {
                                while (true) {
                                    registryPlace.socket.accept().close();
                                    had.incrementAndGet();
                                }
                            } catch (IOException e) {
                                // The test is over.
                            }
                        });
        service.setDaemon(true);
        service.start();
        return had;
    }

    /**
     * A door with two places: who comes third waits outside, and comes in once a descriptor is
     * free.
     */
    @Test
    void aListenerTakesNoMoreThanItHasPlacesForAndEachComesInOnceOneIsFree() throws Exception {
        AcceptLimit limit = new AcceptLimit();
        limit.allow(2);
        ExecutorService threads = Executors.newCachedThreadPool();
        SelectorProcessor processor = new SelectorProcessor(threads, limit);
        Acceptor acceptor = new Acceptor(processor, limit);
        InetSocketAddress at = hears(acceptor);
        List<End> callers = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            callers.add(new End(new Socket(at.getAddress(), at.getPort())));
            callers.get(i).say("ticket " + i);
        }
        for (int i = 0; i < 40; i++) {
            assertThat(callers.get(i).line()).isEqualTo("heard");
            assertThat(limit.openCount()).isLessThanOrEqualTo(2);
            assertThat(acceptor.accepted()).isLessThanOrEqualTo(i + 2);
            callers.get(i).socket.close();
        }
        until(() -> limit.openCount() == 0);
        acceptor.dispose();
        processor.dispose();
        threads.shutdown();
    }

    /**
     * The other side neither takes nor refuses: what is called off holds no descriptor until that
     * times out.
     */
    @Test
    void aConnectionThatIsCalledOffWhileItConnectsEndsAtOnce() throws Exception {
        Sockets sockets = new Sockets(log, 10 * RESPONSE_TIMEOUT_MS);
        List<Socket> filling = new ArrayList<>();
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            boolean isFull = false;
            while (!isFull) {
                Socket one = new Socket();
                filling.add(one);
                try {
                    one.connect(full.getLocalSocketAddress(), 300);
                } catch (SocketTimeoutException e) {
                    isFull = true;
                }
            }
            CompletableFuture<Completion> failed = new CompletableFuture<>();
            Runnable callOff =
                    sockets.connect(
                            (InetSocketAddress) full.getLocalSocketAddress(),
                            new Peer() {
                                @Override
                                public void opened(IoSession session) {
                                    failed.completeExceptionally(
                                            new AssertionError("it came about"));
                                }

                                @Override
                                public void received(ByteBuffer bytes) {
                                    throw new AssertionError("nothing comes on it");
                                }

                                @Override
                                public void inputClosed(IoSession session) {
                                    session.closeNow();
                                }

                                @Override
                                public void malformed(IoSession session) {
                                    session.closeNow();
                                }

                                @Override
                                public void closed(boolean malformed) {
                                    failed.completeExceptionally(new AssertionError("it stood"));
                                }
                            },
                            failed::complete);
            until(() -> connecting(full.getLocalPort()) == 1);
            callOff.run();
            assertThat(failed.get(RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS))
                    .isEqualTo(Completion.NEVER_CONNECTED);
            until(() -> connecting(full.getLocalPort()) == 0);
        } finally {
            for (Socket one : filling) {
                one.close();
            }
            sockets.dispose();
        }
    }

    /** As the system has it: how many connections to this port wait for the other side's word. */
    private static long connecting(int port) throws IOException {
        String to = String.format("0100007F:%04X 02 ", port);
        long count = 0;
        for (String table : List.of("/proc/self/net/tcp", "/proc/self/net/tcp6")) {
            count +=
                    Files.readAllLines(Path.of(table)).stream()
                            .filter(line -> line.contains(to))
                            .count();
        }
        return count;
    }

    /**
     * While the node stands still, more clients come than it may have descriptors, and its link to
     * the executor is lost; as it goes on, all of that is there at once.
     */
    @Test
    void aLoadOfIdleClientsLeavesDescriptorsForTheExecutorTheDependencyTheNameServiceAndOneMore()
            throws Exception {
        startUnder(LIMIT);
        AtomicInteger reports = refuseReports();
        End caller = callerWithRun();
        List<End> resting = new ArrayList<>();
        for (int i = 0; i < 150; i++) {
            resting.add(connect());
            resting.get(i).say(array("HEALTH", "1"));
        }
        for (End end : resting) {
            assertThat(end.answer()).isEqualTo("1 GREEN +");
        }
        signal("STOP");
        List<End> silent = new ArrayList<>();
        for (int i = 0; i < 2 * LIMIT - 50; i++) {
            silent.add(connect());
        }
        executor.socket.close();
        End late = connect();
        late.say(request(102, "look", "late"));
        int before = reports.get();
        AtomicInteger most = mostOpen();
        signal("CONT");

        executor = executorPlace.accept();
        assertThat(executor.line()).isEqualTo("JOIN 0");
        executor.say("WELCOME WARM 600000\r\n"); // the same one, however long this took
        callOut(1, 101);
        End dependency = dependencyPlace.accept();
        expectCall(dependency, 101);
        dependency.say(String.format("%016x HIT 4\r\nsaid\r\n", 101));
        List<String> commands = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            commands.add(executor.command());
            assertThat(commands.get(i)).as("%s", lines).doesNotStartWith("METER");
            executor.line();
        }
        assertThat(commands)
                .containsExactlyInAnyOrder(
                        String.format("RETURN %016x 4", 101),
                        String.format("EXEC %016x look 4", 102));
        exit(2, 101, "done");
        exit(3, 102, "served");
        assertThat(caller.answer()).as("open all the time").isEqualTo("101 ACK + done");
        assertThat(late.answer()).as("the last that came").isEqualTo("102 ACK + served");
        until(() -> reports.get() > before + 1);
        for (End end : silent) {
            assertThat(end.isOver()).as("never said a word").isTrue();
        }
        assertThat(resting.get(0).isOverOnceRequested()).as("rested for longest").isTrue();
        assertThat(most.get()).as("a few are left at any time").isLessThan(LIMIT);
        assertThat(isLogged("Too many open files")).as("%s", lines).isFalse();
        assertThat(isLogged("no link to the executor")).isFalse();
        assertThat(isLogged("no room for one more")).isFalse();
    }
}
