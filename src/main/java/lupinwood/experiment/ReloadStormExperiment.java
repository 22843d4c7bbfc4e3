package lupinwood.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import lupinwood.admission.AdmissionController;
import lupinwood.load.Loader;
import lupinwood.load.Reloader;
import lupinwood.log.Log;
import lupinwood.net.NodeConfig;
import lupinwood.net.NodeServer;
import lupinwood.reload.FileFingerprint;
import lupinwood.reload.ReloadScheduler;

/**
 * One node in this process under a load of all kinds of requests, while its configuration changes
 * again and again: valid, broken, half-written, in bursts, to executors at other addresses and to
 * one that never says WELCOME.
 */
final class ReloadStormExperiment implements Experiment {
    private static final int CALLERS = 4;
    private static final long RESPONSE_TIMEOUT_MILLIS = 20_000;
    private static final long TIMEOUT_MILLIS = 6000;

    private final Random random;
    private final int reloads;
    private final Log log;
    private final Audit audit = new Audit();
    private final StandInExecutor executor = new StandInExecutor(4, audit, run -> {});
    private final List<String> wrong = new ArrayList<>();
    private final AtomicBoolean sending = new AtomicBoolean(true);

    /** How long the event loop thread was busy with each reload, in microseconds. */
    private final List<Long> steps = new ArrayList<>();

    private LoopbackServer[] executors;
    private LoopbackServer[] indexes;
    private LoopbackServer[] namings;
    private LoopbackServer mute;
    private int listen;
    private Path directory;
    private Reloader reloader;
    private NodeServer node;
    private int window = 9000;
    private int quota = 500;
    private int place;

    ReloadStormExperiment(long seed, int reloads, Log log) {
        random = new Random(seed);
        this.reloads = reloads;
        this.log = log;
    }

    @Override
    public Outcome run() throws Exception {
        directory = Files.createTempDirectory("lab");
        executors =
                new LoopbackServer[] {
                    new LoopbackServer(0, executor::talk), new LoopbackServer(0, executor::talk)
                };
        indexes =
                new LoopbackServer[] {
                    new LoopbackServer(0, StandIns::dependency),
                    new LoopbackServer(0, StandIns::dependency)
                };
        namings =
                new LoopbackServer[] {
                    new LoopbackServer(0, StandIns::registry),
                    new LoopbackServer(0, StandIns::registry)
                };
        mute = new LoopbackServer(0, StandIns::mute);
        try (LoopbackServer free = new LoopbackServer(0, StandIns::mute)) {
            listen = free.port();
        }
        Files.writeString(directory.resolve("rest.kdl"), rest());
        replace(text(false));
        Loader loader = new Loader(directory.resolve("node.kdl"), null);
        FileFingerprint looked = loader.look();
        Loader.Loaded loaded = loader.load();
        node = new NodeServer(loaded.config(), AdmissionController::new, log);
        node.start();
        reloader = new Reloader(loader, loaded, looked, false, node, log);
        reloader.start();
        await("the executor's first WELCOME", () -> node.executorAt() != null);
        for (int i = 0; i < CALLERS; i++) {
            long seed = random.nextLong();
            LoopbackServer.daemon(() -> call(new Random(seed)));
        }
        for (int i = 0; i < reloads; i++) {
            reload(random.nextInt(12));
        }
        replace(text(false));
        settle();
        Thread.sleep(300); // the load goes on for a while under the last configuration
        sending.set(false);
        await("the last answer", () -> audit.openRequests() == 0);
        await(
                "tables that are level",
                () -> node.figures().contains(" openRequests=0 requests=0 "));
        node.leave();
        List<String> broken = new ArrayList<>(audit.close());
        broken.addAll(wrong);
        closeAll();
        steps.sort(null);
        return new Outcome(
                "reload-storm: reloads "
                        + reloads
                        + ", step us median "
                        + steps.get(steps.size() / 2)
                        + " most "
                        + steps.get(steps.size() - 1)
                        + ", links "
                        + executor.links()
                        + ", "
                        + audit.line()
                        + (wrong.isEmpty() ? "" : ", wrong " + wrong.size()),
                broken);
    }

    private void closeAll() throws IOException {
        for (LoopbackServer[] proxies :
                new LoopbackServer[][] {executors, indexes, namings, {mute}}) {
            for (LoopbackServer proxy : proxies) {
                proxy.close();
            }
        }
        for (String name : List.of("node.kdl", "rest.kdl", "next.kdl")) {
            Files.deleteIfExists(directory.resolve(name));
        }
        Files.deleteIfExists(directory);
    }

    // ---- load ----

    private void call(Random chance) {
        try (Caller caller = new Caller(listen, audit, (id, words) -> {})) {
            String lastMark = null;
            String lastBody = "";
            while (sending.get()) {
                String id = String.format("%016x", chance.nextLong());
                int kind = chance.nextInt(10);
                String className =
                        kind < 4 ? "history" : kind < 6 ? "quote" : kind < 7 ? "report" : "unlock";
                String mark = null;
                String body = className + " " + id;
                if (className.equals("unlock")) {
                    boolean repeat = lastMark != null && chance.nextInt(3) == 0;
                    mark =
                            repeat
                                    ? lastMark
                                    : String.format(
                                            "%016x%016x", chance.nextLong(), chance.nextLong());
                    body = repeat ? lastBody : body;
                    lastMark = mark;
                    lastBody = body;
                }
                caller.send(
                        id,
                        new Audit.Sent(
                                className, body, mark, System.currentTimeMillis(), TIMEOUT_MILLIS),
                        chance.nextBoolean() ? "north" : "south");
                Thread.sleep(4 + chance.nextInt(8));
            }
            await("this caller's last answers", () -> audit.openRequests() == 0);
        } catch (IOException e) {
            synchronized (wrong) {
                wrong.add("a caller's connection broke: " + e.getMessage());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- reloads ----

    private void reload(int kind) throws Exception {
        switch (kind) {
            case 0, 1, 2, 3 -> valid();
            case 4, 5 -> broken(text(false).replace("stop 3s", "stop 3"));
            case 6 -> broken(text(false).replace("effect receipted", "effect pure"));
            case 7, 8 -> halfWritten();
            case 9, 10 -> burst();
            default -> toTheMute();
        }
    }

    private void change() {
        place = random.nextInt(2);
        quota = 300 + random.nextInt(500);
        window = 8000 + random.nextInt(4000);
    }

    private void valid() throws Exception {
        change();
        replace(text(false));
        settle();
    }

    private void broken(String text) throws Exception {
        NodeConfig before = node.goesBy();
        replace(text);
        reloader.signal();
        audit.count("refused");
        await("an end of the reading", () -> reloader.isIdle());
        if (!node.goesBy().equals(before)) {
            wrong.add("a configuration that can't be used changed the node");
        }
    }

    /**
     * Written in two parts, with the signal in between; the first part is a sound text, and another
     * one.
     */
    private void halfWritten() throws Exception {
        change();
        String text = text(false);
        int half = text.indexOf("moves {");
        Path file = directory.resolve("node.kdl");
        Files.writeString(file, text.substring(0, half).replaceFirst("quota \\d+/s", "quota 1/s"));
        long begun = System.nanoTime();
        reloader.signal();
        Thread.sleep(random.nextInt(20));
        boolean early = node.goesBy().parsedSettings().value("customer north quota").equals("1");
        Files.writeString(file, text);
        audit.count("half-written");
        if (early && System.nanoTime() - begun < ReloadScheduler.QUIET.nanos()) {
            wrong.add("half of a text was taken over");
        }
        settle();
    }

    private void burst() throws Exception {
        int times = 2 + random.nextInt(8);
        for (int i = 0; i < times; i++) {
            change();
            replace(text(false));
            reloader.signal();
        }
        settle();
    }

    /**
     * The node goes back to the old executor by itself, and there again once it is configured so.
     */
    private void toTheMute() throws Exception {
        replace(text(true));
        reloader.signal();
        audit.count("mute");
        await("the new address", () -> node.goesBy().executor().getPort() == mute.port());
        int links = executor.links();
        await("the way back", () -> executor.links() > links);
        replace(text(false));
        settle();
    }

    /** Signals, and waits until the node goes by the newest file. */
    private void settle() throws Exception {
        reloader.signal();
        audit.count("applied");
        await(
                "the newest configuration",
                () -> {
                    NodeConfig now = node.goesBy();
                    return now.parsedSettings()
                                    .value("customer north quota")
                                    .equals(Integer.toString(quota))
                            && now.executor().getPort() == executors[place].port()
                            && now.settings().get("services.2.window_ns").equals(window + "000000");
                });
        steps.add(node.latestStep().nanos() / 1000);
        await("the executor there", () -> node.executorAt().getPort() == executors[place].port());
    }

    private void replace(String text) throws IOException {
        Path next = Files.writeString(directory.resolve("next.kdl"), text);
        Files.move(
                next,
                directory.resolve("node.kdl"),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    private void await(String what, BooleanSupplier done) throws InterruptedException {
        long end = System.currentTimeMillis() + RESPONSE_TIMEOUT_MILLIS;
        while (!done.getAsBoolean()) {
            if (System.currentTimeMillis() > end) {
                synchronized (wrong) {
                    wrong.add("waited in vain for " + what);
                }
                return;
            }
            Thread.sleep(1);
        }
    }

    // ---- texts ----

    private String text(boolean toMute) {
        return """
                name storm
                listen "127.0.0.1:%d"
                executor "%s"
                index "%s"
                naming "%s"
                stop 3s
                customer north { share 50%%; quota %d/s }
                track history { effect pure; agreed-time 2s; abandon-time %dms }
                track quote { effect pure; agreed-time 2s; abandon-time %dms; calls #true }
                track unlock { effect receipted; agreed-time 2s; abandon-time %dms; window %dms; calls #true }
                track report { effect effectful; agreed-time 2s; abandon-time %dms; calls #true }
                include "rest.kdl"
                moves { welcome-within 150ms }
                """
                .formatted(
                        listen,
                        toMute ? mute.address() : executors[place].address(),
                        indexes[place].address(),
                        namings[place].address(),
                        quota,
                        TIMEOUT_MILLIS,
                        TIMEOUT_MILLIS,
                        TIMEOUT_MILLIS,
                        window,
                        TIMEOUT_MILLIS);
    }

    private static String rest() {
        return """
                seed "5707"
                step 4ms
                limits { descriptors 512 }
                machine { cores 4; memory 400MB; below one-for-all; calls-out 64; calls-over 5s; linger 200ms
                    gauges core_use on_cores heap_share links; advice allowance; idle-connections 30s }
                goal { whole 50%; worst-track 50% }
                bounced { come-back-after-most 1s; tells-when #true }
                rules { drain-grace 1s; crowd 6; crowd-over 2s }
                customer south { share 50%; quota 500/s }
                """;
    }
}
