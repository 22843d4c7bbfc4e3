package lupinwood.experiment;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Processes started at once by the deploy file's own 'run', each with an executor of its own: how
 * long from the start of each to its first answer to a health check, and to its first served
 * request.
 */
final class StartTimeExperiment implements Experiment {
    /** Nine in ten have answered by then, as the operators want it. */
    private static final long WANTED_MILLIS = 10_000;

    /** Who has not answered by then never does. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 60_000;

    private static final long LOOK_AGAIN_MILLIS = 20;
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"([^\"]*)\"");
    private static final Pattern ARCHIVE = Pattern.compile("-XX:SharedArchiveFile=([^ ;]+)");
    private static final String REQUEST_CLASS = "history";
    private static final Path DEPLOY = Path.of("deploy/balancer.toml");

    /** One that is started, with what was measured of it; zero where it did not get there. */
    private static final class Started {
        final NodeProcess process;
        final int port;
        final LoopbackServer executor;
        long begun;
        long healthMillis;
        long servedMillis;
        long cpuMillis;
        long memoryMb;
        boolean gone;

        Started(NodeProcess process, int port, LoopbackServer executor) {
            this.process = process;
            this.port = port;
            this.executor = executor;
        }

        long sinceMillis() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
        }
    }

    private final int processes;
    private final boolean archives;
    private final PrintStream out;
    private final List<Started> all = new ArrayList<>();
    private int nextPort = 10_000 + (int) (ProcessHandle.current().pid() % 90) * 200;

    StartTimeExperiment(int processes, PrintStream out) {
        this(processes, false, out);
    }

    private StartTimeExperiment(int processes, boolean archives, PrintStream out) {
        this.processes = processes;
        this.archives = archives;
        this.out = out;
    }

    /**
     * Has one process write down the classes that it loaded, into the archive that 'run' names: the
     * next ones map them in place of reading and checking each.
     */
    static StartTimeExperiment archiving(PrintStream out) {
        return new StartTimeExperiment(1, true, out);
    }

    @Override
    public Outcome run() throws Exception {
        Matcher run = RUN.matcher(Files.isReadable(DEPLOY) ? Files.readString(DEPLOY) : "");
        if (!run.find()) {
            return new Outcome(
                    "start-time: nothing started",
                    List.of("no 'run' in " + DEPLOY + ": start it from the root"));
        }
        Matcher named = ARCHIVE.matcher(run.group(1));
        if (archives && !named.find()) {
            return new Outcome(
                    "class-archive: nothing started",
                    List.of("'run' in " + DEPLOY + " names no archive"));
        }
        return archives ? archive(run.group(1), Path.of(named.group(1))) : measure(run.group(1));
    }

    private Outcome archive(String run, Path archive) throws Exception {
        Files.deleteIfExists(archive); // else it would be used, and the new one have no classes
        play(
                run,
                one -> one.process.options("-XX:ArchiveClassesAtExit=" + archive),
                one -> one.process.leave(RESPONSE_TIMEOUT_MILLIS / 1000));
        boolean there = Files.isReadable(archive);
        return new Outcome(
                "class-archive: "
                        + archive
                        + (there ? " of " + Files.size(archive) / 1024 + " KB" : ""),
                there
                        ? List.of()
                        : List.of(
                                "no archive was written, which costs start time and nothing else"));
    }

    private Outcome measure(String run) throws Exception {
        double load = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
        play(run, one -> {}, one -> true);
        return outcome(load);
    }

    /** What may be done with one of them, on its own thread. */
    private interface Step {
        boolean with(Started one) throws InterruptedException;
    }

    /**
     * @param before done with each before it starts
     * @param after done with each once it has served a request
     */
    private void play(String run, Consumer<Started> before, Step after)
            throws IOException, InterruptedException {
        Path directory = Files.createTempDirectory("lab");
        try (LoopbackServer downstream = new LoopbackServer(0, StandIns::dependency);
                LoopbackServer registry = new LoopbackServer(0, StandIns::registry)) {
            for (int i = 0; i < processes; i++) {
                all.add(prepared("n" + i, directory, run, downstream, registry));
            }
            CountDownLatch done = new CountDownLatch(processes);
            for (Started one : all) {
                before.accept(one);
                one.begun = System.nanoTime();
                one.process.start();
                LoopbackServer.daemon(
                        () -> {
                            try {
                                follow(one);
                                after.with(one);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            } finally {
                                done.countDown();
                            }
                        });
            }
            done.await(2 * RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } finally {
            for (Started one : all) {
                one.process.kill();
                one.executor.close();
            }
            try (Stream<Path> left = Files.walk(directory)) {
                left.sorted((a, b) -> b.compareTo(a)).forEach(path -> path.toFile().delete());
            }
        }
    }

    private Outcome outcome(double load) {
        List<Long> health =
                all.stream().map(one -> one.healthMillis).filter(at -> at > 0).sorted().toList();
        List<Long> served =
                all.stream().map(one -> one.servedMillis).filter(at -> at > 0).sorted().toList();
        out.println(
                "first answer to a health check, ms: " + reported(health) + " of " + health.size());
        out.println("first satisfied ticket, ms: " + reported(served) + " of " + served.size());
        out.println(
                "core time until then, ms: "
                        + reported(all.stream().map(one -> one.cpuMillis).sorted().toList()));
        out.println(
                "memory then, MB: "
                        + reported(all.stream().map(one -> one.memoryMb).sorted().toList()));
        long inTime = health.stream().filter(at -> at <= WANTED_MILLIS).count();
        List<String> broken = new ArrayList<>();
        if (inTime * 10 < processes * 9L) {
            broken.add(
                    "only "
                            + inTime
                            + " of "
                            + processes
                            + " answered within "
                            + WANTED_MILLIS
                            + " ms");
        }
        long gone = all.stream().filter(one -> one.gone).count();
        if (gone > 0) {
            broken.add(gone + " ended by themselves");
        }
        if (served.size() < processes) {
            broken.add(
                    processes
                            - served.size()
                            + " satisfied no ticket within "
                            + RESPONSE_TIMEOUT_MILLIS
                            + " ms");
        }
        return new Outcome(
                "start-time: processes "
                        + processes
                        + ", cores "
                        + Runtime.getRuntime().availableProcessors()
                        + ", load before "
                        + load
                        + ", answered in time "
                        + inTime
                        + ", "
                        + "health "
                        + reported(health)
                        + ", satisfied "
                        + reported(served),
                broken);
    }

    private static String reported(List<Long> sorted) {
        return sorted.isEmpty()
                ? "none"
                : "median "
                        + sorted.get(sorted.size() / 2)
                        + " nine in ten "
                        + sorted.get((sorted.size() * 9 + 9) / 10 - 1)
                        + " most "
                        + sorted.get(sorted.size() - 1);
    }

    /**
     * Below those that the system hands out by itself: there one who looks whether the listener is
     * open could get the listener's own port, and hold it shut.
     */
    private int freePort() {
        for (; ; nextPort++) {
            try (LoopbackServer free = new LoopbackServer(nextPort, StandIns::mute)) {
                nextPort++;
                return free.port();
            } catch (IOException e) {
                // It is in use.
            }
        }
    }

    private Started prepared(
            String name,
            Path directory,
            String run,
            LoopbackServer downstream,
            LoopbackServer registry)
            throws IOException {
        int port = freePort();
        Audit audit = new Audit();
        LoopbackServer executor =
                new LoopbackServer(0, new StandInExecutor(1, audit, id -> {})::talk);
        String config =
                """
                {"name": "%s", "listen": "127.0.0.1:%d", "executor": "%s", "index": "%s", "naming": "%s",
                 "seed": "1", "stop_ms": 3000, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
                 "settings": {"step_ns": 4000000, "rules": {"fall_ns": 2000000000, "drain_grace_ns": 1800000000},
                 "customers": [{"name": "north", "share": 1.0, "quota_rps": 100.0}],
                 "services": [{"name": "%s", "effect": "pure", "worth": 1.0, "aim_ns": 2000000000,
                 "give_up_ns": 8000000000}]}}"""
                        .formatted(
                                name,
                                port,
                                executor.address(),
                                downstream.address(),
                                registry.address(),
                                REQUEST_CLASS);
        return new Started(
                NodeProcess.deployed(name, directory.resolve(name), config, run), port, executor);
    }

    private static void follow(Started one) throws InterruptedException {
        while (one.healthMillis == 0 && one.sinceMillis() < RESPONSE_TIMEOUT_MILLIS) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), one.port)) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                socket.getOutputStream().write(WireFormat.array("HEALTH", "1"));
                one.healthMillis = WireFormat.array(in) == null ? 0 : one.sinceMillis();
            } catch (IOException e) {
                Thread.sleep(LOOK_AGAIN_MILLIS); // the listener isn't open yet
            }
        }
        // A connection for each: what has no standing and is turned away again and again is asked
        // to close.
        for (int i = 1; one.servedMillis == 0 && one.sinceMillis() < RESPONSE_TIMEOUT_MILLIS; i++) {
            BlockingQueue<String> words = new ArrayBlockingQueue<>(1);
            try (Caller caller =
                    new Caller(one.port, new Audit(), (id, said) -> words.offer(said.get(1)))) {
                caller.send(
                        String.format("%016x", i),
                        new Audit.Sent(
                                REQUEST_CLASS, "start", null, System.currentTimeMillis(), 8000),
                        "north");
                one.servedMillis =
                        "ACK".equals(words.poll(8, TimeUnit.SECONDS)) ? one.sinceMillis() : 0;
            } catch (IOException e) {
                // It refused or ended the connection; the next try tells more.
            }
            if (one.servedMillis == 0) {
                Thread.sleep(LOOK_AGAIN_MILLIS);
            }
        }
        one.gone = !one.process.isUp();
        one.cpuMillis = one.process.cpuMillis();
        one.memoryMb = one.process.memoryMb();
    }
}
