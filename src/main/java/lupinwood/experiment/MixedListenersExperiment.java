package lupinwood.experiment;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import lupinwood.admission.AdmissionController;
import lupinwood.ajp.BackReader;
import lupinwood.config.Config;
import lupinwood.config.Reader;
import lupinwood.log.Log;
import lupinwood.net.NodeConfig;
import lupinwood.net.NodeServer;

/**
 * One node with both fronts and all kinds of requests on each: web servers that cut off, leave off
 * and show wrong secrets, unlocks whose mark comes over both fronts at once, and a notice to leave
 * in the middle of it.
 */
final class MixedListenersExperiment implements Experiment {
    private static final int CALLERS = 6;
    private static final long TIMEOUT_MILLIS = 6000;
    private static final String SECRET = "lab secret";

    private final Random random;
    private final int requests;
    private final Log log;
    private final Audit audit = new Audit();
    private final StandInExecutor executor = new StandInExecutor(3, audit, run -> {});
    private final List<String> wrong = new ArrayList<>();
    private int resp;
    private int ajp;
    private volatile boolean leaving;

    /**
     * @param requests how many each caller sends
     */
    MixedListenersExperiment(long seed, int requests, Log log) {
        random = new Random(seed);
        this.requests = requests;
        this.log = log;
    }

    @Override
    public Outcome run() throws Exception {
        try (LoopbackServer work = new LoopbackServer(0, executor::talk);
                LoopbackServer dependency = new LoopbackServer(0, StandIns::dependency);
                LoopbackServer registry = new LoopbackServer(0, StandIns::registry);
                LoopbackServer good =
                        new LoopbackServer(
                                0, new StandInServer(audit, random.nextLong(), 0)::talk);
                LoopbackServer bad =
                        new LoopbackServer(
                                0, new StandInServer(audit, random.nextLong(), 20)::talk);
                LoopbackServer worse =
                        new LoopbackServer(
                                0, new StandInServer(audit, random.nextLong(), 60)::talk)) {
            resp = freePort();
            ajp = freePort();
            NodeServer node =
                    new NodeServer(
                            config(work, dependency, registry, good, bad, worse),
                            AdmissionController::new,
                            log);
            node.start();
            await("the executor's WELCOME", () -> node.executorAt() != null);
            play();
            await("the last answer", () -> audit.openRequests() == 0);
            await(
                    "tables that are level",
                    () -> node.figures().contains(" openRequests=0 requests=0 "));
            leave(node);
            List<String> broken = new ArrayList<>(audit.close());
            broken.addAll(wrong);
            return new Outcome(
                    "mixed-fronts: "
                            + audit.line()
                            + (wrong.isEmpty() ? "" : ", wrong " + wrong.size()),
                    broken);
        }
    }

    private static int freePort() throws IOException {
        try (LoopbackServer free = new LoopbackServer(0, StandIns::mute)) {
            return free.port();
        }
    }

    private void play() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(2 * CALLERS);
        for (int i = 0; i < CALLERS; i++) {
            // Both have the same chance, and with it the same marks: each unlock comes over both
            // fronts at once.
            long seed = random.nextLong();
            LoopbackServer.daemon(() -> guarded(() -> callByResp(new Random(seed)), done));
            LoopbackServer.daemon(
                    () -> guarded(() -> callByAjp(new Random(seed), new Random(seed + 1)), done));
        }
        if (!done.await(120, TimeUnit.SECONDS)) {
            wrongs("callers that never end");
        }
    }

    private interface Job {
        void run() throws IOException, InterruptedException;
    }

    private void guarded(Job job, CountDownLatch done) {
        try {
            job.run();
        } catch (IOException e) {
            if (!leaving) {
                wrongs("a caller's connection broke: " + e);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            done.countDown();
        }
    }

    private synchronized void wrongs(String what) {
        wrong.add(what);
    }

    private record Planned(String className, String body, String mark) {}

    /** What two callers with the same chance plan alike. */
    private static Planned plan(Random chance) {
        int kind = chance.nextInt(10);
        String className =
                kind < 3
                        ? "history"
                        : kind < 4 ? "quote" : kind < 5 ? "report" : kind < 7 ? "lookup" : "unlock";
        long number = chance.nextLong();
        if (kind == 9) {
            className = "unlock-far";
        }
        String mark = className.startsWith("unlock") ? String.format("%016x", number) : null;
        return new Planned(className, className + " \u00e9\0 " + Long.toHexString(number), mark);
    }

    private void callByResp(Random chance) throws IOException, InterruptedException {
        try (Caller caller = new Caller(resp, audit, (id, words) -> {})) {
            for (int i = 0; i < requests; i++) {
                Planned one = plan(chance);
                caller.send(String.format("%016x", chance.nextLong()), sent(one), "north");
                Thread.sleep(1 + chance.nextInt(6));
            }
            await("this caller's last answers", () -> audit.openRequests() == 0);
        }
    }

    private static Audit.Sent sent(Planned one) {
        return new Audit.Sent(
                one.className(),
                one.body(),
                one.mark(),
                System.currentTimeMillis(),
                TIMEOUT_MILLIS);
    }

    private void callByAjp(Random chance, Random faults) throws IOException {
        AjpPeer peer = new AjpPeer(ajp, SECRET);
        for (int i = 0; i < requests; i++) {
            Planned one = plan(chance);
            chance.nextLong();
            chance.nextInt(6);
            byte[] bytes = peer.bytes("/" + one.className(), "north", one.mark(), one.body());
            switch (faults.nextInt(20)) {
                case 0 -> {
                    audit.count("ajp cut");
                    peer.send(Arrays.copyOf(bytes, faults.nextInt(bytes.length)), 1);
                    peer.close();
                    peer = new AjpPeer(ajp, SECRET);
                }
                case 1 -> refused("wrong", peer.bytes("/history", "north", null, "x"));
                case 2 -> refused(SECRET, peer.bytes("/nowhere", "north", null, "x"));
                case 3 ->
                        refused(
                                SECRET,
                                peer.bytes("/unlock", "north", null, "an unlock without its mark"));
                default -> {
                    String id =
                            String.format("ajp%x-%d", System.identityHashCode(peer), i)
                                    + faults.nextLong();
                    audit.sent(id, sent(one));
                    peer.send(bytes, 1 + faults.nextInt(4));
                    BackReader.Answer answer = peer.answer();
                    if (answer != null) {
                        audit.answer(
                                id,
                                word(answer.status()),
                                new String(answer.body(), StandardCharsets.ISO_8859_1),
                                System.currentTimeMillis());
                    }
                    if (answer == null || !answer.reuse()) {
                        peer.close();
                        peer = new AjpPeer(ajp, SECRET);
                    }
                }
            }
        }
        peer.close();
    }

    /** On a connection of its own, which the node may end. */
    private void refused(String secret, byte[] bytes) throws IOException {
        audit.count("ajp refused");
        try (AjpPeer stranger = new AjpPeer(ajp, secret)) {
            byte[] shown =
                    secret.equals(SECRET)
                            ? bytes
                            : stranger.bytes("/history", "north", null, "must not run");
            stranger.send(shown, 1);
            BackReader.Answer answer = stranger.answer();
            if (answer != null && (answer.status() == 200 || answer.status() >= 500)) {
                wrongs("a request that is no ticket got " + answer.status());
            }
        }
    }

    private static String word(int status) {
        return status == 200 ? "ACK" : status == 503 ? "NAK" : "FAIL";
    }

    /** New requests after the notice are rejected on both fronts, and none of them runs. */
    private void leave(NodeServer node) throws Exception {
        leaving = true;
        try (AjpPeer peer = new AjpPeer(ajp, SECRET)) {
            Thread notice =
                    new Thread(
                            () -> {
                                try {
                                    node.leave();
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                            });
            notice.start();
            Thread.sleep(700); // over the grace, within the time that the listener stays open
            int runs = audit.of("runs");
            peer.send(peer.bytes("/history", "north", null, "late"), 1);
            BackReader.Answer answer = peer.answer();
            if (answer == null
                    || answer.status() != 503
                    || !answer.headers().containsKey("retry-after")) {
                wrongs("after the notice to leave: " + answer);
            }
            notice.join(10_000);
            if (audit.of("runs") != runs) {
                wrongs("something ran that came over the grace after the notice");
            }
        }
    }

    private void await(String what, BooleanSupplier done) throws InterruptedException {
        long end = System.currentTimeMillis() + 20_000;
        while (!done.getAsBoolean()) {
            if (System.currentTimeMillis() > end) {
                wrongs("waited in vain for " + what);
                return;
            }
            Thread.sleep(1);
        }
    }

    private NodeConfig config(
            LoopbackServer work,
            LoopbackServer dependency,
            LoopbackServer registry,
            LoopbackServer... servers)
            throws NodeConfig.UnusableConfiguration {
        String text =
                """
                name mixed
                listen "127.0.0.1:%d"
                executor "%s"
                index "%s"
                naming "%s"
                seed "5707"
                stop 4s
                step 4ms
                limits { descriptors 512 }
                machine { cores 4; memory 400MB; below one-for-all; calls-out 64; calls-over 5s; linger 200ms
                    gauges core_use on_cores heap_share links; advice allowance; idle-connections 30s }
                goal { whole 50%%; worst-track 50%% }
                bounced { come-back-after-most 1s; tells-when #true }
                rules { drain-grace 500ms; crowd 6; crowd-over 2s }
                customer north { share 100%%; quota 5000/s }
                track history { effect pure; agreed-time 2s; abandon-time 6s }
                track quote { effect pure; agreed-time 2s; abandon-time 6s; calls #true }
                track unlock { effect receipted; agreed-time 2s; abandon-time 6s; window 60s; calls #true }
                track lookup { effect pure; agreed-time 2s; abandon-time 6s }
                track unlock-far { effect receipted; agreed-time 2s; abandon-time 6s; window 60s }
                track report { effect effectful; agreed-time 2s; abandon-time 6s; calls #true }
                ajp { listen "127.0.0.1:%d"; secret "%s" }
                route history { path "/history"; track history }
                route quote { path "/quote*"; method POST; track quote }
                route unlock { path "/unlock"; track unlock }
                route lookup { path "/lookup"; track lookup }
                route unlock-far { path "/unlock-far"; track unlock-far }
                server good { address "%s"; tracks lookup unlock-far }
                server bad { address "%s"; tracks lookup unlock-far }
                server worse { address "%s"; tracks lookup unlock-far }
                server gone { address "127.0.0.1:9"; tracks lookup unlock-far }
                route report { path "/report"; track report; customer north }
                """
                        .formatted(
                                resp,
                                work.address(),
                                dependency.address(),
                                registry.address(),
                                ajp,
                                SECRET,
                                servers[0].address(),
                                servers[1].address(),
                                servers[2].address());
        Config config = Reader.read(new TextSource(text), "mixed");
        if (!config.diagnostics().isEmpty()) {
            throw new IllegalStateException(config.diagnostics().all().toString());
        }
        return NodeConfig.of(config.parsedSettings());
    }
}
