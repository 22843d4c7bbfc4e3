package lupinwood.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import lupinwood.admission.NanoDuration;
import lupinwood.cluster.CapacityPlan;
import lupinwood.cluster.NodeName;
import lupinwood.cluster.Rollout;
import lupinwood.config.Config;
import lupinwood.config.Reader;
import lupinwood.consensus.ClusterJson;
import lupinwood.consensus.ClusterQuery;
import lupinwood.consensus.ClusterSettings;
import lupinwood.consensus.DrainTracker;
import lupinwood.consensus.RaftReplica;
import lupinwood.load.FileSources;
import lupinwood.load.SharedConfig;
import lupinwood.log.LibraryLogs;
import lupinwood.log.Log;
import lupinwood.net.NodeConfig;

/** What the command 'fleet' does. */
final class FleetActions {
    private static final int LEADERLESS = 1;
    private static final int USAGE = 2;
    private static final int NOT_NOW = 3;
    private static final int LAST_PLANS = 8;
    private static final int HALTED = 4;
    private static final int ENDED_OTHERWISE = 5;
    private static final Set<String> WITH_NODE =
            Set.of("leave", "forget", "wanted", "rest", "unrest");
    private static final Set<String> ALONE = Set.of("status", "halt", "resume", "back", "plan");
    private static final long ASK_AGAIN_MILLIS = 500;

    private final String operator;
    private final boolean json;
    private final NanoDuration within;
    private final boolean history;

    /** Who gives which order, and whether to wait until it is done. */
    record Invocation(
            String by,
            String order,
            boolean waits,
            String program,
            boolean rollsBackAutomatically,
            String explain) {}

    FleetActions(String operator, boolean json, double within, boolean history) {
        this.history = history;
        this.operator = operator;
        this.json = json;
        this.within = NanoDuration.ofSeconds(within);
    }

    int run(List<String> words, Invocation invocation) {
        boolean fits =
                (words.size() == 1 && ALONE.contains(words.get(0)))
                        || (words.size() == 2 && WITH_NODE.contains(words.get(0)))
                        || (words.get(0).equals("release")
                                && words.size() == (invocation.program() == null ? 2 : 1));
        if (!fits) {
            System.err.println(
                    "lupinwood: 'fleet' takes: status, leave NODE, halt, resume, forget NODE, release FILE,"
                            + " release --program VERSION, back, wanted NODE, plan, rest SERVER,"
                            + " unrest SERVER");
            return USAGE;
        }
        Config config = Reader.readPart(new FileSources(), operator);
        if (!config.diagnostics().isEmpty()) {
            System.err.println(
                    "lupinwood: "
                            + config.diagnostics().all().get(0).place()
                            + ": "
                            + config.diagnostics().all().get(0).text());
            return USAGE;
        }
        ClusterSettings settings = ClusterSettings.of(config.parsedSettings());
        if (settings == null) {
            System.err.println("lupinwood: " + operator + " names no voters, so there is no fleet");
            return USAGE;
        }
        Log quiet = new Log(new PrintStream(new ByteArrayOutputStream()), Instant::now);
        LibraryLogs.sendTo(quiet);
        try {
            if (words.get(0).equals("plan")) {
                return plan(settings, invocation.explain(), quiet);
            }
            if (words.get(0).equals("wanted")) {
                return wanted(settings, words.get(1), quiet);
            }
            if (!words.get(0).equals("status")) {
                return order(settings, words, invocation, quiet);
            }
            Map<Integer, JsonObject> answers =
                    ClusterQuery.ask(settings.voters().values(), within, quiet);
            JsonObject leads =
                    answers.values().stream()
                            .filter(one -> one.get("leads").getAsBoolean())
                            .findFirst()
                            .orElse(null);
            if (json) {
                JsonArray all = new JsonArray();
                answers.values().forEach(all::add);
                System.out.println(leads != null ? leads.get("state") : all);
            } else {
                print(settings, answers, leads, history);
            }
            return answers.isEmpty() ? USAGE : leads == null ? LEADERLESS : 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return USAGE;
        }
    }

    private int order(
            ClusterSettings settings, List<String> words, Invocation invocation, Log quiet)
            throws InterruptedException {
        boolean release = words.get(0).equals("release");
        boolean rests = words.get(0).endsWith("rest");
        NodeName node = words.size() > 1 && !release && !rests ? new NodeName(words.get(1)) : null;
        RaftReplica.RolloutRequest rolloutRequest = null;
        if (release) {
            try {
                rolloutRequest = readRolloutRequest(words, invocation);
            } catch (IOException | NodeConfig.UnusableConfiguration e) {
                System.err.println(
                        "lupinwood: can't be released: "
                                + (e instanceof IOException
                                        ? "can't read " + words.get(1)
                                        : e.getMessage()));
                return USAGE;
            }
        }
        RaftReplica.OperatorOrder order =
                new RaftReplica.OperatorOrder(
                        invocation.order(),
                        words.get(0),
                        node,
                        invocation.by(),
                        rolloutRequest,
                        rests ? words.get(1) : null);
        while (true) {
            RaftReplica.OrderResult answer =
                    ClusterQuery.order(settings.voters().values(), order, within, quiet);
            if (answer == null) {
                System.err.println(
                        "lupinwood: nobody leads the council, so nothing new is allowed");
                return LEADERLESS;
            }
            if (answer.done()) {
                System.out.println(answer.text());
                return !invocation.waits()
                        ? 0
                        : words.get(0).equals("leave")
                                ? untilGone(settings, node, quiet)
                                : words.get(0).equals("rest")
                                        ? untilEmpty(settings, words.get(1), quiet)
                                        : release || words.get(0).equals("back")
                                                ? untilEnded(settings, release, quiet)
                                                : 0;
            }
            if (!invocation.waits() || release) {
                System.err.println("lupinwood: not now: " + answer.text());
                return NOT_NOW;
            }
            Thread.sleep(ASK_AGAIN_MILLIS);
        }
    }

    private static RaftReplica.RolloutRequest readRolloutRequest(
            List<String> words, Invocation invocation)
            throws IOException, NodeConfig.UnusableConfiguration {
        if (invocation.program() != null) {
            return new RaftReplica.RolloutRequest(
                    Rollout.Kind.PROGRAM,
                    invocation.program(),
                    "",
                    invocation.rollsBackAutomatically());
        }
        String text = Files.readString(Path.of(words.get(1)));
        return new RaftReplica.RolloutRequest(
                Rollout.Kind.CONFIGURATION,
                SharedConfig.read(text).digest(),
                text,
                invocation.rollsBackAutomatically());
    }

    /** How much goes where by the newest plan, and why; of one zone only, where one is named. */
    private int plan(ClusterSettings settings, String zone, Log quiet) throws InterruptedException {
        RaftReplica.ReplicaView state =
                ClusterQuery.state(settings.voters().values(), within, quiet, true);
        if (state == null) {
            System.err.println(
                    "lupinwood: nobody leads the council, so it can't be told; nodes go by their last plan for a lease");
            return LEADERLESS;
        }
        if (state.plans().isEmpty()) {
            System.out.println(
                    "there is no plan: no server says what it bears, or nobody plans yet");
            return 0;
        }
        CapacityPlan newest = state.plans().get(state.plans().size() - 1);
        System.out.println(
                "plan "
                        + newest.number()
                        + " for "
                        + newest.roster().size()
                        + " nodes"
                        + (state.plans().size() > 1
                                ? "; some may go by plan "
                                        + state.plans().get(0).number()
                                        + " still"
                                : ""));
        newest.slots()
                .forEach(
                        (site, slots) -> {
                            if (zone == null || site.equals(zone) || site.endsWith("/" + zone)) {
                                long nodes =
                                        newest.roster().values().stream()
                                                .filter(site::equals)
                                                .count();
                                System.out.println(
                                        String.format(
                                                "zone %-14s %3d nodes: %s", site, nodes, slots));
                            }
                        });
        state.history().stream()
                .filter(
                        one ->
                                one.text().startsWith("plan ")
                                        && (zone == null || one.text().contains(zone)))
                .skip(
                        Math.max(
                                0,
                                state.history().stream()
                                                .filter(
                                                        one ->
                                                                one.text().startsWith("plan ")
                                                                        && (zone == null
                                                                                || one.text()
                                                                                        .contains(
                                                                                                zone)))
                                                .count()
                                        - LAST_PLANS))
                .forEach(
                        one ->
                                System.out.println(
                                        Instant.ofEpochMilli(one.atMillis()) + " " + one.text()));
        return 0;
    }

    /** For a supervisor: the program and the text that a node is to be started with. */
    private int wanted(ClusterSettings settings, String node, Log quiet)
            throws InterruptedException {
        ClusterQuery.Wanted wanted =
                ClusterQuery.wanted(settings.voters().values(), new NodeName(node), within, quiet);
        if (wanted == null) {
            System.err.println("lupinwood: nobody leads the council, so it can't be told");
            return LEADERLESS;
        }
        System.out.println("program " + (wanted.program().isEmpty() ? "any" : wanted.program()));
        System.out.println("text " + (wanted.digest().isEmpty() ? "none" : wanted.digest()));
        return 0;
    }

    /** Until each node that is in has said that it has nothing there any more. */
    private int untilEmpty(ClusterSettings settings, String server, Log quiet)
            throws InterruptedException {
        String reported = "";
        while (true) {
            RaftReplica.ReplicaView state =
                    ClusterQuery.state(settings.voters().values(), within, quiet);
            if (state != null) {
                String left = DrainTracker.undrainedNodes(state, server);
                if (left.isEmpty()) {
                    System.out.println(server + " is empty: each node said so");
                    return 0;
                }
                if (!left.equals(reported)) {
                    System.out.println("not yet: " + left);
                    reported = left;
                }
            }
            Thread.sleep(ASK_AGAIN_MILLIS);
        }
    }

    /** Prints what is written about it, until it has ended or was halted. */
    private int untilEnded(ClusterSettings settings, boolean forward, Log quiet)
            throws InterruptedException {
        long printed = -1;
        String shown = "";
        while (true) {
            JsonObject leads =
                    ClusterQuery.ask(settings.voters().values(), within, quiet).values().stream()
                            .filter(one -> one.get("leads").getAsBoolean())
                            .findFirst()
                            .orElse(null);
            if (leads != null) {
                JsonObject state = leads.getAsJsonObject("state");
                JsonArray all = state.getAsJsonArray("history");
                String last = "";
                for (JsonElement one : all) {
                    long at = one.getAsJsonObject().get("atMillis").getAsLong();
                    last = one.getAsJsonObject().get("text").getAsString();
                    if ((printed >= 0 && at > printed)
                            || (one == all.get(all.size() - 1) && printed < 0)) {
                        System.out.println(Instant.ofEpochMilli(at) + " " + last);
                    }
                }
                printed =
                        all.isEmpty()
                                ? 0
                                : all.get(all.size() - 1)
                                        .getAsJsonObject()
                                        .get("atMillis")
                                        .getAsLong();
                if (!isOpen(state)) {
                    return last.contains(" is done") == forward ? 0 : ENDED_OTHERWISE;
                }
                String progress = said(state);
                if (!progress.equals(shown)) {
                    System.out.println(progress);
                    shown = progress;
                }
                if (!state.get("haltedBy").getAsString().isEmpty()) {
                    System.err.println(
                            "lupinwood: halted by "
                                    + state.get("haltedBy").getAsString()
                                    + "; 'fleet resume' goes on, 'fleet back' goes back");
                    return HALTED;
                }
            }
            Thread.sleep(ASK_AGAIN_MILLIS);
        }
    }

    /** Until the consensus group knows that the node is out, or isn't heard any more. */
    private int untilGone(ClusterSettings settings, NodeName node, Log quiet)
            throws InterruptedException {
        while (true) {
            for (JsonObject reported :
                    ClusterQuery.ask(settings.voters().values(), within, quiet).values()) {
                for (JsonElement one : observed(reported)) {
                    String standing = one.getAsJsonObject().get("standing").getAsString();
                    if (text(one.getAsJsonObject(), "name").equals(node.text())
                            && (standing.equals("OUT") || standing.equals("UNKNOWN"))) {
                        System.out.println(node + " is gone");
                        return 0;
                    }
                }
            }
            Thread.sleep(ASK_AGAIN_MILLIS);
        }
    }

    private static JsonArray observed(JsonObject reported) {
        JsonArray observed = reported.getAsJsonObject("state").getAsJsonArray("seen");
        return observed == null ? new JsonArray() : observed;
    }

    private static void print(
            ClusterSettings settings,
            Map<Integer, JsonObject> answers,
            JsonObject leads,
            boolean history) {
        System.out.println(
                "voters: " + answers.size() + " of " + settings.voters().size() + " answered");
        if (leads == null) {
            System.out.println("leader: nobody; duties are not given on, nodes serve as if alone");
            return;
        }
        JsonObject state = leads.getAsJsonObject("state");
        System.out.println(
                "leader: "
                        + leads.get("leader").getAsString()
                        + ", term "
                        + state.get("term").getAsInt());
        for (JsonElement one : state.getAsJsonArray("duties")) {
            JsonObject duty = one.getAsJsonObject();
            String holder = duty.has("holder") ? text(duty, "holder") : "nobody";
            System.out.println(
                    "duty "
                            + text(duty, "duty")
                            + ": "
                            + holder
                            + ", token "
                            + duty.getAsJsonObject("token").get("number").getAsLong());
        }
        List<String> lines = new ArrayList<>();
        for (JsonElement one : state.getAsJsonArray("seen")) {
            JsonObject observed = one.getAsJsonObject();
            JsonObject site = observed.getAsJsonObject("site");
            String heard =
                    observed.has("heard")
                            ? String.format(
                                    Locale.ROOT,
                                    "heard %.1f s ago",
                                    observed.getAsJsonObject("heard").get("nanos").getAsLong()
                                            / 1e9)
                            : "not heard by this leader";
            lines.add(
                    String.format(
                            "node %-16s %-8s %s/%s, %s",
                            text(observed, "name"),
                            observed.get("standing").getAsString().toLowerCase(Locale.ROOT),
                            site.get("region").getAsString(),
                            site.get("zone").getAsString(),
                            heard));
        }
        lines.forEach(System.out::println);
        for (JsonElement one : state.getAsJsonArray("permits")) {
            JsonObject permit = one.getAsJsonObject();
            System.out.println(
                    "permit "
                            + permit.get("number").getAsLong()
                            + ": "
                            + text(permit, "node")
                            + ", let go by "
                            + permit.get("by").getAsString());
        }
        if (isOpen(state)) {
            System.out.println(said(state));
        }
        RaftReplica.ReplicaView whole = ClusterJson.read(state, RaftReplica.ReplicaView.class);
        whole.cordons()
                .forEach(
                        cordon -> {
                            String left = DrainTracker.undrainedNodes(whole, cordon.server());
                            System.out.println(
                                    "server "
                                            + cordon.server()
                                            + " rests, by "
                                            + cordon.by()
                                            + ": "
                                            + (left.isEmpty()
                                                    ? "empty"
                                                    : "not yet empty, " + left));
                        });
        if (!state.get("haltedBy").getAsString().isEmpty()) {
            System.out.println(
                    "halted by " + state.get("haltedBy").getAsString() + ": no node may go");
        }
        if (history) {
            state.getAsJsonArray("history")
                    .forEach(
                            one ->
                                    System.out.println(
                                            Instant.ofEpochMilli(
                                                            one.getAsJsonObject()
                                                                    .get("atMillis")
                                                                    .getAsLong())
                                                    + " "
                                                    + one.getAsJsonObject()
                                                            .get("text")
                                                            .getAsString()));
        }
    }

    private static boolean isOpen(JsonObject state) {
        return state.has("release") && state.get("release").isJsonObject();
    }

    /** How far the open release is, in one line. */
    private static String said(JsonObject state) {
        JsonObject release = state.getAsJsonObject("release");
        String to = release.get("to").getAsString();
        boolean program = release.get("kind").getAsString().equals("PROGRAM");
        int runs = 0;
        for (JsonElement one : state.getAsJsonArray("seen")) {
            JsonObject report = one.getAsJsonObject().getAsJsonObject("report");
            runs +=
                    report != null
                                    && report.get(program ? "program" : "runs")
                                            .getAsString()
                                            .equals(to)
                            ? 1
                            : 0;
        }
        boolean back = release.get("turnedAt").getAsInt() >= 0;
        return "release "
                + release.get("number").getAsLong()
                + " of "
                + (program ? "program " : "text ")
                + to
                + " by "
                + release.get("by").getAsString()
                + (back ? ", on its way back" : "")
                + ": step "
                + release.get("steps").getAsInt()
                + ", given to "
                + release.getAsJsonArray("given").size()
                + ", run by "
                + runs
                + " of "
                + state.getAsJsonArray("seen").size()
                + " nodes";
    }

    private static String text(JsonObject of, String name) {
        return of.getAsJsonObject(name).get("text").getAsString();
    }
}
