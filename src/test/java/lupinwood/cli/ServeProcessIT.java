package lupinwood.cli;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The program as a process of its own, told to reload by signals and by files. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class ServeProcessIT {
    @TempDir private Path directory;
    private Process process;
    private BufferedReader log;
    private final List<String> lines = new ArrayList<>();

    private void start(String prelude, String... options) throws IOException {
        launch(
                prelude
                        + "exec '"
                        + System.getProperty("java.home")
                        + "/bin/java' -Xshare:auto -cp '"
                        + System.getProperty("java.class.path")
                        + "' lupinwood.cli.Main serve --config config.json "
                        + String.join(" ", options));
    }

    private void launch(String command) throws IOException {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        write("config.json", 1, port);
        process =
                new ProcessBuilder("/bin/sh", "-c", command).directory(directory.toFile()).start();
        log = process.errorReader();
        this.port = port;
        if (ready) {
            awaitLine("can't hear SIGHUP|reloads on SIGHUP");
        }
    }

    private boolean ready = true;

    private int port;

    private void write(String name, int executorPort, int port) throws IOException {
        Files.writeString(
                directory.resolve(name),
                """
                {"name": "n1", "listen": "127.0.0.1:%d", "executor": "127.0.0.1:%d", "index": "127.0.0.1:1",
                 "naming": "127.0.0.1:1", "seed": "1", "stop_ms": 1500, "limits": {"sockets": 256},
                 "settings": {"step_ns": 4000000, "rules": {"fall_ns": 2000000000, "drain_grace_ns": 1800000000},
                 "customers": [{"name": "north", "share": 1.0, "quota_rps": 10.0}], "services": [{"name": "look", "effect": "pure", "worth": 1.0,
                 "aim_ns": 2000000000, "give_up_ns": 8000000000}]}}"""
                        .formatted(port, executorPort));
    }

    private void replace(int executorPort) throws IOException {
        write("next.json", executorPort, port);
        Files.move(
                directory.resolve("next.json"),
                directory.resolve("config.json"),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    private String awaitLine(String pattern) throws IOException {
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            lines.add(line);
            if (line.matches(".*(" + pattern + ").*")) {
                return line;
            }
        }
        throw new AssertionError("no line like " + pattern + " in " + lines);
    }

    /** 0 unless the process is gone. */
    private int signal(String name) throws Exception {
        return new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid())
                .start()
                .waitFor();
    }

    private void hangUp() throws Exception {
        assertThat(signal("HUP")).isZero();
    }

    /**
     * Whichever comes first, the listener or the notice: nothing is lost and the process ends as it
     * was asked to.
     */
    @Test
    void aNoticeAtAnyTimeOfTheStartEndsItInGoodOrder() throws Exception {
        ready = false;
        start("");
        awaitLine("warmed up by|no warm-up");
        signal("TERM");
        signal("TERM");
        assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(process.exitValue()).isZero();
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            lines.add(line);
        }
        assertThat(lines.get(lines.size() - 1))
                .endsWith(
                        lines.stream().anyMatch(line -> line.contains("listens on"))
                                ? " left"
                                : "left before the door opened");
    }

    @Test
    void anAddressInUseEndsTheProcessWithOneAndSaysSo() throws Exception {
        start("");
        Process second =
                new ProcessBuilder(
                                System.getProperty("java.home") + "/bin/java",
                                "-Xshare:auto",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "lupinwood.cli.Main",
                                "serve",
                                "--config",
                                "config.json")
                        .directory(directory.toFile())
                        .redirectErrorStream(true)
                        .start();
        assertThat(new String(second.getInputStream().readAllBytes(), UTF_8))
                .containsPattern("can't listen on .*:" + port);
        assertThat(second.waitFor()).isEqualTo(1);
    }

    @AfterEach
    void leave() throws Exception {
        if (process != null) {
            process.destroy();
            boolean gone = process.waitFor(20, TimeUnit.SECONDS);
            process.destroyForcibly();
            assertThat(gone).isTrue();
            assertThat(process.exitValue()).isZero();
        }
    }

    @Test
    void aNodeStartedWithSighupIgnoredSaysSoAndReloadsByTheFileAlone() throws Exception {
        start("trap '' HUP; ");
        assertThat(lines.get(lines.size() - 1))
                .contains("can't hear SIGHUP", "when its configuration's files change");
        hangUp();
        replace(2);
        assertThat(awaitLine("reloaded: ")).contains("127.0.0.1:2");
        Files.writeString(directory.resolve("config.json"), "{\"name\": ");
        assertThat(awaitLine("nothing reloaded: ")).contains("is no JSON");
        replace(3);
        assertThat(awaitLine("reloaded: ")).contains("127.0.0.1:3");
    }

    @Test
    void nothingOfTheLanguageOrTheLaboratoryIsLoadedForThePlatformsForm() throws Exception {
        start("export JAVA_TOOL_OPTIONS=-Xlog:class+load:file=classes.txt; ");
        replace(2);
        hangUp();
        awaitLine("reloaded: ");
        String loaded = Files.readString(directory.resolve("classes.txt"));
        assertThat(loaded)
                .contains("lupinwood.net.NodeServer ")
                .doesNotContain(
                        "lupinwood.config.",
                        "lupinwood.experiment.",
                        "org.antlr.",
                        "lupinwood.consensus.",
                        "lupinwood.cluster.",
                        "lupinwood.net.ClusterMembership",
                        "io.microraft.",
                        "org.h2.");
        String deploy = Files.readString(Path.of("deploy/balancer.toml"));
        List<String> named = new ArrayList<>();
        Matcher quoted = Pattern.compile("\"(src/main/java/[^\"]*)\"").matcher(deploy);
        while (quoted.find()) {
            named.add(quoted.group(1));
        }
        Matcher own = Pattern.compile(" (lupinwood\\.[\\w.$]+) source:").matcher(loaded);
        List<String> left = new ArrayList<>();
        while (own.find()) {
            String file =
                    "src/main/java/"
                            + own.group(1).replace('.', '/').replaceFirst("\\$.*", "")
                            + ".java";
            if (named.stream().noneMatch(file::startsWith)) {
                left.add(file);
            }
        }
        assertThat(named).hasSizeGreaterThan(10);
        assertThat(left).as("loaded, and not named in deploy/balancer.toml").isEmpty();
    }

    /**
     * The build's archive of classes saves time; without it, or with one that can't be used, a node
     * starts the same.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "this is no archive", "of another JVM"})
    void theDeployedCommandStartsWithoutItsArchiveOfClassesToo(String archive) throws Exception {
        Matcher run =
                Pattern.compile("(?m)^run = \"([^\"]*)\"")
                        .matcher(Files.readString(Path.of("deploy/balancer.toml")));
        assertThat(run.find()).isTrue();
        String jar = " -jar target/lupinwood.jar ";
        assertThat(run.group(1))
                .contains(jar, "target/lupinwood.jsa", "exec env")
                .doesNotContain("$(", "`");
        Files.createDirectory(directory.resolve("target"));
        if (!archive.isEmpty()) {
            byte[] bytes = archive.getBytes(StandardCharsets.UTF_8);
            Path ours = Path.of(System.getProperty("java.home"), "lib", "server", "classes.jsa");
            if (archive.startsWith("of another") && Files.isReadable(ours)) {
                bytes = Files.readAllBytes(ours);
                int name = new String(bytes, 0, 8192, StandardCharsets.ISO_8859_1).indexOf(" VM (");
                assertThat(name).as("where it names the JVM that wrote it").isPositive();
                Arrays.fill(bytes, name, name + 20, (byte) 'x');
            }
            Files.write(directory.resolve("target/lupinwood.jsa"), bytes);
        }
        launch(
                run.group(1)
                                .replace(
                                        jar,
                                        " -cp '"
                                                + System.getProperty("java.class.path")
                                                + "' lupinwood.cli.Main ")
                        + " --config config.json");
    }

    @Test
    void bothTriggersReloadOnceAndABurstOfSignalsEndsInTheNewestFile() throws Exception {
        start("", "--watch", "on");
        replace(2);
        hangUp();
        assertThat(awaitLine("reloaded: ")).contains("127.0.0.1:2");
        for (int port = 10; port < 13; port++) {
            replace(port);
            hangUp();
        }
        awaitLine("reloaded: .*127.0.0.1:12");
        replace(31);
        awaitLine("reloaded: .*127.0.0.1:31");
        assertThat(lines)
                .filteredOn(line -> line.matches(".*reloaded: .*127.0.0.1:2\\b.*"))
                .hasSize(1);
    }
}
