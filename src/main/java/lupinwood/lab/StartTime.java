package lupinwood.lab;

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
 * long from the start of each to its first answer to a health check, and to its first satisfied
 * ticket.
 */
final class StartTime implements Experiment {
    /** Nine in ten have answered by then, as the operators want it. */
    private static final long WANTED_MILLIS = 10_000;

    /** Who has not answered by then never does. */
    private static final long PATIENCE_MILLIS = 60_000;

    private static final long LOOK_AGAIN_MILLIS = 20;
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"([^\"]*)\"");
    private static final Pattern ARCHIVE = Pattern.compile("-XX:SharedArchiveFile=([^ ;]+)");
    private static final String TRACK = "history";
    private static final Path DEPLOY = Path.of("deploy/balancer.toml");

    /** One that is started, with what was measured of it; zero where it did not get there. */
    private static final class Started {
        final NodeProcess process;
        final int port;
        final Door executor;
        long begun;
        long healthMillis;
        long satisfiedMillis;
        long cpuMillis;
        long memoryMb;
        boolean gone;

        Started(NodeProcess process, int port, Door executor) {
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

    StartTime(int processes, PrintStream out) {
        this(processes, false, out);
    }

    private StartTime(int processes, boolean archives, PrintStream out) {
        this.processes = processes;
        this.archives = archives;
        this.out = out;
    }

    /**
     * Has one process write down the classes that it loaded, into the archive that 'run' names: the
     * next ones map them in place of reading and checking each.
     */
    static StartTime archiving(PrintStream out) {
        return new StartTime(1, true, out);
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
                one -> one.process.leave(PATIENCE_MILLIS / 1000));
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
     * @param after done with each once it has satisfied a ticket
     */
    private void play(String run, Consumer<Started> before, Step after)
            throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("lab");
        try (Door below = new Door(0, StandIns::index);
                Door naming = new Door(0, StandIns::naming)) {
            for (int i = 0; i < processes; i++) {
                all.add(prepared("n" + i, folder, run, below, naming));
            }
            CountDownLatch done = new CountDownLatch(processes);
            for (Started one : all) {
                before.accept(one);
                one.begun = System.nanoTime();
                one.process.start();
                Door.daemon(
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
            done.await(2 * PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
        } finally {
            for (Started one : all) {
                one.process.kill();
                one.executor.close();
            }
            try (Stream<Path> left = Files.walk(folder)) {
                left.sorted((a, b) -> b.compareTo(a)).forEach(path -> path.toFile().delete());
            }
        }
    }

    private Outcome outcome(double load) {
        List<Long> health =
                all.stream().map(one -> one.healthMillis).filter(at -> at > 0).sorted().toList();
        List<Long> satisfied =
                all.stream().map(one -> one.satisfiedMillis).filter(at -> at > 0).sorted().toList();
        out.println("first answer to a health check, ms: " + told(health) + " of " + health.size());
        out.println("first satisfied ticket, ms: " + told(satisfied) + " of " + satisfied.size());
        out.println(
                "core time until then, ms: "
                        + told(all.stream().map(one -> one.cpuMillis).sorted().toList()));
        out.println(
                "memory then, MB: "
                        + told(all.stream().map(one -> one.memoryMb).sorted().toList()));
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
        if (satisfied.size() < processes) {
            broken.add(
                    processes
                            - satisfied.size()
                            + " satisfied no ticket within "
                            + PATIENCE_MILLIS
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
                        + told(health)
                        + ", satisfied "
                        + told(satisfied),
                broken);
    }

    private static String told(List<Long> sorted) {
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
     * Below those that the system hands out by itself: there one who looks whether the door is open
     * could get the door's own port, and hold it shut.
     */
    private int freePort() {
        for (; ; nextPort++) {
            try (Door free = new Door(nextPort, StandIns::mute)) {
                nextPort++;
                return free.port();
            } catch (IOException e) {
                // It is in use.
            }
        }
    }

    private Started prepared(String name, Path folder, String run, Door below, Door naming)
            throws IOException {
        int port = freePort();
        Audit audit = new Audit();
        Door executor = new Door(0, new StandInExecutor(1, audit, id -> {})::talk);
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
                                below.address(),
                                naming.address(),
                                TRACK);
        return new Started(
                NodeProcess.deployed(name, folder.resolve(name), config, run), port, executor);
    }

    private static void follow(Started one) throws InterruptedException {
        while (one.healthMillis == 0 && one.sinceMillis() < PATIENCE_MILLIS) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), one.port)) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                socket.getOutputStream().write(Wire.array("HEALTH", "1"));
                one.healthMillis = Wire.array(in) == null ? 0 : one.sinceMillis();
            } catch (IOException e) {
                Thread.sleep(LOOK_AGAIN_MILLIS); // the door isn't open yet
            }
        }
        // A connection for each: what has no standing and is turned away again and again is asked
        // to close.
        for (int i = 1; one.satisfiedMillis == 0 && one.sinceMillis() < PATIENCE_MILLIS; i++) {
            BlockingQueue<String> words = new ArrayBlockingQueue<>(1);
            try (Caller caller =
                    new Caller(one.port, new Audit(), (id, said) -> words.offer(said.get(1)))) {
                caller.send(
                        String.format("%016x", i),
                        new Audit.Sent(TRACK, "start", null, System.currentTimeMillis(), 8000),
                        "north");
                one.satisfiedMillis =
                        "ACK".equals(words.poll(8, TimeUnit.SECONDS)) ? one.sinceMillis() : 0;
            } catch (IOException e) {
                // It refused or ended the connection; the next try tells more.
            }
            if (one.satisfiedMillis == 0) {
                Thread.sleep(LOOK_AGAIN_MILLIS);
            }
        }
        one.gone = !one.process.isUp();
        one.cpuMillis = one.process.cpuMillis();
        one.memoryMb = one.process.memoryMb();
    }
}
