package lupinwood.consensus;

import io.microraft.MembershipChangeMode;
import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.report.RaftGroupMembers;
import io.microraft.report.RaftTerm;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.cluster.CapacityPlan;
import lupinwood.cluster.ClusterCommand;
import lupinwood.cluster.ClusterState;
import lupinwood.cluster.Cordon;
import lupinwood.cluster.DisruptionLimits;
import lupinwood.cluster.DisruptionPermit;
import lupinwood.cluster.DutyName;
import lupinwood.cluster.Heartbeat;
import lupinwood.cluster.HeartbeatReply;
import lupinwood.cluster.LeaseManager;
import lupinwood.cluster.LeaseTiming;
import lupinwood.cluster.NodeName;
import lupinwood.cluster.NodeView;
import lupinwood.cluster.RequestCounts;
import lupinwood.cluster.Rollout;
import lupinwood.log.WallClock;

/**
 * One voter's part in the consensus group: the library's engine, the cluster state that it agrees
 * on, and the lease manager who decides while this voter leads. All happens on one loop, whose
 * clock may be made up.
 *
 * <p>A heartbeat is answered only after a majority confirmed that this voter still led after the
 * heartbeat came: so whoever leads later began after every word that a holder may count from.
 */
public final class RaftReplica {
    /**
     * What it works with.
     *
     * @param post takes a message to the voter of an id
     * @param restored what the folder held; null for one that never voted
     */
    public record ReplicaContext(
            TaskLoop loop,
            BiConsumer<String, RaftMessage> post,
            RaftStore store,
            RestoredRaftState restored,
            Random random,
            Consumer<String> log) {}

    /** What one voter says of the consensus group. */
    public record ReplicaView(
            NodeName self,
            NodeName leader,
            int term,
            List<NodeView> nodeViews,
            List<ClusterState.DutyLease> duties,
            String digest,
            long commands,
            List<DisruptionPermit> permits,
            String haltedBy,
            List<ClusterState.HistoryEntry> history,
            Rollout rollout,
            String good,
            List<Cordon> cordons,
            Map<String, RequestCounts> past,
            List<ClusterState.Member> members,
            List<CapacityPlan> plans,
            long lastPlan) {}

    /**
     * What an operator asks for.
     *
     * @param id names it, so that one asked again after a lost answer is done once
     * @param what leave, halt, resume, forget, release, back, rest or unrest
     * @param node whom it is about, where it is about one
     * @param wish what is to be released; else null
     * @param server which one is to rest, or to be back; else null
     */
    public record OperatorOrder(
            String id, String what, NodeName node, String by, RolloutRequest wish, String server) {
        public OperatorOrder(String id, String what, NodeName node, String by) {
            this(id, what, node, by, null, null);
        }

        public OperatorOrder(
                String id, String what, NodeName node, String by, RolloutRequest wish) {
            this(id, what, node, by, wish, null);
        }
    }

    /**
     * What an operator wants released.
     *
     * @param to a text's digest, or a version of the program
     * @param text of a configuration; else empty
     */
    public record RolloutRequest(Rollout.Kind kind, String to, String text, boolean backsOnHalt) {}

    /**
     * The answer to an operator's order.
     *
     * @param done whether it was carried out; else the text says why not now
     */
    public record OrderResult(boolean done, String text) {}

    static final String GROUP = "fleet";
    private static final String NEW_TERM = "term";

    /**
     * The engine counts heartbeats in whole seconds of its own; its clock runs so much faster that
     * a lease holds so many.
     */
    private static final double ENGINE_SECONDS_A_LEASE = 24;

    private static final int HEARTBEAT_SECONDS = 1;
    private static final int SILENCE_SECONDS = 8;
    private static final int ELECTION_MILLIS = 2000;
    private static final int SNAPSHOT_EVERY = 1000;
    private static final int REPORT_SECONDS = 3600;

    /**
     * Heartbeats that wait for one confirmation; past that the newest is passed over, and told
     * again by its node.
     */
    private static final int MOST_WAITING = 4096;

    private static final int MOST_COMMANDS_AT_ONCE = 64;

    /**
     * A batch of the longest commands, a text or the past of all nodes, has to fit into one
     * message.
     */
    private static final int MOST_IN_A_BATCH = 4;

    /**
     * @param again whether it was answered before, and hears of something new since
     */
    private record PendingHeartbeat(
            Heartbeat heartbeat, Consumer<HeartbeatReply> to, boolean again) {}

    private final NodeName self;
    private final ReplicaContext means;
    private final ClusterState clusterState;
    private final LeaseManager leaseManager;
    private final long tokensAbove;
    private final RaftNode raft;
    private final double speed;
    private final Set<ClusterCommand> underWay = new HashSet<>();

    /** The latest heartbeat of each node, which may be answered once more. */
    private final Map<NodeName, PendingHeartbeat> latest = new HashMap<>();

    private List<PendingHeartbeat> waiting = new ArrayList<>();
    private boolean confirming;
    private int ledTerm = -1;
    private boolean changing;
    private boolean over;

    /**
     * @param tokensAbove where tokens begin should this be the consensus group's first leader ever
     */
    public RaftReplica(
            NodeName self,
            String endpoint,
            Collection<String> founders,
            LeaseTiming timing,
            List<DutyName> duties,
            long tokensAbove,
            ReplicaContext means) {
        this.self = self;
        this.means = means;
        this.tokensAbove = tokensAbove;
        clusterState = new ClusterState(timing.mostMembers());
        leaseManager = new LeaseManager(timing, duties);
        speed = ENGINE_SECONDS_A_LEASE / timing.lease().seconds();
        RaftConfig config =
                RaftConfig.newBuilder()
                        .setLeaderElectionTimeoutMillis(ELECTION_MILLIS)
                        .setLeaderHeartbeatPeriodSecs(HEARTBEAT_SECONDS)
                        .setLeaderHeartbeatTimeoutSecs(SILENCE_SECONDS)
                        .setCommitCountToTakeSnapshot(SNAPSHOT_EVERY)
                        .setRaftNodeReportPublishPeriodSecs(REPORT_SECONDS)
                        .setAppendEntriesRequestBatchSize(MOST_IN_A_BATCH)
                        .setTransferSnapshotsFromFollowersEnabled(false)
                        .build();
        RaftNode.RaftNodeBuilder builder =
                RaftNode.newBuilder()
                        .setGroupId(GROUP)
                        .setConfig(config)
                        .setExecutor(new LoopExecutor())
                        .setTransport(new Post())
                        .setStateMachine(new ReplicatedStateMachine())
                        .setStore(means.store())
                        .setModelFactory(RaftCodec.MODEL)
                        .setRandom(means.random())
                        .setClock(new EngineClock());
        if (means.restored() == null) {
            List<RaftEndpoint> all = new ArrayList<>();
            founders.forEach(id -> all.add(new Voter(id)));
            builder.setLocalEndpoint(new Voter(endpoint)).setInitialGroupMembers(all);
        } else {
            builder.setRestoredState(means.restored());
        }
        raft = builder.build();
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the engine logs its own start
    public void start() {
        raft.start();
        look();
    }

    /** It takes part no more; the folder may be closed after this. */
    @SuppressWarnings("FutureReturnValueIgnored") // nothing follows the end
    public void stop() {
        over = true;
        raft.terminate();
    }

    /** What another voter's engine says. */
    public void heard(RaftMessage message) {
        if (!over) {
            raft.handle(message);
        }
    }

    /** A node's heartbeat; the answer comes once it is confirmed, or never. */
    public void heard(Heartbeat reported, Consumer<HeartbeatReply> to) {
        Heartbeat heartbeat = reported.cut();
        if (!leads()) {
            to.accept(LeaseManager.elsewhere(heartbeat, leader()));
            return;
        }
        if (waiting.size() < MOST_WAITING) {
            PendingHeartbeat one = new PendingHeartbeat(heartbeat, to, false);
            waiting.add(one);
            latest.put(heartbeat.name(), one);
            confirm();
        }
    }

    /**
     * One question to the majority at a time: a heartbeat that comes while one is under way waits
     * for the next, since votes for that one may be older than the heartbeat.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // the callback takes success and failure
    private void confirm() {
        if (confirming || waiting.isEmpty() || over) {
            return;
        }
        confirming = true;
        List<PendingHeartbeat> batch = waiting;
        waiting = new ArrayList<>();
        int term = ledTerm;
        raft.<Object>query("", QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
                .whenComplete(
                        (done, failed) -> {
                            confirming = false;
                            if (failed == null && leads() && term == ledTerm) {
                                batch.forEach(this::answer);
                                act();
                            } else {
                                batch.forEach(
                                        one ->
                                                one.to()
                                                        .accept(
                                                                LeaseManager.elsewhere(
                                                                        one.heartbeat(),
                                                                        leader())));
                            }
                            confirm();
                        });
    }

    private void answer(PendingHeartbeat one) {
        MonotonicTime now = means.loop().now();
        String trouble = one.again() ? "" : leaseManager.heard(one.heartbeat(), clusterState, now);
        one.to().accept(leaseManager.replyTo(one.heartbeat(), trouble, clusterState, self, now));
    }

    /** Whether this voter leads; notices when it begins to, or ends. */
    private boolean leads() {
        RaftTerm term = raft.getTerm();
        boolean leads =
                !over
                        && term.getLeaderEndpoint() != null
                        && term.getLeaderEndpoint().equals(raft.getLocalEndpoint());
        if (leads && ledTerm != term.getTerm()) {
            ledTerm = term.getTerm();
            leaseManager.leads(clusterState, means.loop().now());
            means.log().accept("leads the council in term " + ledTerm);
        } else if (!leads && ledTerm >= 0) {
            ledTerm = -1;
            leaseManager.leadsNoMore();
            latest.clear();
            means.log().accept("leads the council no more");
        }
        return leads;
    }

    public NodeName leader() {
        Voter leader = Voter.of(raft.getTerm().getLeaderEndpoint());
        return leader == null ? null : leader.name();
    }

    private void look() {
        if (!over) {
            if (leads()) {
                act();
            }
            means.loop().after(leaseManager.looksEvery(), this::look);
        }
    }

    private void act() {
        for (ClusterCommand command :
                leaseManager.decide(clusterState, tokensAbove, means.loop().now())) {
            propose(command, null);
        }
    }

    /** Has a command written, unless the same is under way. */
    @SuppressWarnings("FutureReturnValueIgnored") // the callback takes success and failure
    private void propose(ClusterCommand command, Consumer<Boolean> done) {
        if (underWay.size() >= MOST_COMMANDS_AT_ONCE || !underWay.add(command)) {
            return;
        }
        // The lease manager knows no wall clock; the line of history has one all the same.
        ClusterCommand written = timed(command);
        raft.<Boolean>replicate(CommandCodec.of(written))
                .whenComplete(
                        (Ordered<Boolean> result, Throwable failed) -> {
                            underWay.remove(command);
                            if (done != null) {
                                done.accept(failed == null && result.getResult());
                            }
                            if (failed == null && result.getResult()) {
                                means.log().accept("written: " + command);
                                if (command instanceof ClusterCommand.GrantLease give) {
                                    tellAgain(give.heir());
                                }
                            }
                        });
    }

    private static ClusterCommand timed(ClusterCommand command) {
        return command instanceof ClusterCommand.ReturnPermit back
                ? new ClusterCommand.ReturnPermit(back.permit(), back.why(), millis())
                : command instanceof ClusterCommand.AdvanceRollout one
                        ? new ClusterCommand.AdvanceRollout(
                                one.token(),
                                one.rollout(),
                                one.step(),
                                one.back(),
                                one.nodes(),
                                one.why(),
                                one.past(),
                                millis())
                        : command instanceof ClusterCommand.RollBack one
                                ? new ClusterCommand.RollBack(
                                        one.order(), one.rollout(), one.by(), millis())
                                : command instanceof ClusterCommand.FinishRollout one
                                        ? new ClusterCommand.FinishRollout(
                                                one.token(),
                                                one.rollout(),
                                                one.done(),
                                                one.why(),
                                                millis())
                                        : command instanceof ClusterCommand.SetCapacityPlan one
                                                ? new ClusterCommand.SetCapacityPlan(
                                                        one.token(),
                                                        one.after(),
                                                        one.bears(),
                                                        one.alone(),
                                                        one.slots(),
                                                        one.why(),
                                                        millis())
                                                : command instanceof ClusterCommand.SetHalt one
                                                        ? new ClusterCommand.SetHalt(
                                                                one.order(),
                                                                one.halted(),
                                                                one.by(),
                                                                millis())
                                                        : command;
    }

    /** An heir needn't wait for its next heartbeat to hear of it. */
    private void tellAgain(NodeName heir) {
        PendingHeartbeat one = latest.get(heir);
        if (one != null && leads()) {
            waiting.add(new PendingHeartbeat(one.heartbeat(), one.to(), true));
            confirm();
        }
    }

    /**
     * A command that another part of the node wants written; false where it did not fit, or may not
     * have been written.
     */
    public void write(ClusterCommand command, Consumer<Boolean> done) {
        if (leads()) {
            propose(command, done);
        } else {
            done.accept(false);
        }
    }

    /** The servers that rest. */
    Set<String> resting() {
        Set<String> names = new HashSet<>();
        clusterState.cordons().forEach(cordon -> names.add(cordon.server()));
        return names;
    }

    /**
     * The fleet's text of that digest, and which text a node is to go by; each null where it isn't
     * known here.
     */
    String text(String digest) {
        return clusterState.text(digest);
    }

    String wanted(NodeName node) {
        return leads() ? clusterState.wanted(node).runs() : null;
    }

    String wantedProgram(NodeName node) {
        return leads() ? clusterState.wantedProgram(node) : null;
    }

    private static long millis() {
        return WallClock.now().toEpochMilli();
    }

    /**
     * Some of it is long, and told where asked for only.
     *
     * @param withTallies what nodes answered
     * @param withPast how nodes did before the release
     * @param withPlans how much goes where, and what nodes do at places
     */
    public ReplicaView state(boolean withTallies, boolean withPast, boolean withPlans) {
        List<NodeView> nodeViews =
                leads()
                        ? leaseManager.snapshot(clusterState, means.loop().now()).stream()
                                .map(
                                        one ->
                                                one.report() == null
                                                        ? one
                                                        : new NodeView(
                                                                one.name(),
                                                                one.incarnation(),
                                                                one.site(),
                                                                one.status(),
                                                                one.heard(),
                                                                one.report()
                                                                        .with(
                                                                                withTallies,
                                                                                withPlans)))
                                .toList()
                        : List.of();
        return new ReplicaView(
                self,
                leader(),
                raft.getTerm().getTerm(),
                nodeViews,
                new ArrayList<>(clusterState.duties()),
                clusterState.digest(),
                clusterState.commands(),
                new ArrayList<>(clusterState.permits()),
                clusterState.haltedBy(),
                clusterState.history(),
                clusterState.rollout(),
                clusterState.good(),
                new ArrayList<>(clusterState.cordons()),
                withPast ? clusterState.past() : null,
                withPlans ? new ArrayList<>(clusterState.members()) : null,
                withPlans ? clusterState.livePlans() : null,
                clusterState.lastPlan());
    }

    /**
     * Carries out an operator's order, once; null to the answer where another leads, or nobody
     * does.
     */
    public void order(
            OperatorOrder order,
            DisruptionLimits disruptionLimits,
            int mostResting,
            Consumer<OrderResult> to) {
        if (!leads()) {
            to.accept(null);
            return;
        }
        String before = clusterState.answer(order.id());
        long at = millis();
        List<NodeName> out = leaseManager.unavailableNodes(clusterState, means.loop().now());
        RolloutRequest wish = order.wish();
        String against =
                switch (order.what()) {
                    case "leave" -> clusterState.against(order.node(), disruptionLimits, out);
                    case "release" ->
                            clusterState.reasonAgainstRollout(wish.kind(), wish.to(), wish.text());
                    case "back" ->
                            clusterState.rollout() == null
                                    ? "no release is open"
                                    : clusterState.rollout().back()
                                            ? clusterState.rollout() + " is on its way back already"
                                            : "";
                    case "rest" -> clusterState.reasonAgainstCordon(order.server(), mostResting);
                    case "unrest" ->
                            clusterState.cordons().stream()
                                            .anyMatch(
                                                    cordon ->
                                                            cordon.server().equals(order.server()))
                                    ? ""
                                    : order.server() + " doesn't rest";
                    default -> "";
                };
        ClusterCommand command =
                switch (order.what()) {
                    case "leave" ->
                            new ClusterCommand.GrantPermit(
                                    order.id(),
                                    order.node(),
                                    order.by(),
                                    at,
                                    disruptionLimits,
                                    out);
                    case "halt", "resume" ->
                            new ClusterCommand.SetHalt(
                                    order.id(), order.what().equals("halt"), order.by(), at);
                    case "forget" -> new ClusterCommand.RemoveNode(order.node());
                    case "rest" ->
                            new ClusterCommand.CordonServer(
                                    order.id(), order.server(), order.by(), mostResting, at);
                    case "unrest" ->
                            new ClusterCommand.UncordonServer(
                                    order.id(), order.server(), order.by(), at);
                    case "release" ->
                            new ClusterCommand.BeginRollout(
                                    order.id(),
                                    order.by(),
                                    wish.kind(),
                                    wish.to(),
                                    wish.text(),
                                    wish.backsOnHalt(),
                                    at);
                    case "back" ->
                            new ClusterCommand.RollBack(
                                    order.id(),
                                    clusterState.rollout() == null
                                            ? 0
                                            : clusterState.rollout().number(),
                                    order.by(),
                                    at);
                    default -> null;
                };
        if (before != null || command == null || !against.isEmpty()) {
            to.accept(
                    new OrderResult(
                            before != null,
                            before != null
                                    ? before
                                    : command == null
                                            ? "there is no order " + order.what()
                                            : against));
            return;
        }
        propose(
                command,
                fitted ->
                        to.accept(
                                new OrderResult(
                                        fitted,
                                        clusterState.answer(order.id()) != null
                                                ? clusterState.answer(order.id())
                                                : fitted
                                                        ? order.what() + " " + order.node()
                                                        : "it did not fit any more, or may be written yet; ask again")));
    }

    /** Who votes, as far as this voter knows. */
    public Set<String> voters() {
        Set<String> ids = new HashSet<>();
        raft.getCommittedMembers().getVotingMembers().forEach(one -> ids.add(RaftCodec.id(one)));
        return ids;
    }

    /** The id by which this voter votes. */
    public String endpoint() {
        return RaftCodec.id(raft.getLocalEndpoint());
    }

    /**
     * Lets a voter in that lost its folder, under its new id, one step at a time and at each
     * asking: the id that it had goes first, so that what it may have promised under it binds
     * nobody to a vote it no longer knows of.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // the callback takes success and failure
    void admit(String id) {
        RaftGroupMembers members = raft.getCommittedMembers();
        Voter one = new Voter(id);
        if (!leads() || changing || members.getVotingMembers().contains(one)) {
            return;
        }
        Optional<RaftEndpoint> old =
                members.getMembers().stream()
                        .filter(
                                other ->
                                        !other.equals(one)
                                                && Voter.of(other).name().equals(one.name()))
                        .findFirst();
        MembershipChangeMode mode =
                old.isPresent()
                        ? MembershipChangeMode.REMOVE_MEMBER
                        : members.getMembers().contains(one)
                                ? MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER
                                : MembershipChangeMode.ADD_LEARNER;
        changing = true;
        raft.changeMembership(old.orElse(one), mode, members.getLogIndex())
                .whenComplete(
                        (done, failed) -> {
                            changing = false;
                            if (failed == null) {
                                means.log()
                                        .accept(
                                                "written: "
                                                        + mode
                                                        + " "
                                                        + RaftCodec.id(old.orElse(one)));
                            }
                        });
    }

    /** Has another voter lead, where there is one: a leader that goes by itself leaves no gap. */
    @SuppressWarnings("FutureReturnValueIgnored") // best effort: the lease runs out otherwise
    void handOver() {
        if (leads()) {
            raft.getCommittedMembers().getVotingMembers().stream()
                    .filter(one -> !one.equals(raft.getLocalEndpoint()))
                    .findFirst()
                    .ifPresent(raft::transferLeadership);
        }
    }

    public boolean isLeading() {
        return leads();
    }

    /** What the library agrees on for us. */
    private final class ReplicatedStateMachine implements StateMachine {
        @Override
        public Object runOperation(long index, Object operation) {
            String text = (String) operation;
            if (text.isEmpty()) {
                return null; // a question
            }
            ClusterCommand command = text.equals(NEW_TERM) ? null : CommandCodec.command(text);
            return command != null && clusterState.apply(command);
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> pieces) {
            CommandCodec.pieces(clusterState.snapshot()).forEach(pieces);
        }

        @Override
        public void installSnapshot(long index, List<Object> pieces) {
            clusterState.open(CommandCodec.page(pieces));
        }

        @Override
        public Object getNewTermOperation() {
            return NEW_TERM;
        }
    }

    private final class Post implements Transport {
        @Override
        public void send(RaftEndpoint target, RaftMessage message) {
            means.post().accept(RaftCodec.id(target), message);
        }

        @Override
        public boolean isReachable(RaftEndpoint endpoint) {
            return true;
        }
    }

    private final class LoopExecutor implements RaftNodeExecutor {
        @Override
        public void execute(Runnable task) {
            means.loop().execute(task);
        }

        @Override
        public void submit(Runnable task) {
            means.loop().execute(task);
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            means.loop().after(new NanoDuration(Math.round(unit.toNanos(delay) / speed)), task);
        }
    }

    /** The engine's own time. */
    private final class EngineClock extends Clock {
        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }

        @Override
        public long millis() {
            return Math.round(means.loop().now().nanos() * speed / 1e6);
        }

        @Override
        public Instant instant() {
            return Instant.ofEpochMilli(millis());
        }
    }
}
