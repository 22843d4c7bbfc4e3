package lupinwood.council;

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
import lupinwood.failover.Planner;
import lupinwood.fleet.Allotment;
import lupinwood.fleet.Beat;
import lupinwood.fleet.Condition;
import lupinwood.fleet.Deed;
import lupinwood.fleet.DutyName;
import lupinwood.fleet.Grant;
import lupinwood.fleet.Life;
import lupinwood.fleet.NodeName;
import lupinwood.fleet.Reply;
import lupinwood.fleet.Report;
import lupinwood.fleet.Session;
import lupinwood.fleet.Steward;
import lupinwood.fleet.Tally;
import lupinwood.fleet.Token;
import lupinwood.log.Log;
import lupinwood.log.WallClock;
import lupinwood.node.Moment;
import lupinwood.node.Span;
import lupinwood.release.Act;
import lupinwood.release.Conductor;
import lupinwood.release.Picture;

/**
 * One node's part in its fleet: its talk with the council, the duties it holds, and where it is a
 * voter, its part in the council itself. All on a thread of its own; the deciding thread only reads
 * {@link #view}. Whatever happens here, the node serves on.
 */
public final class Fleet {
    public static final List<DutyName> DUTIES =
            List.of(DutyName.KEEPER, DutyName.TRIAL, DutyName.CONDUCTOR, DutyName.PLANNER);
    private static final String PROGRAM = Spoilt.program();
    private static final Span LOOK = Span.ofSeconds(0.02);
    private static final double KEEP_EVERY = 5; // leases
    private static final Span FOUNDING_EVERY = Span.ofSeconds(0.3);

    /**
     * What this node says of itself.
     *
     * @param emptied servers that rest, and have nothing of this node
     * @param uses what it does at places below
     * @param tally what it answered so far
     * @param hands checks and takes the fleet's text
     * @param leave has the node leave as by the notice; returns at once
     */
    public record Self(
            Supplier<Condition> condition,
            Supplier<List<String>> leftOut,
            Supplier<List<String>> emptied,
            Supplier<List<Report.Use>> uses,
            Supplier<Tally> tally,
            Supplier<Hands> hands,
            Runnable leave) {}

    private final FleetSettings settings;
    private final Self self;
    private final Log log;
    private final RealLoop loop;
    private final Carriage carriage;
    private final Random random = new Random();
    private final Life life = new Life(random.nextLong());
    private final Session session;
    private final Set<Grant> known = new HashSet<>();

    /** The reply whose findings are in the view. */
    private Reply toldOf;

    private List<FleetView.Found> found = List.of();

    /** Where each voter is reached; it may move. */
    private Map<NodeName, InetSocketAddress> voters;

    private volatile FleetView view = FleetView.NONE;
    private volatile boolean leaving;
    private Folder folder;

    /** Null before this voter takes part, and in a node that is none. */
    private Council council;

    private Founding founding;
    private KeeperWork keeper;
    private TextWork texts;
    private Conductor conductor;
    private boolean releaseOpen;
    private Planner planner;
    private Token plansUnder;
    private List<String> restsAtStart = List.of();
    private boolean over;

    public Fleet(FleetSettings settings, Self self, Log log) {
        this.settings = settings;
        voters = settings.voters();
        this.self = self;
        this.log = log;
        loop = new RealLoop(log);
        carriage = new Carriage(this::heard, log);
        session =
                new Session(
                        settings.rules(),
                        settings.name(),
                        life,
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
                founding = null;
            }
        }
        keeper = settings.report() == null ? null : new KeeperWork(settings.report(), log);
        restsAtStart = self.hands().get().restsAtStart();
        publish();
        texts = new TextWork(self.hands().get(), loop::execute, this::fetch, log);
        conductor = new Conductor(settings.name(), settings.limits());
        loop.execute(this::talk);
        loop.execute(this::look);
        log.line(
                "fleet: "
                        + settings.name()
                        + " in "
                        + settings.site()
                        + ", life "
                        + life
                        + ", voters "
                        + settings.names());
    }

    private void vote() throws IOException {
        carriage.listen(settings.listen());
        folder = Folder.open(settings.folder(), text -> loop.execute(() -> folderFailed(text)));
        RestoredRaftState kept = folder.restore();
        Founding.State state = Founding.of(kept);
        founding = new Founding(settings.name(), settings.names(), state, FOUNDING_EVERY.times(4));
        log.line(
                "fleet: a voter, "
                        + switch (state) {
                            case EMPTY ->
                                    "with nothing kept: founds the council, or comes anew to one that is";
                            case FOUNDS -> "founding the council";
                            case VOTES -> "with what it kept";
                        });
        loop.execute(state == Founding.State.VOTES ? () -> takePart(kept, null) : this::found);
    }

    // ---- becoming a voter ----

    private void found() {
        if (over || council != null) {
            return;
        }
        try {
            switch (founding.step(loop.now())) {
                case FOUND -> {
                    Founding.write(folder, settings.name(), settings.names());
                    founding.founded();
                    log.line("fleet: founds the council with " + settings.names());
                }
                case TAKE_PART -> {
                    takePart(folder.restore(), null);
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
            folderFailed(e.getMessage());
            return;
        }
        askOthers(Founding.ask(settings.name()));
        loop.after(FOUNDING_EVERY, this::found);
    }

    private void askOthers(JsonObject text) {
        voters.forEach(
                (name, address) -> {
                    if (!name.equals(settings.name())) {
                        carriage.say(address, text);
                    }
                });
    }

    private void takePart(RestoredRaftState kept, String newId) {
        String id = newId != null ? newId : settings.name().text();
        List<String> founders = settings.names().stream().map(NodeName::text).toList();
        // The seconds of the wall clock matter once in a council's life: tokens of a lost one stay
        // lower.
        long above = WallClock.now().getEpochSecond() * 1000;
        council =
                new Council(
                        settings.name(),
                        id,
                        founders,
                        settings.rules(),
                        DUTIES,
                        above,
                        new Council.Means(
                                loop,
                                this::post,
                                folder,
                                kept,
                                random,
                                text -> log.line("fleet: " + text)));
        council.start();
        askIn();
    }

    /** Until the council counts it among its voters. */
    private void askIn() {
        if (over || council == null || council.voters().contains(council.endpoint())) {
            return;
        }
        JsonObject text = new JsonObject();
        text.addProperty("k", "admit");
        text.addProperty("id", council.endpoint());
        askOthers(text);
        loop.after(FOUNDING_EVERY, this::askIn);
    }

    private void folderFailed(String why) {
        log.line(
                "fleet: the folder failed, this voter votes no more until it is started anew: "
                        + why);
        if (council != null) {
            council.stop();
            council = null;
        }
        founding = null;
    }

    private void post(String to, RaftMessage message) {
        int mark = to.indexOf('~');
        InetSocketAddress address = voters.get(new NodeName(mark < 0 ? to : to.substring(0, mark)));
        if (address != null) {
            JsonObject text = new JsonObject();
            text.addProperty("k", "raft");
            text.addProperty("to", to);
            text.add("m", RaftText.of(message));
            carriage.say(address, text);
        }
    }

    // ---- what others say ----

    /** On the carriage's thread. */
    private void heard(Carriage.Peer from, JsonObject text) {
        String kind = text.get("k").getAsString();
        switch (kind) {
            case "raft" -> {
                RaftMessage message = RaftText.message(text.getAsJsonObject("m"), Council.GROUP);
                String to = text.get("to").getAsString();
                loop.offer(
                        () -> {
                            if (council != null && council.endpoint().equals(to)) {
                                council.heard(message);
                            }
                        });
            }
            case "beat" -> {
                Beat beat = FleetJson.read(text.get("b"), Beat.class);
                loop.offer(() -> beat(beat, from));
            }
            case "reply" -> {
                Reply reply = FleetJson.read(text.get("r"), Reply.class);
                loop.offer(() -> replied(reply));
            }
            case "who" -> {
                NodeName name = new NodeName(text.get("from").getAsString());
                loop.offer(
                        () -> {
                            if (founding != null && voters.containsKey(name)) {
                                Founding.State state =
                                        council != null ? Founding.State.VOTES : founding.state();
                                carriage.say(
                                        voters.get(name), Founding.tell(settings.name(), state));
                            }
                        });
            }
            case "am" -> {
                NodeName name = new NodeName(text.get("from").getAsString());
                Founding.State state = Founding.told(text);
                loop.offer(
                        () -> {
                            if (founding != null) {
                                founding.heard(name, state, loop.now());
                            }
                        });
            }
            case "admit" -> {
                String id = text.get("id").getAsString();
                loop.offer(
                        () -> {
                            if (council != null && voters.containsKey(new Voter(id).name())) {
                                council.admit(id);
                            }
                        });
            }
            case "keep" -> {
                Deed.Keep keep = FleetJson.read(text.get("d"), Deed.Keep.class);
                loop.offer(
                        () -> {
                            if (council != null && keep.digest().length() < 4096) {
                                council.write(keep, done -> {});
                            }
                        });
            }
            case "order" -> {
                Council.Order order = FleetJson.read(text.get("o"), Council.Order.class);
                loop.offer(() -> order(order, from));
            }
            case "deed" -> {
                Deed deed = DeedText.deed(text.get("d").getAsString());
                loop.offer(
                        () -> {
                            // Whoever says it, the book takes these under the conductor's token
                            // only; a halt harms nothing.
                            boolean conductors =
                                    deed instanceof Deed.Step
                                            || deed instanceof Deed.Finish
                                            || deed instanceof Deed.Halt
                                            || deed instanceof Deed.Turn
                                            || deed instanceof Deed.SetPlan;
                            if (council != null && conductors) {
                                council.write(deed, done -> {});
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
            case "ask" -> loop.offer(() -> from.say(told(text)));
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

    private void beat(Beat beat, Carriage.Peer from) {
        Consumer<Reply> to =
                reply -> {
                    JsonObject text = new JsonObject();
                    text.addProperty("k", "reply");
                    text.add("r", FleetJson.tree(reply));
                    from.say(text);
                };
        if (council == null) {
            to.accept(Steward.elsewhere(beat, null));
        } else {
            council.heard(beat, to);
        }
    }

    private void order(Council.Order order, Carriage.Peer from) {
        Consumer<Council.Answer> to =
                answer -> {
                    JsonObject text = new JsonObject();
                    text.addProperty("k", "done");
                    text.addProperty("leads", answer != null);
                    text.add("a", FleetJson.tree(answer));
                    from.say(text);
                };
        if (council == null) {
            to.accept(null);
        } else {
            String against =
                    order.what().equals("rest")
                            ? settings.against(order.server(), council.resting())
                            : "";
            if (!against.isEmpty()) {
                to.accept(council.isLeading() ? new Council.Answer(false, against) : null);
                return;
            }
            council.order(order, settings.outs(), settings.mostResting(), to);
        }
    }

    private void fetch(String digest) {
        JsonObject text = new JsonObject();
        text.addProperty("k", "text?");
        text.addProperty("digest", digest);
        carriage.say(voters.get(session.talksTo()), text);
    }

    private void tellText(String digest, Carriage.Peer to) {
        String known = council == null ? null : council.text(digest);
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
    private void tellWanted(NodeName name, Carriage.Peer to) {
        String digest = council == null ? null : council.wanted(name);
        JsonObject text = new JsonObject();
        text.addProperty("k", "wanted");
        text.addProperty("leads", digest != null);
        if (digest != null) {
            text.addProperty("digest", digest);
            text.addProperty("text", council.text(digest));
            text.addProperty("program", council.wantedProgram(name));
            text.add("rests", FleetJson.tree(council.resting()));
        }
        to.say(text);
    }

    /** What this voter knows, for who asks. */
    private JsonObject told(JsonObject question) {
        JsonObject text = new JsonObject();
        text.addProperty("k", "told");
        text.addProperty("leads", council != null && council.isLeading());
        text.addProperty(
                "leader",
                council == null || council.leader() == null ? "" : council.leader().text());
        text.add("number", question.get("number"));
        text.add(
                "state",
                council == null
                        ? new JsonObject()
                        : FleetJson.tree(
                                council.state(
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
        Moment now = loop.now();
        session.leavesOut(self.leftOut().get());
        session.reports(
                new Report(
                        PROGRAM,
                        texts.runs(),
                        texts.checked(),
                        self.emptied().get(),
                        session.allotment().plan(),
                        self.uses().get(),
                        self.tally().get()));
        Session.Sent sent = session.beat(leaving ? Condition.LEAVING : self.condition().get(), now);
        if (sent != null) {
            say(sent);
        }
        loop.after(session.due().since(now).max(LOOK).min(settings.rules().beat()), this::talk);
    }

    private void say(Session.Sent sent) {
        JsonObject text = new JsonObject();
        text.addProperty("k", "beat");
        text.add("b", FleetJson.tree(sent.beat()));
        carriage.say(voters.get(sent.to()), text);
    }

    private void replied(Reply reply) {
        String before = session.latest() == null ? "" : session.latest().trouble();
        if (Spoilt.isWithoutEarlyStop()) {
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
            releaseOpen = reply.wanted() != null && reply.wanted().busy();
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
        Moment now = loop.now();
        List<FleetView.Held> held = new ArrayList<>();
        session.holding()
                .holds(now)
                .forEach(
                        grant ->
                                held.add(
                                        new FleetView.Held(
                                                grant.duty(),
                                                grant.token(),
                                                now.plus(
                                                        session.holding()
                                                                .left(grant.duty(), now)))));
        Reply latest = session.latest();
        if (latest != toldOf && latest != null) {
            toldOf = latest;
            found =
                    latest.found().stream()
                            .map(
                                    one ->
                                            new FleetView.Found(
                                                    one.server(),
                                                    one.well(),
                                                    session.latestWord().minus(one.age())))
                            .toList();
        }
        Moment touch =
                session.isInTouch(now)
                        ? session.latestWord().plus(settings.rules().lease())
                        : new Moment(Long.MIN_VALUE);
        List<String> rests =
                latest == null || latest.wanted() == null || latest.wanted().rests() == null
                        ? restsAtStart
                        : latest.wanted().rests();
        Allotment may = session.allotment();
        view =
                new FleetView(
                        touch,
                        held,
                        found,
                        new FleetView.Share(may.plan(), may.slots(), may.until()),
                        rests,
                        latest == null ? null : latest.leader());
        Set<Grant> holds = new HashSet<>(session.holding().holds(now));
        List<Grant> news = new ArrayList<>(holds);
        news.removeAll(known);
        news.sort(Comparator.comparing(Grant::token));
        news.forEach(grant -> log.line("fleet: holds " + grant.duty() + " under " + grant.token()));
        known.stream()
                .filter(grant -> !holds.contains(grant))
                .forEach(
                        grant ->
                                log.line(
                                        "fleet: holds "
                                                + grant.duty()
                                                + " no more, under "
                                                + grant.token()));
        known.clear();
        known.addAll(holds);
    }

    /** What this node does by its duties, again and again. */
    private void look() {
        if (over) {
            return;
        }
        publish();
        Token token = session.holding().mayAct(DutyName.KEEPER, loop.now());
        Token leads = session.holding().mayAct(DutyName.CONDUCTOR, loop.now());
        if (session.latest() != null && session.isInTouch(loop.now())) {
            texts.follow(session.latest().wanted());
        }
        boolean plans =
                !settings.places().isEmpty()
                        && session.holding().mayAct(DutyName.PLANNER, loop.now()) != null;
        if (token != null || (leads != null && releaseOpen) || plans) {
            JsonObject ask = new JsonObject();
            ask.addProperty("k", "ask");
            ask.addProperty("number", 0);
            if (leads != null && releaseOpen) {
                ask.addProperty("tallies", true);
            }
            if (leads != null && conductor.wantsPast()) {
                ask.addProperty("past", true);
            }
            if (plans) {
                ask.addProperty("plans", true);
            }
            carriage.say(voters.get(session.talksTo()), ask);
        }
        loop.after(settings.rules().beatHolding().times(0.5), this::look);
    }

    private Moment keptAt = new Moment(Long.MIN_VALUE / 2);

    /** The keeper has the picture: it is told outside, and from time to time written down. */
    private void keep(JsonElement state) {
        Token token = session.holding().mayAct(DutyName.KEEPER, loop.now());
        if (token == null || !state.isJsonObject() || !state.getAsJsonObject().has("seen")) {
            return;
        }
        if (keeper != null
                && !keeper.tell(
                        token,
                        FleetJson.gson().toJson(state),
                        () -> token.equals(view.mayAct(DutyName.KEEPER, loop.now())),
                        bad -> loop.execute(() -> keeperFails(bad)))) {
            return;
        }
        Moment now = loop.now();
        if (now.since(keptAt).compareTo(settings.rules().lease().times(KEEP_EVERY)) > 0) {
            keptAt = now;
            JsonObject text = new JsonObject();
            text.addProperty("k", "keep");
            text.add(
                    "d",
                    FleetJson.tree(
                            new Deed.Keep(
                                    token,
                                    state.getAsJsonObject().getAsJsonArray("seen").size()
                                            + " nodes known")));
            carriage.say(voters.get(session.talksTo()), text);
        }
    }

    /** The conductor has the picture: it says what is next, under its token, to whoever leads. */
    private void conduct(JsonElement told) {
        Token token = session.holding().mayAct(DutyName.CONDUCTOR, loop.now());
        if (token == null || !told.isJsonObject() || !told.getAsJsonObject().has("seen")) {
            return;
        }
        Council.State state = FleetJson.read(told, Council.State.class);
        Picture picture =
                new Picture(
                        state.release(),
                        state.good(),
                        state.haltedBy(),
                        state.seen(),
                        state.permits(),
                        settings.outs().mostOf(state.seen().size()),
                        state.past());
        String before = conductor.says();
        List<Act> acts = conductor.decide(picture, token, loop.now());
        if (!conductor.says().equals(before) && !conductor.says().isEmpty()) {
            log.line(
                    "fleet: "
                            + (state.release() == null ? "" : state.release() + ": ")
                            + conductor.says());
        }
        for (Act act : acts) {
            JsonObject text = new JsonObject();
            if (act instanceof Act.Write write) {
                text.addProperty("k", "deed");
                text.addProperty("d", DeedText.of(write.deed()));
            } else if (act instanceof Act.Let let) {
                text.addProperty("k", "order");
                text.add(
                        "o",
                        FleetJson.tree(
                                new Council.Order(
                                        let.order(),
                                        "leave",
                                        let.node(),
                                        state.release() == null
                                                ? "the conductor"
                                                : state.release().toString())));
            }
            carriage.say(voters.get(session.talksTo()), text);
        }
    }

    /**
     * The planner has the picture: the next plan, if there is to be one, under its token, to
     * whoever leads.
     */
    private void plan(JsonElement told) {
        Token token = session.holding().mayAct(DutyName.PLANNER, loop.now());
        if (token == null || !told.getAsJsonObject().has("plans")) {
            return;
        }
        Council.State state = FleetJson.read(told, Council.State.class);
        if (!token.equals(plansUnder)) {
            plansUnder = token;
            planner = new Planner(settings.rules().lease());
        }
        Deed.SetPlan plan =
                planner.decide(
                        new Planner.View(
                                settings.places(),
                                state.members(),
                                state.seen(),
                                state.plans(),
                                state.lastPlan()),
                        token,
                        loop.now());
        if (plan != null) {
            log.line("fleet: plans: " + planner.why());
            JsonObject text = new JsonObject();
            text.addProperty("k", "deed");
            text.addProperty("d", DeedText.of(plan));
            carriage.say(voters.get(session.talksTo()), text);
        }
    }

    private void keeperFails(String why) {
        log.line("fleet: can't keep the picture, hands the duty on: " + why);
        session.failAt(DutyName.KEEPER, loop.now());
        publish();
    }

    // ---- for the rest of the node ----

    /** The voters have moved: the names stay as they are, links are made anew. */
    public void reach(Map<NodeName, InetSocketAddress> moved) {
        loop.execute(
                () -> {
                    if (moved.keySet().equals(voters.keySet()) && !moved.equals(voters)) {
                        voters = Map.copyOf(moved);
                        carriage.keepOnly(voters.values());
                        log.line("fleet: reaches the voters at " + voters);
                    }
                });
    }

    /** Read by any thread; never waits. */
    public FleetView view() {
        return view;
    }

    /** What a try under the duty trial came to. */
    public void found(String server, boolean well, Token token) {
        loop.offer(() -> session.found(server, well, token, loop.now()));
    }

    /** The node leaves: its duties go to heirs while it drains. Returns at once. */
    public void leave() {
        leaving = true;
        loop.execute(
                () -> {
                    session.handOnAll(loop.now());
                    publish();
                    talkNow(Condition.LEAVING);
                    if (council != null) {
                        council.handOver();
                    }
                });
    }

    private void talkNow(Condition condition) {
        Session.Sent sent = session.beat(condition, loop.now());
        if (sent != null) {
            say(sent);
        }
    }

    /** The last word, and the end; takes as long at the most. */
    public void end(Span most) {
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
                    if (council != null) {
                        council.stop();
                    }
                });
        loop.end();
        carriage.end();
        if (folder != null) {
            folder.close();
        }
    }

    /** For the log: what is known here now. */
    public String figures() {
        FleetView now = view;
        return "fleet: "
                + (now.isInTouch(loop.now()) ? "in touch with " + now.leader() : "alone")
                + ", holds "
                + known.size()
                + ", bytes "
                + carriage.bytes()
                + (folder == null ? "" : ", syncs " + folder.flushes());
    }
}
