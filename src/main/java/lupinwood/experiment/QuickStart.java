package lupinwood.experiment;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lupinwood.admission.AdmissionController;
import lupinwood.config.Config;
import lupinwood.config.Reader;
import lupinwood.log.Log;
import lupinwood.net.NodeConfig;
import lupinwood.net.NodeServer;

/**
 * A first look: a node with stand-ins, one request of each kind, and what the node says to each.
 */
final class QuickStart implements Experiment {
    private static final String NODE =
            """
            name tour
            listen "127.0.0.1:%d"
            executor "%s"
            index "%s"
            naming "%s"
            seed "%x"
            stop 3s
            step 4ms
            limits { descriptors 256 }
            machine { cores 2; memory 40MB; below one-for-all; calls-out 4; calls-over 5s; linger 200ms
                gauges core_use on_cores heap_share links; advice allowance; idle-connections 30s }
            goal { whole 100%% }
            bounced { come-back-after-most 1s; tells-when #true }
            rules { drain-grace 1s; crowd 6; crowd-over 2s }
            customer north { share 100%%; quota 30/s }
            track history { effect pure; agreed-time 2s; abandon-time 8s }
            track quote { effect pure; agreed-time 2s; abandon-time 8s; calls #true }
            track unlock { effect receipted; agreed-time 2s; abandon-time 4s; window 12s; calls #true }
            track report { effect effectful; agreed-time 2s; abandon-time 8s }
            """;
    private static final String[][] REQUESTS = {
        {"history", "my rides", null, "pure: runs, no call"},
        {"quote", "a short ride", null, "pure: runs and calls the index"},
        {"unlock", "scooter 7", "70c7e7", "receipted: runs once"},
        {
            "unlock",
            "scooter 7",
            "70c7e7",
            "the same mark again: the first one's result, not run again"
        },
        {"unlock", "scooter 8", "70c7e7", "the same mark on another body: abandoned, not run"},
        {"report", "a flat tyre", null, "effectful: runs, and never twice"},
        {"flight", "to the moon", null, "no track of this node: abandoned at once"}
    };

    private final long seed;
    private final PrintStream out;
    private final Log log;

    QuickStart(long seed, PrintStream out, Log log) {
        this.seed = seed;
        this.out = out;
        this.log = log;
    }

    @Override
    public Outcome run() throws Exception {
        Audit audit = new Audit();
        StandInExecutor executor =
                new StandInExecutor(50, audit, run -> out.println("    the executor runs " + run));
        int port;
        try (LoopbackServer free = new LoopbackServer(0, StandIns::mute)) {
            port = free.port();
        }
        try (LoopbackServer work = new LoopbackServer(0, executor::talk);
                LoopbackServer dependency = new LoopbackServer(0, StandIns::dependency);
                LoopbackServer registry = new LoopbackServer(0, StandIns::registry)) {
            String text =
                    NODE.formatted(
                            port,
                            work.address(),
                            dependency.address(),
                            registry.address(),
                            seed & 0xFFFFFF);
            out.println(
                    "A node on 127.0.0.1:"
                            + port
                            + ", with stand-ins for its executor, index and name service:\n");
            text.lines().forEach(line -> out.println("    " + line));
            NodeServer node = new NodeServer(config(text), AdmissionController::new, log);
            node.start();
            while (node.executorAt() == null) {
                Thread.sleep(5);
            }
            List<String> odd = requests(port, audit);
            node.leave();
            List<String> broken = new ArrayList<>(audit.close());
            broken.addAll(odd);
            return new Outcome("tour: " + audit.line(), broken);
        }
    }

    private List<String> requests(int port, Audit audit) throws Exception {
        List<String> odd = new ArrayList<>();
        for (int i = 0; i < REQUESTS.length; i++) {
            String[] request = REQUESTS[i];
            CountDownLatch answered = new CountDownLatch(1);
            String id = String.format("%016x", seed * 1000 + i);
            out.println(
                    "\n"
                            + request[0]
                            + " '"
                            + request[1]
                            + "'"
                            + (request[2] == null ? "" : " with the mark " + request[2])
                            + "  ("
                            + request[3]
                            + ")");
            try (Caller caller =
                    new Caller(
                            port,
                            audit,
                            (tried, words) -> {
                                String said = words.get(1);
                                out.println(
                                        "    "
                                                + (said.equals("ACK")
                                                        ? "satisfied: " + words.get(3)
                                                        : said.equals("NAK")
                                                                ? "bounced"
                                                                : "abandoned")
                                                + "   ["
                                                + words.get(2)
                                                + "]");
                                answered.countDown();
                            })) {
                caller.send(
                        id,
                        new Audit.Sent(
                                request[0],
                                request[1],
                                request[2],
                                System.currentTimeMillis(),
                                8000),
                        "north");
                if (!answered.await(10, TimeUnit.SECONDS)) {
                    odd.add("no answer to " + request[0]);
                }
            }
        }
        return odd;
    }

    private static NodeConfig config(String text) throws NodeConfig.UnusableConfiguration {
        Config config = Reader.read(new TextSource(text), "tour");
        if (!config.diagnostics().isEmpty()) {
            throw new IllegalStateException(config.diagnostics().all().toString());
        }
        return NodeConfig.of(config.parsedSettings());
    }
}
