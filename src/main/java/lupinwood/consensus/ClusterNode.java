package lupinwood.consensus;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.cluster.CapacityLease;
import lupinwood.cluster.ClusterCommand;
import lupinwood.cluster.ClusterSession;
import lupinwood.cluster.DutyName;
import lupinwood.cluster.FencingToken;
import lupinwood.cluster.Heartbeat;
import lupinwood.cluster.HeartbeatReply;
import lupinwood.cluster.Incarnation;
import lupinwood.cluster.Lease;
import lupinwood.cluster.LeaseManager;
import lupinwood.cluster.NodeCondition;
import lupinwood.cluster.NodeName;
import lupinwood.cluster.NodeReport;
import lupinwood.cluster.RequestCounts;
import lupinwood.failover.CapacityPlanner;
import lupinwood.log.Log;
import lupinwood.log.WallClock;
import lupinwood.rollout.RolloutAction;
import lupinwood.rollout.RolloutController;
import lupinwood.rollout.RolloutSnapshot;

/**
 * One node's membership in its cluster: heartbeats to the consensus group, the duties that the node
 * holds and, on a voter, the replica of the consensus group. Runs on its own thread; the event loop
 * thread only reads {@link #view} and {@link #stateLogLine}, and queues tasks. No failure here
 * stops the node from serving requests.
 */
public final class ClusterNode {
    public static final List<DutyName> DUTIES =
            List.of(
                    DutyName.STATUS_REPORTER,
                    DutyName.HEALTH_CHECK,
                    DutyName.ROLLOUT_CONTROLLER,
                    DutyName.PLANNER);
    private static final String PROGRAM_VERSION = FaultInjection.overrideProgramVersion();
    private static final NanoDuration MIN_HEARTBEAT_DELAY = NanoDuration.ofSeconds(0.02);
    private static final double RECORD_INTERVAL_LEASES = 5;
    private static final NanoDuration BOOTSTRAP_INTERVAL = NanoDuration.ofSeconds(0.3);

    /**
     * What the rest of this node provides to its cluster membership.
     *
     * @param excludedServers servers to which this node sends no requests
     * @param drainedServers cordoned servers that have no request of this node left
     * @param locationUses what this node runs at each location
     * @param requestCounts the requests that this node answered so far
     * @param configApplier checks and applies the shared configuration
     * @param startLeaving begins to drain the node as an operator's request to leave does; returns
     *     immediately
     */
    public record LocalNode(
            Supplier<NodeCondition> condition,
            Supplier<List<String>> excludedServers,
            Supplier<List<String>> drainedServers,
            Supplier<List<NodeReport.LocationUse>> locationUses,
            Supplier<RequestCounts> requestCounts,
            Supplier<ConfigApplier> configApplier,
            Runnable startLeaving) {}

    private final ClusterSettings settings;
    private final LocalNode self;
    private final Log log;
    private final ThreadTaskLoop loop;
    private final RaftTransport transport;
    private final Random random = new Random();
    private final Incarnation incarnation = new Incarnation(random.nextLong());
    private final ClusterSession session;
    private final Set<Lease> publishedLeases = new HashSet<>();

    /** The reply whose health check results are in the view. */
    private HeartbeatReply publishedReply;

    private List<ClusterView.ServerHealth> serverHealth = List.of();

    /** The address of each voter; a reload may change it. */
    private Map<NodeName, InetSocketAddress> voterAddresses;

    private volatile ClusterView view = ClusterView.NONE;
    private volatile boolean leaving;
    private RaftStorage storage;

    /**
     * Null on a node that isn't a voter, before this voter takes part in the consensus group, and
     * after a storage failure.
     */
    private RaftReplica replica;

    private ClusterBootstrap bootstrap;
    private StatusReporter statusReporter;
    private SharedConfigFollower configFollower;
    private RolloutController rolloutController;
    private boolean rolloutOpen;
    private CapacityPlanner planner;
    private FencingToken plannerToken;
    private List<String> cordonsAtStart = List.of();
    private boolean stopped;

    public ClusterNode(ClusterSettings settings, LocalNode self, Log log) {
        this.settings = settings;
        voterAddresses = settings.voters();
        this.self = self;
        this.log = log;
        loop = new ThreadTaskLoop(log);
        transport = new RaftTransport(this::onMessage, log);
        session =
                new ClusterSession(
                        settings.timing(),
                        settings.name(),
                        incarnation,
                        settings.site(),
                        settings.voterNames(),
                        random.nextLong(),
                        loop.now());
    }

    /**
     * Starts the membership. A failure to start as a voter is only logged, since a node that serves
     * without its cluster is better than none.
     */
    public void start() {
        if (settings.isVoter()) {
            try {
                startVoter();
            } catch (IOException e) {
                log.line(
                        "fleet: voter start failed, no votes until restart error="
                                + e.getMessage());
                bootstrap = null;
            }
        }
        statusReporter =
                settings.reportAddress() == null
                        ? null
                        : new StatusReporter(settings.reportAddress(), log);
        cordonsAtStart = self.configApplier().get().cordonsAtStart();
        publishView();
        configFollower =
                new SharedConfigFollower(
                        self.configApplier().get(), loop::execute, this::requestConfig, log);
        rolloutController = new RolloutController(settings.name(), settings.canaryLimits());
        loop.execute(this::sendDueHeartbeat);
        loop.execute(this::performDuties);
        log.line(
                "fleet: membership started name="
                        + settings.name()
                        + " site="
                        + settings.site()
                        + " incarnation="
                        + incarnation
                        + " voters="
                        + settings.voterNames());
    }

    private void startVoter() throws IOException {
        transport.listen(settings.listenAddress());
        storage =
                RaftStorage.open(
                        settings.directory(), error -> loop.execute(() -> onStorageFailure(error)));
        RestoredRaftState restored = storage.restore();
        ClusterBootstrap.State state = ClusterBootstrap.stateOf(restored);
        bootstrap =
                new ClusterBootstrap(
                        settings.name(), settings.voterNames(), state, BOOTSTRAP_INTERVAL.times(4));
        log.line(
                "fleet: voter started "
                        + switch (state) {
                            case EMPTY -> "storage=EMPTY next=bootstrap-or-rejoin";
                            case FOUNDS -> "storage=FOUNDS next=bootstrap";
                            case VOTES -> "storage=VOTES next=resume";
                        });
        loop.execute(
                state == ClusterBootstrap.State.VOTES
                        ? () -> startReplica(restored, null)
                        : this::bootstrapStep);
    }

    // ---- becoming a voter ----

    private void bootstrapStep() {
        if (stopped || replica != null) {
            return;
        }
        try {
            switch (bootstrap.step(loop.now())) {
                case FOUND -> {
                    ClusterBootstrap.persistFounders(
                            storage, settings.name(), settings.voterNames());
                    bootstrap.onFounded();
                    log.line(
                            "fleet: bootstrapping consensus group voters=" + settings.voterNames());
                }
                case START_REPLICA -> {
                    startReplica(storage.restore(), null);
                    return;
                }
                case REJOIN -> {
                    String id =
                            settings.name().text() + "~" + Integer.toHexString(random.nextInt());
                    log.line("fleet: voter storage lost, rejoining under a new id id=" + id);
                    startReplica(null, id);
                    return;
                }
                default -> {}
            }
        } catch (IOException e) {
            onStorageFailure(e.getMessage());
            return;
        }
        sendToOtherVoters(ClusterBootstrap.query(settings.name()));
        loop.after(BOOTSTRAP_INTERVAL, this::bootstrapStep);
    }

    private void sendToOtherVoters(JsonObject message) {
        voterAddresses.forEach(
                (name, address) -> {
                    if (!name.equals(settings.name())) {
                        transport.send(address, message);
                    }
                });
    }

    private void startReplica(RestoredRaftState restored, String newId) {
        String id = newId != null ? newId : settings.name().text();
        List<String> founders = settings.voterNames().stream().map(NodeName::text).toList();
        // Used only when a consensus group is founded, so that its fencing tokens are higher than
        // those of an earlier group whose storage was lost. The value is a token number, not a
        // time. It is higher than the earlier group's tokens unless that group issued more than
        // 1000 tokens per second on average.
        long tokensAbove = WallClock.now().getEpochSecond() * 1000;
        replica =
                new RaftReplica(
                        settings.name(),
                        id,
                        founders,
                        settings.timing(),
                        DUTIES,
                        tokensAbove,
                        new RaftReplica.ReplicaContext(
                                loop,
                                this::sendRaftMessage,
                                storage,
                                restored,
                                random,
                                event -> log.line("fleet: " + event)));
        replica.start();
        requestAdmission();
    }

    /** Repeats the request until the consensus group counts this replica among its voters. */
    private void requestAdmission() {
        if (stopped || replica == null || replica.voters().contains(replica.endpoint())) {
            return;
        }
        JsonObject message = new JsonObject();
        message.addProperty("k", "admit");
        message.addProperty("id", replica.endpoint());
        sendToOtherVoters(message);
        loop.after(BOOTSTRAP_INTERVAL, this::requestAdmission);
    }

    private void onStorageFailure(String error) {
        log.line("fleet: voter storage failed, no votes until restart error=" + error);
        if (replica != null) {
            replica.stop();
            replica = null;
        }
        bootstrap = null;
    }

    private void sendRaftMessage(String recipientId, RaftMessage message) {
        int suffixStart = recipientId.indexOf('~');
        InetSocketAddress address =
                voterAddresses.get(
                        new NodeName(
                                suffixStart < 0
                                        ? recipientId
                                        : recipientId.substring(0, suffixStart)));
        if (address != null) {
            JsonObject envelope = new JsonObject();
            envelope.addProperty("k", "raft");
            envelope.addProperty("to", recipientId);
            envelope.add("m", RaftCodec.encode(message));
            transport.send(address, envelope);
        }
    }

    // ---- incoming messages ----

    /** Called on the transport's thread. */
    private void onMessage(RaftTransport.Peer peer, JsonObject message) {
        String kind = message.get("k").getAsString();
        switch (kind) {
            case "raft" -> {
                RaftMessage raftMessage =
                        RaftCodec.decodeMessage(message.getAsJsonObject("m"), RaftReplica.GROUP_ID);
                String recipientId = message.get("to").getAsString();
                loop.offer(
                        () -> {
                            if (replica != null && replica.endpoint().equals(recipientId)) {
                                replica.heard(raftMessage);
                            }
                        });
            }
            case "beat" -> {
                Heartbeat heartbeat = ClusterJson.read(message.get("b"), Heartbeat.class);
                loop.offer(() -> onHeartbeat(heartbeat, peer));
            }
            case "reply" -> {
                HeartbeatReply reply = ClusterJson.read(message.get("r"), HeartbeatReply.class);
                loop.offer(() -> onHeartbeatReply(reply));
            }
            case "who" -> {
                NodeName name = new NodeName(message.get("from").getAsString());
                loop.offer(
                        () -> {
                            if (bootstrap != null && voterAddresses.containsKey(name)) {
                                ClusterBootstrap.State state =
                                        replica != null
                                                ? ClusterBootstrap.State.VOTES
                                                : bootstrap.state();
                                transport.send(
                                        voterAddresses.get(name),
                                        ClusterBootstrap.report(settings.name(), state));
                            }
                        });
            }
            case "am" -> {
                NodeName name = new NodeName(message.get("from").getAsString());
                ClusterBootstrap.State state = ClusterBootstrap.reportedState(message);
                loop.offer(
                        () -> {
                            if (bootstrap != null) {
                                bootstrap.onReport(name, state, loop.now());
                            }
                        });
            }
            case "admit" -> {
                String id = message.get("id").getAsString();
                loop.offer(
                        () -> {
                            if (replica != null
                                    && voterAddresses.containsKey(new Voter(id).name())) {
                                replica.admitVoter(id);
                            }
                        });
            }
            case "keep" -> {
                ClusterCommand.RecordStatus command =
                        ClusterJson.read(message.get("d"), ClusterCommand.RecordStatus.class);
                loop.offer(
                        () -> {
                            if (replica != null && command.digest().length() < 4096) {
                                replica.submit(command, result -> {});
                            }
                        });
            }
            case "order" -> {
                RaftReplica.OperatorOrder order =
                        ClusterJson.read(message.get("o"), RaftReplica.OperatorOrder.class);
                loop.offer(() -> onOrder(order, peer));
            }
            case "deed" -> {
                ClusterCommand command = CommandCodec.decode(message.get("d").getAsString());
                loop.offer(
                        () -> {
                            // Any sender is accepted: the cluster state applies rollout
                            // steps and capacity plans only under the duty's fencing token. SetHalt
                            // (halt and resume) and RollBack carry no token. Accepting them from
                            // any sender grants nothing new, since the operator orders with the
                            // same effect are accepted from any sender as well. A halt is
                            // harmless. RollBack carries the number of the rollout that it rolls
                            // back, and is rejected if that rollout isn't the one in progress. It
                            // also ends a halt, because a halt must not delay a rollback.
                            boolean isAccepted =
                                    command instanceof ClusterCommand.AdvanceRollout
                                            || command instanceof ClusterCommand.FinishRollout
                                            || command instanceof ClusterCommand.SetHalt
                                            || command instanceof ClusterCommand.RollBack
                                            || command instanceof ClusterCommand.SetCapacityPlan;
                            if (replica != null && isAccepted) {
                                replica.submit(command, result -> {});
                            }
                        });
            }
            case "text?" -> {
                String digest = message.get("digest").getAsString();
                loop.offer(() -> sendConfigText(digest, peer));
            }
            case "wanted?" -> {
                NodeName name = new NodeName(message.get("name").getAsString());
                loop.offer(() -> sendWanted(name, peer));
            }
            case "text" ->
                    loop.offer(
                            () ->
                                    configFollower.onFetched(
                                            message.get("digest").getAsString(),
                                            message.get("text").getAsString()));
            case "ask" -> loop.offer(() -> peer.send(statusReply(message)));
            case "told" -> {
                JsonElement state = message.get("state");
                boolean leads = message.get("leads").getAsBoolean();
                loop.offer(
                        () -> {
                            reportStatus(state);
                            if (leads) {
                                controlRollout(state);
                                planCapacity(state);
                            }
                        });
            }
            default -> {} // sent by a newer version
        }
    }

    private void onHeartbeat(Heartbeat heartbeat, RaftTransport.Peer peer) {
        Consumer<HeartbeatReply> replyTo =
                reply -> {
                    JsonObject message = new JsonObject();
                    message.addProperty("k", "reply");
                    message.add("r", ClusterJson.toTree(reply));
                    peer.send(message);
                };
        if (replica == null) {
            replyTo.accept(LeaseManager.notLeadingReply(heartbeat, null));
        } else {
            replica.heard(heartbeat, replyTo);
        }
    }

    private void onOrder(RaftReplica.OperatorOrder order, RaftTransport.Peer peer) {
        Consumer<RaftReplica.OrderResult> replyTo =
                answer -> {
                    JsonObject message = new JsonObject();
                    message.addProperty("k", "done");
                    message.addProperty("leads", answer != null);
                    message.add("a", ClusterJson.toTree(answer));
                    peer.send(message);
                };
        if (replica == null) {
            replyTo.accept(null);
        } else {
            String refusal =
                    order.kind().equals("rest")
                            ? settings.reasonAgainstCordon(
                                    order.server(), replica.cordonedServers())
                            : "";
            if (!refusal.isEmpty()) {
                replyTo.accept(
                        replica.isLeading() ? new RaftReplica.OrderResult(false, refusal) : null);
                return;
            }
            replica.execute(order, settings.disruptionLimits(), settings.maxCordons(), replyTo);
        }
    }

    private void requestConfig(String digest) {
        JsonObject message = new JsonObject();
        message.addProperty("k", "text?");
        message.addProperty("digest", digest);
        transport.send(voterAddresses.get(session.currentVoter()), message);
    }

    private void sendConfigText(String digest, RaftTransport.Peer peer) {
        String configText = replica == null ? null : replica.configText(digest);
        if (configText != null) {
            JsonObject message = new JsonObject();
            message.addProperty("k", "text");
            message.addProperty("digest", digest);
            message.addProperty("text", configText);
            peer.send(message);
        }
    }

    /**
     * Tells a starting node which shared configuration to run, with its text, which program version
     * to run, and which servers are cordoned. Only the leader answers with these; what another
     * voter knows may be outdated.
     */
    private void sendWanted(NodeName name, RaftTransport.Peer peer) {
        String digest = replica == null ? null : replica.wantedConfig(name);
        JsonObject message = new JsonObject();
        message.addProperty("k", "wanted");
        message.addProperty("leads", digest != null);
        if (digest != null) {
            message.addProperty("digest", digest);
            message.addProperty("text", replica.configText(digest));
            message.addProperty("program", replica.wantedProgram(name));
            message.add("rests", ClusterJson.toTree(replica.cordonedServers()));
        }
        peer.send(message);
    }

    /** The answer to a status query: what this voter knows. */
    private JsonObject statusReply(JsonObject query) {
        JsonObject message = new JsonObject();
        message.addProperty("k", "told");
        message.addProperty("leads", replica != null && replica.isLeading());
        message.addProperty(
                "leader",
                replica == null || replica.leader() == null ? "" : replica.leader().text());
        message.add("number", query.get("number"));
        message.add(
                "state",
                replica == null
                        ? new JsonObject()
                        : ClusterJson.toTree(
                                replica.state(
                                        query.has("tallies"),
                                        query.has("past"),
                                        query.has("plans"))));
        return message;
    }

    // ---- heartbeats and duties ----

    private void sendDueHeartbeat() {
        if (stopped) {
            return;
        }
        MonotonicTime now = loop.now();
        session.setEjectedServers(self.excludedServers().get());
        session.setReport(
                new NodeReport(
                        PROGRAM_VERSION,
                        configFollower.runningDigest(),
                        configFollower.lastCheck(),
                        self.drainedServers().get(),
                        session.capacityLease().planNumber(),
                        self.locationUses().get(),
                        self.requestCounts().get()));
        ClusterSession.OutgoingHeartbeat sent =
                session.pollHeartbeat(
                        leaving ? NodeCondition.LEAVING : self.condition().get(), now);
        if (sent != null) {
            sendHeartbeat(sent);
        }
        loop.after(
                session.nextHeartbeatAt()
                        .since(now)
                        .max(MIN_HEARTBEAT_DELAY)
                        .min(settings.timing().heartbeatInterval()),
                this::sendDueHeartbeat);
    }

    private void sendHeartbeat(ClusterSession.OutgoingHeartbeat sent) {
        JsonObject message = new JsonObject();
        message.addProperty("k", "beat");
        message.add("b", ClusterJson.toTree(sent.heartbeat()));
        transport.send(voterAddresses.get(sent.voter()), message);
    }

    private void onHeartbeatReply(HeartbeatReply reply) {
        String previousTrouble =
                session.latestReply() == null ? "" : session.latestReply().rejectionReason();
        if (FaultInjection.isWithoutEarlyStop()) {
            session.heldLeases().onHeartbeatSent(reply.number(), loop.now());
        }
        session.onReply(reply, loop.now());
        if (reply.accepted() && !reply.rejectionReason().equals(previousTrouble)) {
            log.line(
                    reply.rejectionReason().isEmpty()
                            ? "fleet: node admitted to the cluster"
                            : "fleet: node not admitted to the cluster reason="
                                    + reply.rejectionReason());
        }
        if (reply.accepted()) {
            configFollower.follow(reply.desiredState());
            rolloutOpen = reply.desiredState() != null && reply.desiredState().busy();
        }
        if (reply.accepted() && reply.leavePermit() > 0 && !leaving) {
            log.line("fleet: leaving under disruption permit=" + reply.leavePermit());
            leaving = true;
            self.startLeaving().run();
        }
        publishView();
    }

    @SuppressWarnings("ReferenceEquality") // each reply object is published once
    private void publishView() {
        MonotonicTime now = loop.now();
        List<ClusterView.LeaseView> leases = new ArrayList<>();
        session.heldLeases()
                .holds(now)
                .forEach(
                        lease ->
                                leases.add(
                                        new ClusterView.LeaseView(
                                                lease.duty(),
                                                lease.token(),
                                                now.plus(
                                                        session.heldLeases()
                                                                .remaining(lease.duty(), now)))));
        HeartbeatReply latest = session.latestReply();
        if (latest != publishedReply && latest != null) {
            publishedReply = latest;
            serverHealth =
                    latest.healthChecks().stream()
                            .map(
                                    result ->
                                            new ClusterView.ServerHealth(
                                                    result.server(),
                                                    result.passed(),
                                                    session.latestReplyAt().minus(result.age())))
                            .toList();
        }
        MonotonicTime connectedUntil =
                session.isConnected(now)
                        ? session.latestReplyAt().plus(settings.timing().leaseDuration())
                        : new MonotonicTime(Long.MIN_VALUE);
        List<String> cordons =
                latest == null
                                || latest.desiredState() == null
                                || latest.desiredState().cordons() == null
                        ? cordonsAtStart
                        : latest.desiredState().cordons();
        CapacityLease capacityLease = session.capacityLease();
        view =
                new ClusterView(
                        connectedUntil,
                        leases,
                        serverHealth,
                        new ClusterView.CapacityShare(
                                capacityLease.planNumber(),
                                capacityLease.slots(),
                                capacityLease.expiresAt()),
                        cordons,
                        latest == null ? null : latest.leader());
        Set<Lease> heldLeases = new HashSet<>(session.heldLeases().holds(now));
        List<Lease> newLeases = new ArrayList<>(heldLeases);
        newLeases.removeAll(publishedLeases);
        newLeases.sort(Comparator.comparing(Lease::token));
        newLeases.forEach(
                lease ->
                        log.line(
                                "fleet: lease acquired duty="
                                        + lease.duty()
                                        + " token="
                                        + lease.token()));
        publishedLeases.stream()
                .filter(lease -> !heldLeases.contains(lease))
                .forEach(
                        lease ->
                                log.line(
                                        "fleet: lease ended duty="
                                                + lease.duty()
                                                + " token="
                                                + lease.token()));
        publishedLeases.clear();
        publishedLeases.addAll(heldLeases);
    }

    /** Periodic task: publishes the view and requests the status that the held duties need. */
    private void performDuties() {
        if (stopped) {
            return;
        }
        publishView();
        FencingToken reporterToken =
                session.heldLeases().tokenFor(DutyName.STATUS_REPORTER, loop.now());
        FencingToken controllerToken =
                session.heldLeases().tokenFor(DutyName.ROLLOUT_CONTROLLER, loop.now());
        if (session.latestReply() != null && session.isConnected(loop.now())) {
            configFollower.follow(session.latestReply().desiredState());
        }
        boolean holdsPlanner =
                !settings.locations().isEmpty()
                        && session.heldLeases().tokenFor(DutyName.PLANNER, loop.now()) != null;
        if (reporterToken != null || (controllerToken != null && rolloutOpen) || holdsPlanner) {
            JsonObject query = new JsonObject();
            query.addProperty("k", "ask");
            query.addProperty("number", 0);
            if (controllerToken != null && rolloutOpen) {
                query.addProperty("tallies", true);
            }
            if (controllerToken != null && rolloutController.needsBaseline()) {
                query.addProperty("past", true);
            }
            if (holdsPlanner) {
                query.addProperty("plans", true);
            }
            transport.send(voterAddresses.get(session.currentVoter()), query);
        }
        loop.after(settings.timing().holderHeartbeatInterval().times(0.5), this::performDuties);
    }

    private MonotonicTime statusRecordedAt = new MonotonicTime(Long.MIN_VALUE / 2);

    /**
     * As the status reporter, sends the cluster status to the external report address, if there is
     * one, on each call. Once more than {@link #RECORD_INTERVAL_LEASES} lease durations have passed
     * since the last record, also records the number of known nodes in the cluster state. Does
     * neither while an earlier status still waits to be sent.
     */
    private void reportStatus(JsonElement state) {
        FencingToken token = session.heldLeases().tokenFor(DutyName.STATUS_REPORTER, loop.now());
        if (token == null || !state.isJsonObject() || !state.getAsJsonObject().has("seen")) {
            return;
        }
        if (statusReporter != null
                && !statusReporter.report(
                        token,
                        ClusterJson.gson().toJson(state),
                        () -> token.equals(view.tokenFor(DutyName.STATUS_REPORTER, loop.now())),
                        error -> loop.execute(() -> onStatusReporterFailure(error)))) {
            return;
        }
        MonotonicTime now = loop.now();
        if (now.since(statusRecordedAt)
                        .compareTo(settings.timing().leaseDuration().times(RECORD_INTERVAL_LEASES))
                > 0) {
            statusRecordedAt = now;
            JsonObject message = new JsonObject();
            message.addProperty("k", "keep");
            message.add(
                    "d",
                    ClusterJson.toTree(
                            new ClusterCommand.RecordStatus(
                                    token,
                                    state.getAsJsonObject().getAsJsonArray("seen").size()
                                            + " nodes known")));
            transport.send(voterAddresses.get(session.currentVoter()), message);
        }
    }

    /**
     * As the rollout controller, decides the next rollout actions and sends them to the voter that
     * this node talks to: rollout steps under the duty's fencing token, rollbacks and halts as
     * commands without a token, and restart permits as operator orders, which have no token either.
     */
    private void controlRollout(JsonElement stateJson) {
        FencingToken token = session.heldLeases().tokenFor(DutyName.ROLLOUT_CONTROLLER, loop.now());
        if (token == null
                || !stateJson.isJsonObject()
                || !stateJson.getAsJsonObject().has("seen")) {
            return;
        }
        RaftReplica.ReplicaView state = ClusterJson.read(stateJson, RaftReplica.ReplicaView.class);
        RolloutSnapshot snapshot =
                new RolloutSnapshot(
                        state.rollout(),
                        state.goodConfigDigest(),
                        state.haltedBy(),
                        state.nodeViews(),
                        state.permits(),
                        settings.disruptionLimits().maxUnavailable(state.nodeViews().size()),
                        state.baselineCounts());
        String previousStatus = rolloutController.statusMessage();
        List<RolloutAction> actions = rolloutController.decide(snapshot, token, loop.now());
        if (!rolloutController.statusMessage().equals(previousStatus)
                && !rolloutController.statusMessage().isEmpty()) {
            log.line(
                    "fleet: "
                            + (state.rollout() == null ? "" : state.rollout() + ": ")
                            + rolloutController.statusMessage());
        }
        for (RolloutAction action : actions) {
            JsonObject message = new JsonObject();
            if (action instanceof RolloutAction.Propose proposal) {
                message.addProperty("k", "deed");
                message.addProperty("d", CommandCodec.encode(proposal.command()));
            } else if (action instanceof RolloutAction.PermitRestart permit) {
                message.addProperty("k", "order");
                message.add(
                        "o",
                        ClusterJson.toTree(
                                new RaftReplica.OperatorOrder(
                                        permit.order(),
                                        "leave",
                                        permit.node(),
                                        state.rollout() == null
                                                ? "the conductor"
                                                : state.rollout().toString())));
            }
            transport.send(voterAddresses.get(session.currentVoter()), message);
        }
    }

    /**
     * As the capacity planner, sends the next plan, if there is one, to the voter that this node
     * talks to, under the duty's fencing token.
     */
    private void planCapacity(JsonElement stateJson) {
        FencingToken token = session.heldLeases().tokenFor(DutyName.PLANNER, loop.now());
        if (token == null || !stateJson.getAsJsonObject().has("plans")) {
            return;
        }
        RaftReplica.ReplicaView state = ClusterJson.read(stateJson, RaftReplica.ReplicaView.class);
        if (!token.equals(plannerToken)) {
            plannerToken = token;
            planner = new CapacityPlanner(settings.timing().leaseDuration());
        }
        ClusterCommand.SetCapacityPlan plan =
                planner.decide(
                        new CapacityPlanner.View(
                                settings.locations(),
                                state.members(),
                                state.nodeViews(),
                                state.plans(),
                                state.lastPlanNumber()),
                        token,
                        loop.now());
        if (plan != null) {
            log.line("fleet: capacity plan proposed reason=" + planner.reason());
            JsonObject message = new JsonObject();
            message.addProperty("k", "deed");
            message.addProperty("d", CommandCodec.encode(plan));
            transport.send(voterAddresses.get(session.currentVoter()), message);
        }
    }

    private void onStatusReporterFailure(String error) {
        log.line("fleet: status report failed, giving up the duty error=" + error);
        session.reportFailure(DutyName.STATUS_REPORTER, loop.now());
        publishView();
    }

    // ---- called by other parts of the node ----

    /**
     * Takes new addresses of the voters; connections to the old ones are closed. Ignored where the
     * set of voter names differs.
     */
    public void updateVoterAddresses(Map<NodeName, InetSocketAddress> newAddresses) {
        loop.execute(
                () -> {
                    if (newAddresses.keySet().equals(voterAddresses.keySet())
                            && !newAddresses.equals(voterAddresses)) {
                        voterAddresses = Map.copyOf(newAddresses);
                        transport.retainOnly(voterAddresses.values());
                        log.line("fleet: voter addresses changed voters=" + voterAddresses);
                    }
                });
    }

    /** Callable from any thread; never blocks. */
    public ClusterView view() {
        return view;
    }

    /** Reports a health check that this node made under the health check duty. */
    public void recordHealthCheck(String server, boolean well, FencingToken token) {
        loop.offer(() -> session.recordHealthCheck(server, well, token, loop.now()));
    }

    /**
     * Begins to leave the cluster: hands on this node's duties and, on a leading voter, the
     * leadership while the node drains. Returns immediately.
     */
    public void leave() {
        leaving = true;
        loop.execute(
                () -> {
                    session.releaseAll(loop.now());
                    publishView();
                    sendHeartbeatNow(NodeCondition.LEAVING);
                    if (replica != null) {
                        replica.transferLeadership();
                    }
                });
    }

    private void sendHeartbeatNow(NodeCondition condition) {
        ClusterSession.OutgoingHeartbeat sent = session.pollHeartbeat(condition, loop.now());
        if (sent != null) {
            sendHeartbeat(sent);
        }
    }

    /**
     * Sends the last heartbeat and stops. Blocks for about the timeout at most, and then until the
     * task loop, the transport and the storage are closed.
     */
    public void end(NanoDuration timeout) {
        CountDownLatch lastHeartbeatGraceElapsed = new CountDownLatch(1);
        loop.execute(
                () -> {
                    session.releaseAll(loop.now());
                    sendHeartbeat(session.finalHeartbeat(loop.now()));
                    loop.after(timeout.times(0.5), lastHeartbeatGraceElapsed::countDown);
                });
        try {
            lastHeartbeatGraceElapsed.await(timeout.nanos(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        loop.execute(
                () -> {
                    stopped = true;
                    if (replica != null) {
                        replica.stop();
                    }
                });
        loop.close();
        transport.close();
        if (storage != null) {
            storage.close();
        }
    }

    /** A summary of the membership for the log. */
    public String stateLogLine() {
        ClusterView current = view;
        return "fleet: membership status "
                + (current.isConnected(loop.now())
                        ? "connected=true leader=" + current.leader()
                        : "connected=false")
                + " leases="
                + publishedLeases.size()
                + " chars="
                + transport.transferredChars()
                + (storage == null ? "" : " syncs=" + storage.syncCount());
    }
}
