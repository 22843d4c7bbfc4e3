package lupinwood.consensus;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.fail;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;
import lupinwood.admission.NanoDuration;
import lupinwood.cluster.ClusterState;
import lupinwood.cluster.Cordon;
import lupinwood.cluster.DutyName;
import lupinwood.cluster.FencingToken;
import lupinwood.cluster.Incarnation;
import lupinwood.cluster.NodeName;
import lupinwood.cluster.Rollout;
import lupinwood.log.Log;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Three voters of an earlier version are replaced one by one by this one, on the same folders: what
 * was agreed on stays, and both versions agree on more meanwhile. Runs where the system property
 * {@code lupinwood.previousJar} names the earlier version's jar.
 */
@Timeout(value = 240, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class MixedVersionIT {
    private static final String PREVIOUS_JAR = System.getProperty("lupinwood.previousJar");
    private static final int VOTERS = 3;
    private static final NanoDuration ANSWERS_WITHIN = NanoDuration.ofSeconds(2);
    private static final int MOST_LINKS = 100;
    private static final long WAIT_SECONDS = 30;
    private static final String NODE =
            """
            name n%d
            listen "127.0.0.1:%d"
            executor "127.0.0.1:%d"
            index "127.0.0.1:2"
            naming "127.0.0.1:3"
            seed "%d"
            stop 4s
            step 4ms
            limits { descriptors 512 }
            customer north { share 100%%; quota 5000/s }
            track history { effect pure; agreed-time 2s; abandon-time 6s }
            server s0 { address "127.0.0.1:4"; tracks history; region r; zone z0; bears 30; near 2 }
            server s1 { address "127.0.0.1:5"; tracks history; region r; zone z1; bears 30; near 2 }
            release { watch 10min; watch-most 15min }
            fleet { lease 1s; region r; zone z%d; listen "127.0.0.1:%d"; folder council }
            """;

    @TempDir private Path at;
    private final Log quiet = new Log(new PrintStream(new ByteArrayOutputStream()), Instant::now);
    private final List<InetSocketAddress> addresses = new ArrayList<>();

    private ServerSocket executor;

    private final Process[] processes = new Process[VOTERS];

    @BeforeEach
    void startThePreviousVersion() throws IOException {
        assumeTrue(PREVIOUS_JAR != null, "lupinwood.previousJar isn't set");
        executor = new ServerSocket(0, MOST_LINKS, InetAddress.getLoopbackAddress());
        daemon(this::executor);
        for (int i = 0; i < VOTERS; i++) {
            addresses.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort()));
        }
        for (int i = 0; i < VOTERS; i++) {
            Files.createDirectories(directory(i));
            StringBuilder text = new StringBuilder();
            text.append(
                    NODE.formatted(
                            i,
                            freePort(),
                            executor.getLocalPort(),
                            i,
                            i,
                            addresses.get(i).getPort()));
            for (int voter = 0; voter < VOTERS; voter++) {
                text.append(
                        "voter n%d { address \"127.0.0.1:%d\" }\n"
                                .formatted(voter, addresses.get(voter).getPort()));
            }
            Files.writeString(directory(i).resolve("node.kdl"), text.toString());
            start(i, PREVIOUS_JAR);
        }
    }

    @AfterEach
    void endAll() throws InterruptedException, IOException {
        if (executor != null) {
            executor.close();
        }
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
            }
        }
    }

    /** Takes links and is warm, and has nothing to run: without one a node gets no duty. */
    private void executor() {
        while (!executor.isClosed()) {
            try {
                Socket link = executor.accept();
                daemon(() -> talk(link));
            } catch (IOException e) {
                return; // it is over
            }
        }
    }

    private static void daemon(Runnable job) {
        Thread thread = new Thread(job, "executor");
        thread.setDaemon(true);
        thread.start();
    }

    private static void talk(Socket link) {
        try (link;
                BufferedReader in =
                        new BufferedReader(
                                new InputStreamReader(link.getInputStream(), US_ASCII))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                List<String> words = List.of(line.split(" ", 0));
                String answer =
                        words.get(0).equals("JOIN")
                                ? "WELCOME WARM 60000\r\n"
                                : "METERS " + words.get(1) + " 0.5 0 0.1 1\r\n";
                link.getOutputStream().write(answer.getBytes(US_ASCII));
            }
        } catch (IOException e) {
            // the node went
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    private Path directory(int number) {
        return at.resolve("n" + number);
    }

    private Path log(int number) {
        return directory(number).resolve("log.txt");
    }

    private void start(int number, String classPath) throws IOException {
        processes[number] =
                new ProcessBuilder(
                                System.getProperty("java.home") + "/bin/java",
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-Xmx64m",
                                "-cp",
                                classPath,
                                "lupinwood.cli.Main",
                                "serve",
                                "--config",
                                "node.kdl")
                        .directory(directory(number).toFile())
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .redirectError(ProcessBuilder.Redirect.appendTo(log(number).toFile()))
                        .start();
    }

    private void replace(int number) throws IOException, InterruptedException {
        processes[number].destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        Files.writeString(log(number), ""); // from here on it tells of this version
        start(number, System.getProperty("java.class.path"));
    }

    private RaftReplica.ReplicaView await(String what, Predicate<RaftReplica.ReplicaView> holds)
            throws InterruptedException, IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        RaftReplica.ReplicaView state = null;
        while (System.nanoTime() < end && Stream.of(processes).allMatch(Process::isAlive)) {
            state = ClusterQuery.state(addresses, ANSWERS_WITHIN, quiet, true);
            if (state != null && holds.test(state)) {
                return state;
            }
            Thread.sleep(100);
        }
        StringBuilder logs = new StringBuilder();
        for (int i = 0; i < VOTERS; i++) {
            logs.append("\n--- n").append(i).append('\n').append(Files.readString(log(i)));
        }
        return fail("not in time, or a process went: " + what + "; last " + state + logs);
    }

    private String order(String id, String what, RaftReplica.RolloutRequest wish, String server)
            throws InterruptedException {
        RaftReplica.OperatorOrder order =
                new RaftReplica.OperatorOrder(id, what, null, "ann", wish, server);
        for (int i = 0; i < 10; i++) {
            RaftReplica.OrderResult answer =
                    ClusterQuery.order(addresses, order, NanoDuration.ofSeconds(10), quiet);
            if (answer != null && answer.done()) {
                return answer.text();
            }
            Thread.sleep(500); // nobody leads yet, or what came before it isn't over yet
        }
        return fail("was not done: " + order);
    }

    private static Map<DutyName, FencingToken> tokens(RaftReplica.ReplicaView state) {
        Map<DutyName, FencingToken> tokens = new HashMap<>();
        state.duties().forEach(leased -> tokens.put(leased.duty(), leased.token()));
        return tokens;
    }

    private static Map<NodeName, Incarnation> lives(RaftReplica.ReplicaView state) {
        Map<NodeName, Incarnation> incarnations = new HashMap<>();
        state.members().forEach(member -> incarnations.put(member.name(), member.incarnation()));
        return incarnations;
    }

    private static boolean isWhole(RaftReplica.ReplicaView state) {
        return state.leader() != null
                && state.members().size() == VOTERS
                && state.members().stream().allMatch(ClusterState.Member::in)
                && state.duties().size() == ClusterNode.DUTIES.size()
                && state.duties().stream().noneMatch(ClusterState.DutyLease::isFree)
                && !state.plans().isEmpty();
    }

    /** Replaces one voter; what was agreed on before is there after, and nothing goes back. */
    private RaftReplica.ReplicaView replaceAndCompare(int number, RaftReplica.ReplicaView before)
            throws IOException, InterruptedException {
        NodeName name = new NodeName("n" + number);
        Incarnation old = lives(before).get(name);
        replace(number);
        RaftReplica.ReplicaView after =
                await(
                        name + " is back",
                        state -> isWhole(state) && !lives(state).get(name).equals(old));
        Map<NodeName, Incarnation> others = lives(before);
        others.remove(name);
        assertThat(lives(after)).containsAllEntriesOf(others);
        tokens(before)
                .forEach(
                        (duty, token) ->
                                assertThat(tokens(after).get(duty))
                                        .as("the token of " + duty)
                                        .isGreaterThanOrEqualTo(token));
        before.duties().stream()
                .filter(leased -> tokens(after).get(leased.duty()).equals(leased.token()))
                .forEach(leased -> assertThat(after.duties()).contains(leased));
        assertThat(after.history().subList(0, before.history().size())).isEqualTo(before.history());
        assertThat(after.cordons()).isEqualTo(before.cordons());
        assertThat(after.permits()).isEqualTo(before.permits());
        assertThat(after.haltedBy()).isEqualTo(before.haltedBy());
        assertThat(after.good()).isEqualTo(before.good());
        assertThat(after.rollout()).isEqualTo(before.rollout());
        assertThat(after.lastPlan()).isGreaterThanOrEqualTo(before.lastPlan());
        assertThat(after.plans().stream().filter(one -> one.number() <= before.lastPlan()))
                .isSubsetOf(before.plans());
        assertThat(after.commands()).isGreaterThan(before.commands());
        assertThat(Files.readString(log(number)))
                .contains("a voter, with what it kept")
                .doesNotContain("can't be read");
        return after;
    }

    private ClusterQuery.Wanted wanted() throws InterruptedException {
        return ClusterQuery.wanted(
                addresses, new NodeName("n1"), NanoDuration.ofSeconds(20), quiet);
    }

    @Test
    void whatWasLatencyObjectiveOnStaysWhileVotersAreReplacedOneByOne() throws Exception {
        await("the fleet is whole", MixedVersionIT::isWhole);
        RaftReplica.RolloutRequest program =
                new RaftReplica.RolloutRequest(Rollout.Kind.PROGRAM, "0.6", "", false);
        String began = order("order-1", "release", program, null);
        order("order-2", "back", null, null);
        await("the release is over", state -> state.rollout() == null);
        String rested = order("order-3", "rest", null, "s0");
        RaftReplica.ReplicaView old =
                await("s0 rests", state -> !state.cordons().isEmpty() && isWhole(state));
        assertThat(old.cordons()).containsExactly(new Cordon("s0", "ann"));

        RaftReplica.ReplicaView mixed = replaceAndCompare(0, old);
        assertThat(order("order-3", "rest", null, "s0")).as("done once").isEqualTo(rested);
        assertThat(wanted()).isEqualTo(new ClusterQuery.Wanted("", "", "", List.of("s0")));
        replaceAndCompare(1, mixed);

        order("order-4", "unrest", null, "s0");
        order("order-5", "release", program, null);
        mixed = await("a release is open", state -> state.rollout() != null && isWhole(state));
        assertThat(mixed.cordons()).isEmpty();
        RaftReplica.ReplicaView all = replaceAndCompare(2, mixed);

        assertThat(all.rollout().number()).isEqualTo(2);
        assertThat(all.rollout().to()).isEqualTo("0.6");
        assertThat(order("order-1", "release", program, null)).as("done once").isEqualTo(began);
        order("order-6", "back", null, null);
        await("the release is over", state -> state.rollout() == null && isWhole(state));
    }
}
