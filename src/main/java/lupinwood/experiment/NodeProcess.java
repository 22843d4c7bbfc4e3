package lupinwood.experiment;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * One real node, 'serve' as a process of its own, that can be stopped, continued, killed and
 * started again.
 */
final class NodeProcess {
    private static final int RETAINED_LINES = 400;
    private static final List<String> LIMITS =
            List.of(
                    "-XX:-UsePerfData",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Xms40m",
                    "-Xmx40m",
                    "-Xmn16m",
                    "-Xss256k",
                    "-XX:MaxMetaspaceSize=48m",
                    "-XX:ReservedCodeCacheSize=16m");

    private final String name;
    private final Path directory;
    private final Path config;

    /** The deploy file's command, for the shell; null for one made up here. */
    private final String run;

    private final Consumer<String> hears;
    private final Deque<String> lines = new ArrayDeque<>();
    private volatile Process process;
    private volatile boolean stopped;
    private int starts;

    /**
     * What is wrong with the process at its next starts, as options of the laboratory's launcher.
     */
    private volatile List<String> wrong = List.of();

    private volatile String options = "";

    /**
     * @param hears hears each line of its log
     */
    NodeProcess(String name, Path directory, String config, Consumer<String> hears)
            throws IOException {
        this(name, directory, "node.kdl", config, null, hears);
    }

    private NodeProcess(
            String name,
            Path directory,
            String file,
            String config,
            String run,
            Consumer<String> hears)
            throws IOException {
        this.name = name;
        this.directory = directory;
        this.run = run;
        this.hears = hears;
        Files.createDirectories(directory);
        this.config = directory.resolve(file);
        Files.writeString(this.config, config);
    }

    /**
     * One as the platform starts it: by the shell, in this process's own folder, told of its
     * configuration by the environment.
     *
     * @param config the platform's JSON
     * @param run 'run' of the deploy file
     */
    static NodeProcess deployed(String name, Path directory, String config, String run)
            throws IOException {
        return new NodeProcess(name, directory, "node.json", config, run, line -> {});
    }

    /** From its next start on the JVM has these options too. */
    void options(String more) {
        options = more;
    }

    static List<String> java(List<String> options, String... words) {
        List<String> command =
                new ArrayList<>(List.of(System.getProperty("java.home") + "/bin/java"));
        command.addAll(options);
        String path =
                Stream.of(System.getProperty("java.class.path").split(File.pathSeparator))
                        .map(part -> Path.of(part).toAbsolutePath().toString())
                        .collect(Collectors.joining(File.pathSeparator));
        command.addAll(List.of("-cp", path, "lupinwood.cli.Main"));
        command.addAll(List.of(words));
        return command;
    }

    void start() throws IOException {
        if (isUp()) {
            return;
        }
        starts++;
        stopped = false;
        synchronized (lines) {
            lines.clear();
        }
        Process one = command().redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
        process = one;
        // Guards against nodes that outlive the one who plays, should that be ended in the middle.
        Runtime.getRuntime().addShutdownHook(new Thread(one::destroyForcibly));
        LoopbackServer.daemon(
                () -> {
                    try (BufferedReader log = one.errorReader()) {
                        for (String line = log.readLine(); line != null; line = log.readLine()) {
                            synchronized (lines) {
                                lines.add(line);
                                if (lines.size() > RETAINED_LINES) {
                                    lines.poll();
                                }
                            }
                            hears.accept(line);
                        }
                    } catch (IOException e) {
                        // It went.
                    }
                });
    }

    private ProcessBuilder command() {
        if (run != null) {
            ProcessBuilder shell = new ProcessBuilder("/bin/sh", "-c", run);
            shell.environment().put("RELAY_CONFIG", config.toString());
            if (!options.isEmpty()) {
                shell.environment().put("JAVA_TOOL_OPTIONS", options);
            }
            return shell;
        }
        List<String> words =
                new ArrayList<>(
                        List.of(
                                wrong.isEmpty() ? "serve" : "lab-node",
                                "--config",
                                config.toString()));
        words.addAll(wrong);
        return new ProcessBuilder(java(LIMITS, words.toArray(String[]::new)))
                .directory(directory.toFile());
    }

    /** From its next start on it is started so. */
    void wrong(List<String> options) {
        wrong = List.copyOf(options);
    }

    /**
     * None of its files may grow past so many bytes from now on, as on a disk that is full; until
     * it is started anew.
     */
    void fillDisk(long bytes) throws IOException, InterruptedException {
        if (isUp()) {
            new ProcessBuilder("prlimit", "--pid", Long.toString(process.pid()), "--fsize=" + bytes)
                    .start()
                    .waitFor();
        }
    }

    String name() {
        return name;
    }

    boolean isUp() {
        return process != null && process.isAlive();
    }

    boolean isStopped() {
        return stopped;
    }

    int starts() {
        return starts;
    }

    private void signal(String which) throws IOException, InterruptedException {
        if (isUp()) {
            new ProcessBuilder("kill", "-" + which, Long.toString(process.pid())).start().waitFor();
        }
    }

    void stop() throws IOException, InterruptedException {
        stopped = true;
        signal("STOP");
    }

    void goOn() throws IOException, InterruptedException {
        signal("CONT");
        stopped = false;
    }

    void kill() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }
        stopped = false;
    }

    /** The notice to leave; whether it went by itself, with 0. */
    boolean leave(long withinSeconds) throws InterruptedException {
        if (!isUp()) {
            return true;
        }
        process.destroy();
        return process.waitFor(withinSeconds, TimeUnit.SECONDS) && process.exitValue() == 0;
    }

    void forgetDirectory() throws IOException {
        Path stored = directory.resolve("council").resolve("council.mv");
        Files.deleteIfExists(stored);
    }

    /** What the process has in memory, in megabytes; zero where that can't be told. */
    long memoryMb() {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024;
                }
            }
        } catch (IOException e) {
            return 0;
        }
        return 0;
    }

    /** The core time that it used so far. */
    long cpuMillis() {
        return process.info().totalCpuDuration().map(Duration::toMillis).orElse(0L);
    }

    List<String> lines() {
        synchronized (lines) {
            return new ArrayList<>(lines);
        }
    }
}
