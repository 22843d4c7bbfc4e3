package lupinwood.experiment;

import com.google.gson.Gson;
import io.microraft.model.message.RaftMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.cluster.ClusterSession;
import lupinwood.cluster.DutyName;
import lupinwood.cluster.FencingToken;
import lupinwood.cluster.HeartbeatReply;
import lupinwood.cluster.Incarnation;
import lupinwood.cluster.LeaseTiming;
import lupinwood.cluster.NodeCondition;
import lupinwood.cluster.NodeName;
import lupinwood.cluster.Site;
import lupinwood.consensus.RaftReplica;
import lupinwood.consensus.TaskLoop;

/**
 * A fleet in made-up time, with the real consensus group and the real sessions: nodes that stall,
 * die and come back, clocks that run apart, links as {@link SimulatedNetwork}. It audits what a
 * node may do against all others, knowing the true time.
 */
final class SimulatedCluster {
    /** What a run may leave out, to show that the audit finds it. */
    enum Without {
        NOTHING,
        TOKEN,
        EARLY_STOP,
        DRIFT,
        DURABLE_VOTE
    }

    private static final double POLL = 0.03;
    private static final double SAMPLE = 0.05;
    private static final List<DutyName> DUTIES =
            List.of(DutyName.HEALTH_CHECK, DutyName.STATUS_REPORTER);

    /** One node, which may also vote. Its process can be stopped, go and come back. */
    final class Node implements TaskLoop {
        final int place;
        final NodeName name;
        final Site site;
        final boolean votes;
        private final double rate;
        private final long offset;
        private final SimulatedStorage storage;
        private int process;
        private boolean up;
        private long stoppedUntil;
        private NodeCondition condition = NodeCondition.COLD;
        ClusterSession session;
        private RaftReplica replica;

        private Node(int place, boolean votes, double rate, long offset) {
            this.place = place;
            this.votes = votes;
            this.rate = rate;
            this.offset = offset;
            name = new NodeName("n" + place);
            site = new Site("r", "z" + place % zones);
            storage = new SimulatedStorage(without == Without.DURABLE_VOTE);
            storage.onVote(
                    () -> {
                        if (time.now() < diesVotingUntil) {
                            // Its vote is on the way; then the process is gone, and back at once.
                            time.after(0.0001, this::kill);
                            time.after(0.0002, this::start);
                        }
                    });
        }

        @Override
        public MonotonicTime now() {
            return new MonotonicTime(offset + Math.round(time.now() * rate));
        }

        @Override
        public void execute(Runnable job) {
            later(time.now(), job);
        }

        @Override
        public void after(NanoDuration duration, Runnable job) {
            later(time.now() + Math.round(duration.nanos() / rate), job);
        }

        /** A process that is stopped does it once it goes on, one that went never. */
        private void later(long at, Runnable job) {
            int of = process;
            time.at(
                    at,
                    () -> {
                        if (!up || of != process) {
                            return;
                        }
                        if (time.now() < stoppedUntil) {
                            later(stoppedUntil, job);
                        } else {
                            job.run();
                        }
                    });
        }

        boolean runs() {
            return up && time.now() >= stoppedUntil;
        }

        boolean isUp() {
            return up;
        }

        void start() {
            if (up) {
                return;
            }
            process++;
            up = true;
            stoppedUntil = 0;
            condition = NodeCondition.COLD;
            session =
                    new ClusterSession(
                            timing,
                            name,
                            new Incarnation(random.nextLong()),
                            site,
                            voterNames,
                            random.nextLong(),
                            now());
            if (votes) {
                replica =
                        new RaftReplica(
                                name,
                                name.text(),
                                voterNames.stream().map(NodeName::text).toList(),
                                replicaRules,
                                DUTIES,
                                1,
                                new RaftReplica.ReplicaContext(
                                        this,
                                        this::post,
                                        storage,
                                        storage.restore(),
                                        new Random(random.nextLong()),
                                        text ->
                                                trace.accept(
                                                        time.now() / 1e9
                                                                + " "
                                                                + name
                                                                + ": "
                                                                + text)));
                execute(replica::start);
            }
            after(
                    NanoDuration.ofSeconds(timing.leaseDuration().seconds() / 2),
                    () -> condition = NodeCondition.WARM);
            execute(this::talk);
            execute(this::poll);
        }

        void kill() {
            if (up) {
                up = false;
                process++;
                storage.crash();
                replica = null;
            }
        }

        /** Its folder takes nothing more: it votes no more until it is started anew. */
        void failStorage() {
            RaftReplica at = replica;
            storage.fail(
                    () -> {
                        if (at != null && replica == at) {
                            replica = null;
                            at.stop();
                        }
                    });
        }

        /** The notice to leave: its duties are handed on, then it goes. */
        void leave() {
            if (runs()) {
                condition = NodeCondition.LEAVING;
                session.releaseAll(now());
                execute(this::say);
                after(
                        timing.leaseDuration(),
                        () -> {
                            send(session.finalHeartbeat(now()));
                            time.after(0.1, this::kill);
                        });
            }
        }

        void stopFor(double seconds) {
            stoppedUntil = Math.max(stoppedUntil, time.now() + Math.round(seconds * 1e9));
        }

        private void post(String to, RaftMessage message) {
            Node other = byName.get(new NodeName(to));
            links.send(
                    place,
                    other.place,
                    () -> {
                        if (other.up && other.replica != null) {
                            RaftReplica at = other.replica;
                            other.execute(() -> at.heard(message));
                        }
                    });
        }

        private void say() {
            ClusterSession.OutgoingHeartbeat sent = session.pollHeartbeat(condition, now());
            if (sent != null) {
                heartbeats++;
                weigh(sent.heartbeat());
                send(sent);
            }
        }

        private void talk() {
            say();
            NanoDuration wait =
                    session.nextHeartbeatAt().since(now()).max(NanoDuration.ofSeconds(0.001));
            after(wait.min(timing.heartbeatInterval()), this::talk);
        }

        private void send(ClusterSession.OutgoingHeartbeat sent) {
            Node voter = byName.get(sent.voter());
            ClusterSession mine = session;
            links.send(
                    place,
                    voter.place,
                    () -> {
                        if (!voter.up || voter.replica == null) {
                            return;
                        }
                        RaftReplica at = voter.replica;
                        voter.execute(
                                () ->
                                        at.heard(
                                                sent.heartbeat(),
                                                reply -> {
                                                    weigh(reply);
                                                    links.send(
                                                            voter.place,
                                                            place,
                                                            () -> {
                                                                if (up && session == mine) {
                                                                    execute(
                                                                            () ->
                                                                                    hears(
                                                                                            mine,
                                                                                            reply));
                                                                }
                                                            });
                                                }));
                    });
        }

        private void hears(ClusterSession mine, HeartbeatReply reply) {
            if (without == Without.EARLY_STOP) {
                mine.heldLeases()
                        .onHeartbeatSent(
                                reply.number(), now()); // as if a grant counted from when it came
            }
            mine.onReply(reply, now());
        }

        /** Asks itself, then acts; between the two it may be stopped. */
        private void poll() {
            if (replica != null && replica.isLeading()) {
                int term = replica.state(false, false, false).term();
                NodeName leader = leaders.putIfAbsent(term, name);
                if (leader != null && !leader.equals(name)) {
                    breaks("two lead the council in term " + term + ": " + leader + " and " + name);
                }
            }
            for (DutyName duty : DUTIES) {
                FencingToken token = session.heldLeases().tokenFor(duty, now());
                if (token != null) {
                    audit(duty, token);
                    links.send(place, SINK, () -> sink(duty, token));
                    if (stalls && random.nextInt(2000) == 0) {
                        // It was stopped between asking and acting.
                        double stop = timing.leaseDuration().seconds() * 2 * random.nextDouble();
                        int of = process;
                        stopFor(stop);
                        time.after(
                                stop + 0.001,
                                () -> {
                                    if (up && of == process) {
                                        links.send(place, SINK, () -> sink(duty, token));
                                    }
                                });
                        break;
                    }
                }
            }
            after(NanoDuration.ofSeconds(POLL), this::poll);
        }

        private void audit(DutyName duty, FencingToken token) {
            for (Node other : nodes) {
                if (other != this && other.runs()) {
                    FencingToken also = other.session.heldLeases().tokenFor(duty, other.now());
                    if (also != null) {
                        breaks(
                                "two may do "
                                        + duty
                                        + " at "
                                        + time.now() / 1e9
                                        + ": "
                                        + name
                                        + " under "
                                        + token
                                        + ", "
                                        + other.name
                                        + " under "
                                        + also);
                    }
                }
            }
        }

        boolean leads() {
            return up && replica != null && replica.isLeading();
        }

        boolean holds(DutyName duty) {
            return runs() && session.heldLeases().tokenFor(duty, now()) != null;
        }
    }

    private static final int SINK = 1_000_000;

    final SimulatedTime time = new SimulatedTime();
    final SimulatedNetwork links;
    final List<Node> nodes = new ArrayList<>();
    final LeaseTiming timing;
    private final LeaseTiming replicaRules;
    private final Without without;
    private final int zones;
    private final Random random;
    private final Map<NodeName, Node> byName = new HashMap<>();
    private final List<NodeName> voterNames = new ArrayList<>();
    private final Map<DutyName, FencingToken> highest = new HashMap<>();
    final List<String> broken = new ArrayList<>();
    private final Map<Integer, NodeName> leaders = new HashMap<>();
    private long diesVotingUntil;
    private final Map<DutyName, Long> unheldSince = new HashMap<>();
    final List<Double> gaps = new ArrayList<>();

    /** Hears what councils log. */
    Consumer<String> trace = text -> {};

    long sampled;
    long leased;
    long acts;
    long refused;
    long heartbeats;

    /** Of heartbeats and replies, where they are weighed. */
    long bytes;

    /** When a duty was first held; zero before. */
    long firstLeased;

    /** Whether a process may be stopped between asking itself and acting. */
    boolean stalls = true;

    /** Each token under which something was done. */
    final Set<FencingToken> handOvers = new HashSet<>();

    private Gson weighs;

    /**
     * @param drift how far clocks run apart for certain, as a share
     */
    SimulatedCluster(
            int voters,
            int members,
            int zones,
            LeaseTiming timing,
            double drift,
            Without without,
            long seed) {
        random = new Random(seed);
        this.zones = zones;
        this.without = without;
        this.timing = without == Without.DRIFT ? LeaseTiming.of(timing.leaseDuration(), 0) : timing;
        replicaRules = this.timing;
        links = new SimulatedNetwork(time, new Random(random.nextLong()));
        for (int i = 0; i < voters + members; i++) {
            // Some at the bound itself, fast and slow.
            double rate = 1 + drift / 2 * (i % 3 - 1);
            Node node = new Node(i, i < voters, rate, random.nextInt(1 << 30) * 1000L);
            nodes.add(node);
            byName.put(node.name, node);
            if (node.votes) {
                voterNames.add(node.name);
            }
        }
    }

    /** Counts the bytes of what is said from now on, as JSON. */
    void weigh(Gson by) {
        weighs = by;
    }

    private void weigh(Object said) {
        bytes += weighs == null ? 0 : weighs.toJson(said).length();
    }

    void startAll() {
        nodes.forEach(Node::start);
        sample();
    }

    private void breaks(String what) {
        if (broken.size() < 20) {
            broken.add(what);
        }
    }

    /** What acts reach: it refuses a token lower than it has seen. */
    private void sink(DutyName duty, FencingToken token) {
        FencingToken most = highest.get(duty);
        boolean lower = most != null && token.compareTo(most) < 0;
        if (lower && without != Without.TOKEN) {
            refused++;
            return;
        }
        acts++;
        handOvers.add(token);
        firstLeased = firstLeased == 0 ? time.now() : firstLeased;
        if (lower) {
            breaks("an act of " + duty + " under " + token + " was taken after one under " + most);
        } else {
            highest.put(duty, token);
        }
    }

    /** For some seconds each voter that votes for another dies of it, and comes back at once. */
    void dieVoting(double seconds) {
        diesVotingUntil = time.now() + Math.round(seconds * 1e9);
    }

    /** Whether a majority of voters runs and can talk both ways, through one of them at least. */
    private boolean couldAgree() {
        List<Node> voters = nodes.stream().filter(node -> node.votes).toList();
        return voters.stream()
                .anyMatch(
                        one ->
                                one.runs()
                                        && voters.stream()
                                                                .filter(
                                                                        other ->
                                                                                other == one
                                                                                        || (other
                                                                                                        .runs()
                                                                                                && !links
                                                                                                        .isCut(
                                                                                                                one.place,
                                                                                                                other.place)
                                                                                                && !links
                                                                                                        .isCut(
                                                                                                                other.place,
                                                                                                                one.place)))
                                                                .count()
                                                        * 2
                                                > voters.size());
    }

    private void sample() {
        boolean could = couldAgree();
        for (DutyName duty : DUTIES) {
            boolean isLeased = nodes.stream().anyMatch(node -> node.holds(duty));
            if (could) {
                sampled++;
                leased += isLeased ? 1 : 0;
            }
            if (isLeased || !could) {
                Long since = unheldSince.remove(duty);
                if (since != null && isLeased) {
                    gaps.add((time.now() - since) / 1e9 / timing.leaseDuration().seconds());
                }
            } else {
                unheldSince.putIfAbsent(duty, time.now());
            }
        }
        time.after(SAMPLE, this::sample);
    }

    /** Each node whose place fits. */
    void each(Predicate<Node> which, Consumer<Node> job) {
        nodes.stream().filter(which).forEach(job);
    }
}
