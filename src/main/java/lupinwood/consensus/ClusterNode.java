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
 * One node's part in its fleet: its talk with the consensus group, the duties it holds, and where
 * it is a voter, its part in the consensus group itself. All on a thread of its own; the event loop
 * thread only reads {@link #view}. Whatever happens here, the node serves on.
 */
public final class ClusterNode {
    public static final List<DutyName> DUTIES =
            List.of(
                    DutyName.STATUS_REPORTER,
                    DutyName.HEALTH_CHECK,
                    DutyName.ROLLOUT_CONTROLLER,
                    DutyName.PLANNER);
    private static final String PROGRAM = FaultInjection.program();
    private static final NanoDuration LOOK = NanoDuration.ofSeconds(0.02);
    private static final double KEEP_EVERY = 5; // leases
    private static final NanoDuration BOOTSTRAP_EVERY = NanoDuration.ofSeconds(0.3);

    /**
     * What this node says of itself.
     *
     * @param drained servers that rest, and have nothing of this node
     * @param uses what it does at places below
     * @param requestCounts what it answered so far
     * @param configApplier checks and takes the fleet's text
     * @param leave has the node leave as by the notice; returns at once
     */
    public record Self(
            Supplier<NodeCondition> condition,
            Supplier<List<String>> leftOut,
            Supplier<List<String>> drained,
            Supplier<List<NodeReport.LocationUse>> uses,
            Supplier<RequestCounts> requestCounts,
            Supplier<ConfigApplier> configApplier,
            Runnable leave) {}

    private final ClusterSettings settings;
    private final Self self;
    private final Log log;
    private final ThreadTaskLoop loop;
    private final RaftTransport transport;
    private final Random random = new Random();
    private final Incarnation incarnation = new Incarnation(random.nextLong());
    private final ClusterSession session;
    private final Set<Lease> known = new HashSet<>();

    /** The reply whose findings are in the view. */
    private HeartbeatReply publishedReply;

    private List<ClusterView.ServerHealth> found = List.of();

    /** Where each voter is reached; it may move. */
    private Map<NodeName, InetSocketAddress> voters;

    private volatile ClusterView view = ClusterView.NONE;
    private volatile boolean leaving;
    private RaftStorage storage;

    /** Null before this voter takes part, and in a node that is none. */
    private RaftReplica replica;

    private ClusterBootstrap bootstrap;
    private StatusReporter statusReporter;
    private SharedConfigFollower texts;
    private RolloutController rolloutController;
    private boolean rolloutOpen;
    private CapacityPlanner planner;
    private FencingToken plansUnder;
    private List<String> cordonsAtStart = List.of();
    private boolean over;

    public ClusterNode(ClusterSettings settings, Self self, Log log) {
        this.settings = settings;
        voters = settings.voters();
        this.self = self;
        this.log = log;
        loop = new ThreadTaskLoop(log);
        transport = new RaftTransport(this::heard, log);
        session =
                new ClusterSession(
                        settings.timing(),
                        settings.name(),
                        incarnation,
                        settings.site(),
                        settings.names(),
                        random.nextLong(),
                        loop.now());
    }

    /**
     * Whatever the fleet can't do here is told by the log: a node that serves alone is better than
     * none.
     */
    public void start() {
        if (settings.votes()) {
            try {
                vote();
            } catch (IOException e) {
                log.line(
                        "fleet: this node can't be a voter until it is started anew: "
                                + e.getMessage());
                bootstrap = null;
            }
        }
        statusReporter =
                settings.report() == null ? null : new StatusReporter(settings.report(), log);
        cordonsAtStart = self.configApplier().get().cordonsAtStart();
        publish();
        texts =
                new SharedConfigFollower(
                        self.configApplier().get(), loop::execute, this::fetch, log);
        rolloutController = new RolloutController(settings.name(), settings.limits());
        loop.execute(this::talk);
        loop.execute(this::look);
        log.line(
                "fleet: "
                        + settings.name()
                        + " in "
                        + settings.site()
                        + ", life "
                        + incarnation
                        + ", voters "
                        + settings.names());
    }

    private void vote() throws IOException {
        transport.listen(settings.listen());
        storage =
                RaftStorage.open(
                        settings.directory(), text -> loop.execute(() -> storageFailed(text)));
        RestoredRaftState restored = storage.restore();
        ClusterBootstrap.State state = ClusterBootstrap.of(restored);
        bootstrap =
                new ClusterBootstrap(
                        settings.name(), settings.names(), state, BOOTSTRAP_EVERY.times(4));
        log.line(
                "fleet: a voter, "
                        + switch (state) {
                            case EMPTY ->
                                    "with nothing kept: founds the council, or comes anew to one that is";
                            case FOUNDS -> "founding the council";
                            case VOTES -> "with what it kept";
                        });
        loop.execute(
                state == ClusterBootstrap.State.VOTES
                        ? () -> takePart(restored, null)
                        : this::found);
    }

    // ---- becoming a voter ----

    private void found() {
        if (over || replica != null) {
            return;
        }
        try {
            switch (bootstrap.step(loop.now())) {
                case FOUND -> {
                    ClusterBootstrap.write(storage, settings.name(), settings.names());
                    bootstrap.founded();
                    log.line("fleet: founds the council with " + settings.names());
                }
                case TAKE_PART -> {
                    takePart(storage.restore(), null);
                    return;
                }
                case COME_ANEW -> {
                    String id =
                            settings.name().text() + "~" + Integer.toHexString(random.nextInt());
                    log.line(
                            "fleet: the council has this voter's votes, its folder hasn't: comes anew as "
                                    + id);
                    takePart(null, id);
                    return;
                }
                default -> {}
            }
        } catch (IOException e) {
            storageFailed(e.getMessage());
            return;
        }
        askOthers(ClusterBootstrap.ask(settings.name()));
        loop.after(BOOTSTRAP_EVERY, this::found);
    }

    private void askOthers(JsonObject text) {
        voters.forEach(
                (name, address) -> {
                    if (!name.equals(settings.name())) {
                        transport.say(address, text);
                    }
                });
    }

    private void takePart(RestoredRaftState restored, String newId) {
        String id = newId != null ? newId : settings.name().text();
        List<String> founders = settings.names().stream().map(NodeName::text).toList();
        // The seconds of the wall clock matter once in a consensus group's life: tokens of a lost
        // one stay
        // lower.
        long above = WallClock.now().getEpochSecond() * 1000;
        replica =
                new RaftReplica(
                        settings.name(),
                        id,
                        founders,
                        settings.timing(),
                        DUTIES,
                        above,
                        new RaftReplica.ReplicaContext(
                                loop,
                                this::post,
                                storage,
                                restored,
                                random,
                                text -> log.line("fleet: " + text)));
        replica.start();
        askIn();
    }

    /** Until the consensus group counts it among its voters. */
    private void askIn() {
        if (over || replica == null || replica.voters().contains(replica.endpoint())) {
            return;
        }
        JsonObject text = new JsonObject();
        text.addProperty("k", "admit");
        text.addProperty("id", replica.endpoint());
        askOthers(text);
        loop.after(BOOTSTRAP_EVERY, this::askIn);
    }

    private void storageFailed(String why) {
        log.line(
                "fleet: the folder failed, this voter votes no more until it is started anew: "
                        + why);
        if (replica != null) {
            replica.stop();
            replica = null;
        }
        bootstrap = null;
    }

    private void post(String to, RaftMessage message) {
        int mark = to.indexOf('~');
        InetSocketAddress address = voters.get(new NodeName(mark < 0 ? to : to.substring(0, mark)));
        if (address != null) {
            JsonObject text = new JsonObject();
            text.addProperty("k", "raft");
            text.addProperty("to", to);
            text.add("m", RaftCodec.of(message));
            transport.say(address, text);
        }
    }

    // ---- what others say ----

    /** On the carriage's thread. */
    private void heard(RaftTransport.Peer from, JsonObject text) {
        String kind = text.get("k").getAsString();
        switch (kind) {
            case "raft" -> {
                RaftMessage message =
                        RaftCodec.message(text.getAsJsonObject("m"), RaftReplica.GROUP);
                String to = text.get("to").getAsString();
                loop.offer(
                        () -> {
                            if (replica != null && replica.endpoint().equals(to)) {
                                replica.heard(message);
                            }
                        });
            }
            case "beat" -> {
                Heartbeat heartbeat = ClusterJson.read(text.get("b"), Heartbeat.class);
                loop.offer(() -> onHeartbeat(heartbeat, from));
            }
            case "reply" -> {
                HeartbeatReply reply = ClusterJson.read(text.get("r"), HeartbeatReply.class);
                loop.offer(() -> replied(reply));
            }
            case "who" -> {
                NodeName name = new NodeName(text.get("from").getAsString());
                loop.offer(
                        () -> {
                            if (bootstrap != null && voters.containsKey(name)) {
                                ClusterBootstrap.State state =
                                        replica != null
                                                ? ClusterBootstrap.State.VOTES
                                                : bootstrap.state();
                                transport.say(
                                        voters.get(name),
                                        ClusterBootstrap.tell(settings.name(), state));
                            }
                        });
            }
            case "am" -> {
                NodeName name = new NodeName(text.get("from").getAsString());
                ClusterBootstrap.State state = ClusterBootstrap.reported(text);
                loop.offer(
                        () -> {
                            if (bootstrap != null) {
                                bootstrap.heard(name, state, loop.now());
                            }
                        });
            }
            case "admit" -> {
                String id = text.get("id").getAsString();
                loop.offer(
                        () -> {
                            if (replica != null && voters.containsKey(new Voter(id).name())) {
                                replica.admit(id);
                            }
                        });
            }
            case "keep" -> {
                ClusterCommand.RecordStatus keep =
                        ClusterJson.read(text.get("d"), ClusterCommand.RecordStatus.class);
                loop.offer(
                        () -> {
                            if (replica != null && keep.digest().length() < 4096) {
                                replica.write(keep, done -> {});
                            }
                        });
            }
            case "order" -> {
                RaftReplica.OperatorOrder order =
                        ClusterJson.read(text.get("o"), RaftReplica.OperatorOrder.class);
                loop.offer(() -> order(order, from));
            }
            case "deed" -> {
                ClusterCommand command = CommandCodec.command(text.get("d").getAsString());
                loop.offer(
                        () -> {
                            // Whoever says it, the cluster state takes these under the rollout
                            // controller's token
                            // only; a halt harms nothing.
                            boolean conductors =
                                    command instanceof ClusterCommand.AdvanceRollout
                                            || command instanceof ClusterCommand.FinishRollout
                                            || command instanceof ClusterCommand.SetHalt
                                            || command instanceof ClusterCommand.RollBack
                                            || command instanceof ClusterCommand.SetCapacityPlan;
                            if (replica != null && conductors) {
                                replica.write(command, done -> {});
                            }
                        });
            }
            case "text?" -> {
                String digest = text.get("digest").getAsString();
                loop.offer(() -> tellText(digest, from));
            }
            case "wanted?" -> {
                NodeName name = new NodeName(text.get("name").getAsString());
                loop.offer(() -> tellWanted(name, from));
            }
            case "text" ->
                    loop.offer(
                            () ->
                                    texts.fetched(
                                            text.get("digest").getAsString(),
                                            text.get("text").getAsString()));
            case "ask" -> loop.offer(() -> from.say(status(text)));
            case "told" -> {
                JsonElement state = text.get("state");
                boolean leads = text.get("leads").getAsBoolean();
                loop.offer(
                        () -> {
                            keep(state);
                            if (leads) {
                                conduct(state);
                                plan(state);
                            }
                        });
            }
            default -> {} // of a newer version
        }
    }

    private void onHeartbeat(Heartbeat heartbeat, RaftTransport.Peer from) {
        Consumer<HeartbeatReply> to =
                reply -> {
                    JsonObject text = new JsonObject();
                    text.addProperty("k", "reply");
                    text.add("r", ClusterJson.tree(reply));
                    from.say(text);
                };
        if (replica == null) {
            to.accept(LeaseManager.elsewhere(heartbeat, null));
        } else {
            replica.heard(heartbeat, to);
        }
    }

    private void order(RaftReplica.OperatorOrder order, RaftTransport.Peer from) {
        Consumer<RaftReplica.OrderResult> to =
                answer -> {
                    JsonObject text = new JsonObject();
                    text.addProperty("k", "done");
                    text.addProperty("leads", answer != null);
                    text.add("a", ClusterJson.tree(answer));
                    from.say(text);
                };
        if (replica == null) {
            to.accept(null);
        } else {
            String against =
                    order.what().equals("rest")
                            ? settings.against(order.server(), replica.resting())
                            : "";
            if (!against.isEmpty()) {
                to.accept(replica.isLeading() ? new RaftReplica.OrderResult(false, against) : null);
                return;
            }
            replica.order(order, settings.disruptionLimits(), settings.mostResting(), to);
        }
    }

    private void fetch(String digest) {
        JsonObject text = new JsonObject();
        text.addProperty("k", "text?");
        text.addProperty("digest", digest);
        transport.say(voters.get(session.talksTo()), text);
    }

    private void tellText(String digest, RaftTransport.Peer to) {
        String known = replica == null ? null : replica.text(digest);
        if (known != null) {
            JsonObject text = new JsonObject();
            text.addProperty("k", "text");
            text.addProperty("digest", digest);
            text.addProperty("text", known);
            to.say(text);
        }
    }

    /**
     * For a node that is about to start: which text it is to go by, with the text; by whoever
     * leads.
     */
    private void tellWanted(NodeName name, RaftTransport.Peer to) {
        String digest = replica == null ? null : replica.wanted(name);
        JsonObject text = new JsonObject();
        text.addProperty("k", "wanted");
        text.addProperty("leads", digest != null);
        if (digest != null) {
            text.addProperty("digest", digest);
            text.addProperty("text", replica.text(digest));
            text.addProperty("program", replica.wantedProgram(name));
            text.add("rests", ClusterJson.tree(replica.resting()));
        }
        to.say(text);
    }

    /** What this voter knows, for who asks. */
    private JsonObject status(JsonObject question) {
        JsonObject text = new JsonObject();
        text.addProperty("k", "told");
        text.addProperty("leads", replica != null && replica.isLeading());
        text.addProperty(
                "leader",
                replica == null || replica.leader() == null ? "" : replica.leader().text());
        text.add("number", question.get("number"));
        text.add(
                "state",
                replica == null
                        ? new JsonObject()
                        : ClusterJson.tree(
                                replica.state(
                                        question.has("tallies"),
                                        question.has("past"),
                                        question.has("plans"))));
        return text;
    }

    // ---- this node's own talk ----

    private void talk() {
        if (over) {
            return;
        }
        MonotonicTime now = loop.now();
        session.leavesOut(self.leftOut().get());
        session.reports(
                new NodeReport(
                        PROGRAM,
                        texts.runs(),
                        texts.checked(),
                        self.drained().get(),
                        session.allotment().plan(),
                        self.uses().get(),
                        self.requestCounts().get()));
        ClusterSession.Sent sent =
                session.heartbeat(leaving ? NodeCondition.LEAVING : self.condition().get(), now);
        if (sent != null) {
            say(sent);
        }
        loop.after(
                session.due().since(now).max(LOOK).min(settings.timing().heartbeatInterval()),
                this::talk);
    }

    private void say(ClusterSession.Sent sent) {
        JsonObject text = new JsonObject();
        text.addProperty("k", "beat");
        text.add("b", ClusterJson.tree(sent.heartbeat()));
        transport.say(voters.get(sent.to()), text);
    }

    private void replied(HeartbeatReply reply) {
        String before = session.latest() == null ? "" : session.latest().trouble();
        if (FaultInjection.isWithoutEarlyStop()) {
            session.holding().asks(reply.number(), loop.now());
        }
        session.heard(reply, loop.now());
        if (reply.taken() && !reply.trouble().equals(before)) {
            log.line(
                    reply.trouble().isEmpty()
                            ? "fleet: no longer outside"
                            : "fleet: outside, since " + reply.trouble());
        }
        if (reply.taken()) {
            texts.follow(reply.wanted());
            rolloutOpen = reply.wanted() != null && reply.wanted().busy();
        }
        if (reply.taken() && reply.leave() > 0 && !leaving) {
            log.line("fleet: leaves under permit " + reply.leave());
            leaving = true;
            self.leave().run();
        }
        publish();
    }

    @SuppressWarnings("ReferenceEquality") // the reply's object stands for this one reply
    private void publish() {
        MonotonicTime now = loop.now();
        List<ClusterView.LeaseView> leases = new ArrayList<>();
        session.holding()
                .holds(now)
                .forEach(
                        lease ->
                                leases.add(
                                        new ClusterView.LeaseView(
                                                lease.duty(),
                                                lease.token(),
                                                now.plus(
                                                        session.holding()
                                                                .left(lease.duty(), now)))));
        HeartbeatReply latest = session.latest();
        if (latest != publishedReply && latest != null) {
            publishedReply = latest;
            found =
                    latest.found().stream()
                            .map(
                                    one ->
                                            new ClusterView.ServerHealth(
                                                    one.server(),
                                                    one.well(),
                                                    session.latestWord().minus(one.age())))
                            .toList();
        }
        MonotonicTime touch =
                session.isInTouch(now)
                        ? session.latestWord().plus(settings.timing().lease())
                        : new MonotonicTime(Long.MIN_VALUE);
        List<String> cordons =
                latest == null || latest.wanted() == null || latest.wanted().cordons() == null
                        ? cordonsAtStart
                        : latest.wanted().cordons();
        CapacityLease may = session.allotment();
        view =
                new ClusterView(
                        touch,
                        leases,
                        found,
                        new ClusterView.CapacityShare(may.plan(), may.slots(), may.until()),
                        cordons,
                        latest == null ? null : latest.leader());
        Set<Lease> holds = new HashSet<>(session.holding().holds(now));
        List<Lease> news = new ArrayList<>(holds);
        news.removeAll(known);
        news.sort(Comparator.comparing(Lease::token));
        news.forEach(lease -> log.line("fleet: holds " + lease.duty() + " under " + lease.token()));
        known.stream()
                .filter(lease -> !holds.contains(lease))
                .forEach(
                        lease ->
                                log.line(
                                        "fleet: holds "
                                                + lease.duty()
                                                + " no more, under "
                                                + lease.token()));
        known.clear();
        known.addAll(holds);
    }

    /** What this node does by its duties, again and again. */
    private void look() {
        if (over) {
            return;
        }
        publish();
        FencingToken token = session.holding().mayAct(DutyName.STATUS_REPORTER, loop.now());
        FencingToken leads = session.holding().mayAct(DutyName.ROLLOUT_CONTROLLER, loop.now());
        if (session.latest() != null && session.isInTouch(loop.now())) {
            texts.follow(session.latest().wanted());
        }
        boolean plans =
                !settings.locations().isEmpty()
                        && session.holding().mayAct(DutyName.PLANNER, loop.now()) != null;
        if (token != null || (leads != null && rolloutOpen) || plans) {
            JsonObject ask = new JsonObject();
            ask.addProperty("k", "ask");
            ask.addProperty("number", 0);
            if (leads != null && rolloutOpen) {
                ask.addProperty("tallies", true);
            }
            if (leads != null && rolloutController.wantsPast()) {
                ask.addProperty("past", true);
            }
            if (plans) {
                ask.addProperty("plans", true);
            }
            transport.say(voters.get(session.talksTo()), ask);
        }
        loop.after(settings.timing().holderHeartbeatInterval().times(0.5), this::look);
    }

    private MonotonicTime recordedAt = new MonotonicTime(Long.MIN_VALUE / 2);

    /**
     * The status reporter has the picture: it is told outside, and from time to time written down.
     */
    private void keep(JsonElement state) {
        FencingToken token = session.holding().mayAct(DutyName.STATUS_REPORTER, loop.now());
        if (token == null || !state.isJsonObject() || !state.getAsJsonObject().has("seen")) {
            return;
        }
        if (statusReporter != null
                && !statusReporter.tell(
                        token,
                        ClusterJson.gson().toJson(state),
                        () -> token.equals(view.mayAct(DutyName.STATUS_REPORTER, loop.now())),
                        bad -> loop.execute(() -> statusReporterFails(bad)))) {
            return;
        }
        MonotonicTime now = loop.now();
        if (now.since(recordedAt).compareTo(settings.timing().lease().times(KEEP_EVERY)) > 0) {
            recordedAt = now;
            JsonObject text = new JsonObject();
            text.addProperty("k", "keep");
            text.add(
                    "d",
                    ClusterJson.tree(
                            new ClusterCommand.RecordStatus(
                                    token,
                                    state.getAsJsonObject().getAsJsonArray("seen").size()
                                            + " nodes known")));
            transport.say(voters.get(session.talksTo()), text);
        }
    }

    /**
     * The rollout controller has the picture: it says what is next, under its token, to whoever
     * leads.
     */
    private void conduct(JsonElement reported) {
        FencingToken token = session.holding().mayAct(DutyName.ROLLOUT_CONTROLLER, loop.now());
        if (token == null || !reported.isJsonObject() || !reported.getAsJsonObject().has("seen")) {
            return;
        }
        RaftReplica.ReplicaView state = ClusterJson.read(reported, RaftReplica.ReplicaView.class);
        RolloutSnapshot snapshot =
                new RolloutSnapshot(
                        state.rollout(),
                        state.good(),
                        state.haltedBy(),
                        state.nodeViews(),
                        state.permits(),
                        settings.disruptionLimits().mostOf(state.nodeViews().size()),
                        state.past());
        String before = rolloutController.says();
        List<RolloutAction> actions = rolloutController.decide(snapshot, token, loop.now());
        if (!rolloutController.says().equals(before) && !rolloutController.says().isEmpty()) {
            log.line(
                    "fleet: "
                            + (state.rollout() == null ? "" : state.rollout() + ": ")
                            + rolloutController.says());
        }
        for (RolloutAction action : actions) {
            JsonObject text = new JsonObject();
            if (action instanceof RolloutAction.Propose write) {
                text.addProperty("k", "deed");
                text.addProperty("d", CommandCodec.of(write.command()));
            } else if (action instanceof RolloutAction.PermitRestart let) {
                text.addProperty("k", "order");
                text.add(
                        "o",
                        ClusterJson.tree(
                                new RaftReplica.OperatorOrder(
                                        let.order(),
                                        "leave",
                                        let.node(),
                                        state.rollout() == null
                                                ? "the conductor"
                                                : state.rollout().toString())));
            }
            transport.say(voters.get(session.talksTo()), text);
        }
    }

    /**
     * The planner has the picture: the next plan, if there is to be one, under its token, to
     * whoever leads.
     */
    private void plan(JsonElement reported) {
        FencingToken token = session.holding().mayAct(DutyName.PLANNER, loop.now());
        if (token == null || !reported.getAsJsonObject().has("plans")) {
            return;
        }
        RaftReplica.ReplicaView state = ClusterJson.read(reported, RaftReplica.ReplicaView.class);
        if (!token.equals(plansUnder)) {
            plansUnder = token;
            planner = new CapacityPlanner(settings.timing().lease());
        }
        ClusterCommand.SetCapacityPlan plan =
                planner.decide(
                        new CapacityPlanner.View(
                                settings.locations(),
                                state.members(),
                                state.nodeViews(),
                                state.plans(),
                                state.lastPlan()),
                        token,
                        loop.now());
        if (plan != null) {
            log.line("fleet: plans: " + planner.why());
            JsonObject text = new JsonObject();
            text.addProperty("k", "deed");
            text.addProperty("d", CommandCodec.of(plan));
            transport.say(voters.get(session.talksTo()), text);
        }
    }

    private void statusReporterFails(String why) {
        log.line("fleet: can't keep the picture, hands the duty on: " + why);
        session.failAt(DutyName.STATUS_REPORTER, loop.now());
        publish();
    }

    // ---- for the rest of the node ----

    /** The voters have moved: the names stay as they are, links are made anew. */
    public void reach(Map<NodeName, InetSocketAddress> moved) {
        loop.execute(
                () -> {
                    if (moved.keySet().equals(voters.keySet()) && !moved.equals(voters)) {
                        voters = Map.copyOf(moved);
                        transport.keepOnly(voters.values());
                        log.line("fleet: reaches the voters at " + voters);
                    }
                });
    }

    /** Read by any thread; never waits. */
    public ClusterView view() {
        return view;
    }

    /** What a try under the duty trial came to. */
    public void found(String server, boolean well, FencingToken token) {
        loop.offer(() -> session.found(server, well, token, loop.now()));
    }

    /** The node leaves: its duties go to heirs while it drains. Returns at once. */
    public void leave() {
        leaving = true;
        loop.execute(
                () -> {
                    session.handOnAll(loop.now());
                    publish();
                    talkNow(NodeCondition.LEAVING);
                    if (replica != null) {
                        replica.handOver();
                    }
                });
    }

    private void talkNow(NodeCondition condition) {
        ClusterSession.Sent sent = session.heartbeat(condition, loop.now());
        if (sent != null) {
            say(sent);
        }
    }

    /** The last word, and the end; takes as long at the most. */
    public void end(NanoDuration most) {
        CountDownLatch said = new CountDownLatch(1);
        loop.execute(
                () -> {
                    session.handOnAll(loop.now());
                    say(session.last(loop.now()));
                    loop.after(most.times(0.5), said::countDown);
                });
        try {
            said.await(most.nanos(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        loop.execute(
                () -> {
                    over = true;
                    if (replica != null) {
                        replica.stop();
                    }
                });
        loop.end();
        transport.end();
        if (storage != null) {
            storage.close();
        }
    }

    /** For the log: what is known here now. */
    public String figures() {
        ClusterView now = view;
        return "fleet: "
                + (now.isInTouch(loop.now()) ? "in touch with " + now.leader() : "alone")
                + ", holds "
                + known.size()
                + ", bytes "
                + transport.bytes()
                + (storage == null ? "" : ", syncs " + storage.flushes());
    }
}
