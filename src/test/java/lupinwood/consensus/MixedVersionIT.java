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
 * Replaces three voters of an earlier version by this version one by one, on the same storage
 * directories: the replicated state is kept, and mixed versions replicate further commands. Runs
 * only if the system property {@code lupinwood.previousJar} names the earlier version's jar.
 */
@Timeout(value = 240, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class MixedVersionIT {
    private static final String PREVIOUS_JAR = System.getProperty("lupinwood.previousJar");
    private static final int VOTERS = 3;
    private static final NanoDuration QUERY_TIMEOUT = NanoDuration.ofSeconds(2);
    private static final int MAX_BACKLOG_CONNECTIONS = 100;
    private static final long WAIT_SECONDS = 30;
    private static final String NODE_CONFIG =
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

    @TempDir private Path workDirectory;
    private final Log discardingLog =
            new Log(new PrintStream(new ByteArrayOutputStream()), Instant::now);
    private final List<InetSocketAddress> addresses = new ArrayList<>();

    private ServerSocket executorListener;

    private final Process[] processes = new Process[VOTERS];

    @BeforeEach
    void startPreviousVersion() throws IOException {
        assumeTrue(PREVIOUS_JAR != null, "lupinwood.previousJar isn't set");
        executorListener =
                new ServerSocket(0, MAX_BACKLOG_CONNECTIONS, InetAddress.getLoopbackAddress());
        startDaemon(this::acceptExecutorConnections);
        for (int i = 0; i < VOTERS; i++) {
            addresses.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort()));
        }
        for (int i = 0; i < VOTERS; i++) {
            Files.createDirectories(directory(i));
            StringBuilder text = new StringBuilder();
            text.append(
                    NODE_CONFIG.formatted(
                            i,
                            freePort(),
                            executorListener.getLocalPort(),
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
    void stopAll() throws InterruptedException, IOException {
        if (executorListener != null) {
            executorListener.close();
        }
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
            }
        }
    }

    /**
     * A stand-in for the executor: accepts connections, is warm, and runs nothing. A node without
     * an executor gets no duty.
     */
    private void acceptExecutorConnections() {
        while (!executorListener.isClosed()) {
            try {
                Socket connection = executorListener.accept();
                startDaemon(() -> answerCommands(connection));
            } catch (IOException e) {
                return; // the test has ended
            }
        }
    }

    private static void startDaemon(Runnable job) {
        Thread thread = new Thread(job, "executor");
        thread.setDaemon(true);
        thread.start();
    }

    private static void answerCommands(Socket connection) {
        try (connection;
                BufferedReader in =
                        new BufferedReader(
                                new InputStreamReader(connection.getInputStream(), US_ASCII))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                List<String> fields = List.of(line.split(" ", 0));
                String answer =
                        fields.get(0).equals("JOIN")
                                ? "WELCOME WARM 60000\r\n"
                                : "METERS " + fields.get(1) + " 0.5 0 0.1 1\r\n";
                connection.getOutputStream().write(answer.getBytes(US_ASCII));
            }
        } catch (IOException e) {
            // the node closed the connection
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    private Path directory(int number) {
        return workDirectory.resolve("n" + number);
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
        Files.writeString(log(number), ""); // the log now has only this version's lines
        start(number, System.getProperty("java.class.path"));
    }

    private RaftReplica.ReplicaView await(String what, Predicate<RaftReplica.ReplicaView> isReached)
            throws InterruptedException, IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        RaftReplica.ReplicaView state = null;
        while (System.nanoTime() < end && Stream.of(processes).allMatch(Process::isAlive)) {
            state = ClusterQuery.state(addresses, QUERY_TIMEOUT, discardingLog, true);
            if (state != null && isReached.test(state)) {
                return state;
            }
            Thread.sleep(100);
        }
        StringBuilder logs = new StringBuilder();
        for (int i = 0; i < VOTERS; i++) {
            logs.append("\n--- n").append(i).append('\n').append(Files.readString(log(i)));
        }
        return fail("not in time, or a process ended: " + what + "; last " + state + logs);
    }

    private String order(
            String id, String kind, RaftReplica.RolloutRequest rolloutRequest, String server)
            throws InterruptedException {
        RaftReplica.OperatorOrder order =
                new RaftReplica.OperatorOrder(id, kind, null, "ann", rolloutRequest, server);
        for (int i = 0; i < 10; i++) {
            RaftReplica.OrderResult answer =
                    ClusterQuery.order(addresses, order, NanoDuration.ofSeconds(10), discardingLog);
            if (answer != null && answer.done()) {
                return answer.text();
            }
            Thread.sleep(500); // no leader yet, or the earlier order isn't finished yet
        }
        return fail("order was not executed: " + order);
    }

    private static Map<DutyName, FencingToken> tokens(RaftReplica.ReplicaView state) {
        Map<DutyName, FencingToken> tokens = new HashMap<>();
        state.duties().forEach(lease -> tokens.put(lease.duty(), lease.token()));
        return tokens;
    }

    private static Map<NodeName, Incarnation> incarnations(RaftReplica.ReplicaView state) {
        Map<NodeName, Incarnation> incarnations = new HashMap<>();
        state.members().forEach(member -> incarnations.put(member.name(), member.incarnation()));
        return incarnations;
    }

    private static boolean isComplete(RaftReplica.ReplicaView state) {
        return state.leader() != null
                && state.members().size() == VOTERS
                && state.members().stream().allMatch(ClusterState.Member::active)
                && state.duties().size() == ClusterNode.DUTIES.size()
                && state.duties().stream().noneMatch(ClusterState.DutyLease::isFree)
                && !state.plans().isEmpty();
    }

    /**
     * Replaces one voter and checks that the replicated state is kept and that nothing in it goes
     * backwards.
     */
    private RaftReplica.ReplicaView replaceAndCompare(int number, RaftReplica.ReplicaView before)
            throws IOException, InterruptedException {
        NodeName name = new NodeName("n" + number);
        Incarnation previous = incarnations(before).get(name);
        replace(number);
        RaftReplica.ReplicaView after =
                await(
                        name + " is a member again",
                        state ->
                                isComplete(state)
                                        && !incarnations(state).get(name).equals(previous));
        Map<NodeName, Incarnation> others = incarnations(before);
        others.remove(name);
        assertThat(incarnations(after)).containsAllEntriesOf(others);
        tokens(before)
                .forEach(
                        (duty, token) ->
                                assertThat(tokens(after).get(duty))
                                        .as("the token of " + duty)
                                        .isGreaterThanOrEqualTo(token));
        before.duties().stream()
                .filter(lease -> tokens(after).get(lease.duty()).equals(lease.token()))
                .forEach(lease -> assertThat(after.duties()).contains(lease));
        assertThat(after.history().subList(0, before.history().size())).isEqualTo(before.history());
        assertThat(after.cordons()).isEqualTo(before.cordons());
        assertThat(after.permits()).isEqualTo(before.permits());
        assertThat(after.haltedBy()).isEqualTo(before.haltedBy());
        assertThat(after.goodConfigDigest()).isEqualTo(before.goodConfigDigest());
        assertThat(after.rollout()).isEqualTo(before.rollout());
        assertThat(after.lastPlanNumber()).isGreaterThanOrEqualTo(before.lastPlanNumber());
        assertThat(after.plans().stream().filter(plan -> plan.number() <= before.lastPlanNumber()))
                .isSubsetOf(before.plans());
        assertThat(after.commandCount()).isGreaterThan(before.commandCount());
        assertThat(Files.readString(log(number)))
                .contains("voter started storage=VOTES next=resume")
                .doesNotContain("can't be read", "cannot be read");
        return after;
    }

    private ClusterQuery.Wanted wanted() throws InterruptedException {
        return ClusterQuery.wanted(
                addresses, new NodeName("n1"), NanoDuration.ofSeconds(20), discardingLog);
    }

    @Test
    void replicatedStateSurvivesReplacingVotersOneByOne() throws Exception {
        await("the cluster is complete", MixedVersionIT::isComplete);
        RaftReplica.RolloutRequest program =
                new RaftReplica.RolloutRequest(Rollout.Kind.PROGRAM, "0.6", "", false);
        String rolloutAnswer = order("order-1", "release", program, null);
        order("order-2", "back", null, null);
        await("the rollout has ended", state -> state.rollout() == null);
        String cordonAnswer = order("order-3", "rest", null, "s0");
        RaftReplica.ReplicaView before =
                await("s0 is cordoned", state -> !state.cordons().isEmpty() && isComplete(state));
        assertThat(before.cordons()).containsExactly(new Cordon("s0", "ann"));

        RaftReplica.ReplicaView mixed = replaceAndCompare(0, before);
        assertThat(order("order-3", "rest", null, "s0"))
                .as("executed once")
                .isEqualTo(cordonAnswer);
        assertThat(wanted()).isEqualTo(new ClusterQuery.Wanted("", "", "", List.of("s0")));
        replaceAndCompare(1, mixed);

        order("order-4", "unrest", null, "s0");
        order("order-5", "release", program, null);
        mixed =
                await(
                        "a rollout is in progress",
                        state -> state.rollout() != null && isComplete(state));
        assertThat(mixed.cordons()).isEmpty();
        RaftReplica.ReplicaView all = replaceAndCompare(2, mixed);

        assertThat(all.rollout().number()).isEqualTo(2);
        assertThat(all.rollout().to()).isEqualTo("0.6");
        assertThat(order("order-1", "release", program, null))
                .as("executed once")
                .isEqualTo(rolloutAnswer);
        order("order-6", "back", null, null);
        await("the rollout has ended", state -> state.rollout() == null && isComplete(state));
    }
}
