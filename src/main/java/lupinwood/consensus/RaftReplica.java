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
 * One voter's replica of the consensus group: the MicroRaft node, the cluster state that it
 * replicates, and the lease manager, which decides while this voter leads. Everything runs on one
 * task loop, whose clock may be simulated.
 *
 * <p>A heartbeat is accepted only after a majority confirmed that this voter still led after the
 * heartbeat arrived. Hence each lease, which counts from the sending time of an accepted heartbeat,
 * starts before the next leader's term. Other heartbeats get a reply that says that they weren't
 * accepted; those that arrive while too many wait for confirmation are dropped.
 */
public final class RaftReplica {
    /**
     * What a replica works with.
     *
     * @param sender sends a message to the voter with that id
     * @param restored the state read from the storage directory; null if nothing is stored, as for
     *     a voter that rejoins under a new id
     */
    public record ReplicaContext(
            TaskLoop loop,
            BiConsumer<String, RaftMessage> sender,
            RaftStore store,
            RestoredRaftState restored,
            Random random,
            Consumer<String> log) {}

    /** The consensus group's state as one voter knows it. */
    public record ReplicaView(
            NodeName self,
            NodeName leader,
            int term,
            List<NodeView> nodeViews,
            List<ClusterState.DutyLease> duties,
            String statusSummary,
            long commandCount,
            List<DisruptionPermit> permits,
            String haltedBy,
            List<ClusterState.HistoryEntry> history,
            Rollout rollout,
            String goodConfigDigest,
            List<Cordon> cordons,
            Map<String, RequestCounts> baselineCounts,
            List<ClusterState.Member> members,
            List<CapacityPlan> plans,
            long lastPlanNumber) {}

    /**
     * An operator order.
     *
     * @param id identifies the order, so that one sent again after a lost answer is executed once;
     *     not used for a forget order, which is executed again
     * @param kind the kind of the order: leave (drain the node), halt (grant no permits, begin and
     *     advance no rollouts, cordon no servers), resume, forget (remove the node), release (begin
     *     a rollout), back (roll back), rest (cordon the server) or unrest (uncordon it)
     * @param node the node that the order is about; null where it is about none
     * @param by who gave the order, for the history
     * @param rolloutRequest the requested rollout; null for other orders
     * @param server the server to cordon or to uncordon; null for other orders
     */
    public record OperatorOrder(
            String id,
            String kind,
            NodeName node,
            String by,
            RolloutRequest rolloutRequest,
            String server) {
        public OperatorOrder(String id, String kind, NodeName node, String by) {
            this(id, kind, node, by, null, null);
        }

        public OperatorOrder(
                String id, String kind, NodeName node, String by, RolloutRequest rolloutRequest) {
            this(id, kind, node, by, rolloutRequest, null);
        }
    }

    /**
     * The rollout that an operator requests.
     *
     * @param to the digest of a configuration, or a version of the program
     * @param text the configuration's text; empty for a program
     * @param rollsBackAutomatically whether the rollout rolls back when it is halted
     */
    public record RolloutRequest(
            Rollout.Kind kind, String to, String text, boolean rollsBackAutomatically) {}

    /**
     * The answer to an operator order.
     *
     * @param done whether the order was executed; if not, the text says why
     */
    public record OrderResult(boolean done, String text) {}

    static final String GROUP_ID = "fleet";
    private static final String NEW_TERM_OPERATION = "term";

    /**
     * MicroRaft configures heartbeats in whole seconds. Its clock is sped up so that one lease
     * lasts this many of its seconds.
     */
    private static final double MICRORAFT_SECONDS_PER_LEASE = 24;

    private static final int MICRORAFT_HEARTBEAT_SECONDS = 1;
    private static final int MICRORAFT_LEADER_TIMEOUT_SECONDS = 8;
    private static final int MICRORAFT_ELECTION_TIMEOUT_MILLIS = 2000;
    private static final int SNAPSHOT_INTERVAL_COMMITS = 1000;
    private static final int MICRORAFT_REPORT_INTERVAL_SECONDS = 3600;

    /**
     * Bound on the heartbeats that wait for confirmation; further ones are dropped, and their nodes
     * send them again.
     */
    private static final int MAX_UNCONFIRMED_HEARTBEATS = 4096;

    private static final int MAX_PENDING_COMMANDS = 64;

    /**
     * A batch of the longest commands (a configuration text, or the request counts of all nodes
     * before a rollout) has to fit into one message.
     */
    private static final int MAX_BATCH_ENTRIES = 4;

    /**
     * @param repeated whether it was answered before and is answered once more for a new lease
     */
    private record PendingHeartbeat(
            Heartbeat heartbeat, Consumer<HeartbeatReply> replyTo, boolean repeated) {}

    private final NodeName self;
    private final ReplicaContext context;
    private final ClusterState clusterState;
    private final LeaseManager leaseManager;
    private final long tokensAbove;
    private final RaftNode raft;
    private final double clockSpeedup;
    private final Set<ClusterCommand> pendingCommands = new HashSet<>();

    /** The latest heartbeat of each node; it may be answered a second time. */
    private final Map<NodeName, PendingHeartbeat> latestHeartbeats = new HashMap<>();

    private List<PendingHeartbeat> unconfirmedHeartbeats = new ArrayList<>();
    private boolean confirmationInProgress;
    private int ledTerm = -1;
    private boolean membershipChangeInProgress;
    private boolean stopped;

    /**
     * @param tokensAbove fencing tokens start above this value if this voter is the first leader
     *     ever of the consensus group
     */
    public RaftReplica(
            NodeName self,
            String endpoint,
            Collection<String> founders,
            LeaseTiming timing,
            List<DutyName> duties,
            long tokensAbove,
            ReplicaContext context) {
        this.self = self;
        this.context = context;
        this.tokensAbove = tokensAbove;
        clusterState = new ClusterState(timing.maxMembers());
        leaseManager = new LeaseManager(timing, duties);
        clockSpeedup = MICRORAFT_SECONDS_PER_LEASE / timing.leaseDuration().seconds();
        RaftConfig config =
                RaftConfig.newBuilder()
                        .setLeaderElectionTimeoutMillis(MICRORAFT_ELECTION_TIMEOUT_MILLIS)
                        .setLeaderHeartbeatPeriodSecs(MICRORAFT_HEARTBEAT_SECONDS)
                        .setLeaderHeartbeatTimeoutSecs(MICRORAFT_LEADER_TIMEOUT_SECONDS)
                        .setCommitCountToTakeSnapshot(SNAPSHOT_INTERVAL_COMMITS)
                        .setRaftNodeReportPublishPeriodSecs(MICRORAFT_REPORT_INTERVAL_SECONDS)
                        .setAppendEntriesRequestBatchSize(MAX_BATCH_ENTRIES)
                        .setTransferSnapshotsFromFollowersEnabled(false)
                        .build();
        RaftNode.RaftNodeBuilder builder =
                RaftNode.newBuilder()
                        .setGroupId(GROUP_ID)
                        .setConfig(config)
                        .setExecutor(new LoopExecutor())
                        .setTransport(new ReplicaTransport())
                        .setStateMachine(new ReplicatedStateMachine())
                        .setStore(context.store())
                        .setModelFactory(RaftCodec.MODEL_FACTORY)
                        .setRandom(context.random())
                        .setClock(new MicroRaftClock());
        if (context.restored() == null) {
            List<RaftEndpoint> initialMembers = new ArrayList<>();
            founders.forEach(id -> initialMembers.add(new Voter(id)));
            builder.setLocalEndpoint(new Voter(endpoint)).setInitialGroupMembers(initialMembers);
        } else {
            builder.setRestoredState(context.restored());
        }
        raft = builder.build();
    }

    @SuppressWarnings("FutureReturnValueIgnored") // MicroRaft logs the outcome of its start
    public void start() {
        raft.start();
        tick();
    }

    /** Stops the replica; the storage may be closed after this. */
    @SuppressWarnings("FutureReturnValueIgnored") // nothing depends on the termination
    public void stop() {
        stopped = true;
        raft.terminate();
    }

    /** Handles a message from another voter's replica. */
    public void heard(RaftMessage message) {
        if (!stopped) {
            raft.handle(message);
        }
    }

    /**
     * Handles a node's heartbeat. It is accepted once leadership is confirmed; without leadership,
     * it is answered as not accepted. At the bound on unconfirmed heartbeats it is dropped without
     * an answer.
     */
    public void heard(Heartbeat reported, Consumer<HeartbeatReply> replyTo) {
        Heartbeat heartbeat = reported.truncated();
        if (!updateLeadership()) {
            replyTo.accept(LeaseManager.notLeadingReply(heartbeat, leader()));
            return;
        }
        if (unconfirmedHeartbeats.size() < MAX_UNCONFIRMED_HEARTBEATS) {
            PendingHeartbeat pending = new PendingHeartbeat(heartbeat, replyTo, false);
            unconfirmedHeartbeats.add(pending);
            latestHeartbeats.put(heartbeat.name(), pending);
            confirm();
        }
    }

    /**
     * Asks the majority to confirm this voter's leadership, one query at a time. A heartbeat that
     * arrives during a query waits for the next one, since the confirmations of the running query
     * may be older than the heartbeat.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // the callback takes success and failure
    private void confirm() {
        if (confirmationInProgress || unconfirmedHeartbeats.isEmpty() || stopped) {
            return;
        }
        confirmationInProgress = true;
        List<PendingHeartbeat> batch = unconfirmedHeartbeats;
        unconfirmedHeartbeats = new ArrayList<>();
        int term = ledTerm;
        raft.<Object>query("", QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
                .whenComplete(
                        (result, failure) -> {
                            confirmationInProgress = false;
                            if (failure == null && updateLeadership() && term == ledTerm) {
                                batch.forEach(this::answer);
                                proposeDecisions();
                            } else {
                                batch.forEach(
                                        pending ->
                                                pending.replyTo()
                                                        .accept(
                                                                LeaseManager.notLeadingReply(
                                                                        pending.heartbeat(),
                                                                        leader())));
                            }
                            confirm();
                        });
    }

    private void answer(PendingHeartbeat pending) {
        MonotonicTime now = context.loop().now();
        String trouble =
                pending.repeated()
                        ? ""
                        : leaseManager.onHeartbeat(pending.heartbeat(), clusterState, now);
        pending.replyTo()
                .accept(
                        leaseManager.replyTo(
                                pending.heartbeat(), trouble, clusterState, self, now));
    }

    /**
     * Detects the start and the end of this voter's leadership, and tells the lease manager.
     *
     * @return whether this voter leads
     */
    private boolean updateLeadership() {
        RaftTerm term = raft.getTerm();
        boolean isLeader =
                !stopped
                        && term.getLeaderEndpoint() != null
                        && term.getLeaderEndpoint().equals(raft.getLocalEndpoint());
        if (isLeader && ledTerm != term.getTerm()) {
            ledTerm = term.getTerm();
            leaseManager.onElected(clusterState, context.loop().now());
            context.log().accept("consensus leadership acquired term=" + ledTerm);
        } else if (!isLeader && ledTerm >= 0) {
            ledTerm = -1;
            leaseManager.onDeposed();
            latestHeartbeats.clear();
            context.log().accept("consensus leadership lost");
        }
        return isLeader;
    }

    public NodeName leader() {
        Voter leader = Voter.of(raft.getTerm().getLeaderEndpoint());
        return leader == null ? null : leader.name();
    }

    private void tick() {
        if (!stopped) {
            if (updateLeadership()) {
                proposeDecisions();
            }
            context.loop().after(leaseManager.decisionInterval(), this::tick);
        }
    }

    private void proposeDecisions() {
        for (ClusterCommand command :
                leaseManager.decide(clusterState, tokensAbove, context.loop().now())) {
            propose(command, null);
        }
    }

    /**
     * Replicates a command unless an equal one is pending. At the limit of pending commands, or for
     * a duplicate, drops it without calling back.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // the callback takes success and failure
    private void propose(ClusterCommand command, Consumer<Boolean> onResult) {
        if (pendingCommands.size() >= MAX_PENDING_COMMANDS || !pendingCommands.add(command)) {
            return;
        }
        // The lease manager, the rollout controller and the capacity planner have no wall clock,
        // but entries of the history need a wall-clock time.
        ClusterCommand timestamped = withWallClock(command);
        raft.<Boolean>replicate(CommandCodec.encode(timestamped))
                .whenComplete(
                        (Ordered<Boolean> result, Throwable failure) -> {
                            pendingCommands.remove(command);
                            if (onResult != null) {
                                onResult.accept(failure == null && result.getResult());
                            }
                            if (failure == null && result.getResult()) {
                                context.log().accept("command written command=" + command);
                                if (command instanceof ClusterCommand.GrantLease grant) {
                                    answerAgain(grant.heir());
                                }
                            }
                        });
    }

    private static ClusterCommand withWallClock(ClusterCommand command) {
        return command instanceof ClusterCommand.ReturnPermit permit
                ? new ClusterCommand.ReturnPermit(permit.permit(), permit.why(), millis())
                : command instanceof ClusterCommand.AdvanceRollout advance
                        ? new ClusterCommand.AdvanceRollout(
                                advance.token(),
                                advance.rollout(),
                                advance.step(),
                                advance.back(),
                                advance.nodes(),
                                advance.why(),
                                advance.past(),
                                millis())
                        : command instanceof ClusterCommand.RollBack rollBack
                                ? new ClusterCommand.RollBack(
                                        rollBack.order(),
                                        rollBack.rollout(),
                                        rollBack.by(),
                                        millis())
                                : command instanceof ClusterCommand.FinishRollout finish
                                        ? new ClusterCommand.FinishRollout(
                                                finish.token(),
                                                finish.rollout(),
                                                finish.done(),
                                                finish.why(),
                                                millis())
                                        : command instanceof ClusterCommand.SetCapacityPlan plan
                                                ? new ClusterCommand.SetCapacityPlan(
                                                        plan.token(),
                                                        plan.after(),
                                                        plan.bears(),
                                                        plan.alone(),
                                                        plan.slots(),
                                                        plan.why(),
                                                        millis())
                                                : command instanceof ClusterCommand.SetHalt halt
                                                        ? new ClusterCommand.SetHalt(
                                                                halt.order(),
                                                                halt.halted(),
                                                                halt.by(),
                                                                millis())
                                                        : command;
    }

    /**
     * Answers the latest heartbeat of the new lease holder again, so that it learns of its lease
     * before its next heartbeat.
     */
    private void answerAgain(NodeName newHolder) {
        PendingHeartbeat pending = latestHeartbeats.get(newHolder);
        if (pending != null && updateLeadership()) {
            unconfirmedHeartbeats.add(
                    new PendingHeartbeat(pending.heartbeat(), pending.replyTo(), true));
            confirm();
        }
    }

    /**
     * Replicates a command for another part of the node. The callback gets false if this voter
     * doesn't lead, if the cluster state rejected the command, or if it may not have been
     * committed. It isn't called if the command is dropped: as a duplicate of a pending one, or at
     * the limit of pending commands.
     */
    public void submit(ClusterCommand command, Consumer<Boolean> onResult) {
        if (updateLeadership()) {
            propose(command, onResult);
        } else {
            onResult.accept(false);
        }
    }

    /** The names of the cordoned servers. */
    Set<String> cordonedServers() {
        Set<String> names = new HashSet<>();
        clusterState.cordons().forEach(cordon -> names.add(cordon.server()));
        return names;
    }

    /** The configuration text of that digest; null where this voter doesn't know it. */
    String configText(String digest) {
        return clusterState.configText(digest);
    }

    /** The digest of the configuration that the node should run; null unless this voter leads. */
    String wantedConfig(NodeName node) {
        return updateLeadership() ? clusterState.desiredState(node).configDigest() : null;
    }

    /** The program version that the node should run; null unless this voter leads. */
    String wantedProgram(NodeName node) {
        return updateLeadership() ? clusterState.wantedProgram(node) : null;
    }

    private static long millis() {
        return WallClock.now().toEpochMilli();
    }

    /**
     * The state as this voter knows it. Its long parts are included only on request.
     *
     * @param withRequestCounts whether to include the nodes' request counts
     * @param withPast whether to include the nodes' request counts before the rollout
     * @param withPlans whether to include the members, the capacity plans, and what nodes run at
     *     each location
     */
    public ReplicaView state(boolean withRequestCounts, boolean withPast, boolean withPlans) {
        List<NodeView> nodeViews =
                updateLeadership()
                        ? leaseManager.nodeViews(clusterState, context.loop().now()).stream()
                                .map(
                                        nodeView ->
                                                nodeView.report() == null
                                                        ? nodeView
                                                        : new NodeView(
                                                                nodeView.name(),
                                                                nodeView.incarnation(),
                                                                nodeView.site(),
                                                                nodeView.status(),
                                                                nodeView.sinceHeartbeat(),
                                                                nodeView.report()
                                                                        .filtered(
                                                                                withRequestCounts,
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
                clusterState.commandCount(),
                new ArrayList<>(clusterState.permits()),
                clusterState.haltedBy(),
                clusterState.history(),
                clusterState.rollout(),
                clusterState.goodConfigDigest(),
                new ArrayList<>(clusterState.cordons()),
                withPast ? clusterState.baselineCounts() : null,
                withPlans ? new ArrayList<>(clusterState.members()) : null,
                withPlans ? clusterState.livePlans() : null,
                clusterState.lastPlanNumber());
    }

    /**
     * Executes an operator order, at most once by its id; only a forget order is executed again
     * when it is sent again, and rejected if the node is already removed. The answer is null unless
     * this voter leads. There is no answer if the order's command is dropped, as a duplicate of a
     * pending one or at the limit of pending commands; the sender repeats the order.
     */
    public void execute(
            OperatorOrder order,
            DisruptionLimits disruptionLimits,
            int maxCordons,
            Consumer<OrderResult> replyTo) {
        if (!updateLeadership()) {
            replyTo.accept(null);
            return;
        }
        String earlierAnswer = clusterState.orderResult(order.id());
        long nowMillis = millis();
        List<NodeName> unavailable =
                leaseManager.unavailableNodes(clusterState, context.loop().now());
        RolloutRequest rolloutRequest = order.rolloutRequest();
        String refusal =
                switch (order.kind()) {
                    case "leave" ->
                            clusterState.reasonAgainstPermit(
                                    order.node(), disruptionLimits, unavailable);
                    case "release" ->
                            clusterState.reasonAgainstRollout(
                                    rolloutRequest.kind(),
                                    rolloutRequest.to(),
                                    rolloutRequest.text());
                    case "back" ->
                            clusterState.rollout() == null
                                    ? "no rollout is in progress"
                                    : clusterState.rollout().isRollingBack()
                                            ? clusterState.rollout()
                                                    + " is already being rolled back"
                                            : "";
                    case "rest" -> clusterState.reasonAgainstCordon(order.server(), maxCordons);
                    case "unrest" ->
                            clusterState.cordons().stream()
                                            .anyMatch(
                                                    cordon ->
                                                            cordon.server().equals(order.server()))
                                    ? ""
                                    : order.server() + " is not cordoned";
                    default -> "";
                };
        ClusterCommand command =
                switch (order.kind()) {
                    case "leave" ->
                            new ClusterCommand.GrantPermit(
                                    order.id(),
                                    order.node(),
                                    order.by(),
                                    nowMillis,
                                    disruptionLimits,
                                    unavailable);
                    case "halt", "resume" ->
                            new ClusterCommand.SetHalt(
                                    order.id(), order.kind().equals("halt"), order.by(), nowMillis);
                    case "forget" -> new ClusterCommand.RemoveNode(order.node());
                    case "rest" ->
                            new ClusterCommand.CordonServer(
                                    order.id(), order.server(), order.by(), maxCordons, nowMillis);
                    case "unrest" ->
                            new ClusterCommand.UncordonServer(
                                    order.id(), order.server(), order.by(), nowMillis);
                    case "release" ->
                            new ClusterCommand.BeginRollout(
                                    order.id(),
                                    order.by(),
                                    rolloutRequest.kind(),
                                    rolloutRequest.to(),
                                    rolloutRequest.text(),
                                    rolloutRequest.rollsBackAutomatically(),
                                    nowMillis);
                    case "back" ->
                            new ClusterCommand.RollBack(
                                    order.id(),
                                    clusterState.rollout() == null
                                            ? 0
                                            : clusterState.rollout().number(),
                                    order.by(),
                                    nowMillis);
                    default -> null;
                };
        if (earlierAnswer != null || command == null || !refusal.isEmpty()) {
            replyTo.accept(
                    new OrderResult(
                            earlierAnswer != null,
                            earlierAnswer != null
                                    ? earlierAnswer
                                    : command == null
                                            ? "unknown order: " + order.kind()
                                            : refusal));
            return;
        }
        propose(
                command,
                isApplied ->
                        replyTo.accept(
                                new OrderResult(
                                        isApplied,
                                        clusterState.orderResult(order.id()) != null
                                                ? clusterState.orderResult(order.id())
                                                : isApplied
                                                        ? order.kind() + " " + order.node()
                                                        : "rejected, or may still be committed; send the order again")));
    }

    /** The ids of the committed voting members that this voter knows of. */
    public Set<String> voters() {
        Set<String> ids = new HashSet<>();
        raft.getCommittedMembers()
                .getVotingMembers()
                .forEach(voter -> ids.add(RaftCodec.id(voter)));
        return ids;
    }

    /** The id under which this replica votes. */
    public String endpoint() {
        return RaftCodec.id(raft.getLocalEndpoint());
    }

    /**
     * Admits, under its new id, a voter that lost its storage. Each request makes one membership
     * change. The old id is removed first: the record of its votes is lost, so it must not vote
     * again.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // the callback takes success and failure
    void admitVoter(String id) {
        RaftGroupMembers members = raft.getCommittedMembers();
        Voter voter = new Voter(id);
        if (!updateLeadership()
                || membershipChangeInProgress
                || members.getVotingMembers().contains(voter)) {
            return;
        }
        Optional<RaftEndpoint> previous =
                members.getMembers().stream()
                        .filter(
                                other ->
                                        !other.equals(voter)
                                                && Voter.of(other).name().equals(voter.name()))
                        .findFirst();
        MembershipChangeMode mode =
                previous.isPresent()
                        ? MembershipChangeMode.REMOVE_MEMBER
                        : members.getMembers().contains(voter)
                                ? MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER
                                : MembershipChangeMode.ADD_LEARNER;
        membershipChangeInProgress = true;
        raft.changeMembership(previous.orElse(voter), mode, members.getLogIndex())
                .whenComplete(
                        (result, failure) -> {
                            membershipChangeInProgress = false;
                            if (failure == null) {
                                context.log()
                                        .accept(
                                                "membership change committed mode="
                                                        + mode
                                                        + " id="
                                                        + RaftCodec.id(previous.orElse(voter)));
                            }
                        });
    }

    /**
     * Transfers the leadership to another voter, if there is one. A leader that hands over before
     * it stops leaves no time without a leader.
     */
    @SuppressWarnings(
            "FutureReturnValueIgnored") // best effort: without a transfer the leadership times out
    void transferLeadership() {
        if (updateLeadership()) {
            raft.getCommittedMembers().getVotingMembers().stream()
                    .filter(voter -> !voter.equals(raft.getLocalEndpoint()))
                    .findFirst()
                    .ifPresent(raft::transferLeadership);
        }
    }

    public boolean isLeading() {
        return updateLeadership();
    }

    /** Applies committed operations to the cluster state. */
    private final class ReplicatedStateMachine implements StateMachine {
        @Override
        public Object runOperation(long index, Object operation) {
            String text = (String) operation;
            if (text.isEmpty()) {
                return null; // a linearizable query
            }
            ClusterCommand command =
                    text.equals(NEW_TERM_OPERATION) ? null : CommandCodec.decode(text);
            return command != null && clusterState.apply(command);
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> chunks) {
            CommandCodec.encodeSnapshot(clusterState.snapshot()).forEach(chunks);
        }

        @Override
        public void installSnapshot(long index, List<Object> chunks) {
            clusterState.restore(CommandCodec.decodeSnapshot(chunks));
        }

        @Override
        public Object getNewTermOperation() {
            return NEW_TERM_OPERATION;
        }
    }

    private final class ReplicaTransport implements Transport {
        @Override
        public void send(RaftEndpoint target, RaftMessage message) {
            context.sender().accept(RaftCodec.id(target), message);
        }

        @Override
        public boolean isReachable(RaftEndpoint endpoint) {
            return true;
        }
    }

    private final class LoopExecutor implements RaftNodeExecutor {
        @Override
        public void execute(Runnable task) {
            context.loop().execute(task);
        }

        @Override
        public void submit(Runnable task) {
            context.loop().execute(task);
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            context.loop()
                    .after(new NanoDuration(Math.round(unit.toNanos(delay) / clockSpeedup)), task);
        }
    }

    /** The sped-up clock of MicroRaft. */
    private final class MicroRaftClock extends Clock {
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
            return Math.round(context.loop().now().nanos() * clockSpeedup / 1e6);
        }

        @Override
        public Instant instant() {
            return Instant.ofEpochMilli(millis());
        }
    }
}
