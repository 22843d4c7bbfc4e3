package lupinwood.experiment;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.Stream;
import lupinwood.admission.NanoDuration;
import lupinwood.consensus.ClusterQuery;
import lupinwood.consensus.RaftReplica;
import lupinwood.log.Log;

/**
 * Real nodes as processes on loopback, the first of them voters, each with its executor, a caller
 * who sends it requests, and links of its own to each voter and to where the status reporter
 * reports. All stand-ins live here, in the one who plays.
 */
final class ProcessCluster implements Closeable {
    private static final int TIMEOUT_MILLIS = 6000;

    /** One node with all that belongs to it. */
    final class Member {
        final int place;
        final NodeProcess process;
        final List<FaultProxy> toVoters = new ArrayList<>();
        final FaultProxy toSink;
        final Audit audit = new Audit();
        private final StandInExecutor executor = new StandInExecutor(workMillis, audit, run -> {});
        private final LoopbackServer work = new LoopbackServer(0, executor::talk);
        private final LoopbackServer sinkProxy;
        private final int port = freePort();
        private final Random chance;
        private final Map<String, Long> sentAt = new ConcurrentHashMap<>();
        private final List<Long> micros = new ArrayList<>();
        private volatile Caller caller;
        private volatile long stalledUntil;
        private volatile long slowUntil;
        private volatile boolean quiet;
        private volatile long shiftMillis;
        private volatile long stalledFrom = Long.MAX_VALUE;

        private Member(int place, List<Integer> voterPorts, StatusSink sink) throws IOException {
            this.place = place;
            chance = new Random(random.nextLong());
            String name = "n" + place;
            for (int voter : voterPorts) {
                toVoters.add(new FaultProxy(voter));
            }
            sinkProxy = new LoopbackServer(0, sink.from(name));
            toSink = new FaultProxy(sinkProxy.port());
            process =
                    new NodeProcess(
                            name,
                            at.resolve(name),
                            config(name, place < voterPorts.size() ? voterPorts.get(place) : 0),
                            line -> log.accept(name + ": " + line));
        }

        private String config(String name, int listen) {
            StringBuilder text =
                    new StringBuilder(
                            NODE.formatted(
                                    name,
                                    port,
                                    work.address(),
                                    dependency.address(),
                                    registry.address(),
                                    1000 + place));
            if (place >= inFleet) {
                return text.toString();
            }
            text.append(
                    FLEET.formatted(
                            leaseMillis,
                            region(place % zones),
                            place % zones,
                            toSink.address(),
                            listen > 0
                                    ? "; listen \"127.0.0.1:" + listen + "\"; folder council"
                                    : ""));
            text.append(more);
            for (int i = 0; i < toVoters.size(); i++) {
                text.append("voter n")
                        .append(i)
                        .append(" { address \"")
                        .append(toVoters.get(i).address())
                        .append("\" }\n");
            }
            return text.toString();
        }

        /** Held up from now until so long after {@link #goesOn}: what it does late is excused. */
        void stalled() {
            stalledFrom = Math.min(stalledFrom, System.currentTimeMillis());
            stalledUntil = Long.MAX_VALUE;
            audit.excuse();
        }

        void goesOn() {
            audit.excuse();
            stalledUntil = System.currentTimeMillis();
        }

        /** What it does outside may arrive so late until then, and a lease more. */
        void slow(double seconds, int millis) {
            slowUntil = System.currentTimeMillis() + (long) (seconds * 1000) + millis + leaseMillis;
            toSink.delay(millis);
        }

        boolean wasStalled(long since) {
            return (stalledFrom <= System.currentTimeMillis() && stalledUntil >= since)
                    || slowUntil >= since;
        }

        private boolean isStalled() {
            return stalledUntil == Long.MAX_VALUE;
        }

        void kill() throws InterruptedException {
            stalled();
            process.kill();
            audit.excuse();
            Caller gone = caller;
            caller = null;
            close(gone);
        }

        void start() throws IOException {
            process.start();
            quiet = false;
            goesOn();
        }

        /**
         * Started anew with something wrong, or with nothing: its wall clock is so far off, which
         * its caller shares.
         */
        void startWrong(long shift, List<String> options) throws IOException, InterruptedException {
            kill();
            shiftMillis = shift;
            process.wrong(options);
            start();
        }

        private void answered(String id) {
            Long sent = sentAt.remove(id);
            if (sent != null) {
                synchronized (micros) {
                    micros.add((System.nanoTime() - sent) / 1000);
                }
            }
        }

        /** What part of the answers took no longer, in milliseconds. */
        double took(double part) {
            synchronized (micros) {
                List<Long> sorted = micros.stream().sorted().toList();
                return sorted.isEmpty()
                        ? 0
                        : sorted.get((int) (part * (sorted.size() - 1))) / 1000.0;
            }
        }

        /**
         * Told to leave while nothing new comes: it goes by itself, and has answered all. What is
         * wrong, or null.
         */
        String leaves() throws InterruptedException {
            quiet = true;
            Thread.sleep(50);
            String wrong =
                    process.leave(8)
                            ? null
                            : process.name() + " did not leave in good order: " + last(process);
            if (wrong == null && audit.openRequests() > 0) {
                wrong =
                        process.name()
                                + " left with "
                                + audit.openRequests()
                                + " tickets unanswered";
            }
            kill();
            return wrong;
        }

        /** Sends a request now and then, while the node is there. */
        private void send() {
            if (!process.isUp() || isStalled() || quiet) {
                return;
            }
            try {
                if (caller == null || caller.isFinished()) {
                    caller = new Caller(port, audit, (id, words) -> answered(id), true);
                }
                String id = String.format("%016x", chance.nextLong());
                boolean unlock = chance.nextInt(3) == 0;
                String mark = unlock ? String.format("%016x", chance.nextLong()) : null;
                String className = unlock ? "unlock" : chance.nextBoolean() ? "quote" : "history";
                sentAt.put(id, System.nanoTime());
                caller.send(
                        id,
                        new Audit.Sent(
                                className,
                                className + " " + id,
                                mark,
                                System.currentTimeMillis(),
                                TIMEOUT_MILLIS),
                        "north",
                        shiftMillis);
            } catch (IOException e) {
                // Not up yet, or gone: what it had is excused with the process, else it is found as
                // lost.
                Caller gone = caller;
                caller = null;
                close(gone);
            }
        }
    }

    private static final int FIRST_PORT = 10_000;
    private static final int PORTS = 20_000;
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 131));
    static final int ZONES = 3;
    private static final String NODE =
            """
            name %s
            listen "127.0.0.1:%d"
            executor "%s"
            index "%s"
            naming "%s"
            seed "%d"
            stop 4s
            step 4ms
            limits { descriptors 512 }
            machine { cores 2; memory 400MB; below one-for-all; calls-out 64; calls-over 5s; linger 200ms
                gauges core_use on_cores heap_share links; advice allowance; idle-connections 30s }
            goal { whole 50%%; worst-track 50%% }
            bounced { come-back-after-most 1s; tells-when #true }
            rules { drain-grace 500ms; crowd 6; crowd-over 2s }
            customer north { share 100%%; quota 5000/s }
            track history { effect pure; agreed-time 2s; abandon-time 6s }
            track quote { effect pure; agreed-time 2s; abandon-time 6s; calls #true }
            track unlock { effect receipted; agreed-time 2s; abandon-time 6s; window 60s; calls #true }
            """;
    private static final String FLEET =
            """
            fleet { lease %dms; region %s; zone z%d; report "%s"%s }
            out { most 2; share 100%%; zone-most 1; zone-share 100%%; least-in 3 }
            """;

    /** What the files say of how much may be out. */
    static final int MOST_OUT = 2;

    final List<Member> members = new ArrayList<>();
    final StatusSink sink;
    private final List<Integer> voterPorts = new ArrayList<>();
    private final int inFleet;
    private final String more;
    private final int regions;
    private final int zones;
    private final long workMillis;
    private final Path at;
    private final Random random;
    private final Consumer<String> log;
    private final long leaseMillis;
    private final LoopbackServer dependency = new LoopbackServer(0, StandIns::dependency);
    private final LoopbackServer registry = new LoopbackServer(0, StandIns::registry);
    private final Log quiet = new Log(new PrintStream(new ByteArrayOutputStream()), Instant::now);
    private volatile boolean over;

    /**
     * @param requestsEvery milliseconds between two requests at each node; zero for none
     */
    ProcessCluster(
            int voters,
            int all,
            long leaseMillis,
            int requestsEvery,
            boolean refusesLower,
            long seed,
            Consumer<String> log)
            throws IOException {
        this(voters, all, all, leaseMillis, requestsEvery, refusesLower, seed, log);
    }

    /**
     * @param inFleet the first so many belong to the fleet, the others stand alone beside it
     */
    ProcessCluster(
            int voters,
            int inFleet,
            int all,
            long leaseMillis,
            int requestsEvery,
            boolean refusesLower,
            long seed,
            Consumer<String> log)
            throws IOException {
        this(voters, inFleet, all, leaseMillis, requestsEvery, refusesLower, seed, log, "", 2);
    }

    /**
     * @param more entries that each file of the fleet has besides
     * @param workMillis what a run works, each time
     */
    ProcessCluster(
            int voters,
            int inFleet,
            int all,
            long leaseMillis,
            int requestsEvery,
            boolean refusesLower,
            long seed,
            Consumer<String> log,
            String more,
            long workMillis)
            throws IOException {
        this(
                voters,
                inFleet,
                all,
                leaseMillis,
                requestsEvery,
                refusesLower,
                seed,
                log,
                more,
                workMillis,
                1,
                ZONES);
    }

    /**
     * @param zones in all; they are parted among the regions
     */
    ProcessCluster(
            int voters,
            int inFleet,
            int all,
            long leaseMillis,
            int requestsEvery,
            boolean refusesLower,
            long seed,
            Consumer<String> log,
            String more,
            long workMillis,
            int regions,
            int zones)
            throws IOException {
        this.regions = regions;
        this.zones = zones;
        this.more = more;
        this.workMillis = workMillis;
        this.inFleet = inFleet;
        random = new Random(seed);
        this.leaseMillis = leaseMillis;
        this.log = log;
        at = Files.createTempDirectory("lupinwood-lab");
        sink =
                new StatusSink(
                        refusesLower,
                        (name, since) ->
                                members.get(Integer.parseInt(name.substring(1))).wasStalled(since));
        for (int i = 0; i < voters; i++) {
            voterPorts.add(freePort());
        }
        for (int i = 0; i < all; i++) {
            members.add(new Member(i, voterPorts, sink));
        }
        if (requestsEvery > 0) {
            LoopbackServer.daemon(() -> load(requestsEvery));
        }
    }

    /**
     * One that no outgoing connection is given by the system: a node binds it some time later, and
     * may be started anew. By another number in each process, since several labs may run at once.
     */
    static int freePort() throws IOException {
        for (int tries = 0; tries < PORTS; tries++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), PORTS);
            try (LoopbackServer free = new LoopbackServer(port, StandIns::mute)) {
                return free.port();
            } catch (IOException e) {
                // In use; the next one may be free.
            }
        }
        throw new IOException("no port is free from " + FIRST_PORT + " on");
    }

    private void load(int every) {
        try {
            while (!over) {
                members.forEach(Member::send);
                Thread.sleep(every);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void startAll() throws IOException {
        for (Member member : members) {
            member.start();
        }
    }

    /** Cuts, or swallows what goes out of, or mends all links of a node to the consensus group. */
    void link(Member member, Consumer<FaultProxy> job) {
        member.toVoters.forEach(job);
    }

    /** The region of a zone, as the files name it. */
    String region(int zone) {
        return regions == 1 ? "r" : "r" + zone * regions / zones;
    }

    /** The links between two zones, both ways. */
    void zone(int zone, int voters, Consumer<FaultProxy> job) {
        for (Member member : members) {
            for (int voter = 0; voter < voters; voter++) {
                if (member.place % zones == zone != (voter % zones == zone)) {
                    job.accept(member.toVoters.get(voter));
                }
            }
        }
    }

    Collection<InetSocketAddress> voterAddresses() {
        return voterPorts.stream()
                .map(port -> new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .toList();
    }

    /** What the one who leads the consensus group knows; null where nobody does. */
    RaftReplica.ReplicaView state() throws InterruptedException {
        return ClusterQuery.state(voterAddresses(), NanoDuration.ofSeconds(2), quiet);
    }

    /** Until somebody leads the consensus group, or for 20 s. */
    void awaitLeader() throws InterruptedException {
        for (int i = 0; i < 100 && state() == null; i++) {
            Thread.sleep(200);
        }
    }

    /** What a command came to. */
    record Said(int status, List<String> lines) {}

    /** An operator's file that names the voters as they are. */
    String operatorFile() {
        StringBuilder text = new StringBuilder("fleet { lease " + leaseMillis + "ms }\n");
        for (int i = 0; i < voterPorts.size(); i++) {
            text.append("voter n")
                    .append(i)
                    .append(" { address \"127.0.0.1:")
                    .append(voterPorts.get(i))
                    .append("\" }\n");
        }
        return text.toString();
    }

    /** Runs a command of the program as a process; the operator's file is its last word. */
    Said command(String... words) throws IOException, InterruptedException {
        Path file = Files.writeString(at.resolve("operator.kdl"), operatorFile());
        List<String> command = NodeProcess.java(List.of("-Xmx64m"), words);
        command.add(file.toString());
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        List<String> lines = process.inputReader().lines().toList();
        return new Said(process.waitFor(), lines);
    }

    /** Ends the load and the nodes, those by a notice to leave; what broke a rule. */
    List<String> leaveAll() throws IOException, InterruptedException {
        over = true;
        Thread.sleep(200);
        List<String> broken = new ArrayList<>(sink.broken());
        for (Member member : members) {
            if (member.process.isStopped()) {
                member.process.goOn();
            }
            if (!member.process.isUp()) {
                broken.add(member.process.name() + " was gone by itself: " + last(member.process));
            }
        }
        List<Thread> leaving = new ArrayList<>();
        for (Member member : members) {
            Thread one =
                    new Thread(
                            () -> {
                                try {
                                    if (!member.process.leave(8)) {
                                        synchronized (broken) {
                                            broken.add(
                                                    member.process.name()
                                                            + " did not leave in good order: "
                                                            + last(member.process));
                                        }
                                    }
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                            });
            one.start();
            leaving.add(one);
        }
        for (Thread one : leaving) {
            one.join();
        }
        for (Member member : members) {
            member.audit.close().forEach(what -> broken.add(member.process.name() + ": " + what));
        }
        return broken;
    }

    private static String last(NodeProcess process) {
        List<String> lines = process.lines();
        return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
    }

    int count(String what) {
        return members.stream().mapToInt(member -> member.audit.of(what)).sum();
    }

    private static void close(Closeable one) {
        try {
            if (one != null) {
                one.close();
            }
        } catch (IOException e) {
            // It is gone either way.
        }
    }

    @Override
    public void close() throws IOException {
        over = true;
        for (Member member : members) {
            try {
                member.process.kill();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            close(member.caller);
            close(member.work);
            close(member.sinkProxy);
            close(member.toSink);
            member.toVoters.forEach(ProcessCluster::close);
        }
        close(dependency);
        close(registry);
        try (Stream<Path> files = Files.walk(at)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
